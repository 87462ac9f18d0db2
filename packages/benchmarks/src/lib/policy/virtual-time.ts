/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A discrete-event clock: it advances from one event to the next, so that simulating a minute takes a fraction of a second. */
import TinyQueue from 'tinyqueue'

interface ScheduledEvent {
  readonly at: number
  /** Orders events of the same time by when they were scheduled. */
  readonly order: number
  readonly run: () => void
}

/** Virtual time in milliseconds, starting at 0. */
export class VirtualTime {
  private readonly _queue = new TinyQueue<ScheduledEvent>([], (left, right) => left.at - right.at || left.order - right.order)
  private _now = 0
  private _scheduled = 0

  get now (): number { return this._now }

  /** Schedules a callback after a delay in milliseconds. */
  after (milliseconds: number, run: () => void): void {
    this._queue.push({ at: this._now + milliseconds, order: this._scheduled++, run })
  }

  /**
   * Runs all events up to and including a time.
   *
   * @example
   * time.runUntil(10_000)
   */
  runUntil (end: number): void {
    for (let next = this._queue.peek(); next !== undefined && next.at <= end; next = this._queue.peek()) {
      this._queue.pop()
      this._now = next.at
      next.run()
    }
    this._now = end
  }
}
