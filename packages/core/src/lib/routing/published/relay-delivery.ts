/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Decides whether relays still deliver what they announce. A process that relies on relays that do not would keep outdated state. */

/**
 * How long a relay may be ahead of this process before something has to be delivered, in milliseconds: long enough for a fetch that
 * times out and another one from the next relay.
 */
const DELIVERY_TIMEOUT = 1_500

/** Whether the relays of one process deliver. Times are of a clock that stands still while this process does not run. */
export class RelayDelivery {
  private _behindSince: number | undefined
  private _overdue = false

  /** Whether the relays did not deliver in time, and have delivered nothing since. */
  get overdue (): boolean { return this._overdue }

  /**
   * Records whether some relay is ahead of this process.
   *
   * @returns For how long one has been ahead, in milliseconds, if a delivery has just become overdue.
   * @example
   * const behindFor = delivery.observe(relays.areAhead(state.held, topics, now), now)
   */
  observe (isBehind: boolean, now: number): number | undefined {
    this._behindSince = isBehind ? this._behindSince ?? now : undefined
    if (this._overdue || this._behindSince === undefined || now - this._behindSince < DELIVERY_TIMEOUT) return undefined
    this._overdue = true
    return now - this._behindSince
  }

  /** Records that a relay answered a fetch. Returns whether a delivery was overdue. */
  delivered (): boolean {
    const wasOverdue = this._overdue
    this._behindSince = undefined
    this._overdue = false
    return wasOverdue
  }
}
