/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** How many requests one entry has sent to the endpoints of a service, lately; those that it refuses do not count. */
import { decay } from '../decay.js'

/** What came counts half after this, in milliseconds: long enough to hold a few tens of requests of a busy entry. */
const HALF_LIFE = 1_000

/** A rate that fades. */
export class RequestRate {
  private _count = 0
  private _at = 0

  /** A request was sent. */
  sent (now: number): void {
    this._count = this._faded(now) + 1
    this._at = now
  }

  /**
   * Requests in a millisecond.
   *
   * @example
   * const expected = rate.perMillisecond(now) * 100 // in the next tenth of a second
   */
  perMillisecond (now: number): number { return this._faded(now) * Math.LN2 / HALF_LIFE }

  private _faded (now: number): number {
    return this._count * decay(now - this._at, HALF_LIFE)
  }
}
