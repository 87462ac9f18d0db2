/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Records one request for operators: log lines, counters, and latency histograms by organisation and route. */
import { isConnectionFailure, MIN_FAILURE_STATUS, reasonOf, type AttemptEnd, type ChosenEndpoint, type ConnectionFailure, type NextAction, type OrganisationDescription, type RequestFailure, type RequestTrait, type Route, type RouteShortfalls, type SilenceCounts, type TraitKind, type WaitReason } from '@drumdrift/core'
import type { Histograms } from '../observe/histograms.js'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { CallerHead } from './ports.js'
import type { StreamProgress } from './stream-progress.js'

const connectionCounters: Record<ConnectionFailure, string> = { 'connection-refused': 'connections_refused', 'connection-timed-out': 'connections_timed_out', 'connection-failed': 'connections_failed', 'connection-superseded': 'connections_superseded' }

/** The sinks for the records of all requests. */
export interface RecordDependencies {
  readonly log: Log
  readonly counters: Counters
  readonly histograms: Histograms
  readonly shortfalls: Pick<RouteShortfalls, 'record'>
}

/** The properties of a request that are recorded. */
export interface RecordedRequest {
  readonly head: CallerHead
  readonly route: Route
  readonly organisation: OrganisationDescription | undefined
  readonly receivedAt: number
  readonly configurationVersion: number
}

/** How a request ended. */
export type RequestResult =
  | { readonly type: 'answered', readonly status: number }
  /** `stopped`: the process stopped before the request had its answer. */
  | { readonly type: 'refused' | 'failed' | 'stopped', readonly failure: RequestFailure }
  | { readonly type: 'abandoned' }

/** How an attempt is sent, as it is logged. */
export interface SentAttempt {
  /** The time until the deadline, in milliseconds. */
  readonly remaining: number
  /** Whether it cannot be in time and waits behind all others. */
  readonly late: boolean
  /** The urgency that the endpoint is told; `undefined` for none. */
  readonly urgency: number | undefined
  /** Whether the endpoint is cold. */
  readonly cold: boolean
  /** Whether another attempt of the request is in flight. */
  readonly hedge: boolean
  /** How long the connection to a plain endpoint took to open; `undefined` for other endpoints. */
  readonly openedAfter: number | undefined
  readonly resumeAfter: string | undefined
  /** Other endpoints that receive no requests because they asked for it, by reason. */
  readonly spared: string | undefined
}

/** The silence of an attempt, as it is logged. */
export interface AttemptSilence {
  /** How long it lasted. */
  readonly milliseconds: number
  /** The endpoints that this process awaited then. */
  readonly counts: SilenceCounts
}

/** A silent attempt that is not hedged, as it is logged. */
export interface WaitingAttempt {
  /** Counted from 1. */
  readonly number: number
  readonly choice: ChosenEndpoint
  readonly silence: AttemptSilence
  readonly reason: WaitReason
}

/** An attempt that has ended, as it is logged. */
export interface EndedAttempt {
  /** Counted from 1. */
  readonly number: number
  readonly choice: ChosenEndpoint
  readonly end: AttemptEnd
  /** In milliseconds. */
  readonly took: number
  readonly next: NextAction
  /** Set if it ended for its silence. */
  readonly silence: AttemptSilence | undefined
  /** Set if the endpoint may have been lost while running the request: see `RequestTraits`. */
  readonly traits: readonly RequestTrait[] | undefined
  /** For how long the endpoint had been sending events, in milliseconds; `undefined` if it had not begun. */
  readonly answeredFor: number | undefined
}

/** The record of one request. */
export class RequestRecord {
  constructor (private readonly _dependencies: RecordDependencies, private readonly _request: RecordedRequest) {}

  /**
   * Records that an attempt was sent.
   */
  attemptSent (number: number, choice: ChosenEndpoint, { remaining, late, urgency, cold, hedge, openedAfter, resumeAfter, spared }: SentAttempt): void {
    const { head, route } = this._request
    const { record, expected, version, reportAge, roundTrip, candidates } = choice
    this._dependencies.counters.add('attempts')
    if (cold) this._dependencies.counters.add('attempts_at_cold_endpoints')
    if (hedge) this._dependencies.counters.add('hedges')
    if (late && number === 1) this._dependencies.counters.add('requests_admitted_late')
    if (openedAfter !== undefined) this._dependencies.histograms.record({ measure: 'connection-opening', organisation: 'all', requestClass: record.service }, openedAfter)
    this._dependencies.log.request('request-sent', {
      id: head.id, route: route.name, attempt: number, endpoint: record.id, zone: record.availabilityZone, expected: Math.round(expected), version, load_age: roundedIfFinite(reportAge), round_trip: Math.round(roundTrip), candidates, prompt: head.promptTokens, remaining, admitted: late ? 'late' : undefined, urgency, resume_after: resumeAfter, cold: cold ? true : undefined, hedge: hedge ? true : undefined, opened_after: openedAfter === undefined ? undefined : Math.round(openedAfter), spared
    })
  }

  /** Records that a silent attempt is awaited, and why it is not hedged. */
  waited ({ number, choice, silence, reason }: WaitingAttempt): void {
    this._dependencies.counters.add('hedge_waits')
    this._dependencies.log.request('attempt-waiting', { id: this._request.head.id, attempt: number, endpoint: choice.record.id, reason, ...silenceFields(silence) })
  }

  /** Records that the first event of a stream was passed on to the caller. */
  firstEvent (now: number): void { this._recordLatency('first-token', now - this._request.receivedAt) }

  /** Records that a connection to a plain endpoint has not opened within its timeout; it goes on opening. */
  connectionLate ({ record }: ChosenEndpoint, after: number): void {
    this._dependencies.counters.add(connectionCounters['connection-timed-out'])
    this._dependencies.log.request('connection-late', { id: this._request.head.id, endpoint: record.id, after: Math.round(after) })
  }

  /** Records that a connection to a plain endpoint ended without opening. One that timed out was counted when it was late. */
  connectionEnded ({ record }: ChosenEndpoint, reason: ConnectionFailure, took: number): void {
    if (reason !== 'connection-timed-out') this._dependencies.counters.add(connectionCounters[reason])
    this._dependencies.log.request('connection-ended', { id: this._request.head.id, endpoint: record.id, reason, took: Math.round(took) })
  }

  /** Records that an attempt ended, and the next step. */
  attemptEnded ({ number, choice, end, took, next, silence, traits, answeredFor }: EndedAttempt): void {
    if (end.type === 'not-run' && isConnectionFailure(end.reason)) this._dependencies.counters.add(connectionCounters[end.reason])
    this._dependencies.log.request('attempt-ended', {
      id: this._request.head.id, attempt: number, endpoint: choice.record.id, outcome: end.type, reason: reasonOf(end), took: Math.round(took), next: next.type, ...silenceFields(silence), ...(traits === undefined ? {} : { fingerprint: fingerprintsOf(traits, 'request'), parts: fingerprintsOf(traits, 'prompt-part'), answered_for: roundedIfFinite(answeredFor ?? Infinity) })
    })
  }

  /** Records that the request has its final answer. */
  ended (result: RequestResult, attempts: number, { firstEventAt, longestGap }: StreamProgress, now: number): void {
    const { head, route, receivedAt, organisation, configurationVersion } = this._request
    const took = now - receivedAt
    this._dependencies.counters.add(`requests_${result.type}`)
    if (result.type === 'refused' && result.failure.code === 'gave-way') this._dependencies.counters.add('requests_gave_way')
    this._recordLatency(result.type === 'refused' ? 'refusal' : 'whole-answer', took)
    this._recordShortfall(result, (firstEventAt ?? now) - receivedAt)
    this._dependencies.log.request('request-ended', {
      id: head.id, route: route.name, organisation: organisation?.name, configuration: configurationVersion, result: result.type, ...resultFields(result), took: Math.round(took), first: firstEventAt === undefined ? undefined : Math.round(firstEventAt - receivedAt), objective: route.objective, gap: Math.round(longestGap), attempts
    })
  }

  /** A request that its caller abandoned shows nothing. */
  private _recordShortfall (result: RequestResult, answeredAfter: number): void {
    const { route: { name, objective } } = this._request
    const { shortfalls } = this._dependencies
    if (result.type === 'abandoned') return
    if ('failure' in result) return shortfalls.record(name, result.type === 'refused' ? 'refused' : 'failed', result.failure.code)
    if (result.status >= MIN_FAILURE_STATUS) return shortfalls.record(name, 'failed', String(result.status))
    shortfalls.record(name, answeredAfter <= objective ? 'in-time' : 'late')
  }

  private _recordLatency (measure: 'first-token' | 'whole-answer' | 'refusal', milliseconds: number): void {
    const { route, organisation } = this._request
    this._dependencies.histograms.record({ measure, organisation: organisation?.name ?? 'none', requestClass: route.name }, milliseconds)
  }
}

/** The fingerprints of a request's properties of one kind, separated by commas; `undefined` if it has none. */
function fingerprintsOf (traits: readonly RequestTrait[], kind: TraitKind): string | undefined {
  return traits.filter(trait => trait.kind === kind).map(({ fingerprint }) => fingerprint).join(',') || undefined
}

function resultFields (result: RequestResult): Record<string, string | number> {
  if (result.type === 'answered') return { status: result.status }
  if (result.type === 'abandoned') return {}
  const { code, detail, retryAfter } = result.failure
  return { code, detail, retry_after: retryAfter }
}

function silenceFields (silence: AttemptSilence | undefined): Record<string, string | number> {
  if (silence === undefined) return {}
  const { milliseconds, counts } = silence
  return { silent_for: Math.round(milliseconds), silent_endpoints: `${counts.silent}/${counts.awaited}` }
}

function roundedIfFinite (milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined
}
