/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Estimates the rate at which one entry sends requests to the endpoints of a service; rejected requests do not count. */
import { decay } from '../decay.js'

/** The half-life of a request's weight, in milliseconds: long enough to cover a few tens of requests of a busy entry. */
const HALF_LIFE = 1_000

/** An exponentially decaying rate. */
export class RequestRate {
  private _count = 0
  private _countedAt = 0

  /** Counts a request that was sent. */
  sent (now: number): void {
    this._count = this._decayedCount(now) + 1
    this._countedAt = now
  }

  /**
   * The rate in requests per millisecond.
   *
   * @example
   * const expected = rate.perMillisecond(now) * 100 // in the next tenth of a second
   */
  perMillisecond (now: number): number { return this._decayedCount(now) * Math.LN2 / HALF_LIFE }

  private _decayedCount (now: number): number {
    return this._count * decay(now - this._countedAt, HALF_LIFE)
  }
}
