/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Transfers the chunks of one version to one member by pulling. Peers announce the chunks that they hold, and the member requests a
 * few at a time, which bounds the queue on its link. Each chunk is read from the origin by the member assigned to it, and is pulled
 * into each zone by the member assigned there; other members take over if that takes too long.
 */
import type { ChunkMember } from '../../chunk-tree.js'
import type { Manifest } from '../../documents.js'
import type { FetchProblem, ChunkTransfer, TransferEffect } from '../../transfer.js'
import { ChunkAssignment, type ChunkRanks } from './chunk-assignment.js'
import { OriginSchedule, type OriginView } from './origin-schedule.js'
import { PullWindow } from './pull-window.js'
import { placesByDigest } from './staging-plan.js'
import { SwarmPeers, type SwarmPeer } from './swarm-peers.js'
import { defaultSwarmPolicy, type SwarmLimit, type SwarmPolicy } from './swarm-policy.js'

interface Pull {
  readonly index: number
  /** The peer's instance; `undefined` if the chunk is read from the origin. */
  readonly peer: string | undefined
  startedAt: number
  deadline: number
}

/** Delay before a chunk is requested again from the origin after a failure, in milliseconds. */
const ORIGIN_RETRY_DELAY = 150
/** Near the end of a transfer, a pull that takes longer than this multiple of the median is hedged by a request to a second peer. */
const HEDGE_FACTOR = 3
/** Pulls are hedged only while at most this many chunks are missing. */
const HEDGE_MAX_MISSING = 8

/** The transfer of one version to one member. */
export class ChunkSwarm implements ChunkTransfer {
  private readonly _missing = new Set<number>()
  /** The indexes of each chunk. The first one is requested for all. */
  private readonly _indexes: ReadonlyMap<string, readonly number[]>
  private readonly _peers: SwarmPeers
  private readonly _pulls = new Map<number, Pull>()
  private readonly _originRetryAt = new Map<number, number>()
  /** Time at which each chunk was first available from a peer in another zone, but from none in the member's own zone. */
  private readonly _seenInOtherZoneAt = new Map<number, number>()
  /** Members that are currently unreachable and get no chunks assigned. */
  private readonly _unreachable = new Set<string>()
  private _members: readonly ChunkMember[] = []
  /** The members that chunks are assigned to; `undefined` for all. */
  private _readers: ReadonlySet<string> | undefined
  private readonly _originSchedule: OriginSchedule
  private _assignment: ChunkAssignment
  private _assignedCount = 0
  private readonly _window: PullWindow
  private _nextAttempt = 1
  private _startedAt: number | undefined
  private _publishedAt: number | undefined
  /** Time of the last failed read from the origin by this member. */
  private _originFailedAt = -Infinity
  private _complete = false
  private _limit: SwarmLimit
  private _lastChunkAt = -Infinity

  /**
   * @param held Digests of the chunks that are already held.
   * @param _draw Returns random numbers in [0, 1), to spread members over chunks and peers.
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
    this._indexes = placesByDigest(_manifest.chunks.map(({ digest }) => digest))
    this._assignment = new ChunkAssignment(_self, members)
    this._peers = new SwarmPeers(_self, _draw)
    this._originSchedule = new OriginSchedule(_manifest.chunks.length, _policy)
    this._window = new PullWindow(_policy.peerWindow)
    this._limit = { peers: _policy.peerWindow, origin: _policy.originWindow }
    this.setMembers(members)
    _manifest.chunks.forEach(({ digest }, index) => { if (!held.has(digest)) this._missing.add(index) })
  }

  /** The share of chunks that this member holds, 0 to 1. */
  get progress (): number { return 1 - this._missing.size / this._manifest.chunks.length }

  /** The share of chunks that this member or a peer holds, 0 to 1. */
  get availableShare (): number {
    const unavailable = [...this._missing].filter(index => !this._peers.isHeld(index))
    return 1 - unavailable.length / this._manifest.chunks.length
  }

  /** Returns the chunks that no member is known to hold, in ascending order. */
  private _unheld (now: number): number[] {
    return this._missingChunks().filter(index => !this._peers.isHeldOrReported(index, now)).sort((left, right) => left - right)
  }

  /** Returns the chunks that some other member is known to hold. */
  elsewhere (now: number): number[] {
    return this._manifest.chunks.flatMap((_chunk, index) => this._peers.isHeldOrReported(index, now) ? [index] : [])
  }

  /** Peers that hold every chunk. */
  get completePeers (): string[] {
    return this._peers.peersWithChunkCount(this._manifest.chunks.length)
  }

  /** Time at which the last chunk was received; -Infinity if none was. */
  get lastChunkAt (): number { return this._lastChunkAt }

  /** Limits the concurrent requests further than the policy does; `undefined` restores the policy's own bounds. */
  limit (limit: SwarmLimit | undefined): void {
    const { peerWindow, originWindow } = this._policy
    this._limit = { peers: Math.min(peerWindow, limit?.peers ?? peerWindow), origin: Math.min(originWindow, limit?.origin ?? originWindow) }
  }

  /** Sets the time at which the version was published. The default is the start of the transfer. */
  setPublishedAt (time: number): void { this._publishedAt = time }

  /** Replaces the member list. */
  setMembers (members: readonly ChunkMember[]): void {
    this._members = members
    this._reassign()
    this._peers.add(members)
  }

  /**
   * Restricts the members that chunks are assigned to, while the others transfer another version first; `undefined` removes the
   * restriction. Without it, members wait for chunks that the assigned ones request late.
   */
  setReaders (instances: ReadonlySet<string> | undefined): void {
    this._readers = instances
    this._reassign()
  }

  /** Records that a peer is reachable. */
  peerJoined (instance: string): void { if (this._unreachable.delete(instance)) this._reassign() }

  /** Records a peer's announcement of chunks that it holds. */
  peerHolds (instance: string, chunks: Iterable<number>): void {
    this._peers.addChunks(instance, chunks)
  }

  /** Records a peer's report of chunks that another member holds. */
  peerReports (chunks: Iterable<number>, now: number): void { this._peers.addReport(chunks, now) }

  /** Records the loss of a peer: its chunks are unknown until it announces them again. */
  peerLost (instance: string): void {
    this._peers.removeAllChunks(instance)
    if (this._unreachable.has(instance)) return
    this._unreachable.add(instance)
    this._reassign()
  }

  /**
   * Starts all requests that are currently allowed, and times out overdue ones. Must be called after each event and periodically.
   *
   * @example
   * for (const effect of swarm.tick(now)) carryOut(effect)
   */
  tick (now: number): TransferEffect[] {
    if (this._complete) return []
    this._startedAt ??= now
    if (this._missing.size === 0) {
      this._complete = true
      return [{ type: 'whole', manifestDigest: this._identity }]
    }
    const effects = this._expirePulls(now)
    const view: OriginView = { now, publishedAt: this._publishedAt ?? this._startedAt, startedAt: this._startedAt, failedAt: this._originFailedAt, unheld: this._unheld(now) }
    for (const index of this._requestOrder()) {
      if (!this._hasCapacity()) break
      const effect = this._start(index, view)
      if (effect !== undefined) effects.push(effect)
    }
    return effects
  }

  /** Records that a chunk was received, verified and stored, for all its indexes. */
  chunkReceived (attempt: number, now: number): TransferEffect[] {
    const pull = this._removePull(attempt)
    if (pull === undefined) return []
    for (const index of this._indexesOf(pull.index)) this._missing.delete(index)
    this._lastChunkAt = now
    if (pull.peer !== undefined) {
      this._peers.succeeded(pull.peer, now - pull.startedAt)
      this._window.record(now - pull.startedAt, now)
    }
    const others = [...this._pulls].filter(([, other]) => other.index === pull.index)
    for (const [other] of others) this._removePull(other)
    return [...others.map(([other]) => ({ type: 'abandon', attempt: other }) as const), ...this.tick(now)]
  }

  /** Ignores progress within a pull: pulls are small and have a fixed timeout. */
  chunkPending (): void {}

  /** Records that an attempt failed. */
  failed (attempt: number, problem: FetchProblem, now: number): TransferEffect[] {
    const pull = this._removePull(attempt)
    if (pull === undefined) return []
    this._recordFailure(pull, problem, now)
    return this.tick(now)
  }

  /** Shifts the starts as well: the time in which this process did not run says nothing about the speed of peers. */
  extendDeadlines (milliseconds: number): void {
    for (const pull of this._pulls.values()) {
      pull.startedAt += milliseconds
      pull.deadline += milliseconds
    }
  }

  /** Cancels the transfer of a version that is no longer wanted. */
  cancel (): TransferEffect[] {
    const effects = [...this._pulls.keys()].map(attempt => ({ type: 'abandon', attempt }) as const)
    this._pulls.clear()
    this._missing.clear()
    this._complete = true
    return effects
  }

  private _reassign (): void {
    const assigned = this._members.filter(({ instance }) => !this._unreachable.has(instance) && this._readers?.has(instance) !== false)
    this._assignment = new ChunkAssignment(this._self, assigned)
    this._assignedCount = assigned.length
  }

  /** Returns this member's ranks for a chunk; a member that no chunk is assigned to comes after all others. */
  private _ranks (index: number): Pick<ChunkRanks, 'inZone' | 'overall'> {
    const ranks = this._assignment.ranks(index)
    return this._readers?.has(this._self.instance) === false ? { inZone: ranks.inZone + 1, overall: ranks.overall + this._assignedCount } : ranks
  }

  /**
   * Returns the missing chunks in the order in which they are requested: first those that this member pulls into its zone, since others
   * wait for them, then the rest. Both start at a random position, so that members request different chunks.
   */
  private _requestOrder (): number[] {
    const missing = this._missingChunks()
    const start = Math.floor(this._draw() * missing.length)
    const rotated = [...missing.slice(start), ...missing.slice(0, start)]
    const own = rotated.filter(index => this._ranks(index).inZone === 0)
    return [...own, ...rotated.filter(index => this._ranks(index).inZone > 0)]
  }

  /** Returns the first index of each missing chunk. */
  private _missingChunks (): number[] {
    return [...this._missing].filter(index => this._indexesOf(index)[0] === index)
  }

  /** Returns all indexes whose chunk has the same bytes. */
  private _indexesOf (index: number): readonly number[] {
    return this._indexes.get(this._manifest.chunks[index]?.digest ?? '') ?? [index]
  }

  private _hasCapacity (): boolean {
    return this._pulls.size < this._peerLimit() + this._limit.origin
  }

  private _peerLimit (): number { return Math.min(this._limit.peers, this._window.size) }

  private _start (index: number, view: OriginView): TransferEffect | undefined {
    const { now } = view
    const inFlight = [...this._pulls.values()].filter(pull => pull.index === index)
    if (inFlight.length > 0) return this._hedge(index, inFlight, now)
    const peer = this._peerFor(index, now)
    if (peer !== undefined) return this._countPulls(false) < this._peerLimit() ? this._pull(index, peer, now) : undefined
    return this._mayReadOrigin(index, view) ? this._pull(index, undefined, now) : undefined
  }

  /** Requests a slow chunk from a second peer near the end of a transfer, where one slow peer would delay the whole version. */
  private _hedge (index: number, inFlight: readonly Pull[], now: number): TransferEffect | undefined {
    const [first] = inFlight
    if (inFlight.length > 1 || first?.peer === undefined || this._missing.size > HEDGE_MAX_MISSING) return undefined
    const median = this._peers.medianPullTime
    if (median === 0 || now - first.startedAt < HEDGE_FACTOR * median) return undefined
    const other = this._peerFor(index, now, first.peer)
    return other === undefined ? undefined : this._pull(index, other, now)
  }

  /** Returns the peer to pull a chunk from: one of the member's own zone, else one of another zone if the member may pull it from there. */
  private _peerFor (index: number, now: number, except = ''): string | undefined {
    const holders = this._peers.sources(index, now, except)
    const own = holders.filter(({ availabilityZone }) => availabilityZone === this._self.availabilityZone)
    if (own.length > 0) return this._peers.fastest(this._idle(own, true), this._assignment.predecessor)
    if (holders.length === 0) return undefined
    const seenAt = this._seenInOtherZoneAt.get(index) ?? now
    this._seenInOtherZoneAt.set(index, seenAt)
    const { inZone } = this._ranks(index)
    return now - seenAt >= inZone * this._policy.zoneStagger ? this._peers.fastest(this._idle(holders, false), this._assignment.predecessor) : undefined
  }

  /**
   * Returns the peers with few enough pulls in flight. A peer sends its chunks one after the other, so further requests only wait behind
   * the first while others are idle. Without this bound, two fifths of the links of 100 agents are idle during a transfer, and half of
   * the agents hold 48 chunks after 7.3 s in place of 6.2 s (model of versions, 6.58 Mbit/s). A few peers share the whole window.
   */
  private _idle (peers: readonly SwarmPeer[], inZone: boolean): SwarmPeer[] {
    const pullsPerPeer = Math.ceil(this._policy.peerWindow / Math.max(1, this._peers.holderCount(inZone)))
    return peers.filter(({ outstanding }) => outstanding < pullsPerPeer)
  }

  private _mayReadOrigin (index: number, view: OriginView): boolean {
    if (this._countPulls(true) >= this._limit.origin || view.now < (this._originRetryAt.get(index) ?? -Infinity)) return false
    return this._originSchedule.mayRead(index, this._ranks(index).overall, view)
  }

  private _countPulls (origin: boolean): number {
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

  private _removePull (attempt: number): Pull | undefined {
    const pull = this._pulls.get(attempt)
    if (pull === undefined) return undefined
    this._pulls.delete(attempt)
    const peer = pull.peer === undefined ? undefined : this._peers.get(pull.peer)
    if (peer !== undefined) peer.outstanding -= 1
    return pull
  }

  private _expirePulls (now: number): TransferEffect[] {
    const overdue = [...this._pulls].filter(([, pull]) => pull.deadline <= now)
    return overdue.map(([attempt, pull]) => {
      this._removePull(attempt)
      this._window.record(now - pull.startedAt, now)
      this._recordFailure(pull, 'timed-out', now)
      return { type: 'abandon', attempt } as const
    })
  }

  private _recordFailure ({ index, peer: instance }: Pull, problem: FetchProblem, now: number): void {
    if (instance === undefined) {
      this._originRetryAt.set(index, now + ORIGIN_RETRY_DELAY)
      if (problem !== 'corrupt') this._originFailedAt = now
      return
    }
    // A stored chunk may become corrupt; its holder then replies that it does not hold it.
    if (problem === 'not-held' || problem === 'corrupt') this._peers.removeChunk(instance, index)
    if (problem !== 'not-held') this._peers.failed(instance, now)
  }
}
