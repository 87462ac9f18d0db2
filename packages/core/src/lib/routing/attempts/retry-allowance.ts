/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One entry's share of the fleet's retry budget, as a token bucket. Operators limit the retries of a service in any time window, over
 * all entries together, to a ratio of its requests plus a fixed number.
 *
 * Each entry earns the ratio of the requests that it receives. It earns one half of its share of the fixed number over the window, and
 * may save up the other half. Over all entries, the retries in a window are at most those earned in it plus those saved before. The
 * bucket starts empty, since each restart would grant an initial balance again: nine entries that started with 10 retries each made
 * 433 in 10 s, with 413 allowed, when eight of them were killed while endpoints rejected 45% of the requests.
 */
import type { RetryPurpose } from './attempt-tracker.js'
import { ASSUMED_ENTRIES } from './fleet-size.js'

/** The retry limits that operators set. */
export interface RetryLimits {
  /** Allowed retries as a share of requests. */
  readonly ratio: number
  /** Allowed retries beyond the ratio, of all entries together, in one window. */
  readonly slack: number
  /** The length of the window, in milliseconds. */
  readonly window: number
}

/**
 * The share of the limits that is used. Entries and operators count the same request at different times: one that is sent at the end
 * of a window may be received in the next.
 */
const USED_SHARE = 0.9
/**
 * The share of the capacity that is reserved for resuming streams: their callers already have a part of the answer, and without a
 * retry the engine's work so far is lost.
 */
const RESERVED_SHARE = 0.25
/**
 * The share of the fixed number that may be saved up; the rest is earned over the window. In the `retries` benchmark (6 to 98 entries,
 * endpoints that reject 45% of requests), saving all of it serves 0.65 of the requests, and 0.57 if nine in ten entries
 * restart every second; saving half of it serves 0.66 and 0.60.
 */
const SAVED_SHARE = 0.5
/** The least bucket capacity: an entry that cannot save up one whole retry can never make any. */
const MIN_CAPACITY = 1

/** The retry budget of one entry for one service. */
export class RetryAllowance {
  private _balance = 0

  /**
   * @param _terms The limits that operators set.
   * @param _entries Returns the number of entries that share the limits, or `undefined` if it is unknown.
   * @param _updatedAt The creation time.
   */
  constructor (private readonly _terms: RetryLimits, private readonly _entries: (now: number) => number | undefined, private _updatedAt: number) {}

  /** The most retries that can be saved up. */
  capacity (now: number): number {
    return Math.max(MIN_CAPACITY, SAVED_SHARE * this._shareOfSlack(now))
  }

  /** Records a received request. */
  requested (now: number): void {
    this._update(now)
    this._balance = Math.min(this.capacity(now), this._balance + USED_SHARE * this._terms.ratio)
  }

  /**
   * Takes one retry from the budget; returns `false` if too little is left.
   *
   * @example
   * if (!allowance.trySpend('begin', now)) fail()
   */
  trySpend (purpose: RetryPurpose, now: number): boolean {
    this._update(now)
    const capacity = this.capacity(now)
    const reserved = purpose === 'begin' ? RESERVED_SHARE * (capacity - MIN_CAPACITY) : 0
    if (this._balance < 1 + reserved) return false
    this._balance -= 1
    return true
  }

  /** This entry's share of the fixed number. */
  private _shareOfSlack (now: number): number { return USED_SHARE * this._terms.slack / (this._entries(now) ?? ASSUMED_ENTRIES) }

  /** Adds what was earned since the last call. Also lowers the balance if the capacity shrank because more entries are known. */
  private _update (now: number): void {
    const elapsed = Math.min(this._terms.window, now - this._updatedAt)
    const earned = (1 - SAVED_SHARE) * this._shareOfSlack(now) * elapsed / this._terms.window
    this._updatedAt = now
    this._balance = Math.min(this.capacity(now), this._balance + earned)
  }
}
