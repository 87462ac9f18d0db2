/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Limits the load added by retries: each first attempt adds a fraction of a retry to the budget, and each retry spends
 * one. During an outage, retries are suppressed instead of multiplying the load.
 */

/** The maximum ratio of retries to first attempts. */
export const RETRY_RATIO = 0.1
/** The maximum number of retries accumulated, so that an entry with little traffic can retry at all. */
const MAX_CREDIT = 10

/** The retry budget of one entry for one endpoint group. */
export class RetryBudget {
  private _credit = MAX_CREDIT

  constructor (private readonly _ratio: number = RETRY_RATIO) {}

  /** Records the first attempt of a request. */
  attempted (): void {
    this._credit = Math.min(MAX_CREDIT, this._credit + this._ratio)
  }

  /** Whether a retry can be spent. */
  get available (): boolean { return this._credit >= 1 }

  /**
   * Spends one retry if the budget allows it. Returns whether it did.
   *
   * @example
   * if (!budget.trySpend()) giveUp()
   */
  trySpend (): boolean {
    if (!this.available) return false
    this._credit -= 1
    return true
  }
}
