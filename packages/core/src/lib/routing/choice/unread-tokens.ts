/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Estimates how many prompt tokens an engine has admitted but not prefilled yet. Engines count a request as running from its
 * admission, although its first token follows only after the prefill of its prompt and of all others admitted before. They do report
 * the context held by their requests, which grows by the whole prompt at admission.
 */

/** The context that an engine reports. */
export interface ContextReading {
  readonly running: number
  /** Tokens held for the running requests: prompts from their admission on, and generated tokens. */
  readonly contextTokens: number
}

/** Estimates the unread tokens of one engine. */
export class UnreadTokenEstimator {
  private _previous: ContextReading = { running: 0, contextTokens: 0 }
  private _readAt: number | undefined
  private _unread = 0

  /**
   * Adds a reading. There should be several readings within the duration of one request.
   *
   * @param readRate The engine's prefill rate, in prompt tokens per millisecond.
   * @returns The estimated number of unread tokens.
   * @example
   * const unread = estimate.observe({ running: 12, contextTokens: 14_000 }, 20, now)
   */
  observe (reading: ContextReading, readRate: number, now: number): number {
    const elapsed = this._readAt === undefined ? 0 : Math.max(0, now - this._readAt)
    this._unread = Math.max(0, this._unread - elapsed * readRate) + this._newlyAdmitted(reading)
    if (reading.running === 0) this._unread = 0
    this._previous = reading
    this._readAt = now
    return Math.min(this._unread, reading.contextTokens)
  }

  /**
   * Prompt tokens admitted since the last reading. Requests that ended are assumed to have held the mean context. Generated tokens
   * are counted as well, but they are few compared with prompts.
   */
  private _newlyAdmitted ({ running, contextTokens }: ContextReading): number {
    const before = this._previous
    const ended = Math.max(0, before.running - running)
    const released = before.running === 0 ? 0 : ended * before.contextTokens / before.running
    return Math.max(0, contextTokens - before.contextTokens + released)
  }
}
