/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A token bucket that can be overdrawn. High-priority traffic (live answers on a shared link) spends immediately, and
 * other traffic (weight transfers) waits until the balance is no longer negative.
 */
export class TokenBucket {
  private _balance: number
  private _refilledAt: number

  /**
   * @param perSecond The number of tokens added per second.
   * @param burst The capacity of the bucket.
   * @param now The current time in milliseconds.
   */
  constructor (readonly perSecond: number, readonly burst: number, now: number) {
    this._balance = burst
    this._refilledAt = now
  }

  /**
   * Spends tokens, overdrawing the balance if necessary.
   *
   * @example
   * bucket.spend(answer.length, now)
   */
  spend (tokens: number, now: number): void {
    this._refill(now)
    this._balance -= tokens
  }

  /** Spends tokens if the balance is sufficient. Returns whether it was. */
  trySpend (tokens: number, now: number): boolean {
    this._refill(now)
    if (this._balance < tokens) return false
    this._balance -= tokens
    return true
  }

  /** Milliseconds until the balance is no longer negative; 0 if it is not. */
  wait (now: number): number {
    this._refill(now)
    if (this._balance >= 0) return 0
    return Math.ceil(-this._balance / this.perSecond * 1000)
  }

  private _refill (now: number): void {
    const elapsed = Math.max(0, now - this._refilledAt)
    this._balance = Math.min(this.burst, this._balance + elapsed * this.perSecond / 1000)
    this._refilledAt = Math.max(now, this._refilledAt)
  }
}
