/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * How many chunks are asked of peers at once: as many as the links bear without long queues, by additive increase and
 * multiplicative decrease.
 */

/**
 * A pull that takes longer shows a queue on some link, in milliseconds: six chunks that come in turn take 350 over the
 * 5 Mbit/s link of a small instance, and peers that send to several members at once let them wait for as long again. The
 * window then shrinks by the factor, and grows back by the step with each chunk that came sooner.
 */
const SLOW_PULL = 700
const DECREASE = 0.6
const INCREASE = 0.25
/** The window shrinks at most this often, in milliseconds: chunks of one queue are one signal. */
const DECREASE_PAUSE = 300

/** The window of one transfer. */
export class PullWindow {
  private _size: number
  private _decreasedAt = -Infinity

  /**
   * @param _most Its largest size.
   */
  constructor (private readonly _most: number) { this._size = _most }

  /** Chunks that may be asked for at once. */
  get size (): number { return Math.floor(this._size) }

  /**
   * A pull ended, well or not, after so many milliseconds.
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
