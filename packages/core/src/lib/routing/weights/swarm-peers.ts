/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What one member knows of the others that bring the same version: what they hold, and how well they deliver. */
import type { ChunkMember } from '../../chunk-tree.js'

/** One other member. */
export interface SwarmPeer {
  readonly instance: string
  readonly availabilityZone: string
  readonly held: Set<number>
  /** Chunks asked of it that have not come. */
  outstanding: number
  /** Failures in a row. */
  failures: number
  /** Until when it is passed over. */
  avoidUntil: number
  /** The time that its chunks take, smoothed. */
  took: number
}

/** A peer that failed is passed over for so long, doubling, up to the longest. In milliseconds. */
const FIRST_AVOIDANCE = 300
const LONGEST_AVOIDANCE = 4_000
const TOOK_SMOOTHING = 0.3
/**
 * A chunk that peers only heard of should be at one of them after this, in milliseconds: half of what a transfer takes. Then
 * its holder is taken for gone.
 */
const HEARSAY_LIFETIME = 2_500
/**
 * A pull from the predecessor in the ring of the zone counts as so much of one from another peer. With the choice by chance
 * alone several peers sent to one member at once, whose link then held requests up by 50 to 150 ms, and to others none did.
 */
const PREDECESSOR_COST = 0.25

/** The other members of one swarm. */
export class SwarmPeers {
  private readonly _peers = new Map<string, SwarmPeer>()
  /** Chunks that peers heard of, and when the first of them told it. */
  private readonly _heardOf = new Map<number, number>()
  /** How many peers hold each chunk; chunks that none holds have no entry, or 0. */
  private readonly _holders = new Map<number, number>()

  /**
   * @param _draw Random numbers in [0, 1), to spread pulls over peers.
   */
  constructor (private readonly _self: ChunkMember, private readonly _draw: () => number) {}

  /** Adds the members that are not known yet. */
  add (members: readonly ChunkMember[]): void {
    for (const { instance, availabilityZone } of members) {
      if (instance === this._self.instance || this._peers.has(instance)) continue
      this._peers.set(instance, { instance, availabilityZone, held: new Set(), outstanding: 0, failures: 0, avoidUntil: -Infinity, took: 0 })
    }
  }

  get (instance: string): SwarmPeer | undefined { return this._peers.get(instance) }

  /** A peer told that it holds chunks. */
  holds (instance: string, chunks: Iterable<number>): void {
    const peer = this._peers.get(instance)
    if (peer === undefined) return
    for (const chunk of chunks) {
      if (peer.held.has(chunk)) continue
      peer.held.add(chunk)
      this._holders.set(chunk, (this._holders.get(chunk) ?? 0) + 1)
    }
  }

  /** A peer told of chunks that some other member holds. */
  hearOf (chunks: Iterable<number>, now: number): void {
    for (const chunk of chunks) if (!this._heardOf.has(chunk)) this._heardOf.set(chunk, now)
  }

  /** Whether some member holds a chunk, as far as is known here: a peer, or one that a peer heard of lately. */
  somewhere (index: number, now: number): boolean {
    return this.hold(index) || now - (this._heardOf.get(index) ?? -Infinity) < HEARSAY_LIFETIME
  }

  /** A peer does not hold a chunk that it told of. */
  lacks (instance: string, index: number): void {
    if (this._peers.get(instance)?.held.delete(index) === true) this._holders.set(index, (this._holders.get(index) ?? 1) - 1)
  }

  /** A peer was lost: what it holds is unknown until it tells again. */
  lost (instance: string): void {
    for (const index of [...this._peers.get(instance)?.held ?? []]) this.lacks(instance, index)
  }

  /** Whether some peer holds a chunk. */
  hold (index: number): boolean { return (this._holders.get(index) ?? 0) > 0 }

  /** Peers that hold a number of different chunks. */
  holdersOf (chunks: number): string[] {
    return [...this._peers.values()].filter(({ held }) => held.size === chunks).map(({ instance }) => instance)
  }

  /** Peers that may be asked for a chunk, all but one. */
  sources (index: number, now: number, except: string): SwarmPeer[] {
    return [...this._peers.values()].filter(({ instance, held, avoidUntil }) => instance !== except && held.has(index) && now >= avoidUntil)
  }

  /** The one that is expected to deliver soonest, with some chance so that members spread. */
  leastBusy (peers: readonly SwarmPeer[], predecessor: string): string | undefined {
    let best: { readonly instance: string, readonly cost: number } | undefined
    for (const { instance, outstanding, took } of peers) {
      const share = instance === predecessor ? PREDECESSOR_COST : 1
      const cost = share * (outstanding + 1) * Math.max(1, took) * (1 + this._draw())
      if (best === undefined || cost < best.cost) best = { instance, cost }
    }
    return best?.instance
  }

  /** The time that a chunk takes from the middle one of the peers that delivered, in milliseconds; 0 while none did. */
  get usualTook (): number {
    const known = [...this._peers.values()].map(({ took }) => took).filter(took => took > 0).sort((left, right) => left - right)
    return known[Math.floor(known.length / 2)] ?? 0
  }

  /** A chunk came after so many milliseconds. */
  delivered (instance: string, milliseconds: number): void {
    const peer = this._peers.get(instance)
    if (peer === undefined) return
    peer.failures = 0
    peer.took += TOOK_SMOOTHING * (milliseconds - peer.took)
  }

  /** A chunk did not come: the peer is passed over, longer from failure to failure. */
  failed (instance: string, now: number): void {
    const peer = this._peers.get(instance)
    if (peer === undefined) return
    peer.avoidUntil = now + Math.min(LONGEST_AVOIDANCE, FIRST_AVOIDANCE * 2 ** peer.failures)
    peer.failures += 1
  }
}
