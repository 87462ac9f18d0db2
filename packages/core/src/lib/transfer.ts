/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Schedules the transfer of one version to one member: the window of chunks in flight, the fallback to further ancestors
 * when a parent is dead, slow or sends corrupt data, the staggered fallback to the store and the origin, and the
 * cancellation when the wanted version changes. It performs no input or output: the caller carries out its effects.
 */
import { ChunkTree, type ChunkMember, type ChunkSource, type SpreadStrategy } from './chunk-tree.js'
import type { Manifest } from './documents.js'

/** An action for the caller to perform. */
export type TransferEffect =
  | { readonly type: 'fetch', readonly attempt: number, readonly index: number, readonly digest: string, readonly bytes: number, readonly source: ChunkSource, readonly timeout: number }
  | { readonly type: 'abandon', readonly attempt: number }
  | { readonly type: 'whole', readonly manifestDigest: string }

/** Why an attempt delivered no chunk. */
export type FetchProblem = 'corrupt' | 'timed-out' | 'unreachable' | 'not-yet' | 'not-held'

/** Parameters of a transfer; times in milliseconds. */
export interface TransferPolicy {
  /** The maximum number of chunks in flight, which bounds the memory of a transfer. */
  readonly window: number
  readonly strategy: SpreadStrategy
  /** The number of members that read each chunk from the origin in the absence of failures. */
  readonly originCopies: number
  /** The additional delay per rank in the zone before a member falls back to the store or origin. */
  readonly originStagger: number
  /** How long a failed peer is skipped the first time. */
  readonly penalty: number
  /** The minimum timeout of an attempt. */
  readonly minTimeout: number
}

/** The default policy of the daemons. */
export const defaultTransferPolicy: TransferPolicy = {
  window: 32,
  strategy: 'rotation',
  originCopies: 1,
  originStagger: 300,
  penalty: 5_000,
  minTimeout: 3_000
}

interface PendingFetch {
  readonly index: number
  readonly attempt: number
  readonly source: ChunkSource
  readonly startedAt: number
  deadline: number
  /** Whether a second source has been requested because this one is slow, or this is that second request. */
  hedged: boolean
}

interface Penalty {
  readonly until: number
  readonly count: number
}

interface ChunkState {
  /** When no ancestor was usable for the first time; `undefined` until then. */
  unservedSince: number | undefined
  /** The number of failed attempts for this chunk by source. */
  readonly failures: Map<string, number>
  retryAt: number
}

/** How often a source may report that it does not have the chunk yet before the next source is tried. */
const MAX_FAILURES_PER_SOURCE = 3
/** The timeout of the store and origin as a multiple of the typical duration, since they send no progress signals. */
const ORIGIN_TIMEOUT_FACTOR = 6
/** The weight of a new sample in the moving average of fetch durations. */
const SMOOTHING = 0.2
/**
 * How long a member of rank 0 waits, once all ancestors of a chunk have failed, before it reads from the origin, in
 * milliseconds.
 */
const ORIGIN_FIRST_WAIT_MILLISECONDS = 600
/** The delay before a source that did not have the chunk is retried, in milliseconds. */
const RETRY_MILLISECONDS = 150
/** The maximum penalty, in milliseconds. Penalties double until they reach it. */
const MAX_PENALTY_MILLISECONDS = 20_000
/**
 * A fetch is slow if it takes longer than this, in milliseconds, and longer than `SLOW_FACTOR` times the typical
 * duration.
 */
const SLOW_MILLISECONDS = 1_000
const SLOW_FACTOR = 2
/** The age, in milliseconds, at which a fetch is slow while the typical duration is unknown. */
const INITIAL_SLOW_MILLISECONDS = 10_000
/** The factor by which the window is enlarged to allow for slow fetches. */
const WINDOW_FACTOR = 4
/** A fetch is hedged when its age reaches this multiple of the age at which it is slow. */
const HEDGE_FACTOR = 2
/** The maximum number of hedges started per tick. */
const MAX_HEDGES_PER_TICK = 4

/** The transfer of one version to one member, driven by the caller. */
export interface ChunkTransfer {
  /** The fraction of chunks that are held, from 0 to 1. */
  readonly progress: number
  setMembers (members: readonly ChunkMember[]): void
  tick (now: number): TransferEffect[]
  chunkReceived (attempt: number, now: number): TransferEffect[]
  chunkPending (attempt: number, now: number): void
  failed (attempt: number, problem: FetchProblem, now: number): TransferEffect[]
  /** Extends the deadlines of fetches in flight by a time in which this process did not run, in milliseconds. */
  extendDeadlines (milliseconds: number): void
  cancel (): TransferEffect[]
}

/** A transfer that requests chunks from ancestors in a tree, which forward them as they receive them. */
export class Transfer implements ChunkTransfer {
  private readonly _manifest: Manifest
  private readonly _digest: string
  private readonly _policy: TransferPolicy
  private readonly _self: ChunkMember
  private _tree: ChunkTree
  private readonly _missing = new Set<number>()
  private readonly _chunkStates = new Map<number, ChunkState>()
  private readonly _pending = new Map<number, PendingFetch>()
  private readonly _penalties = new Map<string, Penalty>()
  private _nextAttempt = 1
  private _averageDuration = 0
  private _completed = 0
  private _whole = false

  /**
   * @param held The digests of chunks already held, from an earlier version or run, which are not fetched again.
   */
  constructor (self: ChunkMember, members: readonly ChunkMember[], manifestDigest: string, manifest: Manifest, held: ReadonlySet<string>, policy: TransferPolicy = defaultTransferPolicy) {
    this._self = self
    this._manifest = manifest
    this._digest = manifestDigest
    this._policy = policy
    this._tree = new ChunkTree(self, members, policy.originCopies, policy.strategy)
    manifest.chunks.forEach((chunk, index) => { if (!held.has(chunk.digest)) this._missing.add(index) })
  }

  /** The fraction of chunks that are held, from 0 to 1. */
  get progress (): number { return 1 - this._missing.size / this._manifest.chunks.length }

  /** The manifest digest of the version that is fetched. */
  get manifestDigest (): string { return this._digest }
  /** Whether every chunk is held and verified. */
  get whole (): boolean { return this._whole }

  /** Replaces the member list. Fetches in flight continue. */
  setMembers (members: readonly ChunkMember[]): void {
    this._tree = new ChunkTree(this._self, members, this._policy.originCopies, this._policy.strategy)
  }

  /**
   * Fills the window and times out overdue fetches. Must be called after each event and about every 50 ms.
   *
   * @example
   * for (const effect of transfer.tick(now)) carryOut(effect)
   */
  tick (now: number): TransferEffect[] {
    if (this._whole) return []
    if (this._missing.size === 0) {
      this._whole = true
      return [{ type: 'whole', manifestDigest: this._digest }]
    }
    const effects = [...this._expire(now), ...this._hedge(now)]
    let room = this._availableFetches(now)
    for (const index of this._missing) {
      if (room <= 0) break
      const fetch = this._start(index, now)
      if (fetch === undefined) continue
      effects.push(fetch)
      room -= 1
    }
    return effects
  }

  /** Records that a verified chunk has been stored. Several indexes may share its digest. */
  chunkReceived (attempt: number, now: number): TransferEffect[] {
    const pending = this._pending.get(attempt)
    if (pending === undefined) return []
    this._recordDuration(now - pending.startedAt)
    this._pending.delete(attempt)
    this._completed += 1
    this._recordResponse(pending.source, now)
    const digest = this._manifest.chunks[pending.index]?.digest
    const effects: TransferEffect[] = []
    for (const index of [...this._missing]) {
      if (this._manifest.chunks[index]?.digest !== digest) continue
      this._missing.delete(index)
      this._chunkStates.delete(index)
      effects.push(...this._abandonIndex(index))
    }
    return [...effects, ...this.tick(now)]
  }

  /** Extends the deadline of an attempt whose source signals that it holds or is fetching the chunk and will send it. */
  chunkPending (attempt: number, now: number): void {
    const pending = this._pending.get(attempt)
    if (pending !== undefined) pending.deadline = Math.max(pending.deadline, now + this._timeout(pending.source))
  }

  /**
   * Records a failed attempt. A peer that is dead or sends corrupt data is skipped for some time, and its fetches are
   * abandoned.
   */
  failed (attempt: number, problem: FetchProblem, now: number): TransferEffect[] {
    const pending = this._pending.get(attempt)
    if (pending === undefined) return []
    this._pending.delete(attempt)
    this._recordFailure(pending, problem, now)
    if (problem === 'not-yet') this._recordResponse(pending.source, now)
    const effects: TransferEffect[] = []
    const peerFault = problem === 'corrupt' || problem === 'unreachable' || problem === 'timed-out'
    if (peerFault && pending.source.kind === 'peer') effects.push(...this._penalise(pending.source.instance, now))
    return [...effects, ...this.tick(now)]
  }

  extendDeadlines (milliseconds: number): void {
    for (const pending of this._pending.values()) pending.deadline += milliseconds
  }

  /** Cancels the transfer of a version that is no longer wanted. */
  cancel (): TransferEffect[] {
    const effects = [...this._pending.keys()].map(attempt => ({ type: 'abandon', attempt }) as const)
    this._pending.clear()
    this._missing.clear()
    this._whole = true
    return effects
  }

  /**
   * The number of fetches that may be started. Slow fetches mostly wait for a source that does not have the chunk yet. They
   * use no memory here and would block the window, so they count only towards an enlarged one.
   */
  private _availableFetches (now: number): number {
    let recent = 0
    for (const pending of this._pending.values()) if (now - pending.startedAt < this._slowAfter()) recent += 1
    const enlarged = this._policy.window * WINDOW_FACTOR - this._pending.size
    return Math.min(this._policy.window - recent, enlarged)
  }

  /**
   * The age at which a fetch is slow. Until a window of chunks has arrived, the typical duration is unknown: on slow
   * links, a window takes seconds.
   */
  private _slowAfter (): number {
    if (this._completed < this._policy.window) return INITIAL_SLOW_MILLISECONDS
    return Math.max(SLOW_MILLISECONDS, SLOW_FACTOR * this._averageDuration)
  }

  /** Requests slow chunks from a second source as well. The first copy to arrive is kept. */
  private _hedge (now: number): TransferEffect[] {
    const effects: TransferEffect[] = []
    const slow = [...this._pending.values()].filter(pending => !pending.hedged && pending.source.kind === 'peer' && now - pending.startedAt >= HEDGE_FACTOR * this._slowAfter())
    for (const pending of slow.slice(0, MAX_HEDGES_PER_TICK)) {
      pending.hedged = true
      const chunk = this._manifest.chunks[pending.index]
      const instance = pending.source.kind === 'peer' ? pending.source.instance : ''
      const position = this._tree.position(pending.index, chunk?.digest ?? '')
      const state = this._chunkState(pending.index, now)
      const other = position.ancestors.find(ancestor => ancestor !== instance && this._usable(ancestor, state, now))
      if (chunk !== undefined && other !== undefined) effects.push(this._request(pending.index, { kind: 'peer', instance: other }, true, now))
    }
    return effects
  }

  private _start (index: number, now: number): TransferEffect | undefined {
    const chunk = this._manifest.chunks[index]
    if (chunk === undefined || this._isInFlight(index)) return undefined
    const state = this._chunkState(index, now)
    if (now < state.retryAt) return undefined
    const source = this._source(index, chunk.digest, state, now)
    if (source === undefined) return undefined
    return this._request(index, source, false, now)
  }

  private _request (index: number, source: ChunkSource, hedged: boolean, now: number): TransferEffect {
    const { digest = '', bytes = 0 } = this._manifest.chunks[index] ?? {}
    const attempt = this._nextAttempt++
    const timeout = this._timeout(source)
    this._pending.set(attempt, { index, attempt, source, startedAt: now, deadline: now + timeout, hedged })
    return { type: 'fetch', attempt, index, digest, bytes, source, timeout }
  }

  private _source (index: number, digest: string, state: ChunkState, now: number): ChunkSource | undefined {
    const position = this._tree.position(index, digest)
    if (position.ancestors.length === 0) return this._upstream(state)
    for (const instance of [...position.ancestors, ...position.fallbacks]) {
      if (this._usable(instance, state, now)) return { kind: 'peer', instance }
    }
    state.unservedSince ??= now
    if (now - state.unservedSince >= ORIGIN_FIRST_WAIT_MILLISECONDS + position.rank * this._policy.originStagger) return this._upstream(state)
    for (const instance of this._tree.zonePeers()) {
      if (this._usable(instance, state, now)) return { kind: 'peer', instance }
    }
    state.failures.clear()
    state.retryAt = now + RETRY_MILLISECONDS
    return undefined
  }

  /**
   * Alternates between the origin and the store, choosing the one with fewer failed attempts for the chunk and the
   * origin on a tie.
   */
  private _upstream (state: ChunkState): ChunkSource {
    const store = state.failures.get('store') ?? 0
    const origin = state.failures.get('origin') ?? 0
    return origin <= store ? { kind: 'origin' } : { kind: 'store' }
  }

  private _usable (instance: string, state: ChunkState, now: number): boolean {
    if ((this._penalties.get(instance)?.until ?? 0) > now) return false
    return (state.failures.get(instance) ?? 0) < MAX_FAILURES_PER_SOURCE
  }

  private _chunkState (index: number, now: number): ChunkState {
    const existing = this._chunkStates.get(index)
    if (existing !== undefined) return existing
    const state: ChunkState = { unservedSince: undefined, failures: new Map(), retryAt: now }
    this._chunkStates.set(index, state)
    return state
  }

  private _recordFailure (pending: PendingFetch, problem: FetchProblem, now: number): void {
    const state = this._chunkState(pending.index, now)
    const name = pending.source.kind === 'peer' ? pending.source.instance : pending.source.kind
    const count = (state.failures.get(name) ?? 0) + 1
    const temporary = problem === 'not-yet' || problem === 'not-held'
    state.failures.set(name, temporary ? count : Math.max(count, MAX_FAILURES_PER_SOURCE))
    // A peer without any chunk may not have received the configuration of the version yet, which takes milliseconds.
    if (pending.source.kind !== 'peer' || problem === 'not-held') state.retryAt = now + RETRY_MILLISECONDS
  }

  private _penalise (instance: string, now: number): TransferEffect[] {
    const count = this._penalties.get(instance)?.count ?? 0
    const penalty = Math.min(MAX_PENALTY_MILLISECONDS, this._policy.penalty * 2 ** count)
    this._penalties.set(instance, { until: now + penalty, count: count + 1 })
    const effects: TransferEffect[] = []
    for (const pending of [...this._pending.values()]) {
      if (pending.source.kind !== 'peer' || pending.source.instance !== instance) continue
      this._pending.delete(pending.attempt)
      effects.push({ type: 'abandon', attempt: pending.attempt })
    }
    return effects
  }

  private _expire (now: number): TransferEffect[] {
    const late = [...this._pending.values()].filter(pending => pending.deadline <= now)
    const effects: TransferEffect[] = []
    for (const pending of late) {
      if (!this._pending.delete(pending.attempt)) continue
      effects.push({ type: 'abandon', attempt: pending.attempt })
      this._recordFailure(pending, 'timed-out', now)
      if (pending.source.kind === 'peer') effects.push(...this._penalise(pending.source.instance, now))
    }
    return effects
  }

  /**
   * Clears the penalty of a source that has responded and extends the deadlines of its other fetches, since it is
   * serving its queue.
   */
  private _recordResponse (source: ChunkSource, now: number): void {
    if (source.kind === 'peer') this._penalties.delete(source.instance)
    for (const pending of this._pending.values()) {
      if (sameSource(pending.source, source)) pending.deadline = Math.max(pending.deadline, now + this._timeout(source))
    }
  }

  private _abandonIndex (index: number): TransferEffect[] {
    const effects: TransferEffect[] = []
    for (const pending of [...this._pending.values()]) {
      if (pending.index !== index) continue
      this._pending.delete(pending.attempt)
      effects.push({ type: 'abandon', attempt: pending.attempt })
    }
    return effects
  }

  private _isInFlight (index: number): boolean {
    for (const pending of this._pending.values()) if (pending.index === index) return true
    return false
  }

  private _recordDuration (duration: number): void {
    this._averageDuration = this._averageDuration === 0 ? duration : this._averageDuration + SMOOTHING * (duration - this._averageDuration)
  }

  /**
   * Peers signal progress while a chunk is pending, but on a loaded machine or link the signals are late too, so the minimum
   * timeout allows for that. The origin sends no signals and is limited by its link, so its timeout is longer.
   */
  private _timeout (source: ChunkSource): number {
    if (source.kind === 'peer') return this._policy.minTimeout
    return ORIGIN_TIMEOUT_FACTOR * Math.max(this._policy.minTimeout, this._averageDuration)
  }
}

function sameSource (left: ChunkSource, right: ChunkSource): boolean {
  if (left.kind !== 'peer' || right.kind !== 'peer') return left.kind === right.kind
  return left.instance === right.instance
}
