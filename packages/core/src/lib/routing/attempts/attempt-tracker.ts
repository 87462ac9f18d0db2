/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides what to do after an attempt ends: forward the answer, retry at another endpoint, resume a broken stream, await another attempt
 * that is in flight, or fail the request; and whether a silent attempt is hedged. This module performs no I/O; its caller reports the result of each attempt.
 */
import type { Outcome } from '../../failure.js'
import type { Route } from '../published/routing-configuration.js'
import { decideHedge, type Alternative, type HedgeDecision } from './hedge-decision.js'

/** Why a connection did not open, so that the request was not sent: refused, not answered in time, any other error, or not needed any more. */
export type ConnectionFailure = 'connection-refused' | 'connection-timed-out' | 'connection-failed' | 'connection-superseded'

/** Why an endpoint is known not to have run a request. `unsendable`: HTTP cannot carry its path or one of its headers. */
export type NotRunReason = 'full' | 'wrong-instance' | 'wrong-version' | 'refused' | 'unsendable' | ConnectionFailure

const connectionFailures: ReadonlySet<NotRunReason> = new Set<ConnectionFailure>(['connection-refused', 'connection-timed-out', 'connection-failed', 'connection-superseded'])

/** Whether a request was not run because its connection did not open. */
export function isConnectionFailure (reason: NotRunReason): reason is ConnectionFailure { return connectionFailures.has(reason) }

/** How an attempt ended. */
export type AttemptEnd =
  /** A complete answer arrived: an event stream up to its end, or an answer of another kind. */
  | { readonly type: 'answered', readonly status: number, readonly stream: boolean }
  | { readonly type: 'not-run', readonly reason: NotRunReason }
  /** The connection ended during or before the answer, or the answer did not belong to this request. The request may have run. */
  | { readonly type: 'broken', readonly detail: string, readonly connection: 'lost' | 'open' }
  /** The endpoint sent nothing until it was too late for the request, or until another attempt delivered. The request may have run. */
  | { readonly type: 'stalled', readonly detail: string }
  /** Another attempt delivered first, although this one was not overdue. The request may have run. */
  | { readonly type: 'superseded', readonly detail: string }
  /** The endpoint cut off an answer that the caller did not read. */
  | { readonly type: 'unread', readonly detail: string }

/** The action to take after an attempt ends. */
export type NextAction =
  | { readonly type: 'pass-on' }
  | { readonly type: 'try-next' }
  /** Resume at another endpoint after the last event forwarded to the caller. */
  | { readonly type: 'resume' }
  /** Another attempt of the request is in flight and may give the answer. */
  | { readonly type: 'await-other' }
  | { readonly type: 'give-up', readonly outcome: Outcome }

/** The purpose of a retry: to resume a stream whose first events were forwarded, or to start an answer of which nothing was. */
export type RetryPurpose = 'go-on' | 'begin'

/** The conditions that limit further attempts. */
export interface AttemptBounds {
  /** Whether neither the caller's deadline nor the route's timeout has passed. */
  readonly timeLeft: boolean
  /** Whether the request is suspected of crashing endpoints, so that it must not be retried. */
  readonly suspect: boolean
  /** The number of other attempts of the request that are in flight; 0 by default. */
  readonly othersInFlight?: number | undefined
  /** Whether another endpoint can take the request. */
  readonly elsewhere: () => boolean
  /** Takes one retry from the service's retry budget; returns `false` if the budget is exhausted. */
  readonly spendRetry: (purpose: RetryPurpose) => boolean
}

/** The conditions that limit hedges: see `AttemptBounds`. */
export interface HedgeBounds extends Pick<AttemptBounds, 'timeLeft' | 'suspect' | 'spendRetry'> {
  /** The number of attempts in flight. */
  readonly inFlight: number
  /** Whether another endpoint can take the request. */
  readonly alternative: () => Alternative
}

/** Status codes below this one are successes. */
export const MIN_UNSUCCESSFUL_STATUS = 300
/** Status codes from this one on are failures of the endpoint. */
export const MIN_FAILURE_STATUS = 500

/** The classes of attempt results that the decision distinguishes. */
export type ResultKind = 'whole-stream' | 'whole-success' | 'rejection' | 'failure' | 'not-connected' | 'not-run' | 'lost' | 'unread'

/**
 * What was forwarded to the caller: complete events of a stream, or the first part of an answer that is too large to buffer. The
 * response head is sent with the first of either.
 */
export type Forwarded = 'nothing' | 'events' | 'body-part'

/**
 * How a result is handled. `final`: it is the answer. `final-if-last`: it is the answer unless a retry is possible. `replace`: it
 * cannot be the answer, and another endpoint is needed.
 */
type Verdict = 'final' | 'final-if-last' | 'replace'

/**
 * The verdict for each result. Once events were forwarded, only a complete stream may end the answer: any other answer would make
 * a broken stream look complete. This happened to 26 to 37 streams in a run in which engines failed half of the resumed streams.
 */
const verdicts: Record<ResultKind, Record<Forwarded, Verdict>> = {
  'whole-stream': { nothing: 'final', events: 'final', 'body-part': 'replace' },
  'whole-success': { nothing: 'final', events: 'replace', 'body-part': 'final' },
  rejection: { nothing: 'final', events: 'replace', 'body-part': 'final' },
  failure: { nothing: 'final-if-last', events: 'replace', 'body-part': 'final' },
  'not-connected': { nothing: 'replace', events: 'replace', 'body-part': 'replace' },
  'not-run': { nothing: 'replace', events: 'replace', 'body-part': 'replace' },
  lost: { nothing: 'replace', events: 'replace', 'body-part': 'replace' },
  unread: { nothing: 'replace', events: 'replace', 'body-part': 'replace' }
}

/** Results that prove that the endpoint did not run the request, so that any request may be retried. */
const notRunKinds: ReadonlySet<ResultKind> = new Set(['not-connected', 'not-run'])

/** Tracks the attempts of one request. */
export class AttemptTracker {
  private _sent = 0
  private _mayHaveRun = false
  /** Whether a retry was spent on a hedge that did not connect. */
  private _retrySpent = false
  private _forwarded: Forwarded = 'nothing'

  constructor (private readonly _route: Pick<Route, 'kind' | 'maxAttempts' | 'resumable'>) {}

  /** The number of attempts whose request reached an endpoint or may have reached one. */
  get sent (): number { return this._sent }
  get mayHaveRun (): boolean { return this._mayHaveRun }
  /** Whether the request may safely run more than once. */
  get repeatable (): boolean { return this._route.kind === 'safe' || (this._route.kind === 'streaming' && this._route.resumable) }

  /** Records what was forwarded to the caller. */
  begun (forwarded: Exclude<Forwarded, 'nothing'> = 'events'): void { this._forwarded = forwarded }

  /**
   * Records the result of an attempt and returns the next action.
   *
   * @example
   * const step = course.ended({ type: 'not-run', reason: 'full' }, { timeLeft: true, suspect: false, elsewhere: () => true, spendRetry: purpose => budget.trySpend(purpose) })
   */
  ended (end: AttemptEnd, bounds: AttemptBounds): NextAction {
    const kind = kindOf(end)
    if (kind !== 'not-connected') this._sent += 1
    if (!notRunKinds.has(kind)) this._mayHaveRun = true
    const verdict = verdicts[kind][this._forwarded]
    const othersInFlight = (bounds.othersInFlight ?? 0) > 0
    // A rejection may concern this endpoint only.
    if (verdict === 'final' && !(othersInFlight && kind === 'rejection')) return { type: 'pass-on' }
    if (othersInFlight) {
      this._retrySpent ||= kind === 'not-connected'
      return { type: 'await-other' }
    }
    if (this._isRetryable(kind) && this._mayRetry(kind, bounds)) return { type: this._forwarded === 'events' ? 'resume' : 'try-next' }
    return verdict === 'final-if-last' ? { type: 'pass-on' } : this._failure()
  }

  /**
   * Decides whether another attempt starts while silent ones go on. Attempts in flight count toward those of the route.
   *
   * @example
   * const decision = course.hedge({ inFlight: 1, timeLeft: true, suspect: false, alternative: () => 'available', spendRetry: purpose => budget.trySpend(purpose) })
   */
  hedge ({ inFlight, timeLeft, suspect, alternative, spendRetry }: HedgeBounds): HedgeDecision {
    const decision = decideHedge({
      repeatable: this._isRetryable('lost'), timeLeft, attemptLeft: this._sent + inFlight < this._route.maxAttempts, suspect, alternative, spendRetry: () => this._retrySpent || spendRetry(this._retryPurpose)
    })
    if (decision.type === 'hedge') this._retrySpent = false
    return decision
  }

  /**
   * Whether the first part of a large body may be forwarded: not after events of a stream, and no unsuccessful one while another attempt may
   * give the answer.
   *
   * @example
   * if (!course.mayForwardBody(head.status, 0)) attempt.breakOff('not a stream')
   */
  mayForwardBody (status: number, othersInFlight: number): boolean {
    return this._forwarded !== 'events' && (othersInFlight === 0 || status < MIN_UNSUCCESSFUL_STATUS)
  }

  private get _retryPurpose (): RetryPurpose { return this._forwarded === 'events' ? 'go-on' : 'begin' }

  private _isRetryable (kind: ResultKind): boolean {
    // Another endpoint would only repeat work for a caller that does not read, and the rest of a body can't be resumed.
    if (kind === 'unread' || this._forwarded === 'body-part') return false
    if (notRunKinds.has(kind)) return true
    return this._forwarded === 'events' ? this._route.resumable : this.repeatable
  }

  /** A failed connection puts no load on an endpoint, so it counts neither as an attempt nor against the retry budget. */
  private _mayRetry (kind: ResultKind, { timeLeft, suspect, elsewhere, spendRetry }: AttemptBounds): boolean {
    const countsAsAttempt = kind !== 'not-connected'
    if (!timeLeft || suspect || (countsAsAttempt && this._sent >= this._route.maxAttempts) || !elsewhere()) return false
    return !countsAsAttempt || spendRetry(this._retryPurpose)
  }

  private _failure (): NextAction {
    if (this._forwarded !== 'nothing') return { type: 'give-up', outcome: 'cut' }
    return { type: 'give-up', outcome: this._mayHaveRun ? 'unknown' : 'not-run' }
  }
}

const kindByType: { readonly [Type in AttemptEnd['type']]: (end: Extract<AttemptEnd, { type: Type }>) => ResultKind } = {
  answered: ({ status, stream }) => {
    if (status >= MIN_FAILURE_STATUS) return 'failure'
    if (status >= MIN_UNSUCCESSFUL_STATUS) return 'rejection'
    return stream ? 'whole-stream' : 'whole-success'
  },
  'not-run': ({ reason }) => isConnectionFailure(reason) ? 'not-connected' : 'not-run',
  broken: () => 'lost',
  stalled: () => 'lost',
  superseded: () => 'lost',
  unread: () => 'unread'
}

function kindOf (end: AttemptEnd): ResultKind { return kindByType[end.type](end as never) }
