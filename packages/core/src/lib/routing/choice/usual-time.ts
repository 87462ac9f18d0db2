/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What the requests of a plain service usually take, whichever endpoint answers. */
import { decay } from '../decay.js'

/** Weight of the newest answer: the mean is that of some tens of answers. */
const SMOOTHING = 0.05
/**
 * Without answers the mean halves in this time, in milliseconds: requests to a service that was slow everywhere are
 * refused, and would be for ever.
 */
const HALF_LIFE = 1_500

/** A mean that fades while nothing is measured. */
export class UsualTime {
  private _mean = 0
  private _at = 0

  /** The mean, in milliseconds; 0 while nothing is known. */
  value (now: number): number {
    return this._mean * decay(now - this._at, HALF_LIFE)
  }

  /**
   * An answer took so long, in milliseconds.
   *
   * @example
   * usual.took(24, now)
   */
  took (milliseconds: number, now: number): void {
    const before = this.value(now)
    this._mean = before === 0 ? milliseconds : before + SMOOTHING * (milliseconds - before)
    this._at = now
  }
}
