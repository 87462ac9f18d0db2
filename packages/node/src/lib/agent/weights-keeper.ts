/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Transfers the desired version to this instance: carries out the effects of the transfer, verifies every byte before it
 * is stored or served to peers, and reports when the version is complete.
 */
import {
  checkManifest, ManifestEvidence, type ChunkMember, type Manifest, type ChunkTransfer, type TransferEffect, type WeightsFailure
} from '@drumdrift/core'
import { setTimeout as pause } from 'node:timers/promises'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerConnection } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'
import { runPeriodically, stallCounter, type PeriodicTask } from '../periodic-tasks.js'
import type { WeightsSource } from '../platform/platform-client.js'
import { Arrivals } from './arrivals.js'
import { fetchChunk, type PeerChunkResult } from './chunk-fetch.js'
import type { ChunkStore } from './chunk-store.js'
import { digestOf, digestOfText, type ChunkDigest } from './digest.js'
import type { ChunkStaging } from './engine-client.js'
import { ManifestSource } from './manifest-source.js'

type Fetch = Extract<TransferEffect, { type: 'fetch' }>

/** What a weights keeper uses. */
export interface WeightsKeeperDependencies {
  readonly self: ChunkMember
  /** Creates the transfer of a version; `held` are the digests of chunks that are already staged. */
  readonly newTransfer: TransferFactory
  /** The largest total size of a version, in bytes. A larger one is refused. */
  readonly maxBytes: number
  readonly platform: WeightsSource
  readonly pool: PeerPool
  readonly engine: ChunkStaging
  readonly store: ChunkStore
  readonly log: Log
  readonly counters: Counters
  /** The members of the same pool. */
  readonly members: () => readonly ChunkMember[]
  readonly addressOf: (instance: string) => string | undefined
  readonly onComplete: (manifestDigest: string) => void
  /** The hash by which manifests name chunks; `blake2b` by default. */
  readonly chunkDigest?: ChunkDigest
  /**
   * Returns whether bytes are the manifest of an identity. By default, the identity is the digest of the bytes. A platform
   * that numbers its versions does not know the digest in advance.
   */
  readonly manifestMatches?: (identity: string, bytes: Buffer) => boolean
}

/** Creates the transfer of one version. */
export type TransferFactory = (start: {
  readonly members: readonly ChunkMember[]
  readonly identity: string
  readonly manifest: Manifest
  readonly held: ReadonlySet<string>
  readonly originCopies: number
}) => ChunkTransfer

/** The interval of ticks of a transfer, in milliseconds. */
const TICK_INTERVAL = 50
/** The longest wait of a peer for a manifest that this process is still to receive, in milliseconds. */
const MAX_MANIFEST_WAIT = 1_000
/** How long a peer may wait until it receives a chunk itself before it refuses the request, in milliseconds. */
const CHUNK_WAIT = 6_000
/** A connection that received bytes within this time counts as active, in milliseconds. */
const ACTIVITY_TIMEOUT = 400
/** The timeout of a chunk request to the platform, in milliseconds. */
const PLATFORM_TIMEOUT = 30_000
/** The delay before a failed fetch of a manifest is retried, in milliseconds. */
const MANIFEST_RETRY_DELAY = 200
/** The longest such delay for a manifest that replaces a corrupted one, in milliseconds. Each attempt doubles the delay. */
const MAX_REPLACEMENT_DELAY = 2_000

/** The number of equal copies of a manifest that are needed if its identity does not tell whether it is corrupted. */
const UNIDENTIFIED_COPIES = 2

/** Holds and transfers the weights of one agent. */
export class WeightsKeeper {
  private _desiredDigest = ''
  private _originCopies = 1
  private _manifest: Manifest | undefined
  /** The digest of the manifest's bytes, also where it is not the version's identity. */
  private _manifestDigest = ''
  private _evidence = new ManifestEvidence()
  /** Whether a manifest is being fetched in place of one that is corrupted. */
  private _replacing = false
  private _transfer: ChunkTransfer | undefined
  private _completeDigest = ''
  /** The list that the transfer uses; compared by reference, since a new revision creates a new list. */
  private _members: readonly ChunkMember[] = []
  private _problem: WeightsFailure | undefined
  private _chunkDigests: ReadonlySet<string> = new Set()
  private readonly _fetches = new Map<number, AbortController>()
  /** The connections of chunk requests in flight, by attempt. */
  private readonly _connections = new Map<number, PeerConnection>()
  private readonly _manifests = new Map<string, Buffer>()
  private readonly _arrivals = new Arrivals()
  private readonly _manifestSource: ManifestSource
  /** Runs only during a transfer; otherwise it would wake an idle process 20 times a second. */
  private _ticks: PeriodicTask | undefined
  /** The number of attempts of the current transfer by their source or failure, for the log. */
  private readonly _outcomes = new Map<string, number>()
  private _startedAt = 0
  private readonly _takeStall = stallCounter()

  constructor (private readonly _dependencies: WeightsKeeperDependencies) {
    this._manifestSource = new ManifestSource({
      ..._dependencies,
      copies: this._identifiesBytes ? 1 : UNIDENTIFIED_COPIES,
      matches: (identity, bytes) => this._matches(identity, bytes) && !this._isContradicted(bytes),
      onProblem: problem => this._recordManifestProblem(problem)
    })
  }

  /** The manifest digest of the desired version; empty for none. */
  get wanted (): string { return this._desiredDigest }
  /** The manifest digest of the desired version once it is complete and verified; empty before. */
  get completeDigest (): string { return this._completeDigest }
  /** The manifest of the desired version; `undefined` until it is held. */
  get currentManifest (): Manifest | undefined { return this._manifest }
  /** The digest of the manifest of the desired version, once all of its chunks are held and verified; `undefined` before. */
  get verifiedManifest (): string | undefined {
    return this._completeDigest === '' ? undefined : this._manifestDigest
  }

  /** The share of the desired version that is held. */
  get progress (): number { return this._transfer?.progress ?? 0 }
  /** Why the desired version cannot be fetched; `undefined` without a failure. */
  get problem (): WeightsFailure | undefined { return this._problem }

  close (): void {
    this._stopTicking()
    // Ends the retries of a manifest that is not held yet, which would otherwise go on until the process ends.
    this._desiredDigest = ''
    for (const fetch of this._fetches.values()) fetch.abort()
  }

  /** Returns whether a chunk belongs to the desired version, or may belong to it because the manifest is not held yet. */
  expects (digest: string): boolean {
    if (this._desiredDigest !== '' && this._manifest === undefined) return true
    return this._chunkDigests.has(digest)
  }

  /**
   * Returns a manifest for a peer, or `undefined` if it is not held.
   *
   * @param wait Milliseconds to wait until this process receives the manifest.
   */
  async manifest (digest: string, wait: number): Promise<Buffer | undefined> {
    const held = this._manifests.get(digest) ?? await this._dependencies.engine.readBack('manifests', digest)
    if (held !== undefined || wait <= 0) return held
    await this._arrivals.waitFor(digest, Math.min(MAX_MANIFEST_WAIT, wait))
    return this._manifests.get(digest)
  }

  /**
   * Sets the desired version; empty for none. Cancels the transfer of another version; chunks that both versions share are kept.
   */
  want (manifestDigest: string, originCopies: number): void {
    this._originCopies = originCopies
    if (manifestDigest === this._desiredDigest) return
    this._dependencies.log.info('weights-wanted', { manifest: manifestDigest })
    this._desiredDigest = manifestDigest
    this._completeDigest = ''
    this._problem = undefined
    this._applyEffects(this._transfer?.cancel() ?? [])
    this._transfer = undefined
    this._manifest = undefined
    this._evidence = new ManifestEvidence()
    this._chunkDigests = new Set()
    if (manifestDigest !== '') this._fetchAndAdoptManifest(manifestDigest)
  }

  /** Drops chunks that the desired version does not list; call it once that version is served. */
  async dropUnlisted (fence: number): Promise<void> {
    if (this._manifest !== undefined) await this._dependencies.store.dropExcept(this._chunkDigests, fence)
  }

  /** Updates the list of members. Ticks do so during a transfer; once the version is complete, only this call does. */
  updateMembers (): void {
    const members = this._dependencies.members()
    if (members === this._members) return
    this._transfer?.setMembers(members)
    this._members = members
  }

  /**
   * Checks whether the engine still holds the complete version, as it must right before a load. Chunks that are missing are
   * fetched again. Returns false also if they could not be read.
   */
  async confirmComplete (): Promise<boolean> {
    const manifest = this._manifest
    if (manifest === undefined) return false
    if (!await this._dependencies.store.recover() || manifest !== this._manifest) return false
    if (manifest.chunks.every(chunk => this._dependencies.store.staged.has(chunk.digest))) return true
    this._dependencies.log.warn('staging-lost', { manifest: this._desiredDigest })
    this._completeDigest = ''
    await this._prepareTransfer(manifest)
    return false
  }

  /**
   * Compares this process's manifest with that of a member that holds all chunks of the version. No bytes match a corrupted digest, so
   * that member's manifest is right, and is adopted if this process does not hold all chunks of its own.
   *
   * @param digest The digest of the member's manifest.
   */
  async compareWithVerified (instance: string, digest: string): Promise<void> {
    const [manifest, identity] = [this._manifest, this._desiredDigest]
    if (manifest === undefined || this._completeDigest !== '' || this._manifestDigest === digest) return
    const bytes = await this._manifestSource.fetchFrom(instance, identity)
    if (bytes === undefined || digestOfText(bytes) !== digest || manifest !== this._manifest || this._completeDigest !== '') return
    this._dependencies.log.warn('manifest-replaced', { manifest: identity, source: instance })
    this._adoptManifest(identity, bytes)
  }

  /** Fetches another manifest in place of one that chunks contradict. Until then, the chunks that it lists rightly are transferred. */
  private async _replaceManifest (): Promise<void> {
    if (this._replacing) return
    this._replacing = true
    const [manifest, identity] = [this._manifest, this._desiredDigest]
    const isNeeded = (): boolean => manifest === this._manifest && identity === this._desiredDigest && this._completeDigest === ''
    for (let delay = MANIFEST_RETRY_DELAY; isNeeded(); delay = Math.min(MAX_REPLACEMENT_DELAY, 2 * delay)) {
      const bytes = await this._manifestSource.fetch(identity, Infinity)
      if (!isNeeded()) break
      if (bytes !== undefined && this._adoptManifest(identity, bytes)) this._dependencies.log.warn('manifest-replaced', { manifest: identity, source: 'origin' })
      else await pause(delay)
    }
    this._replacing = false
  }

  private async _fetchAndAdoptManifest (manifestDigest: string): Promise<void> {
    const startedAt = performance.now()
    while (this._desiredDigest === manifestDigest) {
      const bytes = await this._fetchManifest(manifestDigest, performance.now() - startedAt)
      if (this._desiredDigest !== manifestDigest) return
      if (bytes !== undefined && this._adoptManifest(manifestDigest, bytes)) return
      await pause(MANIFEST_RETRY_DELAY)
    }
  }

  private _adoptManifest (manifestDigest: string, bytes: Buffer): boolean {
    const checked = checkManifest(tryParseJson(bytes), this._dependencies.maxBytes)
    if ('failure' in checked) {
      this._recordProblem(checked.failure)
      return false
    }
    this._problem = undefined
    this._manifest = checked.value
    this._manifests.clear()
    this._manifests.set(manifestDigest, bytes)
    this._manifestDigest = digestOfText(bytes)
    this._arrivals.notify(manifestDigest)
    this._dependencies.log.info('manifest-held', { manifest: manifestDigest, chunks: checked.value.chunks.length })
    this._chunkDigests = new Set(checked.value.chunks.map(chunk => chunk.digest))
    this._dependencies.engine.stage('manifests', manifestDigest, bytes)
    this._prepareTransfer(checked.value)
    return true
  }

  /** Starts the transfer of a version once chunks that are already staged are part of it. */
  private async _prepareTransfer (manifest: Manifest): Promise<void> {
    await this._dependencies.store.arrange(manifest.chunks)
    if (manifest !== this._manifest || this._desiredDigest === '') return
    this._startTransfer(manifest)
    this._tick()
  }

  private _startTransfer (manifest: Manifest): void {
    this._applyEffects(this._transfer?.cancel() ?? [])
    this._outcomes.clear()
    this._startedAt = performance.now()
    this._takeStall()
    this._members = this._dependencies.members()
    this._transfer = this._dependencies.newTransfer({
      members: this._members, identity: this._desiredDigest, manifest, held: this._dependencies.store.staged, originCopies: this._originCopies
    })
    this._ticks ??= runPeriodically(() => this._tick(), TICK_INTERVAL)
  }

  /** Returns the staged manifest if it matches; otherwise fetches it from a peer or the platform. */
  private async _fetchManifest (digest: string, elapsed: number): Promise<Buffer | undefined> {
    const held = await this.manifest(digest, 0)
    if (held !== undefined && this._matches(digest, held)) return held
    return await this._manifestSource.fetch(digest, elapsed)
  }

  /** Whether the identity of a version is the digest of its manifest, so that a corrupted manifest cannot match it. */
  private get _identifiesBytes (): boolean { return this._dependencies.manifestMatches === undefined }

  private _matches (identity: string, bytes: Buffer): boolean {
    const { manifestMatches } = this._dependencies
    return manifestMatches === undefined ? digestOfText(bytes) === identity : manifestMatches(identity, bytes)
  }

  private _isContradicted (bytes: Buffer): boolean {
    const checked = checkManifest(tryParseJson(bytes), this._dependencies.maxBytes)
    return 'value' in checked && this._evidence.contradicts(checked.value)
  }

  private _tick (): void {
    const transfer = this._transfer
    if (transfer === undefined || this._completeDigest !== '') return this._stopTicking()
    this.updateMembers()
    transfer.extendDeadlines(this._takeStall())
    this._reportActiveConnections(transfer)
    this._applyEffects(transfer.tick(performance.now()))
  }

  private _stopTicking (): void {
    this._ticks?.close()
    this._ticks = undefined
  }

  /** A connection that receives bytes is not stalled, although keepalives may be queued behind other chunks. */
  private _reportActiveConnections (transfer: ChunkTransfer): void {
    const now = performance.now()
    for (const [attempt, connection] of this._connections) {
      if (connection.open && connection.timeSinceContact(now) < ACTIVITY_TIMEOUT) transfer.chunkPending(attempt, now)
    }
  }

  private _applyEffects (effects: readonly TransferEffect[]): void {
    for (const effect of effects) this._handlers[effect.type](effect as never)
  }

  private readonly _handlers: { readonly [Type in TransferEffect['type']]: (effect: Extract<TransferEffect, { type: Type }>) => void } = {
    fetch: effect => { this._fetch(effect) },
    abandon: ({ attempt }) => {
      this._fetches.get(attempt)?.abort()
      this._fetches.delete(attempt)
    },
    whole: ({ manifestDigest }) => {
      this._completeDigest = manifestDigest
      this._dependencies.log.info('version-whole', {
        manifest: manifestDigest, chunks: this._manifest?.chunks.length, took: Math.round(performance.now() - this._startedAt), ...Object.fromEntries(this._outcomes)
      })
      this._dependencies.onComplete(manifestDigest)
    }
  }

  private async _fetch (effect: Fetch): Promise<void> {
    const transfer = this._transfer
    if (transfer === undefined) return
    const abort = new AbortController()
    this._fetches.set(effect.attempt, abort)
    const problem = await this._fetchVerified(effect, abort.signal)
    this._connections.delete(effect.attempt)
    if (!this._fetches.delete(effect.attempt) || transfer !== this._transfer) return
    transfer.extendDeadlines(this._takeStall())
    const now = performance.now()
    const outcome = problem === undefined ? `from_${effect.source.kind}` : problem.replaceAll('-', '_')
    this._outcomes.set(outcome, (this._outcomes.get(outcome) ?? 0) + 1)
    if (problem !== undefined) this._dependencies.log.debug('chunk-failed', { problem, source: sourceName(effect), chunk: effect.index, attempt: effect.attempt })
    this._applyEffects(problem === undefined ? transfer.chunkReceived(effect.attempt, now) : transfer.failed(effect.attempt, problem, now))
  }

  /** Fetches, verifies and stores one chunk. Returns the failure, or `undefined` on success. */
  private async _fetchVerified (effect: Fetch, signal: AbortSignal): Promise<'corrupt' | 'unreachable' | 'not-yet' | 'not-held' | 'timed-out' | undefined> {
    const manifest = this._manifest
    const fetched = await this._fetchBytes(effect, signal)
    if (typeof fetched === 'string') return fetched
    const digest = await digestOf(fetched, this._dependencies.chunkDigest)
    if (digest !== effect.digest || fetched.length !== effect.bytes) {
      if (effect.source.kind === 'origin' && manifest === this._manifest) this._recordMismatch(effect.index, { digest, bytes: fetched.length })
      this._dependencies.counters.add('chunks_corrupt')
      this._dependencies.log.warn('chunk-corrupt', { source: sourceName(effect), chunk: effect.index, bytes: fetched.length })
      return 'corrupt'
    }
    if (signal.aborted) return 'timed-out'
    this._dependencies.counters.add(`chunk_bytes_from_${effect.source.kind}`, fetched.length)
    const staged = await this._dependencies.store.keep(effect.digest, fetched)
    return staged ? undefined : 'not-yet'
  }

  private _recordMismatch (index: number, chunk: Manifest['chunks'][number]): void {
    if (this._identifiesBytes || this._manifest === undefined || !this._evidence.received(index, chunk, this._manifest)) return
    this._dependencies.log.warn('manifest-contradicted', { manifest: this._desiredDigest, chunk: index })
    this._replaceManifest()
  }

  private async _fetchBytes (effect: Fetch, signal: AbortSignal): Promise<PeerChunkResult> {
    if (effect.source.kind !== 'peer') {
      return await this._dependencies.platform.weights(effect.source.kind, 'chunks', effect.digest, PLATFORM_TIMEOUT, signal) ?? 'not-held'
    }
    const address = this._dependencies.addressOf(effect.source.instance)
    if (address === undefined) return 'unreachable'
    const onPending = (): void => this._transfer?.chunkPending(effect.attempt, performance.now())
    return await fetchChunk(this._dependencies.pool, { address, digest: effect.digest, wait: CHUNK_WAIT, signal, onPending, onConnection: connection => this._connections.set(effect.attempt, connection) })
  }

  /** An unavailable manifest does not replace an earlier problem, which is more specific. */
  private _recordManifestProblem (problem: WeightsFailure): void {
    if (problem.reason === 'unavailable') this._problem ??= problem
    else this._recordProblem(problem)
  }

  private _recordProblem (problem: WeightsFailure): void {
    this._problem = problem
    this._dependencies.log.warn('weights-refused', { reason: problem.reason, detail: problem.detail })
  }
}

function sourceName (effect: Fetch): string {
  return effect.source.kind === 'peer' ? effect.source.instance : effect.source.kind
}

function tryParseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    return undefined
  }
}
