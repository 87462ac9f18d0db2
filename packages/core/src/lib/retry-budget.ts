/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Bounds the load that retries add: each first attempt earns a fraction of a retry, each retry spends a whole one.
 * When everything fails, retries die out instead of multiplying the load.
 */

/** The extra load that retries may add, as a share of first attempts. */
export const RETRY_RATIO = 0.1
/** Retries that may be saved up, so that a quiet entry can retry at all. */
const RETRY_RESERVE = 10

/** The budget of one entry for one endpoint group. */
export class RetryBudget {
  private _credit = RETRY_RESERVE

  constructor (private readonly _ratio: number = RETRY_RATIO) {}

  /** A request was tried for the first time. */
  attempted (): void {
    this._credit = Math.min(RETRY_RESERVE, this._credit + this._ratio)
  }

  /**
   * Spends one retry if there is one.
   *
   * @example
   * if (!budget.trySpend()) giveUp()
   */
  trySpend (): boolean {
    if (this._credit < 1) return false
    this._credit -= 1
    return true
  }
}
