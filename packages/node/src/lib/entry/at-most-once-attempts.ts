/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Runs the attempts of requests that may run at most once. `OnceAttempt` makes the decisions; this module does the I/O.
 */
import { randomBytes } from 'node:crypto'
import {
  formatIssuedId, KEEPER_COUNT, keepersOf, rendezvousOrder, OnceAttempt, type AdmissionRefusal, type CancelReply, type ClaimReply, type InstanceRecord, type OfferReply, type OnceEffect, type PeerRequest, type RequestFailure,
  requestFailure
} from '@drumdrift/core'
import type { Reply } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'
import { AgentCall, type CallEnd, type CallTimeouts } from './agent-call.js'
import { forwardedRequest } from './request-executor.js'
import type { Job } from './dispatcher.js'
import type { Group } from './group.js'

/** The outcome of an attempt. */
export type OnceOutcome =
  | { readonly type: 'answered', readonly health: 'good' }
  | { readonly type: 'elsewhere', readonly health: 'unclear' | 'bad', readonly reason: AdmissionRefusal | 'unreachable' }
  | { readonly type: 'failed', readonly health: 'unclear' | 'bad', readonly failure: RequestFailure }

/** Dependencies of the carrier. */
export interface AtMostOnceAttemptsOptions {
  readonly incarnation: string
  readonly pool: PeerPool
  readonly patience: CallTimeouts
  /** Returns all listed agents, live or leaving, from which the keepers of ids are chosen. */
  readonly agents: () => readonly InstanceRecord[]
}

const STEP_TIMEOUT_MILLISECONDS = 800
const ISSUE_TIMEOUT_MILLISECONDS = 400
const MIN_KEEPERS = 3
const CANCEL_TIMEOUT_MILLISECONDS = 1_000

interface Attempt {
  readonly job: Job
  readonly group: Group<Job>
  readonly record: InstanceRecord
  readonly protocol: OnceAttempt
  readonly addresses: ReadonlyMap<string, string>
  readonly settle: (outcome: OnceOutcome) => void
}

/** Runs the attempts of one entry. */
export class AtMostOnceAttempts {
  private _nextAttempt = 1

  constructor (private readonly _options: AtMostOnceAttemptsOptions) {}

  /**
   * Issues a request id whose keepers are agents that are reachable now, spread over as many availability zones as
   * possible.
   *
   * @returns `undefined` if fewer than three agents answer, or fewer than all if there are less than three live agents.
   */
  async issueId (): Promise<string | undefined> {
    const random = randomBytes(9).toString('hex')
    const live = this._options.agents().filter(agent => agent.state === 'live')
    const chosen = spreadOverZones(live, random).slice(0, KEEPER_COUNT)
    const answers = await Promise.all(chosen.map(async agent => await this._callPeer(agent.address, { type: 'issue' }, ISSUE_TIMEOUT_MILLISECONDS)))
    const keepers = answers.flatMap(answer => answer?.reply.type === 'issued' ? [answer.reply.keeper] : [])
    return keepers.length >= Math.min(MIN_KEEPERS, live.length) && keepers.length > 0 ? formatIssuedId(random, keepers) : undefined
  }

  /** Attempts a request on one endpoint. */
  attempt (job: Job, group: Group<Job>, record: InstanceRecord): Promise<OnceOutcome> {
    const agents = this._options.agents()
    const addresses = new Map(agents.map(agent => [agent.instance, agent.address]))
    const { organisation, id, bodyDigest } = job.request
    const keepers = keepersOf([...addresses.keys()], organisation, id)
    const name = `${this._options.incarnation}:${this._nextAttempt++}`
    return new Promise(resolve => {
      const attempt: Attempt = { job, group, record, protocol: new OnceAttempt(name, record.instance, keepers, bodyDigest), addresses, settle: resolve }
      this._applyEffects(attempt, attempt.protocol.begin())
    })
  }

  private _applyEffects (attempt: Attempt, effects: readonly OnceEffect[]): void {
    for (const effect of effects) this._handlers[effect.type](attempt, effect as never)
  }

  private readonly _handlers: { readonly [Type in OnceEffect['type']]: (attempt: Attempt, effect: Extract<OnceEffect, { type: Type }>) => void } = {
    'send-offer': attempt => { this._sendOffer(attempt) },
    'send-claim': (attempt, { keeper }) => { this._sendClaim(attempt, keeper) },
    'send-go': (attempt, { ticket }) => { this._sendGo(attempt, ticket) },
    'send-cancel': (attempt, { ticket }) => { this._sendCancel(attempt, ticket) },
    'send-release': (attempt, { keeper }) => { this._sendRelease(attempt, keeper) },
    'try-elsewhere': (attempt, { reason }) => attempt.settle({ type: 'elsewhere', reason, health: reason === 'unreachable' ? 'bad' : 'unclear' }),
    started: () => {},
    'give-up': (attempt, { failure }) => attempt.settle({ type: 'failed', failure, health: failure.outcome === 'unknown' && failure.code === 'outcome-unknown' ? 'bad' : 'unclear' })
  }

  private async _sendOffer (attempt: Attempt): Promise<void> {
    const { group, record, job } = attempt
    const answer = await this._callPeer(record.address, { type: 'offer', endpoint: job.request.group }, STEP_TIMEOUT_MILLISECONDS)
    if (answer?.reply.type === 'offered') group.updateStatus(record.instance, answer.reply.status)
    const reply: OfferReply | 'unreachable' = answer?.reply.type === 'offered' ? answer.reply.reply : 'unreachable'
    this._applyEffects(attempt, attempt.protocol.offered(reply))
  }

  private async _sendClaim (attempt: Attempt, keeper: string): Promise<void> {
    const { organisation, id, bodyDigest } = attempt.job.request
    const answer = await this._callPeer(attempt.addresses.get(keeper), { type: 'claim', organisation, id, attempt: attempt.protocol.attempt, bodyDigest }, STEP_TIMEOUT_MILLISECONDS)
    const reply: ClaimReply | 'unreachable' = answer?.reply.type === 'claimed' ? answer.reply.reply : 'unreachable'
    this._applyEffects(attempt, attempt.protocol.claimed(keeper, reply))
  }

  private async _sendRelease (attempt: Attempt, keeper: string): Promise<void> {
    const { organisation, id } = attempt.job.request
    await this._callPeer(attempt.addresses.get(keeper), { type: 'release', organisation, id, attempt: attempt.protocol.attempt }, STEP_TIMEOUT_MILLISECONDS)
  }

  private async _sendGo (attempt: Attempt, ticket: string): Promise<void> {
    const { job, group, record, protocol } = attempt
    let connection
    try {
      connection = await this._options.pool.connection(record.address)
    } catch {
      this._applyEffects(attempt, protocol.lost())
      return
    }
    const call = new AgentCall(connection, this._options.patience, {
      status: status => group.updateStatus(record.instance, status),
      admitted: () => this._applyEffects(attempt, protocol.started()),
      head: head => job.sink.head(head, record.instance),
      pieces: pieces => {
        for (const piece of pieces) job.sink.part(piece.bytes)
        return true
      },
      canMove: () => false
    })
    const end = await call.send({ type: 'go', ticket, request: forwardedRequest(job.request, 0, '') }, job.request.body)
    this._handleGoEnd(attempt, end)
  }

  /** Handles the end of a `go` call. A caller that disconnects does not stop a request that may run only once. */
  private _handleGoEnd (attempt: Attempt, end: CallEnd): void {
    const { protocol, job, settle } = attempt
    if (end.type === 'whole') return settle({ type: 'answered', health: 'good' })
    if (end.type === 'refused') return this._applyEffects(attempt, protocol.refused(end.reason))
    if (protocol.committed) return this._applyEffects(attempt, protocol.lost())
    if (end.type === 'not-reached') return this._applyEffects(attempt, protocol.neverReached())
    const cut = job.sink.begun
    const failure = cut ? requestFailure('answer-cut', 'unknown', 'the answer was interrupted') : requestFailure('outcome-unknown', 'unknown', 'the request started and its answer was lost')
    settle({ type: 'failed', health: 'bad', failure })
  }

  private async _sendCancel (attempt: Attempt, ticket: string): Promise<void> {
    const answer = await this._callPeer(attempt.record.address, { type: 'cancel', ticket }, CANCEL_TIMEOUT_MILLISECONDS)
    const reply: CancelReply | 'unreachable' = answer?.reply.type === 'cancelled' ? answer.reply.reply : 'unreachable'
    this._applyEffects(attempt, attempt.protocol.cancelled(reply))
  }

  private async _callPeer (address: string | undefined, request: PeerRequest, timeout: number): Promise<Reply | undefined> {
    if (address === undefined) return undefined
    try {
      return await this._options.pool.call(address, request, { timeout })
    } catch {
      return undefined
    }
  }
}

/** Orders agents by rendezvous hashing, alternating between zones, so that the loss of one zone affects as few keepers as possible. */
function spreadOverZones (agents: readonly InstanceRecord[], subject: string): InstanceRecord[] {
  const byName = new Map(agents.map(agent => [agent.instance, agent]))
  const chosenInZone = new Map<string, number>()
  const ranked = rendezvousOrder([...byName.keys()], subject).flatMap(instance => {
    const agent = byName.get(instance)
    if (agent === undefined) return []
    const round = chosenInZone.get(agent.availabilityZone) ?? 0
    chosenInZone.set(agent.availabilityZone, round + 1)
    return [{ agent, round }]
  })
  return ranked.sort((left, right) => left.round - right.round).map(({ agent }) => agent)
}
