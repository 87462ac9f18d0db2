/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Runs a dispatched request until it is answered or fails: chooses endpoints, retries where that is allowed, and
 * resumes a broken event stream on another endpoint of the same version.
 */
import { requestFailure, startKeyOf, SuspectRequests, type AdmissionRefusal, type ForwardedRequest, type InstanceRecord, type PeerRequest, type RequestClass, type RequestFailure } from '@drumdrift/core'
import { match } from 'ts-pattern'
import { setTimeout as pause } from 'node:timers/promises'
import type { Histograms, Measure } from '../observe/histograms.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import { AgentCall, type CallEnd, type CallTimeouts } from './agent-call.js'
import type { CallerRequest } from './caller-request.js'
import type { Job } from './dispatcher.js'
import type { Group } from './group.js'
import { AtMostOnceAttempts, type OnceOutcome } from './at-most-once-attempts.js'

/** Dependencies of the carrier. */
export interface RequestExecutorOptions {
  readonly pool: PeerPool
  readonly once: AtMostOnceAttempts
  readonly patience: CallTimeouts
  readonly histograms: Histograms
  readonly counters: Counters
  /** Identifies requests with the same content; see `fingerprintOf`. */
  readonly fingerprint: (request: CallerRequest) => string
}

const priorities: Record<RequestClass, number> = { interactive: 0, batch: 10 }
/** Pause before a retry once every endpoint has refused, in milliseconds. */
const REFUSED_PAUSE_MILLISECONDS = 30
/** Refusals of one request before it fails. They are cheap and prove that nothing ran, but still have to be bounded. */
const MAX_REFUSALS = 40
const FAILURE_RETRY_MILLISECONDS = 1_000

/** The state of one request across its attempts. */
interface RequestState {
  readonly job: Job
  readonly group: Group<Job>
  readonly tried: Set<string>
  readonly fingerprint: string
  version: string
  events: number
  refusals: number
  /** Whether an attempt may have run. */
  mayHaveRun: boolean
  lastPieceAt: number
  /** The attempt in flight, which is stopped when the caller disconnects. */
  call: AgentCall | undefined
}

/** What to do after an attempt has ended. */
type NextStep = 'done' | 'again' | { readonly failure: RequestFailure }

/** Runs the requests of one entry. */
export class RequestExecutor {
  /**
   * Holds back requests that crash the endpoints which run them. Without it, such a request is retried on one endpoint after the other,
   * up to ten times, and again each time its caller resends it.
   */
  private readonly _suspects = new SuspectRequests()

  constructor (private readonly _options: RequestExecutorOptions) {}

  /**
   * Runs a request. Returns the failure to report to the caller, or `undefined` if the caller received the complete answer or has
   * disconnected.
   */
  async execute (job: Job, group: Group<Job>): Promise<RequestFailure | undefined> {
    const state: RequestState = { job, group, tried: new Set(), fingerprint: this._options.fingerprint(job.request), version: '', events: 0, refusals: 0, mayHaveRun: false, lastPieceAt: 0, call: undefined }
    job.sink.onDisconnect(() => state.call?.stop())
    const now = performance.now()
    if (this._suspects.standing(state.fingerprint, now) === 'held-back') return this._holdBackFailure(state, now)
    group.budget.attempted()
    for (;;) {
      // Checked before each attempt, so that an entry resuming after a pause starts no request whose deadline has passed.
      const deadlineFailure = this._deadlineFailure(state)
      if (deadlineFailure !== undefined) return deadlineFailure
      const next = await this._attempt(state)
      if (next === 'done') return undefined
      if (next !== 'again') return next.failure
    }
  }

  private async _attempt (state: RequestState): Promise<NextStep> {
    const { job, group } = state
    if (job.sink.gone) return 'done'
    const now = performance.now()
    const record = group.choose(job.request.prefix, state.tried, state.version, now)
    if (record === undefined) return await this._handleNoEndpoint(state)
    group.callStarted(record.instance)
    if (job.request.neverRepeat) return this._handleOnceOutcome(state, record, await this._options.once.attempt(job, group, record))
    const end = await this._call(state, record)
    return this._handleCallEnd(state, record, end)
  }

  /** Handles the case that every candidate has been tried or is ejected. Those that only refused are retried after a pause. */
  private async _handleNoEndpoint (state: RequestState): Promise<NextStep> {
    state.refusals += 1
    if (state.events > 0) return { failure: requestFailure('answer-cut', 'cut', 'the answer was interrupted and no endpoint of its version could resume it') }
    if (state.refusals > MAX_REFUSALS || !state.group.hasEndpoints) return { failure: this._unservedFailure(state, 'no endpoint accepts requests') }
    await pause(REFUSED_PAUSE_MILLISECONDS)
    return 'again'
  }

  private async _call (state: RequestState, record: InstanceRecord): Promise<CallEnd> {
    const { job, group } = state
    const { request, sink } = job
    let connection
    try {
      connection = await this._options.pool.connection(record.address)
    } catch {
      return { type: 'refused', reason: 'not-serving' }
    }
    const message: PeerRequest = { type: 'run', endpoint: request.group, request: forwardedRequest(request, state.events, state.version) }
    const call = new AgentCall(connection, this._options.patience, {
      status: status => group.updateStatus(record.instance, status),
      admitted: () => { state.mayHaveRun = true },
      head: head => {
        state.version = head.version
        sink.head(head, record.instance)
      },
      pieces: pieces => pieces.every(piece => {
        this._recordLatency(state)
        state.events += piece.events
        return sink.part(piece.bytes)
      }),
      canMove: () => this._canMove(state, record)
    })
    state.call = call
    return await call.send(message, request.body)
  }

  /** Whether a request that an endpoint does not answer may go on at another one. */
  private _canMove (state: RequestState, { instance }: InstanceRecord): boolean {
    const { group, job } = state
    const now = performance.now()
    const canMove = isResumable(state) && group.budget.available && now < job.request.deadline && this._suspects.standing(state.fingerprint, now) === 'clear' &&
      group.choose(job.request.prefix, new Set([...state.tried, instance]), state.version, now) !== undefined
    if (!canMove) this._options.counters.add('silences_awaited')
    return canMove
  }

  private _handleCallEnd (state: RequestState, record: InstanceRecord, end: CallEnd): NextStep {
    const { group, job } = state
    const now = performance.now()
    const health = end.type === 'whole' ? 'good' : end.type === 'refused' || end.type === 'stopped' ? 'unclear' : 'bad'
    group.callEnded(record.instance, health, now)
    return match<CallEnd, NextStep>(end)
      .with({ type: 'whole' }, () => {
        group.limit.succeeded(group.running)
        this._suspects.answered(state.fingerprint, now)
        job.sink.end()
        return 'done'
      })
      .with({ type: 'stopped' }, () => job.sink.gone ? 'done' : { failure: requestFailure('answer-cut', 'cut', 'the caller reads too slowly') })
      .with({ type: 'refused' }, ({ reason }) => this._handleRefusal(state, record, reason, now))
      .with({ type: 'broken' }, () => {
        // An agent also aborts at the deadline, which is no evidence against its endpoint. Restarts of an endpoint are not visible
        // here, so each loss counts as a separate start.
        if (now < job.request.deadline) this._suspects.lost(state.fingerprint, startKeyOf({ id: record.instance, born: now }), now)
        return this._handleFailure(state, record, 'the answer was interrupted')
      })
      .with({ type: 'silent', admitted: false }, () => this._handleFailure(state, record, 'the endpoint did not respond'))
      .otherwise(() => this._handleFailure(state, record, 'the answer was interrupted'))
  }

  private _handleRefusal (state: RequestState, record: InstanceRecord, reason: AdmissionRefusal, now: number): NextStep {
    const { group } = state
    group.choice.refused(record.instance, reason, now)
    this._options.counters.add(`refusals_${reason.replaceAll('-', '_')}`)
    state.refusals += 1
    // A single busy endpoint may be chance; a second refusal indicates that the group is at capacity.
    if (reason === 'busy' && state.refusals > 1) group.limit.refused(now)
    return state.refusals > MAX_REFUSALS ? { failure: this._unservedFailure(state, 'endpoints are busy') } : 'again'
  }

  private _handleFailure (state: RequestState, record: InstanceRecord, detail: string): NextStep {
    const { group } = state
    state.tried.add(record.instance)
    state.mayHaveRun = true
    if (!isResumable(state)) return { failure: requestFailure('answer-cut', 'cut', detail) }
    if (this._suspects.standing(state.fingerprint, performance.now()) !== 'clear') return { failure: this._unservedFailure(state, `${detail}, and the request is suspected of crashing endpoints`) }
    if (!group.budget.trySpend()) return { failure: this._unservedFailure(state, `${detail}, and the retry budget is exhausted`) }
    this._options.counters.add(state.events > 0 ? 'answers_resumed' : 'requests_retried')
    return 'again'
  }

  private _holdBackFailure ({ fingerprint }: RequestState, now: number): RequestFailure {
    this._options.counters.add('requests_held_back')
    return requestFailure('ends-endpoints', 'not-run', 'several endpoints were lost while running this request', this._suspects.heldBackFor(fingerprint, now))
  }

  private _handleOnceOutcome (state: RequestState, record: InstanceRecord, outcome: OnceOutcome): NextStep {
    const now = performance.now()
    state.group.callEnded(record.instance, outcome.health, now)
    if (outcome.type === 'answered') {
      state.job.sink.end()
      return 'done'
    }
    if (outcome.type === 'failed') return { failure: outcome.failure }
    if (outcome.reason === 'unreachable') state.tried.add(record.instance)
    return this._handleRefusal(state, record, outcome.reason === 'unreachable' ? 'not-serving' : outcome.reason, now)
  }

  private _deadlineFailure (state: RequestState): RequestFailure | undefined {
    const { request } = state.job
    if (performance.now() < request.deadline) return undefined
    if (state.events > 0) return requestFailure('answer-cut', 'cut', 'the deadline passed')
    return requestFailure('deadline-passed', state.mayHaveRun ? 'unknown' : 'not-run', 'the deadline passed')
  }

  private _unservedFailure (state: RequestState, detail: string): RequestFailure {
    if (state.events > 0) return requestFailure('answer-cut', 'cut', detail)
    if (state.mayHaveRun) return requestFailure('outcome-unknown', 'unknown', detail, FAILURE_RETRY_MILLISECONDS)
    return requestFailure('overloaded', 'not-run', detail, FAILURE_RETRY_MILLISECONDS)
  }

  private _recordLatency (state: RequestState): void {
    const now = performance.now()
    const { organisation, requestClass, receivedAt } = state.job.request
    const first = state.lastPieceAt === 0
    const measure: Measure = first ? 'first-token' : 'between-tokens'
    this._options.histograms.record({ measure, organisation, requestClass }, now - (first ? receivedAt : state.lastPieceAt))
    state.lastPieceAt = now
  }
}

function isResumable ({ job, version }: RequestState): boolean {
  return !job.sink.begun || (job.request.streamed && version !== '')
}

/**
 * Converts a caller's request to the form that is sent to an agent.
 *
 * @example
 * forwardedRequest(request, 0, '')
 */
export function forwardedRequest (request: CallerRequest, resumeAfter: number, version: string): ForwardedRequest {
  const { id, organisation, method, path, headers } = request
  const remaining = Math.max(0, request.deadline - performance.now())
  return { id, organisation, method, path, headers, priority: priorities[request.requestClass], resumeAfter, version, remaining }
}
