/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Measures the time between starts while others wait: how fast a queue is really worked off. */
const SMOOTHING = 0.1
const LONGEST_INTERVAL = 1_000

/** The pace of one queue. */
export class StartPace {
  private _interval = 0
  private _startedAt: number | undefined

  /** Milliseconds between starts; 0 while unknown. */
  get interval (): number { return this._interval }

  /**
   * Something started.
   *
   * @param backlogged Whether others still wait: the time to the next start then counts.
   * @example
   * pace.started(queue.size > 0, now)
   */
  started (backlogged: boolean, now: number): void {
    if (this._startedAt !== undefined) this._observe(Math.min(LONGEST_INTERVAL, now - this._startedAt))
    this._startedAt = backlogged ? now : undefined
    if (!backlogged) this._interval = 0
  }

  private _observe (since: number): void {
    this._interval = this._interval === 0 ? since : this._interval + SMOOTHING * (since - this._interval)
  }
}
