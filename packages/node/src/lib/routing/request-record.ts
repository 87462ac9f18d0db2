/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What is kept of one request for operators: its lines in the log, counters, and times by organisation and route. */
import type { AttemptEnd, Choice, NextStep, OrganisationDescription, RequestFailure, Route } from '@drumdrift/core'
import type { Histograms } from '../observe/histograms.js'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { reasonOf } from './attempt-outcome.js'
import type { CallerHead } from './ports.js'
import type { StreamProgress } from './stream-progress.js'

/** Where the records of all requests go. */
export interface RecordParts {
  readonly log: Log
  readonly counters: Counters
  readonly histograms: Histograms
}

/** A request, as far as its record needs it. */
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
  | { readonly type: 'refused' | 'failed', readonly failure: RequestFailure }
  | { readonly type: 'abandoned' }

/** An attempt that ended, as it is logged. */
export interface EndedAttempt {
  /** Counted from 1. */
  readonly number: number
  readonly choice: Choice
  readonly end: AttemptEnd
  /** In milliseconds. */
  readonly took: number
  readonly next: NextStep
  /** Told where its endpoint may have ended under the request: see `fingerprintOf`. */
  readonly fingerprint: string | undefined
}

/** The record of one request. */
export class RequestRecord {
  constructor (private readonly _parts: RecordParts, private readonly _request: RecordedRequest) {}

  /**
   * An attempt was sent.
   *
   * @param spared Other endpoints that are sent nothing because they ask for it.
   */
  sent (number: number, choice: Choice, remaining: number, resumeAfter: string | undefined, spared: string | undefined): void {
    const { head, route } = this._request
    const { record, expected, version, reportAge, roundTrip, candidates } = choice
    this._parts.counters.add('attempts')
    this._parts.log.request('request-sent', {
      id: head.id, route: route.name, attempt: number, endpoint: record.id, zone: record.availabilityZone, expected: Math.round(expected), version, load_age: finite(reportAge), round_trip: Math.round(roundTrip), candidates, prompt: head.promptTokens, remaining, resume_after: resumeAfter, spared
    })
  }

  /** The first event of a stream went to the caller. */
  firstEvent (now: number): void { this._time('first-token', now - this._request.receivedAt) }

  /** An attempt ended, and something follows. */
  attemptEnded ({ number, choice, end, took, next, fingerprint }: EndedAttempt): void {
    this._parts.log.request('attempt-ended', {
      id: this._request.head.id, attempt: number, endpoint: choice.record.id, outcome: end.type, reason: reasonOf(end), took: Math.round(took), next: next.type, fingerprint
    })
  }

  /** The request has its final answer. */
  ended (result: RequestResult, attempts: number, { firstEventAt, longestGap }: StreamProgress, now: number): void {
    const { head, route, receivedAt, organisation, configurationVersion } = this._request
    const took = now - receivedAt
    this._parts.counters.add(`requests_${result.type}`)
    this._time(result.type === 'refused' ? 'refusal' : 'whole-answer', took)
    this._parts.log.request('request-ended', {
      id: head.id, route: route.name, organisation: organisation?.name, configuration: configurationVersion, result: result.type, ...fieldsOf(result), took: Math.round(took), first: firstEventAt === undefined ? undefined : Math.round(firstEventAt - receivedAt), objective: route.objective, gap: Math.round(longestGap), attempts
    })
  }

  private _time (measure: 'first-token' | 'whole-answer' | 'refusal', milliseconds: number): void {
    const { route, organisation } = this._request
    this._parts.histograms.record({ measure, organisation: organisation?.name ?? 'none', requestClass: route.name }, milliseconds)
  }
}

function fieldsOf (result: RequestResult): Record<string, string | number> {
  if (result.type === 'answered') return { status: result.status }
  if (result.type === 'abandoned') return {}
  const { code, detail, retryAfter } = result.failure
  return { code, detail, retry_after: retryAfter }
}

function finite (milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined
}
