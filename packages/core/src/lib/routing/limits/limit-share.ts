/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One entry's share of an endpoint's rate limit, which applies to all entries together. It is designed for overloaded endpoints that
 * accept about one request per second, from 6 to 380 entries that do not see each other's requests.
 *
 * Each entry earns permits at an equal share of the limit. Entries start at a random phase between two permits, so that they are not
 * synchronised and start with no more than they would have earned at any other time. An unused permit lapses soon: if permits were
 * kept, one saved permit per entry would allow 98 simultaneous requests in a fleet of 98.
 */
import { ASSUMED_ENTRIES } from '../attempts/fleet-size.js'

/** The operators' window, in milliseconds, and the requests allowed in it: a multiple of the limit, and a fixed number beyond that. */
const STRETCH = 4_000
const ALLOWED_FACTOR = 1.5
const ALLOWED_BEYOND = 5
/** An unused permit lapses after this time, in milliseconds: one entry receives requests for a small service about this often. */
export const RIGHT_LIFETIME = 1_000
/**
 * Permits of many entries coincide by chance. This many standard deviations above the mean must still be allowed; about one window in
 * ten thousand exceeds it.
 */
const DEVIATIONS = 5
/**
 * The least rate of requests from all entries together, in requests per second, also for a lower limit: without any request, an
 * endpoint could never announce a higher limit.
 */
const LEAST_LIMIT = 0.25
/** The resolution of the used share of a limit, and its minimum. */
const SHARE_STEP = 0.05
/** The most permits that an entry may hold at once at high limits; more than it sends in the lifetime of one. */
const MOST_RIGHTS = 64
const MILLISECONDS_PER_SECOND = 1_000

/**
 * The share of a limit that may be used so that coinciding permits stay within the allowed number of requests: all of it for few
 * entries, whose permits cannot all coincide, and less for many.
 *
 * @param limit In requests per second.
 * @example
 * usedShare(1.1, 6) // 1
 */
export function usedShare (limit: number, entries: number): number {
  const allowed = ALLOWED_FACTOR * limit * STRETCH / MILLISECONDS_PER_SECOND + ALLOWED_BEYOND
  for (let share = 1; share > SHARE_STEP; share -= SHARE_STEP) {
    if (mostExpected(share * Math.max(LEAST_LIMIT, limit), entries) <= allowed) return share
  }
  return SHARE_STEP
}

/** An upper bound on the requests in a window that is rarely exceeded. It includes permits earned just before the window. */
function mostExpected (rate: number, entries: number): number {
  const turns = rate / entries * (STRETCH + RIGHT_LIFETIME) / MILLISECONDS_PER_SECOND
  const uncertain = turns % 1
  return entries * turns + DEVIATIONS * Math.sqrt(entries * uncertain * (1 - uncertain))
}

/** The permits of one entry for one endpoint. */
export class LimitShare {
  /** The times at which the remaining permits were earned. */
  private _rights: number[] = []
  /** The earned fraction of the next permit. */
  private _earned: number
  private _lookedAt: number

  /**
   * @param _limit The endpoint's limit for all entries together, in requests per second.
   * @param _entries Returns the number of entries that share the limit, or `undefined` if it is unknown.
   * @param draw A random number in [0, 1).
   */
  constructor (private _limit: number, private readonly _entries: (now: number) => number | undefined, draw: number, now: number) {
    this._earned = draw
    this._lookedAt = now
  }

  /** Changes the limit. The earned permits are kept: with a new random phase after each change, they would be earned twice. */
  change (limit: number, now: number): void {
    this._earn(now)
    this._limit = limit
  }

  /**
   * Whether a request may be sent now.
   *
   * @example
   * if (share.maySend(now)) send()
   */
  maySend (now: number): boolean {
    this._earn(now)
    return this._rights.length > 0
  }

  sent (now: number): void {
    this._earn(now)
    this._rights.shift()
  }

  /** The time until the next request may be sent, in milliseconds. */
  nextIn (now: number): number {
    this._earn(now)
    return this._rights.length > 0 ? 0 : (1 - this._earned) / this.rate(now)
  }

  /** The rate at which this entry may send, in requests per millisecond. */
  rate (now: number): number {
    const entries = Math.max(1, this._entries(now) ?? ASSUMED_ENTRIES)
    return usedShare(this._limit, entries) * Math.max(LEAST_LIMIT, this._limit) / entries / MILLISECONDS_PER_SECOND
  }

  private _earn (now: number): void {
    const rate = this.rate(now)
    const before = this._earned
    const earned = before + rate * (now - this._lookedAt)
    const whole = Math.floor(earned)
    for (let right = Math.max(1, whole - MOST_RIGHTS + 1); right <= whole; right += 1) this._rights.push(this._lookedAt + (right - before) / rate)
    this._rights = this._rights.filter(at => now - at <= RIGHT_LIFETIME).slice(-MOST_RIGHTS)
    this._earned = earned - whole
    this._lookedAt = now
  }
}
