/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A token bucket that may be overdrawn: a caller that must spend (a live answer on a shared link) spends at once,
 * and others (weight transfers) wait until the balance is back above zero.
 */
export class TokenBucket {
  private _balance: number
  private _at: number

  /**
   * @param perSecond Tokens that come back each second.
   * @param burst The most that can be saved up.
   * @param now The clock's reading in milliseconds.
   */
  constructor (readonly perSecond: number, readonly burst: number, now: number) {
    this._balance = burst
    this._at = now
  }

  /**
   * Spends tokens, overdrawing if need be.
   *
   * @example
   * bucket.spend(answer.length, now)
   */
  spend (tokens: number, now: number): void {
    this._refill(now)
    this._balance -= tokens
  }

  /** Spends only if the balance covers it. Returns whether it did. */
  trySpend (tokens: number, now: number): boolean {
    this._refill(now)
    if (this._balance < tokens) return false
    this._balance -= tokens
    return true
  }

  /** Milliseconds until the balance is above zero; 0 when it is. */
  wait (now: number): number {
    this._refill(now)
    if (this._balance >= 0) return 0
    return Math.ceil(-this._balance / this.perSecond * 1000)
  }

  private _refill (now: number): void {
    const elapsed = Math.max(0, now - this._at)
    this._balance = Math.min(this.burst, this._balance + elapsed * this.perSecond / 1000)
    this._at = Math.max(now, this._at)
  }
}
