/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Whether one endpoint can be reached, from the connections that one entry opened to it. A connection without an answer may be due to a
 * lost packet or a full link: it makes other endpoints preferable, but excludes this one only if several in a row, over some time, got
 * none. A refused connection proves that nothing listens at that moment.
 */
import type { ConnectionFailure } from '../attempts/attempt-tracker.js'

/**
 * `reachable`: used like any other. `doubtful`: others are preferred. `unreachable`: used by one request at a time, to find out whether
 * it can be reached again.
 */
export type Reach = 'reachable' | 'doubtful' | 'unreachable'

/** How many connections in a row must be lost, and over which time in milliseconds, until an endpoint counts as unreachable. */
const LOSSES_OF_UNREACHABLE = 3
const TIME_OF_UNREACHABLE = 500
/** How long other endpoints are preferred after the first failure, in milliseconds; doubles with each further one. */
const FIRST_AVOIDANCE = 2_000
const MAX_AVOIDANCE = 10_000
/** Between two trials of an unreachable endpoint, in milliseconds. */
const TRIAL_PAUSE = 100
/** After this time without a result, a trial no longer blocks others, in milliseconds: the longest timeout of a connection, and some more. */
const TRIAL_LIFETIME = 1_000

/** Whether a failure proves by itself that the endpoint cannot be reached. */
const isProof: Record<ConnectionFailure, boolean> = { 'connection-refused': true, 'connection-timed-out': false, 'connection-failed': false, 'connection-superseded': false }

/** The reach of one endpoint, as seen by one entry. */
export class EndpointReach {
  private _failures = 0
  private _firstFailureAt = 0
  private _lastFailureAt = -Infinity
  private _proven = false
  private _triedAt = -Infinity

  /** The number of failures since a connection last opened; failures at the same time count once. */
  get failures (): number { return this._failures }

  /**
   * Returns the current state.
   *
   * @example
   * const preferred = endpoints.filter(({ reach }) => reach.state(now) === 'reachable')
   */
  state (now: number): Reach {
    if (this._failures === 0) return 'reachable'
    if (now >= this._lastFailureAt + this._avoidance && !(this._isConclusive && this._isTried(now))) return 'reachable'
    return this._isConclusive ? 'unreachable' : 'doubtful'
  }

  /** Whether a request may be sent to the endpoint although others are preferred. */
  mayTry (now: number): boolean {
    return !this._isConclusive || (!this._isTried(now) && now - this._lastFailureAt >= TRIAL_PAUSE)
  }

  /** Records that a request was sent. */
  sent (now: number): void { if (this._isConclusive) this._triedAt = now }

  /**
   * Records that a connection opened.
   *
   * @returns Whether the endpoint was unreachable before.
   */
  opened (): boolean {
    const was = this._isConclusive
    this._failures = 0
    return was
  }

  /**
   * Records that a connection did not open.
   *
   * @param begunAt When it was begun. One that overlaps with an earlier failure is no further evidence: all of a moment may have one cause.
   * @returns Whether the endpoint has become unreachable.
   * @example
   * if (reach.failed('connection-timed-out', sentAt, now)) log.warn('endpoint-unreachable', { endpoint })
   */
  failed (failure: ConnectionFailure, begunAt: number, now: number): boolean {
    const was = this._isConclusive
    this._triedAt = -Infinity
    this._proven = isProof[failure]
    if (begunAt >= this._lastFailureAt || this._failures === 0) this._count(now)
    return !was && this._isConclusive
  }

  private _count (now: number): void {
    if (this._failures === 0) this._firstFailureAt = now
    this._failures += 1
    this._lastFailureAt = now
  }

  private get _avoidance (): number { return Math.min(MAX_AVOIDANCE, FIRST_AVOIDANCE * 2 ** (this._failures - 1)) }

  private get _isConclusive (): boolean {
    if (this._failures === 0) return false
    return this._proven || (this._failures >= LOSSES_OF_UNREACHABLE && this._lastFailureAt - this._firstFailureAt >= TIME_OF_UNREACHABLE)
  }

  private _isTried (now: number): boolean { return now - this._triedAt < TRIAL_LIFETIME }
}
