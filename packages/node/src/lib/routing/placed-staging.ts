/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stages chunks in an engine whose staging area has one place per chunk. An engine loads whatever lies at each place, so a chunk
 * counts as staged only if it lies at all places where the version lists it.
 */
import { placesByDigest, planRearrangement, type Manifest, type ReadBack } from '@drumdrift/core'
import pLimit from 'p-limit'
import { digestOf, type ChunkDigest } from '../agent/digest.js'
import type { ChunkStaging } from '../agent/engine-client.js'
import type { ManifestStore, StagingArea, WriteResult } from './ports.js'

/** How long after its call failed a write may still take effect, in milliseconds. */
const LATE_EFFECT_TIME = 3_000

/** Of how many versions the chunks are told from corrupt ones. */
const MAX_KNOWN_VERSIONS = 4

/** A write in flight. */
interface Write {
  readonly place: number
  readonly digest: string
  readonly ended: Promise<WriteResult>
}

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
  private readonly _writes = new Set<Write>()
  /** Writes without an answer. */
  private _unanswered: readonly UnansweredWrite[] = []
  private _changedAt = -Infinity
  private _lastReadBack: ReadBack | undefined
  /** The chunks of the last arranged versions. */
  private _knownChunks: readonly ReadonlySet<string>[] = []

  constructor (private readonly _area: StagingArea, private readonly _manifests: ManifestStore, private readonly _chunkDigest: ChunkDigest) {}

  /**
   * When this process last changed the contents, in milliseconds of `performance.now()`; -Infinity for never. While a write of another
   * version may still take effect, the contents may change at any time.
   */
  get changedAt (): number { return this.settled ? this._changedAt : performance.now() }

  /** Whether no write can take effect any more that makes the arranged version incomplete. */
  get settled (): boolean {
    const now = performance.now()
    this._unanswered = this._unanswered.filter(({ until }) => now < until)
    return [...this._writes, ...this._unanswered].every(write => this._belongs(write))
  }

  /** What was last read back; `undefined` if not all places could be read, so that a chunk that was not found tells nothing. */
  get lastReadBack (): ReadBack | undefined { return this._lastReadBack }

  /** Reads back and hashes the chunks at all places: the engine does not verify them, and they may become corrupt. */
  async staged (): Promise<ReadonlySet<string> | undefined> {
    return await this._exclusively(async () => {
      await this._untilSettled()
      this._contents.clear()
      const places = await this._area.occupiedPlaces()
      let isReadable = places !== undefined
      for (const place of places ?? []) {
        const bytes = await this._area.read(place)
        if (bytes === undefined) isReadable = false
        else this._contents.set(place, await this._digestOf(bytes))
      }
      this._lastReadBack = isReadable ? this._compareContents() : undefined
      return isReadable ? this._stagedDigests() : undefined
    })
  }

  async arrange (chunks: Manifest['chunks']): Promise<ReadonlySet<string>> {
    return await this._exclusively(async () => {
      const digests = chunks.map(({ digest }) => digest)
      this._places = placesByDigest(digests)
      this._knownChunks = [...this._knownChunks, new Set(digests)].slice(-MAX_KNOWN_VERSIONS)
      await this._untilSettled()
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

  /** Compares the contents with the arranged version. */
  private _compareContents (): ReadBack {
    const others = [...this._places].flatMap(([digest, places]) => places.map(place => this._contents.get(place)).filter(held => held !== digest))
    if (others.length === 0) return 'whole'
    return others.some(held => held === undefined || this._knownChunks.some(chunks => chunks.has(held))) ? 'replaced' : 'corrupt'
  }

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
  private async _startWrite (digest: string, bytes: Buffer): Promise<boolean> {
    const places = this._places.get(digest)
    return places !== undefined && await this._write(places.filter(place => this._contents.get(place) !== digest), digest, bytes)
  }

  /** Awaits the writes in flight that would make the arranged version incomplete. */
  private async _untilSettled (): Promise<void> {
    await Promise.all([...this._writes].filter(write => !this._belongs(write)).map(({ ended }) => ended))
  }

  private _belongs ({ place, digest }: Pick<Write, 'place' | 'digest'>): boolean { return this._places.get(digest)?.includes(place) === true }

  private async _write (places: readonly number[], digest: string, bytes: Buffer): Promise<boolean> {
    let written = true
    for (const place of places) {
      this._contents.delete(place)
      if (await this._writeAt(place, digest, bytes) === 'written') this._contents.set(place, digest)
      else written = false
    }
    return written
  }

  private async _writeAt (place: number, digest: string, bytes: Buffer): Promise<WriteResult> {
    this._changedAt = performance.now()
    const ended = this._area.write(place, bytes)
    const write: Write = { place, digest, ended }
    this._writes.add(write)
    const result = await ended
    this._writes.delete(write)
    this._changedAt = performance.now()
    if (result === 'unanswered') this._unanswered = [...this._unanswered, { place, digest, until: this._changedAt + LATE_EFFECT_TIME }]
    return result
  }

  private async _digestOf (bytes: Buffer): Promise<string> { return await digestOf(bytes, this._chunkDigest) }
}
