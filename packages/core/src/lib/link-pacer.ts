/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Keeps weight transfers within an instance's link and below live answers, which share it. Live bytes are taken from
 * the budget at once and never wait; transfers take what is left. When answers pile up unsent, transfers also give up
 * a factor of their share, and win it back bit by bit (additive increase, multiplicative decrease).
 */
import { TokenBucket } from './token-bucket.js'

/** How much may go out at once, as time on the link, in milliseconds. */
const BURST_MILLISECONDS = 20
const LEAST_BURST_BYTES = 16_384
const LEAST_SHARE = 0.1
const DECREASE = 0.7
const INCREASE = 0.05
/** Share is changed at most this often, in milliseconds. */
const ADAPT_PAUSE = 100

/** The link of one instance. */
export class LinkPacer {
  private readonly _up: TokenBucket
  private readonly _down: TokenBucket
  private _share = 1
  private _adaptedAt = -Infinity

  /**
   * @param bytesPerSecond The link's rate, each way.
   */
  constructor (bytesPerSecond: number, now: number) {
    const burst = Math.max(LEAST_BURST_BYTES, bytesPerSecond * BURST_MILLISECONDS / 1000)
    this._up = new TokenBucket(bytesPerSecond, burst, now)
    this._down = new TokenBucket(bytesPerSecond, burst, now)
  }

  /** The share of the link that transfers may use, 0.1 to 1. */
  get share (): number { return this._share }

  /** Live bytes were sent; they never wait. */
  live (bytes: number, now: number): void {
    this._up.spend(bytes, now)
  }

  /**
   * Tells how live answers fare.
   *
   * @param congested Whether answers wait to be sent.
   */
  adapt (congested: boolean, now: number): void {
    if (now - this._adaptedAt < ADAPT_PAUSE) return
    this._adaptedAt = now
    this._share = congested ? Math.max(LEAST_SHARE, this._share * DECREASE) : Math.min(1, this._share + INCREASE)
  }

  /**
   * Asks to send transfer bytes.
   *
   * @returns Milliseconds to wait before asking again; 0 when the bytes may go now, and are counted.
   * @example
   * const wait = pacer.upload(chunk.length, now)
   */
  upload (bytes: number, now: number): number {
    const wait = this._up.wait(now)
    if (wait === 0) this._up.spend(bytes / this._share, now)
    return wait
  }

  /** Transfer bytes came in. Returns milliseconds to stop reading for. */
  received (bytes: number, now: number): number {
    this._down.spend(bytes / this._share, now)
    return this._down.wait(now)
  }
}
