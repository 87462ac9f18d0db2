/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks until when a process is known to have seen everything that the store held. An answer may have been on its way for any part of
 * the time that its call took, so only what is certain counts: the store had received a call no earlier than it was sent, and it held a
 * watch without changes for the whole wait.
 */

/** A watch that was answered; times in milliseconds of this process's clock. */
export interface AnsweredWatch {
  readonly sentAt: number
  readonly answeredAt: number
  /** How long the store was to hold the watch if there were no changes, in milliseconds. */
  readonly wait: number
  /** Whether the answer held nothing. */
  readonly empty: boolean
}

/** Timers of this process and of the store may fire early by this much, in milliseconds. */
const TIMER_PRECISION = 1

/** The view that one process has of one scope of the store. */
export class StoreView {
  private _completeUntil = -Infinity

  /** The last time at which the store is known to have held nothing that this process has not received; `-Infinity` if none. */
  get completeUntil (): number { return this._completeUntil }

  /**
   * Records the answer to a watch that continued from the last one. What it held is newer than the view before.
   *
   * @example
   * view.watchAnswered({ sentAt, answeredAt, wait: 1_000, empty: changes.length === 0 })
   */
  watchAnswered ({ sentAt, answeredAt, wait, empty }: AnsweredWatch): void {
    const heldFor = wait - TIMER_PRECISION
    const wasHeld = empty && answeredAt - sentAt >= heldFor
    this._completeUntil = Math.max(this._completeUntil, wasHeld ? sentAt + heldFor : sentAt)
  }

  /** Records the answer to a read of the newest state. */
  readAnswered (sentAt: number): void { this._completeUntil = Math.max(this._completeUntil, sentAt) }
}
