/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Detects that this process did not run for a while, since it was frozen or its event loop was blocked. What arrived meanwhile is
 * handled afterwards, so the time at which it is handled says little about the time at which it arrived.
 */

/** A process counts as stalled if it has not run for this many intervals. */
const STALLED_INTERVALS = 2
/** What arrived during a stall may be handled until this long after it, in milliseconds. */
const SETTLE_TIME = 200

/** The stalls of this process. */
export class StallDetector {
  private _ranAt = -Infinity
  private _stall = { from: -Infinity, until: -Infinity }

  /** @param _interval The interval of calls to `tick`, in milliseconds. */
  constructor (private readonly _interval: number) {}

  /** Records that the process runs. */
  tick (now: number): void {
    if (this._isStalled(now)) this._stall = { from: this._ranAt, until: now }
    this._ranAt = now
  }

  /**
   * Returns the earliest time at which a message that is handled now may have arrived.
   *
   * @example
   * const arrivedAt = stalls.arrivedSince(performance.now())
   */
  arrivedSince (now: number): number {
    if (this._isStalled(now)) return this._ranAt
    return now - this._stall.until <= SETTLE_TIME ? this._stall.from : now
  }

  private _isStalled (now: number): boolean { return this._ranAt !== -Infinity && now - this._ranAt > STALLED_INTERVALS * this._interval }
}
