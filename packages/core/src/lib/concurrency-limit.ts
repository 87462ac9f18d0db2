/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * An adaptive limit on the concurrent requests of one entry to one group of endpoints. No one assigns an entry its share
 * of the endpoints' slots, so it estimates the share by additive increase while requests succeed and multiplicative
 * decrease when endpoints refuse as busy. Until the first such refusal, the limit is the number of all visible slots: a
 * sudden burst must not wait for the limit to grow, and endpoints refuse any excess themselves.
 */

const INCREASE_STEP = 1
const DECREASE_FACTOR = 0.85
/** The least time between two decreases, in milliseconds, so that a burst of refusals counts as one signal. */
const DECREASE_INTERVAL_MILLISECONDS = 100

/** The concurrency limit for one group of endpoints. */
export class ConcurrencyLimit {
  private _limit: number
  private _decreasedAt = -Infinity
  /** Whether an endpoint has ever refused as busy. */
  private _refused = false

  /**
   * @param _minimum The lower bound of the limit.
   * @param _maximum The upper bound of the limit: the slots of all endpoints visible to the entry.
   */
  constructor (private readonly _minimum: number, private _maximum: number) {
    this._limit = Math.max(_minimum, _maximum)
  }

  /** The number of requests that may run concurrently. */
  get limit (): number { return Math.floor(this._limit) }

  /** Sets the upper bound: the total number of slots. */
  setMaximum (maximum: number): void {
    this._maximum = Math.max(this._minimum, maximum)
    this._limit = this._refused ? Math.min(this._limit, this._maximum) : this._maximum
  }

  /**
   * Records a success while `running` requests were in flight. It is ignored well below the limit, where it says nothing
   * about capacity.
   */
  succeeded (running: number): void {
    if (running * 1.25 < this._limit) return
    this._limit = Math.min(this._maximum, this._limit + INCREASE_STEP / this._limit)
  }

  /**
   * Records that an endpoint refused as busy.
   *
   * @example
   * limit.refused(now)
   */
  refused (now: number): void {
    if (now - this._decreasedAt < DECREASE_INTERVAL_MILLISECONDS) return
    this._decreasedAt = now
    this._refused = true
    this._limit = Math.max(this._minimum, this._limit * DECREASE_FACTOR)
  }
}
