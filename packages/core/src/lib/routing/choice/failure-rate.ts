/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The share of its requests at which one endpoint fails, as seen by one entry. Between endpoints it counts as a cost, so that the one
 * that fails least is used however many fail, and failures that all have in common, such as errors of the application, change nothing.
 */
import { decay, halfLifeOf, type RequestHalfLife } from '../decay.js'

/** Weight of the newest request in the moving average. */
const SMOOTHING = 0.15
/**
 * The half-life of what is known about an endpoint that is not used, since it shows no recovery: a number of requests of the entry to the
 * service, so that the requests that find out are a small part of all.
 */
export const UNUSED_HALF_LIFE: RequestHalfLife = { requests: 20, min: 4_000, max: 20_000 }

/**
 * Adds requests in flight that will probably fail to a share of failures.
 *
 * @example
 * withOverdue(0, 1) // 0.15
 */
export function withOverdue (share: number, overdue: number): number { return 1 - (1 - share) * (1 - SMOOTHING) ** overdue }

/** The failure rate of one endpoint. */
export class FailureRate {
  private _share = 0
  private _weight = 0
  private _updatedAt = 0

  /**
   * Returns the share of failures, 0 to 1.
   *
   * @param requestRate The rate of this entry's requests to the service, in requests per millisecond.
   * @param overdue The number of requests in flight that will probably fail.
   * @example
   * const cost = expected + failures.value(now, chooser.sentRate(now)) * FAILURE_COST
   */
  value (now: number, requestRate: number, overdue = 0): number {
    return withOverdue(this._share * decay(now - this._updatedAt, halfLifeOf(UNUSED_HALF_LIFE, requestRate)), overdue)
  }

  /**
   * How many recent results it rests on. Results count for the shortest time for which they are remembered, so that they weigh less beside newer ones
   * of others.
   */
  weight (now: number): number { return this._weight * decay(now - this._updatedAt, UNUSED_HALF_LIFE.min) }

  /**
   * Adds the result of a request.
   *
   * @param failure How much the result counts as a failure, 0 to 1.
   */
  record (failure: number, now: number, requestRate: number): void {
    const before = this.value(now, requestRate)
    this._share = before + SMOOTHING * (failure - before)
    this._weight = this.weight(now) * (1 - SMOOTHING) + 1
    this._updatedAt = now
  }
}
