/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * An adaptive limit on what one entry runs at once on one group of endpoints. Nobody tells an entry its share of the
 * endpoints' slots; it finds it: up by a little while answers come, down by a factor when endpoints say they are busy.
 * Until the first such word it allows all the slots that it can see: a crowd that comes at once must not wait for a
 * limit to grow, and endpoints refuse for themselves what is too much.
 */

const INCREASE = 1
const DECREASE = 0.85
/** Decreases come at most this often, in milliseconds: one burst of refusals is one signal. */
const DECREASE_PAUSE = 100

/** The limit of one group. */
export class ConcurrencyLimit {
  private _limit: number
  private _decreasedAt = -Infinity
  /** Whether an endpoint has ever said that it is busy. */
  private _refused = false

  /**
   * @param _least The limit never falls below this.
   * @param _most The limit never rises above this: the slots of all endpoints that the entry can see.
   */
  constructor (private readonly _least: number, private _most: number) {
    this._limit = Math.max(_least, _most)
  }

  /** Requests that may run at once. */
  get limit (): number { return Math.floor(this._limit) }

  /** Sets the slots that are there in all. */
  setMost (most: number): void {
    this._most = Math.max(this._least, most)
    this._limit = this._refused ? Math.min(this._limit, this._most) : this._most
  }

  /** A request ended well while `running` were in progress. An idle entry learns nothing from that. */
  succeeded (running: number): void {
    if (running * 1.25 < this._limit) return
    this._limit = Math.min(this._most, this._limit + INCREASE / this._limit)
  }

  /**
   * An endpoint refused as busy.
   *
   * @example
   * limit.refused(now)
   */
  refused (now: number): void {
    if (now - this._decreasedAt < DECREASE_PAUSE) return
    this._decreasedAt = now
    this._refused = true
    this._limit = Math.max(this._least, this._limit * DECREASE)
  }
}
