/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The window of concurrent pulls from peers. Additive increase and multiplicative decrease keep it as large as the links carry
 * without long queues.
 */

/**
 * A pull that takes at least this long indicates a queue on some link, in milliseconds. Six chunks in sequence take 350 ms over the
 * 5 Mbit/s link of a small instance, and a peer that sends to several members at once delays them by as long again. A slow pull
 * multiplies the window by `DECREASE_FACTOR`; a faster one adds `INCREASE_STEP`.
 */
const SLOW_PULL = 700
const DECREASE_FACTOR = 0.6
const INCREASE_STEP = 0.25
/** Minimum interval between decreases, in milliseconds. Slow chunks of one queue count as one signal. */
const DECREASE_INTERVAL = 300

/** The pull window of one transfer. */
export class PullWindow {
  private _size: number
  private _decreasedAt = -Infinity

  /**
   * @param _maxSize The largest size of the window.
   */
  constructor (private readonly _maxSize: number) { this._size = _maxSize }

  /** Number of chunks that may be requested concurrently. */
  get size (): number { return Math.floor(this._size) }

  /**
   * Records the duration of a pull, successful or not.
   *
   * @example
   * pullWindow.record(now - startedAt, now)
   */
  record (milliseconds: number, now: number): void {
    if (milliseconds < SLOW_PULL) this._size = Math.min(this._maxSize, this._size + INCREASE_STEP)
    else if (now - this._decreasedAt >= DECREASE_INTERVAL) {
      this._decreasedAt = now
      this._size = Math.max(1, this._size * DECREASE_FACTOR)
    }
  }
}
