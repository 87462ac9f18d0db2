/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What requests have shown about one start of an endpoint: the results of this entry, and those that the other entries of its zone have
 * told. An entry of a large fleet sees a result every few seconds, its zone several a second. The more recent results an entry has of its
 * own, the less the others' count, since a fault may lie on the path of one entry.
 */
import { FailureRate, withOverdue } from './failure-rate.js'
import { addResults, MAX_REPORT_AGE, NO_RESULTS, ToldResults, type EvidenceReport, type ResultSums } from './told-results.js'

/**
 * An entry tells each result at an endpoint, successes too, from this share of own failures on, which one error of the application does not reach, and
 * while the share that others tell is above the second bound.
 */
const MIN_OWN_SHARE = 0.07
const MIN_TOLD_SHARE = 0.1

/** From this weight of results on, something is known of an endpoint. */
const LEAST_KNOWN = 0.5

/** Successes are kept for this time, in milliseconds. */
const MAX_UNREPORTED_TIME = 5_000

/** Lost connections are told at most once in this time, in milliseconds. */
const LOSS_INTERVAL = 500

/** Results that have not been told, and when the first of them was recorded. */
interface PendingResults {
  readonly sums: ResultSums
  readonly since: number
}

const NOTHING_PENDING: PendingResults = { sums: NO_RESULTS, since: 0 }

/** The result of one request. */
export interface EndpointResult {
  /** How much it counts as a failure, 0 to 1. */
  readonly failure: number
  /** The rate of this entry's requests to the service, in requests per millisecond. */
  readonly requestRate: number
}

/** The evidence about one endpoint. */
export class EndpointEvidence {
  private readonly _own = new FailureRate()
  private readonly _heard = new ToldResults()
  /** What is to be told next. */
  private _outgoing: PendingResults = NOTHING_PENDING
  /** Errors that may be due to their requests, and the successes before them. */
  private _unreported: PendingResults = NOTHING_PENDING
  private _lossReportedAt = -Infinity
  /** The number of requests in flight that were told as failures. */
  private _overdueReported = 0

  /** Records a result of this entry. */
  record ({ failure, requestRate }: EndpointResult, now: number): void {
    this._own.record(failure, now, requestRate)
    const wasTold = this._overdueReported > 0 && failure === 1
    if (wasTold) {
      this._overdueReported -= 1
      return
    }
    const result = { results: 1, failures: failure, timed: 0, time: 0 }
    if (this._isQuestionable(now, requestRate)) this._report(result, now)
    else this._keepUnreported(result, now)
  }

  /**
   * Records that a connection did not open. This entry remembers it as the reach of the endpoint, so it is only told; not for each of the connections
   * that a request opens side by side.
   *
   * @param failure How much it counts as a failure, 0 to 1.
   */
  recordLostConnection (failure: number, now: number): void {
    if (now - this._lossReportedAt < LOSS_INTERVAL) return
    this._lossReportedAt = now
    this._report({ results: 1, failures: failure, timed: 0, time: 0 }, now)
  }

  /** Successes are kept for a while, so that an error is told with the results before it. */
  private _keepUnreported (result: ResultSums, now: number): void {
    const isOutdated = this._unreported.sums.failures === 0 && now - this._unreported.since > MAX_UNREPORTED_TIME
    this._unreported = addPending(isOutdated ? NOTHING_PENDING : this._unreported, result, now)
  }

  /**
   * Records the response time of an answer to this entry.
   *
   * @param remembered The response time that this entry remembers of the endpoint.
   * @param soonEnough Up to this response time a sooner answer gains little. All in milliseconds.
   */
  recordTime (milliseconds: number, remembered: number, soonEnough: number, now: number): void {
    const isSlow = remembered > soonEnough || this._heardTime(now).mean > soonEnough
    if (isSlow) this._report({ results: 0, failures: 0, timed: 1, time: milliseconds }, now)
  }

  /**
   * Returns the share of requests at which the endpoint fails, 0 to 1.
   *
   * @param overdue The number of requests in flight that will probably fail.
   * @example
   * const cost = expected + evidence.failureShare(now, chooser.sentRate(now)) * FAILURE_COST
   */
  failureShare (now: number, requestRate: number, overdue = 0): number {
    const own = this._own.value(now, requestRate)
    const weight = this._weightOfHeard(this._heard.weight(now), now)
    return withOverdue(own + weight * (this._heard.failureShare(now) - own), overdue)
  }

  /** Whether a recent result is known, of this entry or of another one. */
  isKnown (now: number): boolean { return this._own.weight(now) + this._heard.weight(now) >= LEAST_KNOWN }

  /**
   * Returns a response time that takes into account what others have measured, in milliseconds.
   *
   * @param own The response time that this entry remembers.
   */
  responseTime (own: number, now: number): number {
    const { weight, mean } = this._heardTime(now)
    return own + this._weightOfHeard(weight, now) * (mean - own)
  }

  /** Response times count as long as something is known: their mean does not fade, and the weight of own ones fades as fast. */
  private _heardTime (now: number): ReturnType<ToldResults['responseTimes']> {
    const told = this._heard.responseTimes(now)
    return told.weight < LEAST_KNOWN ? { weight: 0, mean: 0 } : told
  }

  /** Adds results of another entry. */
  hear (report: EvidenceReport, now: number): void { this._heard.add(report, now - report.age, now) }

  /**
   * Returns the results that other entries should hear of, each once; `undefined` if there are none.
   *
   * @param overdue The number of requests in flight that will probably fail. They are told before they end, which may take several times as long.
   * @example
   * const sums = evidence.take(0, now)
   */
  take (overdue: number, now: number): (ResultSums & { readonly age: number }) | undefined {
    for (let request = this._overdueReported; request < overdue; request += 1) this._report({ results: 1, failures: 1, timed: 0, time: 0 }, now)
    this._overdueReported = overdue
    this._reportErrors()
    const { sums, since } = this._outgoing
    if (sums === NO_RESULTS) return undefined
    this._outgoing = NOTHING_PENDING
    return { ...sums, age: Math.min(MAX_REPORT_AGE, Math.max(0, Math.round(now - since))) }
  }

  private _isQuestionable (now: number, requestRate: number): boolean {
    return this._own.value(now, requestRate) >= MIN_OWN_SHARE || this._heard.failureShare(now) >= MIN_TOLD_SHARE
  }

  private _report (sums: ResultSums, now: number): void {
    this._outgoing = addPending(this._outgoing, sums, now)
  }

  /** An error that may be due to its request is told with the successes before it; these alone are not told. */
  private _reportErrors (): void {
    const { sums, since } = this._unreported
    if (sums.failures === 0) return
    this._unreported = NOTHING_PENDING
    this._outgoing = addPending(this._outgoing, sums, since)
  }

  /** How much told results count against own ones, 0 to 1. */
  private _weightOfHeard (told: number, now: number): number { return told === 0 ? 0 : told / (told + this._own.weight(now)) }
}

function addPending ({ sums, since }: PendingResults, added: ResultSums, at: number): PendingResults {
  return { sums: addResults(sums, added), since: sums === NO_RESULTS ? at : Math.min(since, at) }
}
