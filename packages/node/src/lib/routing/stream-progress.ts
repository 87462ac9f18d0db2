/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What has come of an event stream, over all the attempts of one request: whole events only, and the pauses between them. */
import { EventSplitter } from '@drumdrift/core'

/** The events of one request. */
export class StreamProgress {
  private _splitter = new EventSplitter()
  private _firstEventAt: number | undefined
  private _lastEventAt = 0
  private _longestGap = 0

  /**
   * @param _lastEventId The last event that the caller has of an earlier answer.
   */
  constructor (private _lastEventId: string | undefined) {}

  /** The last event that the caller has; nothing for none. */
  get lastEventId (): string | undefined { return this._lastEventId }
  /** When the first event came; nothing until then. */
  get firstEventAt (): number | undefined { return this._firstEventAt }
  /** The longest pause between events, in milliseconds. */
  get longestGap (): number { return this._longestGap }
  /** Whether a part of an event has come, and not its end. */
  get withinEvent (): boolean { return this._splitter.pending > 0 }

  /** Another attempt goes on; what came of an event that was cut off is dropped. */
  restart (): void { this._splitter = new EventSplitter() }

  /**
   * Takes bytes of the stream.
   *
   * @returns The whole events that they complete, for the caller; nothing for none.
   * @example
   * const events = progress.take(bytes, now)
   */
  take (bytes: Buffer, now: number): Uint8Array | undefined {
    const events = this._splitter.push(bytes)
    if (events === undefined) return undefined
    if (this._firstEventAt !== undefined) this._longestGap = Math.max(this._longestGap, now - this._lastEventAt)
    this._firstEventAt ??= now
    this._lastEventAt = now
    this._lastEventId = events.lastId ?? this._lastEventId
    return events.bytes
  }
}
