/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One entry's part of the requests that an endpoint in need takes from all entries together. The load that it answers: an endpoint
 * that asks for about one request a second, before 6 to 380 entries that do not see what each other sends.
 *
 * Each entry earns rights to send at an equal part of the limit, out of step with the others: it begins at a random place in its own
 * turn, so that what all begin with is what they would have earned in any other moment. A right lapses soon when nobody needs it.
 * Kept until it is needed, one saved right of each entry is 98 requests at once in a fleet of 98.
 */
import { ASSUMED_ENTRIES } from '../attempts/fleet-size.js'

/** The operators count in stretches of this length, in milliseconds, and allow so much in one. */
const STRETCH = 4_000
const ALLOWED_FACTOR = 1.5
const ALLOWED_BEYOND = 5
/** A right that nobody used lapses after this, in milliseconds: requests to a small service come that often to one entry. */
export const RIGHT_LIFETIME = 1_000
/**
 * Turns of many entries fall together by chance. So many standard deviations above the mean must still be allowed: one stretch in
 * some ten thousand has more.
 */
const DEVIATIONS = 5
/**
 * An endpoint that takes less than this is asked all the same, in requests a second of all entries together: one that is never asked
 * could never say that it takes more.
 */
const LEAST_LIMIT = 0.25
/** How finely the used part of a limit is worked out, and the least that is used of one. */
const SHARE_STEP = 0.05
/** Rights that an entry may hold at once at high limits; more than it sends in the lifetime of one. */
const MOST_RIGHTS = 64
const MILLISECONDS_PER_SECOND = 1_000

/**
 * The part of a limit that may be used, so that turns which fall together stay within what is allowed: all of it before few entries,
 * whose turns cannot all fall together, and less before many.
 *
 * @param limit In requests a second.
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

/** Requests in a stretch that are hardly ever exceeded. Rights of just before it may be used in it. */
function mostExpected (rate: number, entries: number): number {
  const turns = rate / entries * (STRETCH + RIGHT_LIFETIME) / MILLISECONDS_PER_SECOND
  const uncertain = turns % 1
  return entries * turns + DEVIATIONS * Math.sqrt(entries * uncertain * (1 - uncertain))
}

/** What one entry may send to one endpoint. */
export class LimitShare {
  /** When each right that is left was earned. */
  private _rights: number[] = []
  /** The part of the next right that is earned. */
  private _earned: number
  private _lookedAt: number

  /**
   * @param _limit What the endpoint takes from all entries together, in requests a second.
   * @param _entries How many entries share it; nothing while that is not known.
   * @param draw A random number in [0, 1).
   */
  constructor (private _limit: number, private readonly _entries: (now: number) => number | undefined, draw: number, now: number) {
    this._earned = draw
    this._lookedAt = now
  }

  /** The endpoint takes more or less from now on. What was earned stays: drawn anew with each change, it would be earned twice. */
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

  /** When the next request may be sent, in milliseconds from now. */
  nextIn (now: number): number {
    this._earn(now)
    return this._rights.length > 0 ? 0 : (1 - this._earned) / this.rate(now)
  }

  /** Requests that this entry may send in a millisecond. */
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
