/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stores chunks while peers may still request them. The engine's staging memory holds all chunks of the desired version,
 * which it needs to load it. This process caches only the most recent chunks, up to a limit, and reads older ones back.
 */
import type { Manifest } from '@drumdrift/core'
import { Arrivals } from './arrivals.js'
import type { ChunkStaging } from './engine-client.js'

/** The chunks that one agent holds. */
export class ChunkStore {
  private readonly _cache = new Map<string, Buffer>()
  private _staged = new Set<string>()
  private readonly _arrivals = new Arrivals()
  private _cachedBytes = 0

  /**
   * @param _cacheLimit Bytes that this process may cache.
   */
  constructor (private readonly _engine: ChunkStaging, private readonly _cacheLimit: number) {}

  /** Digests of the chunks that the engine holds. */
  get staged (): ReadonlySet<string> { return this._staged }

  /**
   * Reads which chunks the engine holds, at the start and again before a load, since an earlier agent may have dropped some. Returns whether
   * they could be read; otherwise, what is known of them stays.
   */
  async recover (): Promise<boolean> {
    const staged = await this._engine.staged()
    if (staged !== undefined) this._staged = new Set(staged)
    return staged !== undefined
  }

  /** Prepares the engine's staging memory for a version, so that chunks that it already holds are not fetched. */
  async arrange (chunks: Manifest['chunks']): Promise<void> {
    this._staged = new Set(await this._engine.arrange(chunks))
  }

  /**
   * Stores a verified chunk: serves peers that wait for it at once, then stages it in the engine.
   *
   * @returns Whether the engine accepted it.
   */
  async keep (digest: string, bytes: Buffer): Promise<boolean> {
    this._cacheChunk(digest, bytes)
    this._arrivals.notify(digest)
    const staged = await this._engine.stage('chunks', digest, bytes)
    if (staged) this._staged.add(digest)
    return staged
  }

  /** Returns a chunk, or `undefined` if it is not held. */
  async get (digest: string): Promise<Buffer | undefined> {
    const recent = this._cache.get(digest)
    if (recent !== undefined) return recent
    if (!this._staged.has(digest)) return undefined
    const bytes = await this._engine.readBack('chunks', digest)
    if (bytes === undefined) this._staged.delete(digest)
    else this._cacheChunk(digest, bytes)
    return bytes
  }

  has (digest: string): boolean {
    return this._cache.has(digest) || this._staged.has(digest)
  }

  /** Waits up to `wait` milliseconds until a chunk is held. Returns whether it is. */
  async waitFor (digest: string, wait: number): Promise<boolean> {
    if (this.has(digest)) return true
    await this._arrivals.waitFor(digest, wait)
    return this.has(digest)
  }

  /** Drops staged chunks that are not among the given digests. */
  async dropExcept (kept: ReadonlySet<string>, fence: number): Promise<void> {
    for (const digest of [...this._staged]) {
      if (kept.has(digest)) continue
      this._staged.delete(digest)
      await this._engine.drop(digest, fence)
    }
  }

  private _cacheChunk (digest: string, bytes: Buffer): void {
    if (this._cache.has(digest)) return
    this._cache.set(digest, bytes)
    this._cachedBytes += bytes.length
    for (const [oldest, held] of this._cache) {
      if (this._cachedBytes <= this._cacheLimit) break
      this._cache.delete(oldest)
      this._cachedBytes -= held.length
    }
  }
}
