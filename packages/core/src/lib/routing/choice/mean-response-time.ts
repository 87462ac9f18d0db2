/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Tracks the mean response time of a plain service over all its endpoints. */
import { decay } from '../decay.js'

/** Weight of the newest answer in the exponentially weighted moving average: the mean covers a few tens of answers. */
const SMOOTHING = 0.05
/**
 * The half-life of the mean without new answers, in milliseconds: requests to a service that is slow at all endpoints are rejected,
 * and without decay they would be rejected for ever.
 */
const HALF_LIFE = 1_500

/** A moving average that decays while there are no measurements. */
export class MeanResponseTime {
  private _mean = 0
  private _updatedAt = 0

  /** The mean, in milliseconds; 0 if unknown. */
  value (now: number): number {
    return this._mean * decay(now - this._updatedAt, HALF_LIFE)
  }

  /**
   * Adds a response time, in milliseconds.
   *
   * @example
   * usual.took(24, now)
   */
  took (milliseconds: number, now: number): void {
    const before = this.value(now)
    this._mean = before === 0 ? milliseconds : before + SMOOTHING * (milliseconds - before)
    this._updatedAt = now
  }
}
