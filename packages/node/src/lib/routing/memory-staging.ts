/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Holds the chunks of a version in this process while the engine's staging memory holds another version of the model.
 * Manifests are stored with the engine, which uses them to place chunks.
 */
import type { ChunkStaging } from '../agent/engine-client.js'

/** A staging area in the memory of this process. */
export class MemoryStaging implements ChunkStaging {
  private readonly _chunks = new Map<string, Buffer>()
  private _bytes = 0

  /**
   * @param _manifests The store for manifests.
   * @param capacity Memory limit for chunks, in bytes.
   */
  constructor (private readonly _manifests: Pick<ChunkStaging, 'stage' | 'readBack'>, readonly capacity: number) {}

  async staged (): Promise<ReadonlySet<string>> { return new Set(this._chunks.keys()) }

  /** Returns the staged chunks, which are stored by digest and have no places. */
  async arrange (): Promise<ReadonlySet<string>> { return await this.staged() }

  /** Stages a chunk or manifest. Returns `false` if a chunk would exceed the capacity. */
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
