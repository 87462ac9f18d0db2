/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The bounds of a swarm: how much it asks for at once, and how long it waits for it. */

/** Bounds of a swarm; times in milliseconds. */
export interface SwarmPolicy {
  /** Chunks asked of peers at once. */
  readonly peerWindow: number
  /** Chunks asked of the origin at once. */
  readonly originWindow: number
  /** A peer that has not delivered a chunk after this is passed over. */
  readonly peerTimeout: number
  readonly originTimeout: number
  /** Time that the origin takes for one copy. */
  readonly originCopyTime: number
  /** A chunk that is overdue at the origin for so long is read by the member whose turn is next. */
  readonly stepInPatience: number
  /** Added wait, for each further turn. */
  readonly originStagger: number
  /** The same for the way into a zone. */
  readonly zoneStagger: number
}

/**
 * The policy that daemons use. Windows: peers send one chunk after the other, so several must be asked for one to be on
 * its way; measured on 15 members with 5 Mbit/s each, six and two bring a version of 2.4 MB in 5.2 s, three and two in
 * 5.7 s, two and one in 6.4 s, and answers beside them fare alike. One at a time from the origin, whose link all share, lets the
 * first chunks come in half the time, so that peers have something to pull. Time-outs: a chunk of 24 KB takes 40 ms over the 5 Mbit/s link of a small instance and
 * 220 ms over a squeezed one; the origin serves all at once over 7 Mbit/s. A member whose turn it is needs
 * up to 0.7 s for a chunk, as 24 share the origin's link, learns of the version up to 0.2 s after others, and tells what it holds
 * every 60 ms. With 0.4 s of patience members stepped in for sound ones, and 1.5 copies left the origin in place of 1.1; with one
 * and a half copies' time, three agents that could not read kept a version from 47 members until after its bound.
 */
export const defaultSwarmPolicy: SwarmPolicy = {
  peerWindow: 6, originWindow: 1, peerTimeout: 900, originTimeout: 2_500, originCopyTime: 2_000, stepInPatience: 1_000, originStagger: 250, zoneStagger: 1_000
}

/** Bounds on what a swarm asks for at once. */
export interface SwarmLimit {
  /** Chunks asked of peers. */
  readonly peers: number
  /** Chunks asked of the origin. */
  readonly origin: number
}
