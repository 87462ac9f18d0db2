/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stages chunks in an engine whose staging area has one place per chunk. An engine loads whatever lies at each place, so a chunk
 * counts as staged only if it lies at all places where the version lists it.
 */
import { placesByDigest, planRearrangement, type Manifest } from '@drumdrift/core'
import pLimit from 'p-limit'
import { digestOf, type ChunkDigest } from '../agent/digest.js'
import type { ChunkStaging } from '../agent/engine-client.js'
import type { ManifestStore, StagingArea } from './ports.js'

/** How long after its call failed a write may still take effect, in milliseconds. */
const LATE_EFFECT_TIME = 3_000

/** A write that may have taken effect, or may do so until some time, in milliseconds of `performance.now()`. */
interface UnansweredWrite {
  readonly place: number
  readonly digest: string
  readonly until: number
}

/** Translates between chunks, which are named by digest, and the places of a staging area. */
export class PlacedStaging implements ChunkStaging {
  /** The digests of the staged chunks by place, as last read or written. */
  private readonly _contents = new Map<number, string>()
  /** The places of each chunk of the arranged version. */
  private _places: ReadonlyMap<string, readonly number[]> = new Map()
  private _sizes: ReadonlyMap<string, number> = new Map()
  /** Serializes operations that read or rearrange many places. They rely on contents that do not change meanwhile, so they await all writes. */
  private readonly _exclusively = pLimit(1)
  /** The writes of single chunks in flight. */
  private readonly _writes = new Set<Promise<boolean>>()
  /** Writes without an answer. */
  private _unanswered: readonly UnansweredWrite[] = []
  private _changedAt = -Infinity
  private _wasReadable = false

  constructor (private readonly _area: StagingArea, private readonly _manifests: ManifestStore, private readonly _chunkDigest: ChunkDigest) {}

  /**
   * When this process last changed the contents, in milliseconds of `performance.now()`; -Infinity for never. While a write of another
   * version may still take effect, the contents may change at any time.
   */
  get changedAt (): number { return this.settled ? this._changedAt : performance.now() }

  /** Whether all places could be read when they were read back last. Otherwise, that a chunk was not found tells nothing. */
  get wasReadable (): boolean { return this._wasReadable }

  /** Whether no write is in flight, and none can take effect any more that makes the arranged version incomplete. */
  get settled (): boolean {
    if (this._writes.size > 0) return false
    const now = performance.now()
    this._unanswered = this._unanswered.filter(({ until }) => now < until)
    return this._unanswered.every(({ place, digest }) => this._places.get(digest)?.includes(place) === true)
  }

  /** Reads back and hashes the chunks at all places: the engine does not verify them, and they may become corrupt. */
  async staged (): Promise<ReadonlySet<string>> {
    return await this._exclusively(async () => {
      await this._untilWritten()
      this._contents.clear()
      const places = await this._area.occupiedPlaces()
      this._wasReadable = places !== undefined
      for (const place of places ?? []) {
        const bytes = await this._area.read(place)
        if (bytes === undefined) this._wasReadable = false
        else this._contents.set(place, await this._digestOf(bytes))
      }
      return this._stagedDigests()
    })
  }

  async arrange (chunks: Manifest['chunks']): Promise<ReadonlySet<string>> {
    return await this._exclusively(async () => {
      await this._untilWritten()
      const digests = chunks.map(({ digest }) => digest)
      this._places = placesByDigest(digests)
      this._sizes = new Map(chunks.map(({ digest, bytes }) => [digest, bytes]))
      const inMemory = new Map<string, Buffer>()
      for (const step of planRearrangement(this._contents, digests)) {
        if (step.type === 'read') {
          const bytes = await this._readVerified(step.place, step.digest)
          if (bytes !== undefined) inMemory.set(step.digest, bytes)
          continue
        }
        const bytes = inMemory.get(step.digest)
        if (bytes !== undefined) await this._write(step.places, step.digest, bytes)
        inMemory.delete(step.digest)
      }
      return this._stagedDigests()
    })
  }

  /** Stages a chunk at all its places in the arranged version. Returns `false` if it is not part of that version. */
  async stage (kind: 'chunks' | 'manifests', digest: string, bytes: Buffer): Promise<boolean> {
    if (kind === 'manifests') {
      this._manifests.add(digest, bytes)
      return true
    }
    const { written } = await this._exclusively(async () => ({ written: this._startWrite(digest, bytes) }))
    return await written
  }

  async readBack (kind: 'chunks' | 'manifests', digest: string): Promise<Buffer | undefined> {
    if (kind === 'manifests') return this._manifests.manifest(digest)
    for (const [place, held] of [...this._contents]) {
      const bytes = held === digest ? await this._readVerified(place, digest) : undefined
      if (bytes !== undefined) return bytes
    }
    return undefined
  }

  /** Does nothing: chunks of newer versions overwrite older ones. */
  async drop (): Promise<void> {}

  /** Returns the held chunks, without those that are missing at one of their places. */
  private _stagedDigests (): ReadonlySet<string> {
    const isInPlace = (digest: string): boolean => (this._places.get(digest) ?? []).every(place => this._contents.get(place) === digest)
    return new Set([...this._contents.values()].filter(isInPlace))
  }

  private async _readVerified (place: number, digest: string): Promise<Buffer | undefined> {
    const bytes = await this._area.read(place, this._sizes.get(digest))
    if (bytes !== undefined && await this._digestOf(bytes) === digest) return bytes
    if (this._contents.get(place) === digest) this._contents.delete(place)
    return undefined
  }

  /** Starts to write a chunk of the arranged version. Writes run side by side: one that takes long delays no other. */
  private _startWrite (digest: string, bytes: Buffer): Promise<boolean> {
    const places = this._places.get(digest)
    if (places === undefined) return Promise.resolve(false)
    const write = this._write(places.filter(place => this._contents.get(place) !== digest), digest, bytes)
    this._writes.add(write)
    return write.finally(() => this._writes.delete(write))
  }

  private async _untilWritten (): Promise<void> { await Promise.allSettled([...this._writes]) }

  private async _write (places: readonly number[], digest: string, bytes: Buffer): Promise<boolean> {
    let written = true
    for (const place of places) {
      this._contents.delete(place)
      this._changedAt = performance.now()
      const result = await this._area.write(place, bytes)
      this._changedAt = performance.now()
      if (result === 'unanswered') this._unanswered = [...this._unanswered, { place, digest, until: this._changedAt + LATE_EFFECT_TIME }]
      if (result === 'written') this._contents.set(place, digest)
      else written = false
    }
    return written
  }

  private async _digestOf (bytes: Buffer): Promise<string> { return await digestOf(bytes, this._chunkDigest) }
}
