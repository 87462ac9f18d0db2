/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks until when a process is known to have seen everything that the store held, and from that the earliest time at which the
 * changes in a response may have been made. Neither the wait of the store nor the latency of the network is known by itself: a
 * response that took long may have been held by the store, or may have queued on a link.
 */

/** A call to the store that was answered; times in milliseconds of this process's clock. */
export interface AnsweredCall {
  readonly sentAt: number
  readonly answeredAt: number
  /** How long the store was to hold the call if there were no changes, in milliseconds. */
  readonly wait: number
  readonly empty: boolean
}

/** Timers of this process and of the store may fire early by this much, in milliseconds. */
const TIMER_PRECISION = 1
/** How long a measured latency is used, in milliseconds: several waits of a relay. */
const LATENCY_LIFETIME = 5_000
/** Safety factor and addend, in milliseconds, on a measured latency: the queue of a link may grow between two measurements. */
const LATENCY_FACTOR = 2
const LATENCY_ADDEND = 50

/** The view that one process has of one scope of the store. */
export class StoreView {
  private _completeUntil = -Infinity
  private _latencies: { readonly latency: number, readonly at: number }[] = []

  /** The last time at which the store is known to have held nothing that this process has not received; `-Infinity` if none. */
  get completeUntil (): number { return this._completeUntil }

  /**
   * Records the response to a watch that continued from the last one.
   *
   * @returns The earliest time at which its changes may have been made.
   * @example
   * const since = view.watchAnswered({ sentAt, answeredAt, wait: 1_000, empty: changes.length === 0 })
   */
  watchAnswered (call: AnsweredCall): number {
    const { sentAt, answeredAt, wait, empty } = call
    const isWholeWait = empty && answeredAt - sentAt >= wait - TIMER_PRECISION
    this._latencies = this._latencies.filter(({ at }) => answeredAt - at <= LATENCY_LIFETIME)
    if (isWholeWait) this._latencies.push({ latency: Math.max(0, answeredAt - sentAt - wait), at: answeredAt })
    const heldUntil = isWholeWait ? sentAt + wait - TIMER_PRECISION : this._heldUntil(call)
    const since = Math.max(this._completeUntil, heldUntil ?? -Infinity)
    this._completeUntil = Math.max(this._completeUntil, sentAt, heldUntil ?? -Infinity)
    return since
  }

  /** Records the response to a read of the newest state. Returns the earliest time at which changes in it may have been made. */
  readAnswered (sentAt: number): number {
    const since = this._completeUntil
    this._completeUntil = Math.max(since, sentAt)
    return since
  }

  /**
   * Returns the time until which the store certainly held a watch that it then answered with changes, or `undefined` if the changes
   * may have been there when the watch arrived.
   */
  private _heldUntil ({ sentAt, answeredAt }: AnsweredCall): number | undefined {
    if (this._latencies.length === 0) return undefined
    const latency = LATENCY_FACTOR * Math.max(...this._latencies.map(sample => sample.latency)) + LATENCY_ADDEND
    return answeredAt - sentAt > latency ? answeredAt - latency : undefined
  }
}
