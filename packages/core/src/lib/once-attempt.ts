/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One attempt to run a request that may not repeat, as an entry carries it out:
 *
 *   offer -> ready(ticket) -> claims at the keepers -> go(ticket) -> answer
 *
 * The ticket comes first and is short-lived by the agent's own clock, so that an entry that pauses after its claims
 * wakes up to a dead ticket. Before `go` is sent, "not run" is true whatever happens. After it, only the agent's own
 * word makes it true: a refusal, or a cancel that found the ticket unused and killed it. All else is "unknown".
 */
import type { AdmissionRefusal, CancelReply, OfferReply } from './admission.js'
import { ClaimQuorum, type ClaimReply, type Keepers } from './claims.js'
import { requestFailure, type RequestFailure } from './failure.js'

/** What the entry is to do next. */
export type OnceEffect =
  | { readonly type: 'send-offer', readonly agent: string }
  | { readonly type: 'send-claim', readonly keeper: string }
  | { readonly type: 'send-go', readonly agent: string, readonly ticket: string }
  | { readonly type: 'send-cancel', readonly agent: string, readonly ticket: string }
  | { readonly type: 'send-release', readonly keeper: string }
  /** The attempt never ran and may be made anew on another endpoint. */
  | { readonly type: 'try-elsewhere', readonly reason: AdmissionRefusal | 'unreachable' }
  /** The answer has begun: from here the answer stream decides. */
  | { readonly type: 'started' }
  | { readonly type: 'give-up', readonly failure: RequestFailure }

type Phase = 'offering' | 'claiming' | 'going' | 'cancelling' | 'done'

/** One attempt; make a new one, with a new attempt name, for each endpoint tried. */
export class OnceAttempt {
  private _phase: Phase = 'offering'
  private _ticket = ''
  readonly keepers: readonly string[]
  private readonly _quorum: ClaimQuorum

  /**
   * @param attempt Unique over all entries and time: the entry's incarnation and a counter.
   * @param agent The endpoint's agent.
   * @param keepers From `keepersOf`.
   */
  constructor (readonly attempt: string, readonly agent: string, keepers: Keepers, bodyDigest: string) {
    this.keepers = keepers.instances
    this._quorum = new ClaimQuorum(keepers.instances, keepers.needed, attempt, bodyDigest)
  }

  /** Whether `go` has been sent: from then on "not run" needs proof. */
  get committed (): boolean { return this._phase === 'going' || this._phase === 'cancelling' }

  begin (): OnceEffect[] {
    return [{ type: 'send-offer', agent: this.agent }]
  }

  /** The agent answered the offer, or could not be reached. */
  offered (reply: OfferReply | 'unreachable'): OnceEffect[] {
    if (this._phase !== 'offering') return []
    if (reply === 'unreachable') return this._elsewhere('unreachable')
    if (reply.type === 'refused') return this._elsewhere(reply.reason)
    this._ticket = reply.ticket
    this._phase = 'claiming'
    return this.keepers.map(keeper => ({ type: 'send-claim', keeper }))
  }

  /** A keeper answered the claim, or could not be reached. */
  claimed (keeper: string, reply: ClaimReply | 'unreachable'): OnceEffect[] {
    if (this._phase !== 'claiming') return []
    this._quorum.take(keeper, reply)
    const verdict = this._quorum.verdict()
    if (verdict === 'open') return []
    if (verdict !== 'granted') return this._abandon(claimFailure(verdict, this._quorum.wait()))
    this._phase = 'going'
    return [{ type: 'send-go', agent: this.agent, ticket: this._ticket }]
  }

  /** The agent started the request: the answer stream takes over. */
  started (): OnceEffect[] {
    if (this._phase !== 'going') return []
    this._phase = 'done'
    return [{ type: 'started' }]
  }

  /** The agent refused the ticket: proof that it did not run. */
  refused (reason: AdmissionRefusal): OnceEffect[] {
    if (this._phase !== 'going') return []
    this._phase = 'done'
    return [...this._releases(), { type: 'try-elsewhere', reason }]
  }

  /** After the start, the agent gave its word that the endpoint was never reached: nothing ran. */
  neverReached (): OnceEffect[] {
    if (this._phase !== 'done') return []
    return [...this._releases(), { type: 'give-up', failure: requestFailure('engine-failed', 'not-run', 'the endpoint could not be reached', UNREACHABLE_PAUSE) }]
  }

  /** The connection broke or the time is up. */
  lost (): OnceEffect[] {
    if (this._phase === 'offering') return this._elsewhere('unreachable')
    if (this._phase === 'claiming') return this._abandon(requestFailure('no-endpoint', 'not-run', 'keepers did not answer in time', 1_000))
    if (this._phase !== 'going') return []
    this._phase = 'cancelling'
    return [{ type: 'send-cancel', agent: this.agent, ticket: this._ticket }]
  }

  /** The agent answered the cancel, or could not be reached. */
  cancelled (reply: CancelReply | 'unreachable'): OnceEffect[] {
    if (this._phase !== 'cancelling') return []
    this._phase = 'done'
    if (reply === 'never-started') return [...this._releases(), { type: 'try-elsewhere', reason: 'ticket-expired' }]
    return [{ type: 'give-up', failure: requestFailure('outcome-unknown', 'unknown', 'the request was sent and its fate is not known') }]
  }

  private _elsewhere (reason: AdmissionRefusal | 'unreachable'): OnceEffect[] {
    this._phase = 'done'
    return [{ type: 'try-elsewhere', reason }]
  }

  private _abandon (failure: RequestFailure): OnceEffect[] {
    this._phase = 'done'
    return [...this._releases(), { type: 'give-up', failure }]
  }

  private _releases (): OnceEffect[] {
    return this.keepers.map(keeper => ({ type: 'send-release', keeper }))
  }
}

const UNREACHABLE_PAUSE = 1_000
const FULL_PAUSE = 5_000

function claimFailure (verdict: 'seen' | 'conflict' | 'young' | 'full' | 'unreachable', wait: number): RequestFailure {
  const failures: Record<typeof verdict, RequestFailure> = {
    seen: requestFailure('already-claimed', 'unknown', 'this id was asked before: it has run, runs, or its fate is unknown; it is not run again'),
    conflict: requestFailure('id-conflict', 'not-run', 'this id was used before with another body; this body was not run'),
    young: requestFailure('history-unknown', 'unknown', 'this attempt did not run; whether an earlier one with this id did is not known yet', wait),
    full: requestFailure('records-full', 'not-run', 'too many ids of this organisation are remembered', FULL_PAUSE),
    unreachable: requestFailure('no-endpoint', 'not-run', 'too few keepers of this id could be reached', UNREACHABLE_PAUSE)
  }
  return failures[verdict]
}
