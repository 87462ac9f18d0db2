/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Whether an endpoint whose entry is missing has left, or its entry only lapsed while the platform's store was away. In the
 * second case it writes its entry again soon, and is kept meanwhile.
 */

/**
 * After an outage of the store, endpoints whose entries lapsed meanwhile write them again within about two seconds, as
 * the platform's operators say; half a second is added for the way of that news. In milliseconds.
 */
const GRACE = 2_500
/** Endpoints that a restored store lacks write themselves again with their next heartbeat, in milliseconds. */
const REWRITE_TIME = 1_500
/** When few are missing, in milliseconds: with an outage of the store itself most entries lapse, so these have left. */
const FEW_GRACE = 500
/** Less than this share of the endpoints are few. */
const FEW = 0.5

/** The grace of one process after it could not reach the store. */
export class LapseGrace {
  /** Infinite while the store cannot be reached. */
  private _until = 0
  /** From when it is decided whether few or most are missing. */
  private _decideAt = 0
  /** Removals up to this revision may be lapses. */
  private _upTo = 0
  /** Until when the store may lack endpoints that it listed before it was restored from an older copy. */
  private _rewrittenBy = 0
  /** Removals up to this revision may be of that kind. */
  private _restoredUpTo = 0

  /** The store cannot be reached: entries that vanish now may have lapsed only because of that. */
  lost (): void {
    this._until = Infinity
    this._upTo = Infinity
  }

  /**
   * The store answers again.
   *
   * @param upTo Its revision then: what went up to it may have lapsed, what goes later is gone.
   */
  regained (now: number, upTo: number): void {
    if (this._until !== Infinity) return
    this._until = now + GRACE
    this._decideAt = now + FEW_GRACE
    this._upTo = upTo
  }

  /** The store has been restored from an older copy: endpoints that began since are missing in it, few as they may be. */
  restored (now: number): void {
    this._rewrittenBy = now + REWRITE_TIME
    this._restoredUpTo = Infinity
  }

  /** All endpoints were read up to a revision: removals that are told later are no lack of the copy. */
  readUpTo (revision: number): void { this._restoredUpTo = Math.min(this._restoredUpTo, revision) }

  /**
   * Until when an endpoint whose entry is missing since a revision is kept.
   *
   * @returns Nothing when it has left.
   * @example
   * const lapsesAt = grace.keptUntil(revision, now)
   */
  keptUntil (revision: number, now: number): number | undefined {
    if (now < this._rewrittenBy && revision <= this._restoredUpTo) return Math.max(this._rewrittenBy, this._until)
    return now < this._until && revision <= this._upTo ? this._until : undefined
  }

  /** Whether an endpoint that is kept until then is to go now. */
  isOver (lapsesAt: number, now: number): boolean { return now >= Math.max(this._rewrittenBy, Math.min(lapsesAt, this._until)) }

  /** Decides, once for each outage, whether few or most endpoints are missing. */
  decide (missing: number, all: number, now: number): void {
    if (this._until === Infinity || now < this._decideAt) return
    this._decideAt = Infinity
    if (missing < FEW * all) this._until = now
  }
}
