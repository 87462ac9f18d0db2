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
 * multiplies the window by `DECREASE`; a faster one adds `INCREASE`.
 */
const SLOW_PULL = 700
const DECREASE = 0.6
const INCREASE = 0.25
/** Minimum interval between decreases, in milliseconds. Slow chunks of one queue count as one signal. */
const DECREASE_PAUSE = 300

/** The pull window of one transfer. */
export class PullWindow {
  private _size: number
  private _decreasedAt = -Infinity

  /**
   * @param _most The largest size of the window.
   */
  constructor (private readonly _most: number) { this._size = _most }

  /** Number of chunks that may be requested concurrently. */
  get size (): number { return Math.floor(this._size) }

  /**
   * Records the duration of a pull, successful or not.
   *
   * @example
   * pullWindow.took(now - startedAt, now)
   */
  took (milliseconds: number, now: number): void {
    if (milliseconds < SLOW_PULL) this._size = Math.min(this._most, this._size + INCREASE)
    else if (now - this._decreasedAt >= DECREASE_PAUSE) {
      this._decreasedAt = now
      this._size = Math.max(1, this._size * DECREASE)
    }
  }
}
