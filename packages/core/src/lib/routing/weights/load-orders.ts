/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks the load orders of one agent, and whether the version that its engine loaded is known to be whole. An engine may take an order long
 * after its call has failed, and loads whatever is staged at that moment. So the staging memory must not change while an order may still be
 * taken, and each load is checked: what is staged after it, and did not change since before it, is what was loaded.
 */
import type { OrderResult } from './version-switch.js'

/** What an engine reports about its orders. */
export interface EngineOrderReport {
  /** The number of orders that began something since the engine started; `undefined` if the engine does not count them. */
  readonly sequence: number | undefined
  /** The version that it serves; 0 for none. */
  readonly version: number
  /** Whether it is executing an order. */
  readonly busy?: boolean | undefined
}

/** When something was done, in milliseconds by one clock. */
export interface OrderTimes {
  /** When the report was requested. */
  readonly askedAt: number
  /** When the staging memory changed last; -Infinity if it did not since the agent started. */
  readonly stagingChangedAt: number
  readonly now: number
}

/** Whether the loaded version is whole. `unchecked`: the staged version has to be read back, to decide between the other two. */
export type LoadTrust = 'verified' | 'unchecked' | 'unverified'

/**
 * What was read back after a load. `corrupt`: some chunks are neither of the staged version nor of another one. `replaced`: chunks are missing,
 * or of another version.
 */
export type ReadBack = 'whole' | 'corrupt' | 'replaced'

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

/** A load, from the order on. */
interface Load {
  /** The version that the engine served before, and whether that was whole. */
  readonly versionBefore: number
  readonly trustBefore: LoadTrust
  /** Since when the staging memory must not have changed, in milliseconds: the order may have been taken at any time after it. */
  readonly unchangedSince: number
  /** When this process knew of it, in milliseconds. */
  readonly noticedAt: number
  /** Whether the staged version was verified shortly before. */
  readonly isFresh: boolean
  /** The version that was staged completely when the order was taken; `undefined` if that is not known. */
  verifiedVersion: number | undefined
}

/** The longest time from the start of a verification until the order is sent, in milliseconds. */
export const MAX_VERIFICATION_AGE = 1_000
/**
 * A chunk that is found corrupt was so for less than this when the order was taken, in milliseconds: below the 3 s within which platforms allow
 * staged chunks to become corrupt unnoticed.
 */
const MAX_CORRUPT_TIME = 2_900
/** For how long after its start an agent takes an unknown chunk for a late write of an earlier agent, in milliseconds. */
const EARLIER_AGENT_TIME = 30_000

/**
 * How long after its call failed an order may still be taken, in milliseconds. A version whose staged chunks are lost and can't be fetched again
 * must not keep the staging memory for ever.
 */
const LATE_EFFECT_TIME = 10_000

/** How long a load may stay unchecked before the staging memory is used again, in milliseconds. */
const MAX_CHECK_TIME = 10_000

/** The load orders of one agent to one start of its engine. */
export class LoadOrders {
  private _report: EngineOrderReport | undefined
  /** When the engine had certainly taken no order but those that are counted, in milliseconds. */
  private _countedAt = -Infinity
  /** The number of orders once the last one that the engine accepted is counted; reports may lag behind it. */
  private _acceptedSequence: number | undefined
  private _pending: PendingOrder | undefined
  private _load: Load | undefined
  private _loadTrust: LoadTrust = 'verified'
  private _wasCleared = false

  /**
   * @param _startedAt When the agent started, in milliseconds.
   */
  constructor (private readonly _startedAt = -Infinity) {}

  /** Whether the served version was doubted, and then found whole. */
  get wasCleared (): boolean { return this._wasCleared }

  /** Whether the version that the engine serves is whole. */
  get trust (): LoadTrust {
    return this._load !== undefined && this._isLoading(this._load) ? this._load.trustBefore : this._loadTrust
  }

  /** Whether the last load has to be checked. */
  get needsCheck (): boolean { return this._loadTrust === 'unchecked' }

  /** Whether the staging memory must keep its contents, since an order may still be taken or a load has to be checked. */
  get holdsStaging (): boolean { return this._pending !== undefined || this.needsCheck }

  /** The number of orders after which the engine may take the next one; `undefined` if the engine does not count them. */
  get expectedSequence (): number | undefined { return this._report?.sequence }

  /**
   * Records a report of the engine.
   *
   * @example
   * orders.reported({ sequence: 2, version: 5 }, { askedAt, stagingChangedAt: staging.changedAt, now: performance.now() })
   */
  reported (report: EngineOrderReport, times: OrderTimes): void {
    const before = this._report
    this._report = { ...report, sequence: report.sequence ?? before?.sequence }
    const added = (report.sequence ?? 0) - (before?.sequence ?? report.sequence ?? 0)
    if (added < 0) this._restarted()
    const isUnderWay = before === undefined && report.busy === true
    const isNew = isUnderWay || (added > 0 && report.sequence !== this._acceptedSequence)
    if (isNew || this._pending?.version === report.version) this._taken(before?.version ?? report.version, times)
    else this._expirePending(times.now)
    if (added <= 0) this._countedAt = times.askedAt
    this._compareLoaded(times)
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

  /**
   * Records what was read back after a load.
   *
   * @param version The staged version.
   */
  checked (readBack: ReadBack, version: number, stagingChangedAt: number): void {
    const load = this._load
    if (load === undefined || !this.needsCheck) return
    const wasDoubted = this.trust === 'unchecked'
    const wasWhole = readBack === 'whole' || (readBack === 'corrupt' && load.isFresh)
    this._loadTrust = wasWhole && stagingChangedAt <= load.unchangedSince ? 'verified' : 'unverified'
    load.verifiedVersion = version
    this._wasCleared = wasDoubted && this._loadTrust === 'verified'
  }

  private readonly _resultHandlers: Readonly<Record<OrderResult, (stagingChangedAt: number, now: number) => void>> = {
    begun: (stagingChangedAt, now) => {
      if (this._pending === undefined) return
      const { verifiedAt } = this._pending
      this._pending = undefined
      this._acceptedSequence = this.expectedSequence === undefined ? undefined : this.expectedSequence + 1
      this._begin({ versionBefore: this._report?.version ?? 0, unchangedSince: verifiedAt, noticedAt: now, isFresh: this._isFresh(verifiedAt, now) }, stagingChangedAt)
    },
    // The next report tells whether the version was loaded by this order or by an earlier one.
    done: (_stagingChangedAt, now) => this._leaveOpen(now),
    refused: () => { if (this._pending?.unansweredAt === undefined) this._pending = undefined },
    unreachable: (_stagingChangedAt, now) => this._leaveOpen(now),
    'not-whole': () => {}
  }

  private _leaveOpen (now: number): void { if (this._pending !== undefined) this._pending.unansweredAt = now }

  private _expirePending (now: number): void {
    const { unansweredAt } = this._pending ?? {}
    if (unansweredAt !== undefined && now - unansweredAt > LATE_EFFECT_TIME) this._pending = undefined
  }

  private _restarted (): void {
    this._acceptedSequence = undefined
    this._pending = undefined
    this._load = undefined
    this._loadTrust = 'verified'
    this._wasCleared = false
  }

  /** Records that an order was taken whose call failed, or that an earlier agent sent. */
  private _taken (versionBefore: number, { stagingChangedAt, now }: OrderTimes): void {
    const { sentAt = -Infinity, verifiedAt = -Infinity } = this._pending ?? {}
    this._pending = undefined
    this._begin({ versionBefore, unchangedSince: Math.max(sentAt, this._countedAt), noticedAt: now, isFresh: this._isFresh(verifiedAt, now) }, stagingChangedAt)
  }

  private _isFresh (verifiedAt: number, now: number): boolean {
    return now - verifiedAt <= MAX_CORRUPT_TIME && now - this._startedAt > EARLIER_AGENT_TIME
  }

  private _begin (load: Omit<Load, 'trustBefore' | 'verifiedVersion'>, stagingChangedAt: number): void {
    this._wasCleared = false
    this._load = { ...load, trustBefore: this.trust, verifiedVersion: undefined }
    this._loadTrust = stagingChangedAt <= load.unchangedSince ? 'unchecked' : 'unverified'
  }

  /** Whether the engine does not serve the version of a load yet. Until then it serves the version before, or none. */
  private _isLoading ({ versionBefore }: Load): boolean { return this._report?.version === 0 || this._report?.version === versionBefore }

  /** An engine that took an order of an earlier agent may load another version than the staged one. */
  private _compareLoaded ({ stagingChangedAt, now }: OrderTimes): void {
    const load = this._load
    if (load === undefined || this._report === undefined) return
    const isOther = load.verifiedVersion !== undefined && !this._isLoading(load) && this._report.version !== load.verifiedVersion
    const isTooLate = stagingChangedAt > load.unchangedSince || now - load.noticedAt > MAX_CHECK_TIME
    if (isOther || (this.needsCheck && isTooLate)) this._loadTrust = 'unverified'
  }
}
