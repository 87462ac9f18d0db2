/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks the load orders of one agent, and whether the version that its engine loaded is known to be whole. An engine may take an order long
 * after its call has failed, and loads whatever is staged at that moment. So the staging memory must not change while an order may still be
 * taken, and a load counts as verified only if nothing changed between the verification of the staged version and the load.
 */
import type { OrderResult } from './version-switch.js'

/** What an engine reports about its orders. */
export interface EngineOrderReport {
  /** The number of orders that began something since the engine started; `undefined` if the engine does not count them. */
  readonly sequence: number | undefined
  /** The version that it serves; 0 for none. */
  readonly version: number
}

/** Whether the loaded version is whole. `unchecked`: the staged version has to be verified again, to decide between the other two. */
export type LoadTrust = 'verified' | 'unchecked' | 'unverified'

/** An order that may still be taken. */
interface PendingOrder {
  readonly version: number
  /** When it was sent for the first time, in milliseconds. */
  readonly sentAt: number
  /** When the last verification of the staged version began, in milliseconds. */
  verifiedAt: number
  /** When the last call that left it open whether the order is taken ended, in milliseconds; `undefined` if there was none. */
  unansweredAt: number | undefined
}

/**
 * The longest time from the start of a verification until the engine takes the order, in milliseconds. It is below the 3 s within which
 * platforms allow a staged chunk to become corrupted unnoticed.
 */
export const MAX_VERIFICATION_AGE = 2_000

/**
 * How long after its call failed an order may still be taken, in milliseconds. A version whose staged chunks are lost and can't be fetched again
 * must not keep the staging memory for ever.
 */
const LATE_EFFECT_TIME = 10_000

/** The load orders of one agent to one start of its engine. All times are in milliseconds, by one clock. */
export class LoadOrders {
  private _sequence: number | undefined
  /** The number of orders once the last one that the engine accepted is counted; reports may lag behind it. */
  private _acceptedSequence: number | undefined
  private _pending: PendingOrder | undefined
  private _trust: LoadTrust = 'verified'
  /** The staged version that is to be checked must not have changed since then. */
  private _unchangedSince = -Infinity

  /**
   * @param _doubtedUntil Until when calls of an earlier agent of the engine may take effect. A load until then is checked.
   */
  constructor (private readonly _doubtedUntil = -Infinity) {}

  /** Whether the loaded version is whole. */
  get trust (): LoadTrust { return this._trust }

  /** Whether the staging memory must keep its contents, since an order may still be taken or a load has to be checked. */
  get holdsStaging (): boolean { return this._pending !== undefined || this._trust === 'unchecked' }

  /** The number of orders after which the engine may take the next one; `undefined` if the engine does not count them. */
  get expectedSequence (): number | undefined { return this._sequence }

  /**
   * Records a report of the engine.
   *
   * @param stagingChangedAt When the staging memory changed last; -Infinity if it did not since the agent started.
   * @example
   * orders.reported({ sequence: 2, version: 5 }, staging.changedAt, performance.now())
   */
  reported ({ sequence, version }: EngineOrderReport, stagingChangedAt: number, now: number): void {
    const previous = this._sequence
    this._sequence = sequence
    if (sequence !== undefined && previous !== undefined && sequence < previous) return this._restarted()
    if (this._trust === 'unchecked' && stagingChangedAt > this._unchangedSince) this._trust = 'unverified'
    const counted = sequence !== undefined && previous !== undefined && sequence > previous && sequence !== this._acceptedSequence
    if (counted || this._pending?.version === version) this._taken(counted, stagingChangedAt, now)
    else if (this._pending?.unansweredAt !== undefined && now - this._pending.unansweredAt > LATE_EFFECT_TIME) this._pending = undefined
  }

  /**
   * Records that an order is about to be sent.
   *
   * @param verifiedAt When the verification of the staged version began.
   */
  sent (version: number, verifiedAt: number, now: number): void {
    this._pending ??= { version, sentAt: now, verifiedAt, unansweredAt: undefined }
    this._pending.verifiedAt = verifiedAt
  }

  /** Records the result of the last order. */
  answered (result: OrderResult, stagingChangedAt: number, now: number): void { this._resultHandlers[result](stagingChangedAt, now) }

  /** Records whether the staged version was whole when it was verified after a load. */
  checked (whole: boolean, stagingChangedAt: number): void {
    if (this._trust === 'unchecked') this._trust = whole && stagingChangedAt <= this._unchangedSince ? 'verified' : 'unverified'
  }

  private readonly _resultHandlers: Readonly<Record<OrderResult, (stagingChangedAt: number, now: number) => void>> = {
    begun: (stagingChangedAt, now) => {
      if (this._pending === undefined) return
      this._acceptedSequence = this._sequence === undefined ? undefined : this._sequence + 1
      this._judge(this._pending.verifiedAt, this._pending.verifiedAt, stagingChangedAt, now)
      this._pending = undefined
    },
    // The next report tells whether the version was loaded by this order or by an earlier one.
    done: (_stagingChangedAt, now) => this._leaveOpen(now),
    refused: () => { if (this._pending?.unansweredAt === undefined) this._pending = undefined },
    unreachable: (_stagingChangedAt, now) => this._leaveOpen(now),
    'not-whole': () => {}
  }

  private _leaveOpen (now: number): void { if (this._pending !== undefined) this._pending.unansweredAt = now }

  private _restarted (): void {
    this._acceptedSequence = undefined
    this._pending = undefined
    this._trust = 'verified'
  }

  /** @param counted Whether the engine counted another order, rather than only serving the version of the pending one. */
  private _taken (counted: boolean, stagingChangedAt: number, now: number): void {
    const pending = this._pending
    this._pending = undefined
    if (pending !== undefined) this._judge(pending.sentAt, pending.verifiedAt, stagingChangedAt, now)
    else if (counted) this._judge(-Infinity, -Infinity, stagingChangedAt, now)
  }

  /**
   * Judges a load that was taken until now.
   *
   * @param unchangedSince Since when the staging memory must not have changed: the order may have been taken at any time after it.
   */
  private _judge (unchangedSince: number, verifiedAt: number, stagingChangedAt: number, now: number): void {
    this._unchangedSince = unchangedSince
    if (stagingChangedAt > unchangedSince) this._trust = 'unverified'
    else this._trust = now > this._doubtedUntil && now - verifiedAt <= MAX_VERIFICATION_AGE ? 'verified' : 'unchecked'
  }
}
