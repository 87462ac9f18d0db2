/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The state machine of an entry for one attempt to run a request that must not be repeated:
 *
 *   offer -> ready(ticket) -> claims at the keepers -> go(ticket) -> answer
 *
 * The ticket is obtained first and expires soon by the agent's own clock, so that an entry that pauses after its claims
 * resumes with an expired ticket. Until `go` is sent, the outcome is always "not run". After that, it is "not run" only
 * if the agent confirms it, by a refusal or by a cancel that found the ticket unused and invalidated it. Otherwise the
 * outcome is "unknown".
 */
import type { AdmissionRefusal, CancelReply, OfferReply } from './admission.js'
import { ClaimQuorum, type ClaimReply, type Keepers } from './claims.js'
import { requestFailure, type RequestFailure } from './failure.js'

/** An action for the entry to perform. */
export type OnceEffect =
  | { readonly type: 'send-offer', readonly agent: string }
  | { readonly type: 'send-claim', readonly keeper: string }
  | { readonly type: 'send-go', readonly agent: string, readonly ticket: string }
  | { readonly type: 'send-cancel', readonly agent: string, readonly ticket: string }
  | { readonly type: 'send-release', readonly keeper: string }
  /** The attempt did not run and the request may be retried on another endpoint. */
  | { readonly type: 'try-elsewhere', readonly reason: AdmissionRefusal | 'unreachable' }
  /** The answer has started; the answer stream handles the rest. */
  | { readonly type: 'started' }
  | { readonly type: 'give-up', readonly failure: RequestFailure }

type Phase = 'offering' | 'claiming' | 'going' | 'cancelling' | 'done'

/** One attempt. Each endpoint that is tried needs a new attempt with a new name. */
export class OnceAttempt {
  private _phase: Phase = 'offering'
  private _ticket = ''
  readonly keepers: readonly string[]
  private readonly _quorum: ClaimQuorum

  /**
   * @param attempt A globally unique name: the entry's incarnation and a counter.
   * @param agent The endpoint's agent.
   * @param keepers From `keepersOf`.
   */
  constructor (readonly attempt: string, readonly agent: string, keepers: Keepers, bodyDigest: string) {
    this.keepers = keepers.instances
    this._quorum = new ClaimQuorum(keepers.instances, keepers.needed, attempt, bodyDigest)
  }

  /** Whether `go` has been sent. From then on, "not run" requires confirmation by the agent. */
  get committed (): boolean { return this._phase === 'going' || this._phase === 'cancelling' }

  begin (): OnceEffect[] {
    return [{ type: 'send-offer', agent: this.agent }]
  }

  /** Handles the reply to the offer. */
  offered (reply: OfferReply | 'unreachable'): OnceEffect[] {
    if (this._phase !== 'offering') return []
    if (reply === 'unreachable') return this._retryElsewhere('unreachable')
    if (reply.type === 'refused') return this._retryElsewhere(reply.reason)
    this._ticket = reply.ticket
    this._phase = 'claiming'
    return this.keepers.map(keeper => ({ type: 'send-claim', keeper }))
  }

  /** Handles the reply of one keeper to the claim. */
  claimed (keeper: string, reply: ClaimReply | 'unreachable'): OnceEffect[] {
    if (this._phase !== 'claiming') return []
    this._quorum.take(keeper, reply)
    const verdict = this._quorum.verdict()
    if (verdict === 'open') return []
    if (verdict !== 'granted') return this._fail(claimFailure(verdict, this._quorum.wait()))
    this._phase = 'going'
    return [{ type: 'send-go', agent: this.agent, ticket: this._ticket }]
  }

  /** Handles the start of the request at the agent; the answer stream takes over. */
  started (): OnceEffect[] {
    if (this._phase !== 'going') return []
    this._phase = 'done'
    return [{ type: 'started' }]
  }

  /** Handles the refusal of the ticket, which proves that the request did not run. */
  refused (reason: AdmissionRefusal): OnceEffect[] {
    if (this._phase !== 'going') return []
    this._phase = 'done'
    return [...this._releases(), { type: 'try-elsewhere', reason }]
  }

  /**
   * Handles the agent's confirmation after the start that it never reached the endpoint, so that the request did not
   * run.
   */
  neverReached (): OnceEffect[] {
    if (this._phase !== 'done') return []
    return [...this._releases(), { type: 'give-up', failure: requestFailure('engine-failed', 'not-run', 'the endpoint could not be reached', UNREACHABLE_RETRY_MILLISECONDS) }]
  }

  /** Handles a lost connection or a passed deadline. */
  lost (): OnceEffect[] {
    if (this._phase === 'offering') return this._retryElsewhere('unreachable')
    if (this._phase === 'claiming') return this._fail(requestFailure('no-endpoint', 'not-run', 'keepers did not answer in time', 1_000))
    if (this._phase !== 'going') return []
    this._phase = 'cancelling'
    return [{ type: 'send-cancel', agent: this.agent, ticket: this._ticket }]
  }

  /** Handles the reply to the cancel. */
  cancelled (reply: CancelReply | 'unreachable'): OnceEffect[] {
    if (this._phase !== 'cancelling') return []
    this._phase = 'done'
    if (reply === 'never-started') return [...this._releases(), { type: 'try-elsewhere', reason: 'ticket-expired' }]
    return [{ type: 'give-up', failure: requestFailure('outcome-unknown', 'unknown', 'the request was sent and its outcome is not known') }]
  }

  private _retryElsewhere (reason: AdmissionRefusal | 'unreachable'): OnceEffect[] {
    this._phase = 'done'
    return [{ type: 'try-elsewhere', reason }]
  }

  private _fail (failure: RequestFailure): OnceEffect[] {
    this._phase = 'done'
    return [...this._releases(), { type: 'give-up', failure }]
  }

  private _releases (): OnceEffect[] {
    return this.keepers.map(keeper => ({ type: 'send-release', keeper }))
  }
}

/** The retry delay returned when an endpoint or too many keepers are unreachable, in milliseconds. */
const UNREACHABLE_RETRY_MILLISECONDS = 1_000
/** The retry delay returned when the keepers' records are full, in milliseconds. */
const FULL_RETRY_MILLISECONDS = 5_000

function claimFailure (verdict: 'seen' | 'conflict' | 'young' | 'full' | 'unreachable', wait: number): RequestFailure {
  const failures: Record<typeof verdict, RequestFailure> = {
    seen: requestFailure('already-claimed', 'unknown', 'this id was used before: the earlier request has run, is running or has an unknown outcome; it is not run again'),
    conflict: requestFailure('id-conflict', 'not-run', 'this id was used before with a different body; this request was not run'),
    young: requestFailure('history-unknown', 'unknown', 'this attempt did not run; it is not known yet whether an earlier attempt with this id did', wait),
    full: requestFailure('records-full', 'not-run', 'too many request ids of this organisation are recorded', FULL_RETRY_MILLISECONDS),
    unreachable: requestFailure('no-endpoint', 'not-run', 'too few keepers of this id could be reached', UNREACHABLE_RETRY_MILLISECONDS)
  }
  return failures[verdict]
}
