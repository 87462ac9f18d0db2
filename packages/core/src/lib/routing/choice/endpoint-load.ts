/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What one entry knows of the load of one endpoint: the endpoint's last report, where there is one, corrected by what
 * this entry has sent and seen end since.
 */
import { decay } from '../decay.js'
import { firstTokenTime, readRate } from './engine-model.js'
import type { PoolDescription } from '../published/routing-configuration.js'

/** What an engine says of itself, taken beside it and passed on at once. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  /** Prompt tokens of running requests that it has still to read; nothing when that is not told. */
  readonly unreadTokens?: number | undefined
  /** The version that it serves; 0 for none. */
  readonly version: number
  /** Whether it will take new work: not while it switches to another version. */
  readonly accepting: boolean
  /** How much slower than described it works; 1 as described. */
  readonly pace: number
  /** Milliseconds until it stops to take new work, to switch to another version; nothing when that is not planned. */
  readonly closesIn?: number | undefined
  /** Milliseconds until it takes new work on the version that it is to take next; nothing when that is not known. */
  readonly opensIn?: number | undefined
  /** Requests in a millisecond that entries which hear these reports send to this engine, if each sends as many to all that it follows; nothing when that is not told. */
  readonly sentRate?: number | undefined
  /** The start of the engine that this is told of; nothing where engines do not tell it. See `EndpointRecord`. */
  readonly born?: number | undefined
  /** Milliseconds from the agent's look at the engine to when it was told; nothing for at once. */
  readonly age?: number | undefined
  /** Entries that hear these reports, each counted by one over the engines that it follows; nothing when that is not told. */
  readonly entries?: number | undefined
}

/** A request of this entry at the endpoint. */
interface Sent {
  readonly promptTokens: number
  readonly sentAt: number
  begun: boolean
}

/** How long before it was told a report was made, in milliseconds; 0 where what it says of that cannot be. */
export function ageOf ({ age }: LoadReport): number {
  return typeof age === 'number' && age >= 0 && age <= REPORT_LIFETIME ? age : 0
}

/** A report older than this says nothing any more, in milliseconds: ten of the agents' reports are missing by then. */
export const REPORT_LIFETIME = 1_000
/** What is on its way to the endpoint when it reports, in milliseconds: a few network delays. */
const REPORT_BLIND_TIME = 5
/**
 * Without reports, other entries are taken to send as much as this one does. The true number is unknown; a few entries
 * of a zone share most of the endpoints of that zone.
 */
const ASSUMED_ENTRIES = 3
/** Weight of the newest sample in the measured slowness. */
const SLOWNESS_SMOOTHING = 0.3
const LEAST_SLOWNESS = 0.7
const GREATEST_SLOWNESS = 20
/** Measured slowness halves its distance to 1 in this time without new samples, in milliseconds. */
const SLOWNESS_HALF_LIFE = 2_000
/** The longest measured way counts half after this, in milliseconds: a few times the queue of a narrowed link. */
const PEAK_HALF_LIFE = 2_000
/**
 * Without new answers the measured time of a plain endpoint halves its distance to what is usual for its service in this
 * time, in milliseconds: one that was so slow that requests went elsewhere would otherwise never be tried again.
 */
const PLAIN_TIME_HALF_LIFE = 2_000

/** The load of one endpoint, as one entry sees it. */
export class EndpointLoad {
  private readonly _sent = new Map<string, Sent>()
  private _report: LoadReport | undefined
  private _heardAt = -Infinity
  private _endedSinceReport = 0
  /** The last measured way there and back, in milliseconds, and when the one under way began. */
  private _roundTrip = 0
  private _pingedAt: number | undefined
  /** The longest way measured lately, and when it was. */
  private _peak = 0
  private _peakAt = 0
  private _slowness = 1
  private _slownessAt = 0
  private _plainTime: number | undefined
  private _plainTimeAt = 0

  /** Requests of this entry that have not ended there. */
  get outstanding (): number { return this._sent.size }

  /** The endpoint's last report, unless it is too old to say anything. */
  report (now: number): LoadReport | undefined {
    return now - this._heardAt <= REPORT_LIFETIME ? this._report : undefined
  }

  /** When it will stop to take new work; nothing when that is not planned. */
  closesAt (now: number): number | undefined {
    const closesIn = this.report(now)?.closesIn
    return closesIn === undefined ? undefined : this._heardAt + closesIn
  }

  /** When it takes new work on its next version; nothing when that is not known. */
  opensAt (now: number): number | undefined {
    const opensIn = this.report(now)?.opensIn
    return opensIn === undefined ? undefined : this._heardAt + opensIn
  }

  /** The age of the last report in milliseconds; infinite when there was none. */
  reportAge (now: number): number { return now - this._heardAt }

  heard (report: LoadReport, now: number): void {
    this._report = report
    this._heardAt = now
    this._endedSinceReport = 0
  }

  /** A measurement of the way to the endpoint and back begins. */
  pinged (now: number): void { this._pingedAt ??= now }

  /** It ended, or was given up with the connection. */
  ponged (now: number): void {
    if (this._pingedAt === undefined) return
    this._roundTrip = now - this._pingedAt
    this._pingedAt = undefined
    if (this._roundTrip < this._fadedPeak(now)) return
    this._peak = this._roundTrip
    this._peakAt = now
  }

  /**
   * The longest way there and back of the last seconds, fading, in milliseconds. The queue of a narrow link comes and goes
   * within one measurement, so where a request must not be late the last one says too little.
   */
  longestRoundTrip (now: number): number { return Math.max(this.roundTrip(now), this._fadedPeak(now)) }

  /**
   * The way there and back, in milliseconds: what was measured last, or more when the measurement under way already takes
   * longer. A link that carries chunks of weights, or was narrowed, shows in it at once.
   */
  roundTrip (now: number): number {
    return Math.max(this._roundTrip, this._pingedAt === undefined ? 0 : now - this._pingedAt)
  }

  sent (request: string, promptTokens: number, now: number): void {
    this._sent.set(request, { promptTokens, sentAt: now, begun: false })
  }

  /**
   * The first event came, or the whole answer of a plain service.
   *
   * @param predicted What was expected when it was sent, in milliseconds; nothing where there was no expectation.
   */
  begun (request: string, predicted: number | undefined, now: number): void {
    const sent = this._sent.get(request)
    if (sent === undefined || sent.begun) return
    sent.begun = true
    if (predicted !== undefined && predicted > 0) this._observe((now - sent.sentAt) / predicted, now)
  }

  /**
   * A plain request took so long in all, in milliseconds.
   *
   * @param usual What its service's requests usually take; 0 while that is not known.
   */
  plainTook (milliseconds: number, usual: number, now: number): void {
    const before = this._fadedPlainTime(usual, now) || milliseconds
    this._plainTime = before + SLOWNESS_SMOOTHING * (milliseconds - before)
    this._plainTimeAt = now
  }

  ended (request: string): void {
    if (this._sent.delete(request)) this._endedSinceReport += 1
  }

  /** How much slower than expected answers have come lately; 1 as expected. */
  slowness (now: number): number {
    return 1 + (this._slowness - 1) * decay(now - this._slownessAt, SLOWNESS_HALF_LIFE)
  }

  /**
   * The expected time to the first event of a request that is sent now, in milliseconds.
   *
   * @example
   * const wait = load.expectedFirstEvent(pool, 1_290, now)
   */
  expectedFirstEvent (pool: PoolDescription, promptTokens: number, now: number): number {
    const report = this.report(now)
    const work = report === undefined ? this._assumedWork(pool) : this._correctedWork(report, pool, now)
    const pace = Math.max(report?.pace ?? 1, this.slowness(now))
    return pace * firstTokenTime(pool, work, promptTokens) + this.roundTrip(now)
  }

  /**
   * The expected time to the answer of a plain service, in milliseconds. Requests wait only when all slots are taken, and
   * what other entries send shows in how long answers take: counted as if each request made the next one slower, and as if
   * others sent as much, 14 of 808 were refused on a day with endpoints that were half empty.
   *
   * @param usual What its service's requests usually take; 0 while that is not known.
   */
  expectedPlainAnswer (slots: number, usual: number, now: number): number {
    const waiting = Math.max(0, this._sent.size + 1 - slots)
    return this._fadedPlainTime(usual, now) * (1 + waiting / Math.max(1, slots))
  }

  private _fadedPlainTime (usual: number, now: number): number {
    if (this._plainTime === undefined) return usual
    return usual + (this._plainTime - usual) * decay(now - this._plainTimeAt, PLAIN_TIME_HALF_LIFE)
  }

  /** What was unread when the report was made, less what the engine has read since. */
  private _unread ({ unreadTokens = 0 }: LoadReport, pool: PoolDescription, now: number): number {
    return Math.max(0, unreadTokens - this.reportAge(now) * readRate(pool))
  }

  private _correctedWork (report: LoadReport, pool: PoolDescription, now: number): { running: number, waiting: number, waitingTokens: number } {
    let sentSince = 0
    let tokensSince = 0
    for (const { promptTokens, sentAt, begun } of this._sent.values()) {
      if (begun || sentAt < this._heardAt - REPORT_BLIND_TIME) continue
      sentSince += 1
      tokensSince += promptTokens
    }
    return {
      running: Math.max(0, report.running - this._endedSinceReport),
      waiting: report.waiting + sentSince,
      waitingTokens: report.waiting * pool.usualPromptTokens + tokensSince + this._unread(report, pool, now)
    }
  }

  private _assumedWork (pool: PoolDescription): { running: number, waiting: number, waitingTokens: number } {
    let running = 0
    let waiting = 0
    let waitingTokens = 0
    for (const { begun, promptTokens } of this._sent.values()) {
      if (begun) running += 1
      else {
        waiting += 1
        waitingTokens += promptTokens
      }
    }
    return { running: Math.min(pool.slots, running * ASSUMED_ENTRIES), waiting: waiting * ASSUMED_ENTRIES, waitingTokens: waitingTokens * ASSUMED_ENTRIES }
  }

  private _fadedPeak (now: number): number {
    return this._peak * decay(now - this._peakAt, PEAK_HALF_LIFE)
  }

  private _observe (ratio: number, now: number): void {
    const bounded = Math.min(GREATEST_SLOWNESS, Math.max(LEAST_SLOWNESS, ratio))
    this._slowness = this.slowness(now) + SLOWNESS_SMOOTHING * (bounded - this.slowness(now))
    this._slownessAt = now
  }
}
