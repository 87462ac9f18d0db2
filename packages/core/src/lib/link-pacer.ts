/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Paces weight transfers on an instance's link, which they share with live answers at lower priority. Live bytes are
 * charged to the budget immediately and never wait; transfers use the remainder. When answers queue up, the transfers'
 * share decreases by a factor and recovers in small steps (additive increase, multiplicative decrease).
 */
import { TokenBucket } from './token-bucket.js'

/** The burst size as transmission time on the link, in milliseconds. */
const BURST_MILLISECONDS = 20
const MIN_BURST_BYTES = 16_384
const MIN_SHARE = 0.1
const DECREASE_FACTOR = 0.7
const INCREASE_STEP = 0.05
/** The least time between two changes of the share, in milliseconds. */
const ADAPT_INTERVAL_MILLISECONDS = 100

/** The pacer of one instance's link. */
export class LinkPacer {
  private readonly _up: TokenBucket
  private readonly _down: TokenBucket
  private _share = 1
  private _adaptedAt = -Infinity

  /**
   * @param bytesPerSecond The rate of the link in each direction.
   */
  constructor (bytesPerSecond: number, now: number) {
    const burst = Math.max(MIN_BURST_BYTES, bytesPerSecond * BURST_MILLISECONDS / 1000)
    this._up = new TokenBucket(bytesPerSecond, burst, now)
    this._down = new TokenBucket(bytesPerSecond, burst, now)
  }

  /** The fraction of the link that transfers may use, from 0.1 to 1. */
  get share (): number { return this._share }

  /** Charges live bytes, which never wait. */
  live (bytes: number, now: number): void {
    this._up.spend(bytes, now)
  }

  /**
   * Adapts the share of transfers to the congestion of live answers.
   *
   * @param congested Whether answers are queued for sending.
   */
  adapt (congested: boolean, now: number): void {
    if (now - this._adaptedAt < ADAPT_INTERVAL_MILLISECONDS) return
    this._adaptedAt = now
    this._share = congested ? Math.max(MIN_SHARE, this._share * DECREASE_FACTOR) : Math.min(1, this._share + INCREASE_STEP)
  }

  /**
   * Requests to send transfer bytes.
   *
   * @returns Milliseconds to wait before requesting again; 0 if the bytes may be sent now and have been charged.
   * @example
   * const wait = pacer.upload(chunk.length, now)
   */
  upload (bytes: number, now: number): number {
    const wait = this._up.wait(now)
    if (wait === 0) this._up.spend(bytes / this._share, now)
    return wait
  }

  /** Charges received transfer bytes. Returns for how many milliseconds to pause reading. */
  received (bytes: number, now: number): number {
    this._down.spend(bytes / this._share, now)
    return this._down.wait(now)
  }
}
