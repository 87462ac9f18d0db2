/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides what follows when an attempt at an endpoint has ended: pass its answer on, try the next endpoint, go on with
 * a broken stream, or give up. It knows nothing of sockets; the shell reports what happened.
 */
import type { Outcome } from '../../failure.js'
import type { Route } from '../published/routing-configuration.js'

/** Why an endpoint certainly did not run a request. */
export type NotRunReason = 'full' | 'wrong-instance' | 'wrong-version' | 'not-connected' | 'refused'

/** How an attempt ended. */
export type AttemptEnd =
  /** A whole answer came: an event stream up to its end, or an answer of another kind. */
  | { readonly type: 'answered', readonly status: number, readonly stream: boolean }
  | { readonly type: 'not-run', readonly reason: NotRunReason }
  /** The connection ended, within a stream or before it, or what came was no answer to this request. It may have run. */
  | { readonly type: 'broken', readonly detail: string, readonly connection: 'lost' | 'open' }
  /** Nothing came for so long that the endpoint counts as dead. It may have run. */
  | { readonly type: 'stalled', readonly detail: string }

/** What follows. */
export type NextStep =
  | { readonly type: 'pass-on' }
  | { readonly type: 'try-next' }
  /** Go on at another endpoint after the last event that the caller has. */
  | { readonly type: 'resume' }
  | { readonly type: 'give-up', readonly outcome: Outcome }

/** What a further attempt is for: a stream whose caller has its first events, or an answer of which nothing is out. */
export type RetryPurpose = 'go-on' | 'begin'

/** What bounds further attempts. */
export interface AttemptBounds {
  /** Whether there is still time before the caller's deadline and the route's time-out. */
  readonly timeLeft: boolean
  /** Whether it may have ended endpoints, and is to be tried at no other. */
  readonly suspect: boolean
  /** Whether another endpoint can take it. */
  readonly elsewhere: () => boolean
  /** Spends one retry of the service's budget if there is one. */
  readonly spendRetry: (purpose: RetryPurpose) => boolean
}

/** Answers below this status are successes. */
export const LEAST_UNSUCCESSFUL_STATUS = 300
/** Answers of an endpoint from this status on count as its failure. */
export const LEAST_FAILURE_STATUS = 500

/** The ends of an attempt, as far as they are told apart here. */
export type EndKind = 'whole-stream' | 'whole-success' | 'rejection' | 'failure' | 'not-connected' | 'not-run' | 'lost'

/** What the caller has: whole events only are passed on, and a head goes with the first of them. */
export type CallerHas = 'nothing' | 'events'

/**
 * What an end calls for. `final`: it is the answer. `final-if-last`: so it is, but another endpoint may do better. `replace`: it is
 * no answer, and another endpoint is needed.
 */
type Verdict = 'final' | 'final-if-last' | 'replace'

/**
 * All cases. Once a caller has events, only a whole stream may end its answer: any other answer in that place made a broken
 * stream look whole (26 to 37 streams on a day on which engines fail half of the streams that they are to go on with).
 */
const verdicts: Record<EndKind, Record<CallerHas, Verdict>> = {
  'whole-stream': { nothing: 'final', events: 'final' },
  'whole-success': { nothing: 'final', events: 'replace' },
  rejection: { nothing: 'final', events: 'replace' },
  failure: { nothing: 'final-if-last', events: 'replace' },
  'not-connected': { nothing: 'replace', events: 'replace' },
  'not-run': { nothing: 'replace', events: 'replace' },
  lost: { nothing: 'replace', events: 'replace' }
}

/** Ends after which the endpoint certainly did nothing, so that any request may go elsewhere. */
const withoutRun: ReadonlySet<EndKind> = new Set(['not-connected', 'not-run'])

/** The attempts of one request. */
export class AttemptCourse {
  private _sent = 0
  private _mayHaveRun = false
  private _callerHas: CallerHas = 'nothing'

  constructor (private readonly _route: Pick<Route, 'kind' | 'maxAttempts' | 'resumable'>) {}

  /** Attempts whose request reached an endpoint, or may have. */
  get sent (): number { return this._sent }
  /** Whether any endpoint may have run the request. */
  get mayHaveRun (): boolean { return this._mayHaveRun }
  /** Whether the request may run more than once. */
  get repeatable (): boolean { return this._route.kind === 'safe' || (this._route.kind === 'streaming' && this._route.resumable) }

  /** Events have been passed on to the caller. */
  begun (): void { this._callerHas = 'events' }

  /**
   * An attempt has ended.
   *
   * @example
   * const step = course.ended({ type: 'not-run', reason: 'full' }, { timeLeft: true, suspect: false, elsewhere: () => true, spendRetry: purpose => budget.trySpend(purpose) })
   */
  ended (end: AttemptEnd, bounds: AttemptBounds): NextStep {
    const kind = kindOf(end)
    if (kind !== 'not-connected') this._sent += 1
    if (!withoutRun.has(kind)) this._mayHaveRun = true
    const verdict = verdicts[kind][this._callerHas]
    if (verdict === 'final') return { type: 'pass-on' }
    if (this._mayGoElsewhere(kind) && this._another(kind, bounds)) return { type: this._callerHas === 'events' ? 'resume' : 'try-next' }
    return verdict === 'final-if-last' ? { type: 'pass-on' } : this._giveUp()
  }

  private _mayGoElsewhere (kind: EndKind): boolean {
    if (withoutRun.has(kind)) return true
    return this._callerHas === 'events' ? this._route.resumable : this.repeatable
  }

  /** A connection that never opened brought no endpoint any load, and is no attempt. */
  private _another (kind: EndKind, { timeLeft, suspect, elsewhere, spendRetry }: AttemptBounds): boolean {
    const costly = kind !== 'not-connected'
    if (!timeLeft || suspect || (costly && this._sent >= this._route.maxAttempts) || !elsewhere()) return false
    return !costly || spendRetry(this._callerHas === 'events' ? 'go-on' : 'begin')
  }

  private _giveUp (): NextStep {
    if (this._callerHas === 'events') return { type: 'give-up', outcome: 'cut' }
    return { type: 'give-up', outcome: this._mayHaveRun ? 'unknown' : 'not-run' }
  }
}

const kindsOfEnds: { readonly [Type in AttemptEnd['type']]: (end: Extract<AttemptEnd, { type: Type }>) => EndKind } = {
  answered: ({ status, stream }) => {
    if (status >= LEAST_FAILURE_STATUS) return 'failure'
    if (status >= LEAST_UNSUCCESSFUL_STATUS) return 'rejection'
    return stream ? 'whole-stream' : 'whole-success'
  },
  'not-run': ({ reason }) => reason === 'not-connected' ? 'not-connected' : 'not-run',
  broken: () => 'lost',
  stalled: () => 'lost'
}

function kindOf (end: AttemptEnd): EndKind { return kindsOfEnds[end.type](end as never) }
