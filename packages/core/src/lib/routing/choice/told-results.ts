/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The results of requests to one endpoint that other entries of the zone have told. */
import { decay } from '../decay.js'
import { UNUSED_HALF_LIFE } from './failure-rate.js'

/** Sums over results of requests to one endpoint. */
export interface ResultSums {
  readonly results: number
  /** The sum of their weights as failures, 0 to 1 each. */
  readonly failures: number
  /** The number of answers whose response time was measured, and the sum of these times in milliseconds. */
  readonly timed: number
  readonly time: number
}

/** Results at one start of an endpoint, as one entry tells them to others. */
export interface EvidenceReport extends ResultSums {
  readonly start: string
  /** Milliseconds since the results. */
  readonly age: number
}

export const NO_RESULTS: ResultSums = { results: 0, failures: 0, timed: 0, time: 0 }

/** About this many results are remembered: newer ones replace the older ones. */
const MEMORY = 20
/** The weight of the assumption that an endpoint does not fail, in results. */
const PRIOR_RESULTS = 2

/**
 * Adds sums of results.
 *
 * @example
 * const sums = addResults(NO_RESULTS, { results: 2, failures: 1, timed: 1, time: 24 })
 */
export function addResults (left: ResultSums, right: ResultSums): ResultSums { return combine(left, 1, right) }

function combine (kept: ResultSums, factor: number, added: ResultSums): ResultSums {
  return {
    results: kept.results * factor + added.results,
    failures: kept.failures * factor + added.failures,
    timed: kept.timed * factor + added.timed,
    time: kept.time * factor + added.time
  }
}

/** A moving sum that halves in the time of the shortest memory of an endpoint that is not used. */
export class ToldResults {
  private _sums = NO_RESULTS
  private _updatedAt = -Infinity

  /**
   * Adds results that were seen at a time.
   *
   * @example
   * told.add({ results: 3, failures: 2, timed: 1, time: 24 }, now - age, now)
   */
  add (sums: ResultSums, at: number, now: number): void {
    const replaced = (1 - 1 / MEMORY) ** Math.max(sums.results, sums.timed)
    const fresh = decay(now - at, UNUSED_HALF_LIFE.min)
    this._sums = combine(combine(this._sums, this._fading(now) * replaced, NO_RESULTS), 1, combine(sums, fresh, NO_RESULTS))
    this._updatedAt = now
  }

  /** How many results it rests on. */
  weight (now: number): number { return this._sums.results * this._fading(now) }

  /** The share of failures, 0 to 1. */
  failureShare (now: number): number {
    return this._sums.failures * this._fading(now) / (this.weight(now) + PRIOR_RESULTS)
  }

  /** The number of response times, and their mean in milliseconds; 0 if there are none. */
  responseTimes (now: number): { readonly weight: number, readonly mean: number } {
    const { timed, time } = this._sums
    return { weight: timed * this._fading(now), mean: timed === 0 ? 0 : time / timed }
  }

  private _fading (now: number): number { return this._sums === NO_RESULTS ? 0 : decay(now - this._updatedAt, UNUSED_HALF_LIFE.min) }
}

/** Bounds of a message: more endpoints than plain services list, and more results than an entry has between two messages. */
export const MAX_REPORTS = 256
const MAX_RESULTS = 10_000
const MAX_START_LENGTH = 300
export const MAX_REPORT_AGE = 60_000

/**
 * Validates reports received from another process; returns `undefined` if they are malformed.
 *
 * @example
 * const reports = readEvidence([{ start: 'desk-7', results: 1, failures: 1, timed: 0, time: 0, age: 20 }])
 */
export function readEvidence (input: unknown): EvidenceReport[] | undefined {
  return Array.isArray(input) && input.length <= MAX_REPORTS && input.every(isReport) ? input : undefined
}

function isReport (input: unknown): input is EvidenceReport {
  if (typeof input !== 'object' || input === null) return false
  const { start, results, failures, timed, time, age } = input as Partial<Record<keyof EvidenceReport, unknown>>
  if (typeof start !== 'string' || start.length > MAX_START_LENGTH) return false
  return isWithin(results, MAX_RESULTS) && isWithin(failures, results) && isWithin(timed, MAX_RESULTS) && isWithin(time, Number.MAX_SAFE_INTEGER) && isWithin(age, MAX_REPORT_AGE)
}

function isWithin (value: unknown, most: number): value is number { return typeof value === 'number' && value >= 0 && value <= most }
