/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Brings the chunks of one version to one member by pulling: peers tell which chunks they hold, and the member asks for
 * a few at a time, so that its link never queues more than those. A chunk is read from the origin by the member whose
 * turn it is, and crosses into a zone by the one whose turn that is; others step in when that takes too long.
 */
import type { ChunkMember } from '../../chunk-tree.js'
import type { Manifest } from '../../documents.js'
import type { FetchProblem, TransferCourse, TransferEffect } from '../../transfer.js'
import { ChunkPlaces } from './chunk-places.js'
import { OriginSchedule, type OriginView } from './origin-schedule.js'
import { PullWindow } from './pull-window.js'
import { SwarmPeers } from './swarm-peers.js'
import { defaultSwarmPolicy, type SwarmLimit, type SwarmPolicy } from './swarm-policy.js'

interface Pull {
  readonly index: number
  /** Nothing for the origin. */
  readonly peer: string | undefined
  readonly startedAt: number
  readonly deadline: number
}

/** Before the origin is asked again for a chunk that it failed to give, in milliseconds. */
const ORIGIN_RETRY = 150
/** A pull that takes so many times the usual is asked of a second peer too, near the end of a transfer. */
const HEDGE_FACTOR = 3
/** Chunks missing at the end of a transfer for which hedging pays. */
const HEDGE_MISSING = 8

/** The transfer of one version to one member. */
export class ChunkSwarm implements TransferCourse {
  private readonly _missing = new Set<number>()
  private readonly _peers: SwarmPeers
  private readonly _pulls = new Map<number, Pull>()
  private readonly _originRetryAt = new Map<number, number>()
  /** When each chunk was first seen at a peer of another zone. */
  private readonly _seenAbroadAt = new Map<number, number>()
  /** Members that could not be reached lately: turns are not dealt to them. */
  private readonly _unreachable = new Set<string>()
  private _members: readonly ChunkMember[] = []
  private readonly _schedule: OriginSchedule
  private _places: ChunkPlaces
  private readonly _window: PullWindow
  private _nextAttempt = 1
  private _startedAt: number | undefined
  private _namedAt: number | undefined
  /** When the origin last gave nothing to this member. */
  private _originFailedAt = -Infinity
  private _whole = false
  private _limit: SwarmLimit
  private _arrivedAt = -Infinity

  /**
   * @param held Digests that are held already.
   * @param _draw Random numbers in [0, 1), to spread members over chunks and peers.
   */
  constructor (
    private readonly _self: ChunkMember,
    members: readonly ChunkMember[],
    private readonly _identity: string,
    private readonly _manifest: Manifest,
    held: ReadonlySet<string>,
    private readonly _draw: () => number,
    private readonly _policy: SwarmPolicy = defaultSwarmPolicy
  ) {
    this._places = new ChunkPlaces(_self, members)
    this._peers = new SwarmPeers(_self, _draw)
    this._schedule = new OriginSchedule(_manifest.chunks.length, _policy)
    this._window = new PullWindow(_policy.peerWindow)
    this._limit = { peers: _policy.peerWindow, origin: _policy.originWindow }
    this.setMembers(members)
    _manifest.chunks.forEach(({ digest }, index) => { if (!held.has(digest)) this._missing.add(index) })
  }

  /** The share of chunks that are held, 0 to 1. */
  get progress (): number { return 1 - this._missing.size / this._manifest.chunks.length }

  /** The share of chunks that are held here or by some peer, 0 to 1. */
  get known (): number {
    const unknown = [...this._missing].filter(index => !this._peers.hold(index))
    return 1 - unknown.length / this._manifest.chunks.length
  }

  /** Chunks that nobody is known to hold, in their order. */
  private _unheld (now: number): number[] {
    return [...this._missing].filter(index => !this._peers.somewhere(index, now)).sort((left, right) => left - right)
  }

  /** Chunks that some member holds, as far as is known here. */
  elsewhere (now: number): number[] {
    return this._manifest.chunks.flatMap((_chunk, index) => this._peers.somewhere(index, now) ? [index] : [])
  }

  /** Peers that hold every chunk. */
  get wholePeers (): string[] {
    return this._peers.holdersOf(this._manifest.chunks.length)
  }

  /** When a chunk came last; -Infinity for never. */
  get arrivedAt (): number { return this._arrivedAt }

  /** Bounds what is asked for at once below the policy; nothing for the policy's own bounds. */
  limit (limit: SwarmLimit | undefined): void {
    const { peerWindow, originWindow } = this._policy
    this._limit = { peers: Math.min(peerWindow, limit?.peers ?? peerWindow), origin: Math.min(originWindow, limit?.origin ?? originWindow) }
  }

  /** Sets when the version was named; without, it counts as named when the transfer began. */
  namedAt (time: number): void { this._namedAt = time }

  /** Takes a new member list. */
  setMembers (members: readonly ChunkMember[]): void {
    this._members = members
    this._deal()
    this._peers.add(members)
  }

  /** A peer answers. */
  peerJoined (instance: string): void { if (this._unreachable.delete(instance)) this._deal() }

  /** A peer told that it holds chunks. */
  peerHolds (instance: string, chunks: Iterable<number>): void {
    this._peers.holds(instance, chunks)
  }

  /** A peer told of chunks that another member holds. */
  heardOf (chunks: Iterable<number>, now: number): void { this._peers.hearOf(chunks, now) }

  /** A peer was lost: what it holds is unknown until it tells again. */
  peerLost (instance: string): void {
    this._peers.lost(instance)
    if (this._unreachable.has(instance)) return
    this._unreachable.add(instance)
    this._deal()
  }

  /**
   * Asks for what can be asked for, and times out what takes too long. Call it after each event and now and then.
   *
   * @example
   * for (const effect of swarm.tick(now)) carryOut(effect)
   */
  tick (now: number): TransferEffect[] {
    if (this._whole) return []
    this._startedAt ??= now
    if (this._missing.size === 0) {
      this._whole = true
      return [{ type: 'whole', manifestDigest: this._identity }]
    }
    const effects = this._expire(now)
    const view: OriginView = { now, namedAt: this._namedAt ?? this._startedAt, startedAt: this._startedAt, failedAt: this._originFailedAt, unheld: this._unheld(now) }
    for (const index of this._order()) {
      if (!this._hasRoom()) break
      const effect = this._start(index, view)
      if (effect !== undefined) effects.push(effect)
    }
    return effects
  }

  /** A verified chunk has been kept. */
  arrived (attempt: number, now: number): TransferEffect[] {
    const pull = this._end(attempt)
    if (pull === undefined) return []
    this._missing.delete(pull.index)
    this._arrivedAt = now
    if (pull.peer !== undefined) {
      this._peers.delivered(pull.peer, now - pull.startedAt)
      this._window.took(now - pull.startedAt, now)
    }
    const others = [...this._pulls].filter(([, other]) => other.index === pull.index)
    for (const [other] of others) this._end(other)
    return [...others.map(([other]) => ({ type: 'abandon', attempt: other }) as const), ...this.tick(now)]
  }

  /** Signs of life do not matter here: a pull is small, and has its time. */
  coming (): void {}

  /** An attempt gave nothing. */
  failed (attempt: number, problem: FetchProblem, now: number): TransferEffect[] {
    const pull = this._end(attempt)
    if (pull === undefined) return []
    this._note(pull, problem, now)
    return this.tick(now)
  }

  /** Ends the transfer, for a version that is no longer wanted. */
  cancel (): TransferEffect[] {
    const effects = [...this._pulls.keys()].map(attempt => ({ type: 'abandon', attempt }) as const)
    this._pulls.clear()
    this._missing.clear()
    this._whole = true
    return effects
  }

  private _deal (): void {
    this._places = new ChunkPlaces(this._self, this._members.filter(({ instance }) => !this._unreachable.has(instance)))
  }

  /**
   * Missing chunks: first those that this member is to bring into its zone, since others wait for them, then the others,
   * each from a random place on, so that members ask for different ones.
   */
  private _order (): number[] {
    const missing = [...this._missing]
    const start = Math.floor(this._draw() * missing.length)
    const turned = [...missing.slice(start), ...missing.slice(0, start)]
    const own = turned.filter(index => this._places.turn(index).inZone === 0)
    return [...own, ...turned.filter(index => this._places.turn(index).inZone > 0)]
  }

  private _hasRoom (): boolean {
    return this._pulls.size < this._peerRoom() + this._limit.origin
  }

  private _peerRoom (): number { return Math.min(this._limit.peers, this._window.size) }

  private _start (index: number, view: OriginView): TransferEffect | undefined {
    const { now } = view
    const flying = [...this._pulls.values()].filter(pull => pull.index === index)
    if (flying.length > 0) return this._hedge(index, flying, now)
    const peer = this._peerFor(index, now)
    if (peer !== undefined) return this._count(false) < this._peerRoom() ? this._pull(index, peer, now) : undefined
    return this._mayReadOrigin(index, view) ? this._pull(index, undefined, now) : undefined
  }

  /** Near the end, one slow source must not hold up the whole version. */
  private _hedge (index: number, flying: readonly Pull[], now: number): TransferEffect | undefined {
    const [first] = flying
    if (flying.length > 1 || first?.peer === undefined || this._missing.size > HEDGE_MISSING) return undefined
    const usual = this._peers.usualTook
    if (usual === 0 || now - first.startedAt < HEDGE_FACTOR * usual) return undefined
    const other = this._peerFor(index, now, first.peer)
    return other === undefined ? undefined : this._pull(index, other, now)
  }

  /** The holder that is to be asked: of the own zone if there is one, else of another when this member may bring it in. */
  private _peerFor (index: number, now: number, except = ''): string | undefined {
    const holders = this._peers.sources(index, now, except)
    const own = holders.filter(({ availabilityZone }) => availabilityZone === this._self.availabilityZone)
    if (own.length > 0) return this._peers.leastBusy(own, this._places.predecessor)
    if (holders.length === 0) return undefined
    const seenAt = this._seenAbroadAt.get(index) ?? now
    this._seenAbroadAt.set(index, seenAt)
    const { inZone } = this._places.turn(index)
    return now - seenAt >= inZone * this._policy.zoneStagger ? this._peers.leastBusy(holders, this._places.predecessor) : undefined
  }

  private _mayReadOrigin (index: number, view: OriginView): boolean {
    if (this._count(true) >= this._limit.origin || view.now < (this._originRetryAt.get(index) ?? -Infinity)) return false
    return this._schedule.mayRead(index, this._places.turn(index).overall, view)
  }

  private _count (origin: boolean): number {
    let count = 0
    for (const { peer } of this._pulls.values()) if ((peer === undefined) === origin) count += 1
    return count
  }

  private _pull (index: number, peer: string | undefined, now: number): TransferEffect {
    const attempt = this._nextAttempt++
    const timeout = peer === undefined ? this._policy.originTimeout : this._policy.peerTimeout
    this._pulls.set(attempt, { index, peer, startedAt: now, deadline: now + timeout })
    const known = peer === undefined ? undefined : this._peers.get(peer)
    if (known !== undefined) known.outstanding += 1
    const { digest = '', bytes = 0 } = this._manifest.chunks[index] ?? {}
    const source = peer === undefined ? { kind: 'origin' } as const : { kind: 'peer', instance: peer } as const
    return { type: 'fetch', attempt, index, digest, bytes, source, timeout }
  }

  private _end (attempt: number): Pull | undefined {
    const pull = this._pulls.get(attempt)
    if (pull === undefined) return undefined
    this._pulls.delete(attempt)
    const peer = pull.peer === undefined ? undefined : this._peers.get(pull.peer)
    if (peer !== undefined) peer.outstanding -= 1
    return pull
  }

  private _expire (now: number): TransferEffect[] {
    const late = [...this._pulls].filter(([, pull]) => pull.deadline <= now)
    return late.map(([attempt, pull]) => {
      this._end(attempt)
      this._window.took(now - pull.startedAt, now)
      this._note(pull, 'timed-out', now)
      return { type: 'abandon', attempt } as const
    })
  }

  private _note ({ index, peer: name }: Pull, problem: FetchProblem, now: number): void {
    if (name === undefined) {
      this._originRetryAt.set(index, now + ORIGIN_RETRY)
      if (problem !== 'corrupt') this._originFailedAt = now
      return
    }
    // A piece may turn bad where it lies: its holder then says that it has none.
    if (problem === 'not-held' || problem === 'corrupt') this._peers.lacks(name, index)
    if (problem !== 'not-held') this._peers.failed(name, now)
  }
}
