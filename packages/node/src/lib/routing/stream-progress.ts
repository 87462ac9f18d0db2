/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Tracks the event stream of one request over all its attempts: the last event that the caller has, and the gaps between events. */
import type { WholeEvents } from '@drumdrift/core'

/** The progress of one request's event stream. */
export class StreamProgress {
  private _firstEventAt: number | undefined
  private _lastEventAt = 0
  private _longestGap = 0

  /**
   * @param _lastEventId The last event that the caller received from an earlier answer.
   */
  constructor (private _lastEventId: string | undefined) {}

  /** The ID of the last event that the caller has; `undefined` if it has none. */
  get lastEventId (): string | undefined { return this._lastEventId }
  /** When the first event arrived; `undefined` until then. */
  get firstEventAt (): number | undefined { return this._firstEventAt }
  /** The longest gap between events, in milliseconds. */
  get longestGap (): number { return this._longestGap }

  /**
   * Records events that are forwarded to the caller.
   *
   * @example
   * progress.forwarded(events, now)
   */
  forwarded ({ lastId }: WholeEvents, now: number): void {
    if (this._firstEventAt !== undefined) this._longestGap = Math.max(this._longestGap, now - this._lastEventAt)
    this._firstEventAt ??= now
    this._lastEventAt = now
    this._lastEventId = lastId ?? this._lastEventId
  }
}
