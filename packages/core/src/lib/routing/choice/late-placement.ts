/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides whether an engine takes a late request: one that cannot be in time, but can still be answered before its caller's deadline.
 * It waits in the engine's queue behind all others. Made for pools that are offered up to 1.7 times their capacity by up to 100 entries.
 * Times are in milliseconds.
 */
import type { PoolDescription } from '../published/routing-configuration.js'

/** The terms on which a late request is placed. */
export interface LateTerms {
  /** The time until the caller's deadline. */
  readonly timeLeft: number
  /** Whether the request was refused before and has returned. */
  readonly returned: boolean
  /** Its position among the urgencies of its service: 0 for the most urgent, 1 for the least. */
  readonly position: number
  /** The recent share of the service's requests that found no room: see `AdmissionOrder`. */
  readonly shortage: number
}

/** The state of an engine that may take a late request. */
export interface LateCandidate {
  /** The expected time to the first event. */
  readonly expected: number
  /** The expected time from the first to the last event. */
  readonly generation: number
  /** Requests in the engine's queue, with those sent since its last report. */
  readonly waiting: number
  /** The time until the engine closes for a switch of versions; `undefined` if none is planned. */
  readonly closesIn: number | undefined
  /** Late requests of this entry that wait at this engine, and at all engines. */
  readonly own: number
  readonly ownInAll: number
  /** The part of the pool's requests that this entry sends, 0 to 1. */
  readonly ownShare: number
  readonly engines: number
}

/**
 * The longest queue at which an engine takes a late request, for each slot. Engines reject when about two requests for each slot wait,
 * which costs a retry; the rest is left to requests in time and to what other entries send before the next report. A request that has
 * returned gets more, because its caller does not return again, while a first refusal lets most callers return in time.
 */
const LATE_QUEUE_PER_SLOT = 0.25
const RETURNED_QUEUE_PER_SLOT = 0.75
/**
 * What the most urgent have of the queue beyond that, whatever the shortage, so that they are not refused before others: without it, 0.10
 * of them were unserved at 1.3 times the capacity, with it 0.005.
 */
const URGENT_QUEUE_PER_SLOT = 0.5
/**
 * The share of requests without room from which on only the more urgent are admitted late. While the excess lasts, a late answer takes
 * the room of one in time: in the `overload` benchmark with equal urgencies and 40 entries, at 1.3 times the capacity, 0.41 were in time
 * without this bound, 0.55 with 0.5 and 0.68 with 0.15, with 0.22 unserved each; at the capacity, 0.004, 0.016 and 0.052 were unserved.
 */
const MAX_SHORTAGE = 0.5
/**
 * An answer must be expected within this share of the remaining time, because estimates of the queue err in both directions; a request
 * that has returned gets more, since its caller does not return again.
 */
const DEADLINE_SHARE = 0.8
const RETURNED_DEADLINE_SHARE = 0.95
/** An engine that is about to close must be expected to start the request in this part of the time, since requests not begun are taken back. */
const CLOSING_SHARE = 0.5
/** The least number of late requests that an entry may have waiting at all engines, so that an entry with few requests has some. */
const MIN_LATE_IN_ALL = 2

/**
 * Whether an engine takes a late request.
 *
 * @example
 * takesLate(pool, { expected: 900, generation: 1_200, waiting: 3, closesIn: undefined, own: 0, ownInAll: 2, ownShare: 0.03, engines: 28 }, { timeLeft: 5_900, returned: false, position: 1, shortage: 0.1 })
 */
export function takesLate ({ slots }: PoolDescription, candidate: LateCandidate, { timeLeft, returned, position, shortage }: LateTerms): boolean {
  const { expected, generation, waiting, closesIn, own, ownInAll, ownShare, engines } = candidate
  const common = (returned ? RETURNED_QUEUE_PER_SLOT : LATE_QUEUE_PER_SLOT) * Math.max(0, 1 - shortage / MAX_SHORTAGE)
  const room = (common + URGENT_QUEUE_PER_SLOT * (1 - position)) * slots
  if (waiting >= room || own >= Math.max(1, Math.ceil(room * ownShare))) return false
  if (ownInAll >= Math.max(MIN_LATE_IN_ALL, Math.ceil(room * engines * ownShare))) return false
  if (closesIn !== undefined && expected > CLOSING_SHARE * closesIn) return false
  return expected + generation <= (returned ? RETURNED_DEADLINE_SHARE : DEADLINE_SHARE) * timeLeft
}
