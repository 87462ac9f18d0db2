/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The policy of a swarm: limits on concurrent requests, timeouts and take-over delays. */

/** Limits and timeouts of a swarm; times in milliseconds. */
export interface SwarmPolicy {
  /** Concurrent pulls from peers. */
  readonly peerWindow: number
  /** Concurrent reads from the origin. */
  readonly originWindow: number
  /** Timeout of a pull from a peer, after which the peer is avoided for a while. */
  readonly peerTimeout: number
  /** Timeout of a read from the origin. */
  readonly originTimeout: number
  /** Time in which the origin serves one copy. */
  readonly originCopyTime: number
  /** How long a chunk must be overdue at the origin before the member of the next rank reads it. */
  readonly takeoverDelay: number
  /** Additional delay per further rank. */
  readonly originStagger: number
  /** Delay per rank before a member pulls a chunk into its zone in place of the assigned member. */
  readonly zoneStagger: number
}

/**
 * The default policy of the daemons.
 *
 * Windows: a peer sends its chunks one after the other, so several must be requested to keep one in flight. With 15 members at
 * 5 Mbit/s each, peer and origin windows of 6 and 2 transfer a version of 2.4 MB in 5.2 s, 3 and 2 in 5.7 s, and 2 and 1 in 6.4 s, with
 * the same effect on concurrent responses. An origin window of 1 halves the time until the first chunks arrive over the origin's shared
 * link, so that peers can start to pull.
 *
 * Timeouts: a chunk of 24 KB takes 40 ms over the 5 Mbit/s link of a small instance and 220 ms over a throttled one. The origin serves
 * all members over 7 Mbit/s.
 *
 * Take-over: an assigned member needs up to 0.7 s for a chunk, since 24 reads share the origin's link. It learns of the version up to
 * 0.2 s after others, and announces its chunks every 60 ms. With a delay of 0.4 s, members take over from healthy ones, and 1.5 copies
 * leave the origin instead of 1.1. With the time of one and a half copies, three agents that cannot read delay a version on 47 members
 * past its deadline.
 */
export const defaultSwarmPolicy: SwarmPolicy = {
  peerWindow: 6, originWindow: 1, peerTimeout: 900, originTimeout: 2_500, originCopyTime: 2_000, takeoverDelay: 1_000, originStagger: 250, zoneStagger: 1_000
}

/** Limits on the concurrent requests of a swarm. */
export interface SwarmLimit {
  /** Pulls from peers. */
  readonly peers: number
  /** Reads from the origin. */
  readonly origin: number
}
