/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides what follows when an attempt at an endpoint has ended: pass its answer on, try the next endpoint, go on with
 * a broken stream, or give up. It knows nothing of sockets; the shell reports what happened.
 */
import type { Outcome } from '../failure.js'
import type { Route } from './routing-configuration.js'

/** Why an endpoint certainly did not run a request. */
export type NotRunReason = 'full' | 'wrong-instance' | 'wrong-version' | 'not-connected' | 'refused'

/** How an attempt ended. */
export type AttemptEnd =
  /** A whole answer came that is to be passed on. */
  | { readonly type: 'answered', readonly status: number }
  | { readonly type: 'not-run', readonly reason: NotRunReason }
  /** The connection ended, or what came was no answer to this request. It may have run. */
  | { readonly type: 'broken', readonly detail: string }
  /** A stream broke off after events had been passed on. */
  | { readonly type: 'cut', readonly detail: string }
  /** Nothing came for so long that the endpoint counts as dead. It may have run. */
  | { readonly type: 'stalled', readonly detail: string }

/** What follows. */
export type NextStep =
  | { readonly type: 'pass-on' }
  | { readonly type: 'try-next' }
  /** Go on at another endpoint after the last event that the caller has. */
  | { readonly type: 'resume' }
  | { readonly type: 'give-up', readonly outcome: Outcome }

/** What bounds further attempts. */
export interface AttemptBounds {
  /** Whether there is still time before the caller's deadline and the route's time-out. */
  readonly timeLeft: boolean
  /** Spends one retry of the service's budget if there is one. */
  readonly spendRetry: () => boolean
}

/** Answers of an endpoint from this status on count as its failure. */
export const LEAST_FAILURE_STATUS = 500

/** The attempts of one request. */
export class AttemptCourse {
  private _sent = 0
  private _mayHaveRun = false
  private _begun = false

  constructor (private readonly _route: Pick<Route, 'kind' | 'maxAttempts' | 'resumable'>) {}

  /** Attempts whose request reached an endpoint, or may have. */
  get sent (): number { return this._sent }
  /** Whether any endpoint may have run the request. */
  get mayHaveRun (): boolean { return this._mayHaveRun }
  /** Whether the request may run more than once. */
  get repeatable (): boolean { return this._route.kind === 'safe' || (this._route.kind === 'streaming' && this._route.resumable) }

  /** Part of an answer has been passed on to the caller. */
  begun (): void { this._begun = true }

  /**
   * An attempt has ended.
   *
   * @example
   * const step = course.ended({ type: 'not-run', reason: 'full' }, { timeLeft: true, spendRetry: () => budget.trySpend() })
   */
  ended (end: AttemptEnd, bounds: AttemptBounds): NextStep {
    return this._handlers[end.type](end as never, bounds)
  }

  private readonly _handlers: { readonly [Type in AttemptEnd['type']]: (end: Extract<AttemptEnd, { type: Type }>, bounds: AttemptBounds) => NextStep } = {
    answered: ({ status }, bounds) => {
      this._sent += 1
      this._mayHaveRun = true
      const worthAnother = status >= LEAST_FAILURE_STATUS && this.repeatable && !this._begun
      return worthAnother && this._another(bounds) ? { type: 'try-next' } : { type: 'pass-on' }
    },
    'not-run': ({ reason }, bounds) => {
      if (reason === 'not-connected') return bounds.timeLeft ? { type: 'try-next' } : this._giveUp()
      this._sent += 1
      return this._another(bounds) ? this._next() : this._giveUp()
    },
    broken: (_end, bounds) => this._afterLoss(bounds),
    cut: (_end, bounds) => this._afterLoss(bounds),
    stalled: (_end, bounds) => this._afterLoss(bounds)
  }

  private _afterLoss (bounds: AttemptBounds): NextStep {
    this._sent += 1
    this._mayHaveRun = true
    if (!this.repeatable || (this._begun && !this._route.resumable)) return this._giveUp()
    return this._another(bounds) ? this._next() : this._giveUp()
  }

  private _next (): NextStep {
    return this._begun ? { type: 'resume' } : { type: 'try-next' }
  }

  private _another (bounds: AttemptBounds): boolean {
    return bounds.timeLeft && this._sent < this._route.maxAttempts && bounds.spendRetry()
  }

  private _giveUp (): NextStep {
    if (this._begun) return { type: 'give-up', outcome: 'cut' }
    return { type: 'give-up', outcome: this._mayHaveRun ? 'unknown' : 'not-run' }
  }
}
