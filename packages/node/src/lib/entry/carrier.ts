/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Runs a dispatched request until it is answered or fails: chooses endpoints, retries where that is allowed, and
 * resumes a broken event stream on another endpoint of the same version.
 */
import { requestFailure, startOf, SuspectRequests, type AdmissionRefusal, type ForwardedRequest, type InstanceRecord, type PeerRequest, type RequestClass, type RequestFailure } from '@drumdrift/core'
import { match } from 'ts-pattern'
import { setTimeout as pause } from 'node:timers/promises'
import type { Histograms, Measure } from '../observe/histograms.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import { AgentCall, type CallEnd, type CallPatience } from './agent-call.js'
import type { CallerRequest } from './caller-request.js'
import type { Job } from './dispatcher.js'
import type { Group } from './group.js'
import { OnceCarrier, type OnceOutcome } from './once-carrier.js'

/** Dependencies of the carrier. */
export interface CarrierParts {
  readonly pool: PeerPool
  readonly once: OnceCarrier
  readonly patience: CallPatience
  readonly histograms: Histograms
  readonly counters: Counters
  /** Identifies requests with the same content; see `fingerprintOf`. */
  readonly fingerprint: (request: CallerRequest) => string
}

const priorities: Record<RequestClass, number> = { interactive: 0, batch: 10 }
/** Pause before a retry once every endpoint has refused, in milliseconds. */
const REFUSED_PAUSE = 30
/** Refusals of one request before it fails. They are cheap and prove that nothing ran, but still have to be bounded. */
const MOST_REFUSALS = 40
const RETRY_AFTER_TROUBLE = 1_000

/** The state of one request across its attempts. */
interface Course {
  readonly job: Job
  readonly group: Group<Job>
  readonly tried: Set<string>
  readonly fingerprint: string
  version: string
  events: number
  refusals: number
  /** Whether an attempt may have run. */
  sent: boolean
  lastPieceAt: number
  /** The attempt in flight, which is stopped when the caller disconnects. */
  call: AgentCall | undefined
}

/** What to do after an attempt has ended. */
type Next = 'done' | 'again' | { readonly failure: RequestFailure }

/** Runs the requests of one entry. */
export class RequestCarrier {
  /**
   * Holds back requests that crash the endpoints which run them. Without it, such a request is retried on one endpoint after the other,
   * up to ten times, and again each time its caller resends it.
   */
  private readonly _suspects = new SuspectRequests()

  constructor (private readonly _parts: CarrierParts) {}

  /**
   * Runs a request. Returns the failure to report to the caller, or `undefined` if the caller received the complete answer or has
   * disconnected.
   */
  async carry (job: Job, group: Group<Job>): Promise<RequestFailure | undefined> {
    const course: Course = { job, group, tried: new Set(), fingerprint: this._parts.fingerprint(job.request), version: '', events: 0, refusals: 0, sent: false, lastPieceAt: 0, call: undefined }
    job.sink.onGone(() => course.call?.stop())
    const now = performance.now()
    if (this._suspects.standing(course.fingerprint, now) === 'held-back') return this._heldBack(course, now)
    group.budget.attempted()
    for (;;) {
      // Checked before each attempt, so that an entry resuming after a pause starts no request whose deadline has passed.
      const stopped = this._stopped(course)
      if (stopped !== undefined) return stopped
      const next = await this._attempt(course)
      if (next === 'done') return undefined
      if (next !== 'again') return next.failure
    }
  }

  private async _attempt (course: Course): Promise<Next> {
    const { job, group } = course
    if (job.sink.gone) return 'done'
    const now = performance.now()
    const record = group.choose(job.request.prefix, course.tried, course.version, now)
    if (record === undefined) return await this._noEndpoint(course)
    group.sent(record.instance)
    if (job.request.neverRepeat) return this._afterOnce(course, record, await this._parts.once.attempt(job, group, record))
    const end = await this._call(course, record)
    return this._after(course, record, end)
  }

  /** Handles the case that every candidate has been tried or is ejected. Those that only refused are retried after a pause. */
  private async _noEndpoint (course: Course): Promise<Next> {
    course.refusals += 1
    if (course.events > 0) return { failure: requestFailure('answer-cut', 'cut', 'the answer was interrupted and no endpoint of its version could resume it') }
    if (course.refusals > MOST_REFUSALS || !course.group.listed) return { failure: this._unserved(course, 'no endpoint accepts requests') }
    await pause(REFUSED_PAUSE)
    return 'again'
  }

  private async _call (course: Course, record: InstanceRecord): Promise<CallEnd> {
    const { job, group } = course
    const { request, sink } = job
    let connection
    try {
      connection = await this._parts.pool.connection(record.address)
    } catch {
      return { type: 'refused', reason: 'not-serving' }
    }
    const message: PeerRequest = { type: 'run', endpoint: request.group, request: forwardedRequest(request, course.events, course.version) }
    const call = new AgentCall(connection, this._parts.patience, {
      status: status => group.heard(record.instance, status),
      admitted: () => { course.sent = true },
      head: head => {
        course.version = head.version
        sink.head(head, record.instance)
      },
      pieces: pieces => pieces.every(piece => {
        this._measure(course)
        course.events += piece.events
        return sink.part(piece.bytes)
      })
    })
    course.call = call
    return await call.send(message, request.body)
  }

  private _after (course: Course, record: InstanceRecord, end: CallEnd): Next {
    const { group, job } = course
    const now = performance.now()
    const health = end.type === 'whole' ? 'good' : end.type === 'refused' || end.type === 'stopped' ? 'unclear' : 'bad'
    group.finished(record.instance, health, now)
    return match<CallEnd, Next>(end)
      .with({ type: 'whole' }, () => {
        group.limit.succeeded(group.running)
        this._suspects.answered(course.fingerprint, now)
        job.sink.end()
        return 'done'
      })
      .with({ type: 'stopped' }, () => job.sink.gone ? 'done' : { failure: requestFailure('answer-cut', 'cut', 'the caller reads too slowly') })
      .with({ type: 'refused' }, ({ reason }) => this._refused(course, record, reason, now))
      .with({ type: 'broken' }, () => {
        // An agent also aborts at the deadline, which is no evidence against its endpoint. Restarts of an endpoint are not visible
        // here, so each loss counts as a separate start.
        if (now < job.request.deadline) this._suspects.lost(course.fingerprint, startOf({ id: record.instance, born: now }), now)
        return this._failed(course, record, 'the answer was interrupted')
      })
      .with({ type: 'silent', admitted: false }, () => this._failed(course, record, 'the endpoint did not respond'))
      .otherwise(() => this._failed(course, record, 'the answer was interrupted'))
  }

  private _refused (course: Course, record: InstanceRecord, reason: AdmissionRefusal, now: number): Next {
    const { group } = course
    group.choice.refused(record.instance, reason, now)
    this._parts.counters.add(`refusals_${reason.replaceAll('-', '_')}`)
    course.refusals += 1
    // A single busy endpoint may be chance; a second refusal indicates that the group is at capacity.
    if (reason === 'busy' && course.refusals > 1) group.limit.refused(now)
    return course.refusals > MOST_REFUSALS ? { failure: this._unserved(course, 'endpoints are busy') } : 'again'
  }

  private _failed (course: Course, record: InstanceRecord, detail: string): Next {
    const { group, job } = course
    course.tried.add(record.instance)
    course.sent = true
    const resumable = !job.sink.begun || (job.request.streamed && course.version !== '')
    if (!resumable) return { failure: requestFailure('answer-cut', 'cut', detail) }
    if (this._suspects.standing(course.fingerprint, performance.now()) !== 'clear') return { failure: this._unserved(course, `${detail} on several endpoints`) }
    if (!group.budget.trySpend()) return { failure: this._unserved(course, `${detail}, and the retry budget is exhausted`) }
    this._parts.counters.add(course.events > 0 ? 'answers_resumed' : 'requests_retried')
    return 'again'
  }

  private _heldBack ({ fingerprint }: Course, now: number): RequestFailure {
    this._parts.counters.add('requests_held_back')
    return requestFailure('ends-endpoints', 'not-run', 'several endpoints were lost while running this request', this._suspects.heldBackFor(fingerprint, now))
  }

  private _afterOnce (course: Course, record: InstanceRecord, outcome: OnceOutcome): Next {
    const now = performance.now()
    course.group.finished(record.instance, outcome.health, now)
    if (outcome.type === 'answered') {
      course.job.sink.end()
      return 'done'
    }
    if (outcome.type === 'failed') return { failure: outcome.failure }
    if (outcome.reason === 'unreachable') course.tried.add(record.instance)
    return this._refused(course, record, outcome.reason === 'unreachable' ? 'not-serving' : outcome.reason, now)
  }

  private _stopped (course: Course): RequestFailure | undefined {
    const { request } = course.job
    if (performance.now() < request.deadline) return undefined
    if (course.events > 0) return requestFailure('answer-cut', 'cut', 'the deadline passed')
    return requestFailure('deadline-passed', course.sent ? 'unknown' : 'not-run', 'the deadline passed')
  }

  private _unserved (course: Course, detail: string): RequestFailure {
    if (course.events > 0) return requestFailure('answer-cut', 'cut', detail)
    if (course.sent) return requestFailure('outcome-unknown', 'unknown', detail, RETRY_AFTER_TROUBLE)
    return requestFailure('overloaded', 'not-run', detail, RETRY_AFTER_TROUBLE)
  }

  private _measure (course: Course): void {
    const now = performance.now()
    const { organisation, requestClass, receivedAt } = course.job.request
    const first = course.lastPieceAt === 0
    const measure: Measure = first ? 'first-token' : 'between-tokens'
    this._parts.histograms.record({ measure, organisation, requestClass }, now - (first ? receivedAt : course.lastPieceAt))
    course.lastPieceAt = now
  }
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
