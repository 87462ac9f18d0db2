/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides, for one member, which chunk to ask of whom and when: the window of chunks in flight, the ladder of
 * ancestors when a parent is dead, slow or corrupt, the staggered way to the store and the origin, and the end of a
 * transfer whose version changed in mid-copy. It moves no bytes: effects say what the shell is to do.
 */
import { ChunkTree, type ChunkMember, type ChunkSource, type SpreadStrategy } from './chunk-tree.js'
import type { Manifest } from './documents.js'

/** What the shell is to do. */
export type TransferEffect =
  | { readonly type: 'fetch', readonly attempt: number, readonly index: number, readonly digest: string, readonly bytes: number, readonly source: ChunkSource, readonly timeout: number }
  | { readonly type: 'abandon', readonly attempt: number }
  | { readonly type: 'whole', readonly manifestDigest: string }

/** Why an attempt gave no chunk. */
export type FetchProblem = 'corrupt' | 'timed-out' | 'unreachable' | 'not-yet' | 'not-held'

/** Bounds of a transfer; times in milliseconds. */
export interface TransferPolicy {
  /** Chunks in flight at once: bounds the memory that a transfer takes. */
  readonly window: number
  readonly strategy: SpreadStrategy
  /** Members that read each chunk from the origin when nothing fails. */
  readonly originCopies: number
  /** Added wait, for each rank in the zone, before a member may turn to the store or origin. */
  readonly originStagger: number
  /** How long a peer that failed is passed over. */
  readonly penalty: number
  /** The least time that an attempt gets. */
  readonly leastTimeout: number
}

/** The policy that the daemons use unless the settings say otherwise. */
export const defaultTransferPolicy: TransferPolicy = {
  window: 32,
  strategy: 'rotation',
  originCopies: 1,
  originStagger: 300,
  penalty: 5_000,
  leastTimeout: 3_000
}

interface Flight {
  readonly index: number
  readonly attempt: number
  readonly source: ChunkSource
  readonly startedAt: number
  deadline: number
  /** Whether a second source was asked because this one takes long. */
  hedged: boolean
}

interface Penalty {
  readonly until: number
  readonly count: number
}

interface Want {
  /** When no ancestor could be asked for the first time; nothing until then. */
  strandedSince: number | undefined
  /** Sources that gave nothing for this chunk, with how often. */
  readonly tried: Map<string, number>
  notBefore: number
}

/** How often one source may say that it has no chunk yet before the next is asked. */
const NOT_YET_PATIENCE = 3
/** The origin gets so many times the usual, since it gives no signs. */
const TIMEOUT_FACTOR = 6
const SMOOTHING = 0.2
/** How long a chunk whose ancestors all failed is waited for before the origin is asked, in milliseconds, rank 0. */
const ORIGIN_FIRST_WAIT = 600
/** Before a source that had nothing is asked again, in milliseconds. */
const RETRY_PAUSE = 150
/** Penalties double up to this, in milliseconds. */
const LONGEST_PENALTY = 20_000
/** A flight older than this, and than twice the usual, is slow; in milliseconds. */
const SLOW_AFTER = 1_000
const SLOW_FACTOR = 2
const SLOW_WHILE_UNKNOWN = 10_000
/** By how much the window widens for slow flights. */
const WIDE_WINDOW = 4
/** A second source is asked when a flight is slow this many times over. */
const HEDGE_FACTOR = 2
/** Second sources asked in one turn. */
const MOST_HEDGES = 4

/** The transfer of one version to one member, as the shell drives it. */
export interface TransferCourse {
  /** The share of chunks that are held, 0 to 1. */
  readonly progress: number
  setMembers (members: readonly ChunkMember[]): void
  tick (now: number): TransferEffect[]
  arrived (attempt: number, now: number): TransferEffect[]
  coming (attempt: number, now: number): void
  failed (attempt: number, problem: FetchProblem, now: number): TransferEffect[]
  cancel (): TransferEffect[]
}

/** A transfer in which chunks are awaited at ancestors in a tree, which pass them on as they come. */
export class Transfer implements TransferCourse {
  private readonly _manifest: Manifest
  private readonly _digest: string
  private readonly _policy: TransferPolicy
  private readonly _self: ChunkMember
  private _tree: ChunkTree
  private readonly _missing = new Set<number>()
  private readonly _wants = new Map<number, Want>()
  private readonly _flights = new Map<number, Flight>()
  private readonly _penalties = new Map<string, Penalty>()
  private _nextAttempt = 1
  private _observed = 0
  private _arrivals = 0
  private _whole = false

  /**
   * @param held Digests that are held already, from an earlier version or an earlier start: not fetched again.
   */
  constructor (self: ChunkMember, members: readonly ChunkMember[], manifestDigest: string, manifest: Manifest, held: ReadonlySet<string>, policy: TransferPolicy = defaultTransferPolicy) {
    this._self = self
    this._manifest = manifest
    this._digest = manifestDigest
    this._policy = policy
    this._tree = new ChunkTree(self, members, policy.originCopies, policy.strategy)
    manifest.chunks.forEach((chunk, index) => { if (!held.has(chunk.digest)) this._missing.add(index) })
  }

  /** The share of chunks that are held, 0 to 1. */
  get progress (): number { return 1 - this._missing.size / this._manifest.chunks.length }

  /** The version that is fetched. */
  get manifestDigest (): string { return this._digest }
  /** Whether every chunk is held and verified. */
  get whole (): boolean { return this._whole }

  /** Takes a new member list; flights under way go on. */
  setMembers (members: readonly ChunkMember[]): void {
    this._tree = new ChunkTree(this._self, members, this._policy.originCopies, this._policy.strategy)
  }

  /**
   * Fills the window and times out what takes too long. Call it after each event and every 50 ms or so.
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
    let room = this._room(now)
    for (const index of this._missing) {
      if (room <= 0) break
      const fetch = this._start(index, now)
      if (fetch === undefined) continue
      effects.push(fetch)
      room -= 1
    }
    return effects
  }

  /** A verified chunk has been kept. Several indexes may share its digest. */
  arrived (attempt: number, now: number): TransferEffect[] {
    const flight = this._flights.get(attempt)
    if (flight === undefined) return []
    this._observe(now - flight.startedAt)
    this._flights.delete(attempt)
    this._arrivals += 1
    this._alive(flight.source, now)
    const digest = this._manifest.chunks[flight.index]?.digest
    const effects: TransferEffect[] = []
    for (const index of [...this._missing]) {
      if (this._manifest.chunks[index]?.digest !== digest) continue
      this._missing.delete(index)
      this._wants.delete(index)
      effects.push(...this._abandonIndex(index))
    }
    return [...effects, ...this.tick(now)]
  }

  /** The source of an attempt says that it holds the chunk, or awaits it itself, and will send it. */
  coming (attempt: number, now: number): void {
    const flight = this._flights.get(attempt)
    if (flight !== undefined) flight.deadline = Math.max(flight.deadline, now + this._timeout(flight.source))
  }

  /** An attempt gave nothing. A peer that is dead or corrupt is passed over for a while, with all its flights. */
  failed (attempt: number, problem: FetchProblem, now: number): TransferEffect[] {
    const flight = this._flights.get(attempt)
    if (flight === undefined) return []
    this._flights.delete(attempt)
    this._note(flight, problem, now)
    if (problem === 'not-yet') this._alive(flight.source, now)
    const effects: TransferEffect[] = []
    const blamed = problem === 'corrupt' || problem === 'unreachable' || problem === 'timed-out'
    if (blamed && flight.source.kind === 'peer') effects.push(...this._penalise(flight.source.instance, now))
    return [...effects, ...this.tick(now)]
  }

  /** Ends the transfer, for a version that is no longer wanted. */
  cancel (): TransferEffect[] {
    const effects = [...this._flights.keys()].map(attempt => ({ type: 'abandon', attempt }) as const)
    this._flights.clear()
    this._missing.clear()
    this._whole = true
    return effects
  }

  /**
   * Flights that may be started. Those that wait long at a source that does not have the chunk yet take no memory here
   * and would clog the window, so they count only against a wider one.
   */
  private _room (now: number): number {
    let young = 0
    for (const flight of this._flights.values()) if (now - flight.startedAt < this._slowAfter()) young += 1
    const wide = this._policy.window * WIDE_WINDOW - this._flights.size
    return Math.min(this._policy.window - young, wide)
  }

  /** Until a window's worth has come, nothing is known of what is usual: on slow links a window takes seconds. */
  private _slowAfter (): number {
    if (this._arrivals < this._policy.window) return SLOW_WHILE_UNKNOWN
    return Math.max(SLOW_AFTER, SLOW_FACTOR * this._observed)
  }

  /** A chunk that takes long is asked of a second source too; whichever comes first is kept. */
  private _hedge (now: number): TransferEffect[] {
    const effects: TransferEffect[] = []
    const slow = [...this._flights.values()].filter(flight => !flight.hedged && flight.source.kind === 'peer' && now - flight.startedAt >= HEDGE_FACTOR * this._slowAfter())
    for (const flight of slow.slice(0, MOST_HEDGES)) {
      flight.hedged = true
      const chunk = this._manifest.chunks[flight.index]
      const instance = flight.source.kind === 'peer' ? flight.source.instance : ''
      const place = this._tree.place(flight.index, chunk?.digest ?? '')
      const want = this._want(flight.index, now)
      const other = place.ancestors.find(ancestor => ancestor !== instance && this._usable(ancestor, want, now))
      if (chunk !== undefined && other !== undefined) effects.push(this._fly(flight.index, { kind: 'peer', instance: other }, true, now))
    }
    return effects
  }

  private _start (index: number, now: number): TransferEffect | undefined {
    const chunk = this._manifest.chunks[index]
    if (chunk === undefined || this._inFlight(index)) return undefined
    const want = this._want(index, now)
    if (now < want.notBefore) return undefined
    const source = this._source(index, chunk.digest, want, now)
    if (source === undefined) return undefined
    return this._fly(index, source, false, now)
  }

  private _fly (index: number, source: ChunkSource, hedged: boolean, now: number): TransferEffect {
    const { digest = '', bytes = 0 } = this._manifest.chunks[index] ?? {}
    const attempt = this._nextAttempt++
    const timeout = this._timeout(source)
    this._flights.set(attempt, { index, attempt, source, startedAt: now, deadline: now + timeout, hedged })
    return { type: 'fetch', attempt, index, digest, bytes, source, timeout }
  }

  private _source (index: number, digest: string, want: Want, now: number): ChunkSource | undefined {
    const place = this._tree.place(index, digest)
    if (place.ancestors.length === 0) return this._upstream(want)
    for (const instance of [...place.ancestors, ...place.substitutes]) {
      if (this._usable(instance, want, now)) return { kind: 'peer', instance }
    }
    want.strandedSince ??= now
    if (now - want.strandedSince >= ORIGIN_FIRST_WAIT + place.rank * this._policy.originStagger) return this._upstream(want)
    for (const instance of this._tree.neighbours()) {
      if (this._usable(instance, want, now)) return { kind: 'peer', instance }
    }
    want.tried.clear()
    want.notBefore = now + RETRY_PAUSE
    return undefined
  }

  /** The store goes first; the origin takes what the store refused. */
  private _upstream (want: Want): ChunkSource {
    const store = want.tried.get('store') ?? 0
    const origin = want.tried.get('origin') ?? 0
    return origin <= store ? { kind: 'origin' } : { kind: 'store' }
  }

  private _usable (instance: string, want: Want, now: number): boolean {
    if ((this._penalties.get(instance)?.until ?? 0) > now) return false
    return (want.tried.get(instance) ?? 0) < NOT_YET_PATIENCE
  }

  private _want (index: number, now: number): Want {
    const known = this._wants.get(index)
    if (known !== undefined) return known
    const want: Want = { strandedSince: undefined, tried: new Map(), notBefore: now }
    this._wants.set(index, want)
    return want
  }

  private _note (flight: Flight, problem: FetchProblem, now: number): void {
    const want = this._want(flight.index, now)
    const name = flight.source.kind === 'peer' ? flight.source.instance : flight.source.kind
    const count = (want.tried.get(name) ?? 0) + 1
    const patient = problem === 'not-yet' || problem === 'not-held'
    want.tried.set(name, patient ? count : Math.max(count, NOT_YET_PATIENCE))
    // A peer that holds nothing yet may not have heard of the version: settings reach peers within milliseconds.
    if (flight.source.kind !== 'peer' || problem === 'not-held') want.notBefore = now + RETRY_PAUSE
  }

  private _penalise (instance: string, now: number): TransferEffect[] {
    const count = this._penalties.get(instance)?.count ?? 0
    const penalty = Math.min(LONGEST_PENALTY, this._policy.penalty * 2 ** count)
    this._penalties.set(instance, { until: now + penalty, count: count + 1 })
    const effects: TransferEffect[] = []
    for (const flight of [...this._flights.values()]) {
      if (flight.source.kind !== 'peer' || flight.source.instance !== instance) continue
      this._flights.delete(flight.attempt)
      effects.push({ type: 'abandon', attempt: flight.attempt })
    }
    return effects
  }

  private _expire (now: number): TransferEffect[] {
    const late = [...this._flights.values()].filter(flight => flight.deadline <= now)
    const effects: TransferEffect[] = []
    for (const flight of late) {
      if (!this._flights.delete(flight.attempt)) continue
      effects.push({ type: 'abandon', attempt: flight.attempt })
      this._note(flight, 'timed-out', now)
      if (flight.source.kind === 'peer') effects.push(...this._penalise(flight.source.instance, now))
    }
    return effects
  }

  /** A source that has just answered serves its queue: what else waits there is not stalled. */
  private _alive (source: ChunkSource, now: number): void {
    if (source.kind === 'peer') this._penalties.delete(source.instance)
    for (const flight of this._flights.values()) {
      if (sameSource(flight.source, source)) flight.deadline = Math.max(flight.deadline, now + this._timeout(source))
    }
  }

  private _abandonIndex (index: number): TransferEffect[] {
    const effects: TransferEffect[] = []
    for (const flight of [...this._flights.values()]) {
      if (flight.index !== index) continue
      this._flights.delete(flight.attempt)
      effects.push({ type: 'abandon', attempt: flight.attempt })
    }
    return effects
  }

  private _inFlight (index: number): boolean {
    for (const flight of this._flights.values()) if (flight.index === index) return true
    return false
  }

  private _observe (took: number): void {
    this._observed = this._observed === 0 ? took : this._observed + SMOOTHING * (took - this._observed)
  }

  /**
   * Peers give signs while a chunk is to come, but on a crowded machine or link signs are late too. The origin gives none
   * and is limited by its link, so it gets more time.
   */
  private _timeout (source: ChunkSource): number {
    if (source.kind === 'peer') return this._policy.leastTimeout
    return TIMEOUT_FACTOR * Math.max(this._policy.leastTimeout, this._observed)
  }
}

function sameSource (left: ChunkSource, right: ChunkSource): boolean {
  if (left.kind !== 'peer' || right.kind !== 'peer') return left.kind === right.kind
  return left.instance === right.instance
}
