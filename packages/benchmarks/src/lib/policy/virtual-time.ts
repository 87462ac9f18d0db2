/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A clock that jumps from one event to the next, so that a minute of a fleet plays in a fraction of a second. */
import TinyQueue from 'tinyqueue'

interface Due {
  readonly at: number
  /** Keeps events of one moment in the order in which they were planned. */
  readonly order: number
  readonly run: () => void
}

/** Virtual time, in milliseconds from 0 on. */
export class VirtualTime {
  private readonly _queue = new TinyQueue<Due>([], (left, right) => left.at - right.at || left.order - right.order)
  private _now = 0
  private _planned = 0

  get now (): number { return this._now }

  /** Runs something after so many milliseconds. */
  after (milliseconds: number, run: () => void): void {
    this._queue.push({ at: this._now + milliseconds, order: this._planned++, run })
  }

  /**
   * Plays all events up to a time.
   *
   * @example
   * time.playUntil(10_000)
   */
  playUntil (end: number): void {
    for (let next = this._queue.peek(); next !== undefined && next.at <= end; next = this._queue.peek()) {
      this._queue.pop()
      this._now = next.at
      next.run()
    }
    this._now = end
  }
}
