/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One entry's part of the retries that a whole fleet may make. The operators bound what a service gets beyond first attempts: in
 * any stretch of time, a share of its requests and a fixed number more, over all entries together.
 *
 * Each entry earns the share of the requests that it takes. Of its part of the fixed number it earns one half over the stretch, and
 * may save up the other. Added up over all entries, what is spent in a stretch is at most what was earned in it and what was saved
 * before. A process begins with nothing: whatever entries begin with is given out again by each restart, and nine entries that began
 * with 10 retries each made 433 in 10 s, with 413 allowed, when eight of them were killed while endpoints refused 45 in 100 requests.
 */
import type { RetryPurpose } from './attempt-course.js'
import { ASSUMED_ENTRIES } from './fleet-size.js'

/** What the operators allow. */
export interface RetryTerms {
  /** Further attempts, as a share of requests. */
  readonly ratio: number
  /** Further attempts beyond that, of all entries together, in one stretch of time. */
  readonly slack: number
  /** How long a stretch is, in milliseconds. */
  readonly window: number
}

/**
 * The share of the terms that is used. Entries and operators do not count the same requests in the same moments: one that is sent at
 * the end of a stretch may be taken in the next.
 */
const USED_SHARE = 0.9
/**
 * The share of what may be saved that is kept for streams that have begun: their callers have read a part already, and what the
 * engine wrote so far is lost without another. Chosen, not tuned.
 */
const KEPT_FOR_BEGUN = 0.25
/**
 * The share of the fixed number that may be saved up; the rest is earned by and by. All of it saved, fleets of 6 to 98 entries whose
 * endpoints refuse 45 in 100 requests serve 0.65 of them, and 0.57 where nine
 * in ten entries restart every second; half of it, 0.66 and 0.60 (the `retries` benchmark, three seeds).
 */
const SAVED_SHARE = 0.5
/** An entry that could not save up one retry could never make any. */
const LEAST_CAPACITY = 1

/** What one entry may spend on one service. */
export class RetryAllowance {
  private _credit = 0

  /**
   * @param _terms Of the operators.
   * @param _entries How many entries share them; nothing while that is not known.
   * @param _earnedUpTo The time of its beginning.
   */
  constructor (private readonly _terms: RetryTerms, private readonly _entries: (now: number) => number | undefined, private _earnedUpTo: number) {}

  /** What may be saved up, in retries. */
  capacity (now: number): number {
    return Math.max(LEAST_CAPACITY, SAVED_SHARE * this._part(now))
  }

  /** A request was taken. */
  requested (now: number): void {
    this._earn(now)
    this._credit = Math.min(this.capacity(now), this._credit + USED_SHARE * this._terms.ratio)
  }

  /**
   * Spends one retry if there is one.
   *
   * @example
   * if (!allowance.trySpend('begin', now)) giveUp()
   */
  trySpend (purpose: RetryPurpose, now: number): boolean {
    this._earn(now)
    const capacity = this.capacity(now)
    const kept = purpose === 'begin' ? KEPT_FOR_BEGUN * (capacity - LEAST_CAPACITY) : 0
    if (this._credit < 1 + kept) return false
    this._credit -= 1
    return true
  }

  /** This entry's part of the fixed number. */
  private _part (now: number): number { return USED_SHARE * this._terms.slack / (this._entries(now) ?? ASSUMED_ENTRIES) }

  /** What was saved before more entries were known of may be too much now. */
  private _earn (now: number): void {
    const elapsed = Math.min(this._terms.window, now - this._earnedUpTo)
    const earned = (1 - SAVED_SHARE) * this._part(now) * elapsed / this._terms.window
    this._earnedUpTo = now
    this._credit = Math.min(this.capacity(now), this._credit + earned)
  }
}
