/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** One member's view of the peers that transfer the same version: the chunks that they hold, their latency and their failures. */
import type { ChunkMember } from '../../chunk-tree.js'

/** The state of one peer. */
export interface SwarmPeer {
  readonly instance: string
  readonly availabilityZone: string
  readonly held: Set<number>
  /** Pulls in flight from this peer. */
  outstanding: number
  /** Consecutive failures. */
  failures: number
  /** Time until which the peer is not used. */
  backOffUntil: number
  /** Exponentially weighted moving average of the peer's pull times, in milliseconds; 0 before the first chunk. */
  averagePullTime: number
}

/** Back-off after a peer's first failure and its upper bound, in milliseconds. It doubles with each consecutive failure. */
const INITIAL_BACK_OFF = 300
const MAX_BACK_OFF = 4_000
const PULL_TIME_SMOOTHING = 0.3
/**
 * How long an indirect report of a chunk is trusted, in milliseconds: half the time of a transfer. If no peer holds the chunk by then,
 * its holder is assumed to have left.
 */
const REPORT_LIFETIME = 2_500
/**
 * Cost factor of a pull from the predecessor in the zone's ring, relative to other peers. With a purely random choice, several peers
 * send to one member at once, whose link then delays requests by 50 to 150 ms, while other members receive nothing.
 */
const PREDECESSOR_COST = 0.25

/** The peers of one swarm. */
export class SwarmPeers {
  private readonly _peers = new Map<string, SwarmPeer>()
  /** Chunks that peers have reported at other members, with the time of the first report. */
  private readonly _reportedAt = new Map<number, number>()
  /** Number of peers that hold each chunk; chunks without a holder have no entry, or 0. */
  private readonly _holderCounts = new Map<number, number>()

  /**
   * @param _draw Returns random numbers in [0, 1), to spread pulls over peers.
   */
  constructor (private readonly _self: ChunkMember, private readonly _draw: () => number) {}

  /** Adds the members that are not yet known. */
  add (members: readonly ChunkMember[]): void {
    for (const { instance, availabilityZone } of members) {
      if (instance === this._self.instance || this._peers.has(instance)) continue
      this._peers.set(instance, { instance, availabilityZone, held: new Set(), outstanding: 0, failures: 0, backOffUntil: -Infinity, averagePullTime: 0 })
    }
  }

  get (instance: string): SwarmPeer | undefined { return this._peers.get(instance) }

  /** Records a peer's announcement of chunks that it holds. */
  addChunks (instance: string, chunks: Iterable<number>): void {
    const peer = this._peers.get(instance)
    if (peer === undefined) return
    for (const chunk of chunks) {
      if (peer.held.has(chunk)) continue
      peer.held.add(chunk)
      this._holderCounts.set(chunk, (this._holderCounts.get(chunk) ?? 0) + 1)
    }
  }

  /** Records a peer's report of chunks that another member holds. */
  addReport (chunks: Iterable<number>, now: number): void {
    for (const chunk of chunks) if (!this._reportedAt.has(chunk)) this._reportedAt.set(chunk, now)
  }

  /** Whether a peer is known to hold a chunk, or a recent report says that some member does. */
  isHeldOrReported (index: number, now: number): boolean {
    return this.isHeld(index) || now - (this._reportedAt.get(index) ?? -Infinity) < REPORT_LIFETIME
  }

  /** Records that a peer does not hold a chunk that it announced. */
  removeChunk (instance: string, index: number): void {
    if (this._peers.get(instance)?.held.delete(index) === true) this._holderCounts.set(index, (this._holderCounts.get(index) ?? 1) - 1)
  }

  /** Records the loss of a peer: its chunks are unknown until it announces them again. */
  removeAllChunks (instance: string): void {
    for (const index of [...this._peers.get(instance)?.held ?? []]) this.removeChunk(instance, index)
  }

  /** Whether some peer holds a chunk. */
  isHeld (index: number): boolean { return (this._holderCounts.get(index) ?? 0) > 0 }

  /** Returns the peers that hold exactly the given number of distinct chunks. */
  peersWithChunkCount (chunks: number): string[] {
    return [...this._peers.values()].filter(({ held }) => held.size === chunks).map(({ instance }) => instance)
  }

  /** Returns the number of peers in the member's zone, or in the others, that hold any chunk. */
  holderCount (inZone: boolean): number {
    let count = 0
    for (const { availabilityZone, held } of this._peers.values()) if ((availabilityZone === this._self.availabilityZone) === inZone && held.size > 0) count += 1
    return count
  }

  /** Returns the peers that a chunk can be pulled from, except one. */
  sources (index: number, now: number, except: string): SwarmPeer[] {
    return [...this._peers.values()].filter(({ instance, held, backOffUntil }) => instance !== except && held.has(index) && now >= backOffUntil)
  }

  /** Returns the peer with the lowest expected pull time, with a random factor that spreads members over peers. */
  fastest (peers: readonly SwarmPeer[], predecessor: string): string | undefined {
    let best: { readonly instance: string, readonly cost: number } | undefined
    for (const { instance, outstanding, averagePullTime } of peers) {
      const factor = instance === predecessor ? PREDECESSOR_COST : 1
      const cost = factor * (outstanding + 1) * Math.max(1, averagePullTime) * (1 + this._draw())
      if (best === undefined || cost < best.cost) best = { instance, cost }
    }
    return best?.instance
  }

  /** The median of the peers' average pull times, in milliseconds; 0 before the first chunk. */
  get medianPullTime (): number {
    const averages = [...this._peers.values()].map(({ averagePullTime }) => averagePullTime).filter(average => average > 0).sort((left, right) => left - right)
    return averages[Math.floor(averages.length / 2)] ?? 0
  }

  /** Records a successful pull and its duration. */
  succeeded (instance: string, milliseconds: number): void {
    const peer = this._peers.get(instance)
    if (peer === undefined) return
    peer.failures = 0
    peer.averagePullTime += PULL_TIME_SMOOTHING * (milliseconds - peer.averagePullTime)
  }

  /** Records a failed pull: the peer is not used during an exponentially increasing back-off. */
  failed (instance: string, now: number): void {
    const peer = this._peers.get(instance)
    if (peer === undefined) return
    peer.backOffUntil = now + Math.min(MAX_BACK_OFF, INITIAL_BACK_OFF * 2 ** peer.failures)
    peer.failures += 1
  }
}
