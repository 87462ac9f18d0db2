/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Measures how much longer the requests of one urgency wait than the queues of their engines explain. More urgent requests that arrive
 * meanwhile go first, so the wait grows without bound when these fill the pool, and the less urgent ones are then refused.
 */
import { decay } from '../decay.js'

/** Weight of the newest wait in the moving average. */
const SMOOTHING = 0.2
/** Without new waits, the ratio decays towards 1 with this half-life, in milliseconds: the swings and bursts of traffic last some seconds. */
const HALF_LIFE = 2_000
const MIN_RATIO = 0.5
const MAX_RATIO = 20

/** A request that has not begun. */
interface WaitingRequest {
  readonly sentAt: number
  readonly modelled: number
}

/** The waits of the requests of one place in the queues of a service's engines, at one entry. */
export class QueueWaits {
  private readonly _waiting = new Map<string, WaitingRequest>()
  private _ratio = 1
  private _ratioAt = 0

  /** Records that a request was sent, with the time to its first event that was expected with the present slowness, in milliseconds. */
  sent (request: string, expected: number, now: number): void { this._waiting.set(request, { sentAt: now, modelled: Math.max(1, expected / this.slowness(now)) }) }

  /** Records that a request has begun. */
  begun (request: string, now: number): void {
    const sent = this._waiting.get(request)
    if (sent === undefined) return
    this._waiting.delete(request)
    this._add((now - sent.sentAt) / sent.modelled, now)
  }

  /** Records that a request has ended or its attempt has failed, whether it had begun or not. */
  ended (request: string, now: number): void {
    const sent = this._waiting.get(request)
    if (sent === undefined) return
    this._waiting.delete(request)
    // One that ends without having begun shows only that its wait was at least this long.
    const ratio = (now - sent.sentAt) / sent.modelled
    if (ratio > this._decayed(now)) this._add(ratio, now)
  }

  /**
   * The ratio of measured to modelled waits. Those still waiting count with their age, because the longest waits end last.
   *
   * @example
   * const expected = waits.slowness(now) * modelled
   */
  slowness (now: number): number {
    let ages = 0
    for (const { sentAt, modelled } of this._waiting.values()) ages += (now - sentAt) / modelled
    return Math.min(MAX_RATIO, Math.max(this._decayed(now), ages / Math.max(1, this._waiting.size)))
  }

  private _decayed (now: number): number { return 1 + (this._ratio - 1) * decay(now - this._ratioAt, HALF_LIFE) }

  private _add (ratio: number, now: number): void {
    const before = this._decayed(now)
    this._ratio = before + SMOOTHING * (Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)) - before)
    this._ratioAt = now
  }
}
