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
const WINDOW = 4_000
const ALLOWED_FACTOR = 1.5
const ALLOWED_SLACK = 5
/** An unused permit lapses after this time, in milliseconds: one entry receives requests for a small service about this often. */
export const PERMIT_LIFETIME = 1_000
/**
 * Permits of many entries coincide by chance. This many standard deviations above the mean must still be allowed; about one window in
 * ten thousand exceeds it.
 */
const DEVIATIONS = 5
/**
 * The least rate of requests from all entries together, in requests per second, also for a lower limit: without any request, an
 * endpoint could never announce a higher limit.
 */
const MIN_RATE = 0.25
/** The resolution of the used share of a limit, and its minimum. */
const SHARE_STEP = 0.05
/** The most permits that an entry may hold at once at high limits; more than it sends in the lifetime of one. */
const MAX_PERMITS = 64
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
  const allowed = ALLOWED_FACTOR * limit * WINDOW / MILLISECONDS_PER_SECOND + ALLOWED_SLACK
  for (let share = 1; share > SHARE_STEP; share -= SHARE_STEP) {
    if (likelyMaximum(share * Math.max(MIN_RATE, limit), entries) <= allowed) return share
  }
  return SHARE_STEP
}

/** An upper bound on the requests in a window that is rarely exceeded. It includes permits earned just before the window. */
function likelyMaximum (rate: number, entries: number): number {
  const permitsPerEntry = rate / entries * (WINDOW + PERMIT_LIFETIME) / MILLISECONDS_PER_SECOND
  const fraction = permitsPerEntry % 1
  return entries * permitsPerEntry + DEVIATIONS * Math.sqrt(entries * fraction * (1 - fraction))
}

/** The permits of one entry for one endpoint. */
export class LimitShare {
  /** The times at which the remaining permits were earned. */
  private _permits: number[] = []
  /** The earned fraction of the next permit. */
  private _earnedFraction: number
  private _updatedAt: number

  /**
   * @param _limit The endpoint's limit for all entries together, in requests per second.
   * @param _entries Returns the number of entries that share the limit, or `undefined` if it is unknown.
   * @param draw A random number in [0, 1).
   */
  constructor (private _limit: number, private readonly _entries: (now: number) => number | undefined, draw: number, now: number) {
    this._earnedFraction = draw
    this._updatedAt = now
  }

  /** Changes the limit. The earned permits are kept: with a new random phase after each change, they would be earned twice. */
  change (limit: number, now: number): void {
    this._update(now)
    this._limit = limit
  }

  /**
   * Whether a request may be sent now.
   *
   * @example
   * if (share.maySend(now)) send()
   */
  maySend (now: number): boolean {
    this._update(now)
    return this._permits.length > 0
  }

  sent (now: number): void {
    this._update(now)
    this._permits.shift()
  }

  /** The time until the next request may be sent, in milliseconds. */
  nextPermitIn (now: number): number {
    this._update(now)
    return this._permits.length > 0 ? 0 : (1 - this._earnedFraction) / this.rate(now)
  }

  /** The rate at which this entry may send, in requests per millisecond. */
  rate (now: number): number {
    const entries = Math.max(1, this._entries(now) ?? ASSUMED_ENTRIES)
    return usedShare(this._limit, entries) * Math.max(MIN_RATE, this._limit) / entries / MILLISECONDS_PER_SECOND
  }

  private _update (now: number): void {
    const rate = this.rate(now)
    const before = this._earnedFraction
    const earned = before + rate * (now - this._updatedAt)
    const wholePermits = Math.floor(earned)
    for (let permit = Math.max(1, wholePermits - MAX_PERMITS + 1); permit <= wholePermits; permit += 1) this._permits.push(this._updatedAt + (permit - before) / rate)
    this._permits = this._permits.filter(at => now - at <= PERMIT_LIFETIME).slice(-MAX_PERMITS)
    this._earnedFraction = earned - wholePermits
    this._updatedAt = now
  }
}
