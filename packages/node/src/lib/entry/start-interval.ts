/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Measures the rate at which a queue drains: the interval between starts while other requests wait. */
const SMOOTHING = 0.1
const MAX_INTERVAL_MILLISECONDS = 1_000

/** An exponentially weighted moving average of the interval between the starts of one queue. */
export class StartInterval {
  private _interval = 0
  private _startedAt: number | undefined

  /** Average interval between starts, in milliseconds; 0 while unknown. */
  get interval (): number { return this._interval }

  /**
   * Records a start.
   *
   * @param backlogged Whether other requests still wait. Only then is the interval to the next start measured.
   * @example
   * pace.started(queue.size > 0, now)
   */
  started (backlogged: boolean, now: number): void {
    if (this._startedAt !== undefined) this._observe(Math.min(MAX_INTERVAL_MILLISECONDS, now - this._startedAt))
    this._startedAt = backlogged ? now : undefined
    if (!backlogged) this._interval = 0
  }

  private _observe (elapsed: number): void {
    this._interval = this._interval === 0 ? elapsed : this._interval + SMOOTHING * (elapsed - this._interval)
  }
}
