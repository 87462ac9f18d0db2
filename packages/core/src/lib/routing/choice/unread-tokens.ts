/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Estimates how many prompt tokens an engine has admitted and not read yet. Engines count a request as running from its
 * admission on, though its first token comes only after its prompt has been read together with all others that were
 * admitted; what they do tell is the context that their requests hold, which grows by the whole prompt at admission.
 */

/** What an engine tells of its context. */
export interface ContextReading {
  readonly running: number
  /** Tokens held for the running requests: prompts from their admission on, and what has been written. */
  readonly contextTokens: number
}

/** The estimate for one engine. */
export class UnreadTokens {
  private _before: ContextReading = { running: 0, contextTokens: 0 }
  private _readAt: number | undefined
  private _unread = 0

  /**
   * Takes a reading, a few of which should fall into the time of one request.
   *
   * @param readRate Prompt tokens that the engine reads in a millisecond.
   * @returns The tokens that are not read yet.
   * @example
   * const unread = estimate.observe({ running: 12, contextTokens: 14_000 }, 20, now)
   */
  observe (reading: ContextReading, readRate: number, now: number): number {
    const elapsed = this._readAt === undefined ? 0 : Math.max(0, now - this._readAt)
    this._unread = Math.max(0, this._unread - elapsed * readRate) + this._admitted(reading)
    if (reading.running === 0) this._unread = 0
    this._before = reading
    this._readAt = now
    return Math.min(this._unread, reading.contextTokens)
  }

  /** The context of requests that ended meanwhile is taken to be of the mean size; growth by writing is small beside prompts. */
  private _admitted ({ running, contextTokens }: ContextReading): number {
    const before = this._before
    const ended = Math.max(0, before.running - running)
    const released = before.running === 0 ? 0 : ended * before.contextTokens / before.running
    return Math.max(0, contextTokens - before.contextTokens + released)
  }
}
