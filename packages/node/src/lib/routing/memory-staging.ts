/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Holds the chunks of a version in this process while the engine's staging memory has another version of the model.
 * Manifests go to the engine's own book, which places chunks by them.
 */
import type { ChunkStaging } from '../agent/engine-client.js'

/** Chunks in this process. */
export class MemoryStaging implements ChunkStaging {
  private readonly _chunks = new Map<string, Buffer>()
  private _bytes = 0

  /**
   * @param _manifests Where manifests are kept.
   * @param capacity Bytes that chunks may take.
   */
  constructor (private readonly _manifests: Pick<ChunkStaging, 'stage' | 'readBack'>, readonly capacity: number) {}

  async staged (): Promise<ReadonlySet<string>> { return new Set(this._chunks.keys()) }

  /** Chunks beyond the capacity are not taken. */
  async stage (kind: 'chunks' | 'manifests', digest: string, bytes: Buffer): Promise<boolean> {
    if (kind === 'manifests') return await this._manifests.stage(kind, digest, bytes)
    if (this._chunks.has(digest)) return true
    if (this._bytes + bytes.length > this.capacity) return false
    this._chunks.set(digest, bytes)
    this._bytes += bytes.length
    return true
  }

  async readBack (kind: 'chunks' | 'manifests', digest: string): Promise<Buffer | undefined> {
    return kind === 'manifests' ? await this._manifests.readBack(kind, digest) : this._chunks.get(digest)
  }

  async drop (digest: string): Promise<void> {
    this._bytes -= this._chunks.get(digest)?.length ?? 0
    this._chunks.delete(digest)
  }
}
