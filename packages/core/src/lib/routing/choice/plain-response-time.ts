/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The response time of one plain endpoint, as seen by one entry. */
import { decay } from '../decay.js'

/** Weight of the newest answer in the exponentially weighted moving average. */
const SMOOTHING = 0.3

/** A moving average that approaches the mean of the service while there are no answers. */
export class PlainResponseTime {
  private _mean: number | undefined
  private _updatedAt = 0

  /**
   * Returns the response time, in milliseconds.
   *
   * @param usual The mean response time of the service; 0 if unknown.
   * @param halfLife How fast it approaches the mean, in milliseconds.
   * @example
   * const expected = responseTime.value(25, 2_000, now)
   */
  value (usual: number, halfLife: number, now: number): number {
    if (this._mean === undefined) return usual
    return usual + (this._mean - usual) * decay(now - this._updatedAt, halfLife)
  }

  /** Adds the response time of a request, in milliseconds. */
  took (milliseconds: number, usual: number, halfLife: number, now: number): void {
    const before = this.value(usual, halfLife, now) || milliseconds
    this._mean = before + SMOOTHING * (milliseconds - before)
    this._updatedAt = now
  }
}
