/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Estimates the load of one endpoint, as seen by one entry: the endpoint's last load report, if there is one, corrected by the
 * requests that this entry has sent and seen end since.
 */
import { decay, halfLifeOf } from '../decay.js'
import { firstTokenTime, prefillRate } from './engine-model.js'
import { UNUSED_HALF_LIFE } from './failure-rate.js'
import { PlainResponseTime } from './plain-response-time.js'
import { COMMON_PLACE, type QueuePlace } from './queue-mix.js'
import type { PoolDescription } from '../published/routing-configuration.js'

/** The load of an engine, as reported by its agent. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  /** Prompt tokens of running requests that the engine has not read yet; absent if not reported. */
  readonly unreadTokens?: number | undefined
  /** The version that the engine serves; 0 for none. */
  readonly version: number
  /** Whether the engine accepts new requests; it does not while it switches to another version. */
  readonly accepting: boolean
  /** Whether the agent checked the loaded version after a doubt, and found it whole; absent if it had no doubt. */
  readonly verified?: boolean | undefined
  /** The slowdown of the engine against its pool's description; 1 for none. */
  readonly pace: number
  /** Milliseconds until the engine stops accepting requests to switch to another version; absent if no switch is planned. */
  readonly closesIn?: number | undefined
  /** Milliseconds until the engine accepts requests on its next version; absent if unknown. */
  readonly opensIn?: number | undefined
  /**
   * The rate of requests to this engine from the entries that receive its reports, in requests per millisecond, if each entry sends
   * equally to all engines that it follows; absent if not reported.
   */
  readonly sentRate?: number | undefined
  /** The start of the engine's incarnation that the report describes; absent if the engine does not publish it. See `EndpointRecord`. */
  readonly born?: number | undefined
  /** Milliseconds between the agent's poll of the engine and the sending of the report; absent for none. */
  readonly age?: number | undefined
  /** The number of entries that receive these reports, each divided by the number of engines that it follows; absent if not reported. */
  readonly entries?: number | undefined
}

/** A request of this entry in flight at the endpoint. */
interface RequestInFlight {
  readonly promptTokens: number
  readonly sentAt: number
  readonly place: QueuePlace
  begun: boolean
}

/** How a request passes others in an engine's queue. */
interface Passing {
  readonly place: QueuePlace
  /** The number of reported requests in the queue that let it go first. */
  readonly yielding: number
}

/** Of a request that goes behind all that wait. */
const NO_PASSING: Passing = { place: { urgency: Infinity, late: true }, yielding: 0 }

/** The age of a report when it was sent, in milliseconds; 0 if the reported age is implausible. */
export function ageOf ({ age }: LoadReport): number {
  return typeof age === 'number' && age >= 0 && age <= REPORT_LIFETIME ? age : 0
}

/** A report expires after this time, in milliseconds: ten reports of the agent are missing by then. */
export const REPORT_LIFETIME = 1_000
/** Requests sent less than this time before a report are assumed not to be counted in it, in milliseconds: a few network delays. */
const REPORT_DELAY = 5
/**
 * Without reports, this many entries, each sending as much as this one, are assumed to share the endpoint. The true number is
 * unknown; most endpoints of a zone are shared by a few entries of that zone.
 */
const ASSUMED_ENTRIES = 3
/** Weight of the newest sample in the exponentially weighted moving average of the slowness. */
const SLOWNESS_SMOOTHING = 0.3
const MIN_SLOWNESS = 0.7
const MAX_SLOWNESS = 20
/** Without new samples, the slowness decays towards 1 with this half-life, in milliseconds. */
const SLOWNESS_HALF_LIFE = 2_000
/** A measurement counts as recent for this time, in milliseconds: the pause between pings of a slow link, and some time for the ping. */
const RECENT_MEASUREMENT = 500
/** The half-life of the longest measured round trip time, in milliseconds: a few times the queue of a link with reduced bandwidth. */
const ROUND_TRIP_HALF_LIFE = 2_000
/**
 * Without new answers, the expected time of a plain endpoint decays towards its service's mean with this half-life, in
 * milliseconds: requests to a service that is slow at all endpoints are refused, and would otherwise be refused for ever.
 */
const PLAIN_TIME_HALF_LIFE = 2_000

/** What one entry knows of a plain service as a whole. */
export interface PlainService {
  /** The mean response time, in milliseconds; 0 if unknown. */
  readonly usual: number
  /** The rate of this entry's requests to it, in requests per millisecond. */
  readonly requestRate: number
}

/** The load of one endpoint, as seen by one entry. */
export class EndpointLoad {
  private readonly _sent = new Map<string, RequestInFlight>()
  private _report: LoadReport | undefined
  private _reportedAt = -Infinity
  /** The version that an agent doubted; `undefined` for none. */
  private _doubtedVersion: number | undefined
  private _stalledAtReport = 0
  private _endedSinceReport = 0
  /** The last measured round trip time, in milliseconds, when it was measured, and the start of the measurement in progress. */
  private _roundTrip = 0
  private _roundTripAt = -Infinity
  private _pingStartedAt: number | undefined
  private _stalledAtPing = 0
  /** The longest recent round trip time, and when it was measured. */
  private _longestRoundTrip = 0
  private _longestRoundTripAt = 0
  private _slowness = 1
  private _slownessAt = 0
  private readonly _plainTime = new PlainResponseTime()
  private readonly _rememberedPlainTime = new PlainResponseTime()

  /** The number of requests of this entry that are in flight at the endpoint. */
  get outstanding (): number { return this._sent.size }

  /** The number of requests of this entry that were sent at least this long ago, in milliseconds, and have not ended. */
  overdue (time: number, now: number): number {
    let count = 0
    // The map is in the order of sending.
    for (const { sentAt } of this._sent.values()) {
      if (now - sentAt < time) break
      count += 1
    }
    return count
  }

  /** The endpoint's last report; `undefined` if it has expired. */
  report (now: number): LoadReport | undefined {
    return now - this._reportedAt <= REPORT_LIFETIME ? this._report : undefined
  }

  /** Whether an agent doubted that the engine loaded a version completely. Only a check ends the doubt, or another version. */
  doubts (version: number): boolean { return version !== 0 && version === this._doubtedVersion }

  /** Whether the last report, however old, covers a version. A newer one may have been loaded without the agent. */
  covers (version: number): boolean { return this._report === undefined || version <= this._report.version }

  /** Forgets the last report, since no more are received. */
  forgetReport (): void { this._report = undefined }

  /** When the engine stops accepting requests; `undefined` if no switch is planned. */
  closesAt (now: number): number | undefined {
    const closesIn = this.report(now)?.closesIn
    return closesIn === undefined ? undefined : this._reportedAt + closesIn
  }

  /** When the engine accepts requests on its next version; `undefined` if unknown. */
  opensAt (now: number): number | undefined {
    const opensIn = this.report(now)?.opensIn
    return opensIn === undefined ? undefined : this._reportedAt + opensIn
  }

  /** The age of the last report in milliseconds; infinite if there was none. */
  reportAge (now: number): number { return now - this._reportedAt }

  /**
   * Stores a report. One that comes after a gap in which nothing was measured shows that nothing crossed the link in the meantime, so
   * what is sent now may wait for as long: the gap counts as a round trip, although the first measurement after it may be short.
   *
   * @param stalled The total time in which this process did not run, in milliseconds, which is no delay of the link.
   */
  heard (report: LoadReport, now: number, stalled = 0): void {
    const gap = now - this._reportedAt - (stalled - this._stalledAtReport)
    this._stalledAtReport = stalled
    const isMeasured = now - this._roundTripAt <= RECENT_MEASUREMENT
    if (gap > REPORT_LIFETIME && gap < Infinity && !isMeasured) this._recordLongestRoundTrip(gap, now)
    if (report.verified === false) this._doubtedVersion = report.version
    else if (report.verified === true || report.version !== this._doubtedVersion) this._doubtedVersion = undefined
    this._report = report
    this._reportedAt = now
    this._endedSinceReport = 0
  }

  /**
   * Starts a round trip measurement, unless one is in progress.
   *
   * @param stalled See `heard`.
   */
  pingStarted (now: number, stalled = 0): void {
    if (this._pingStartedAt !== undefined) return
    this._pingStartedAt = now
    this._stalledAtPing = stalled
  }

  /**
   * Ends the measurement, also when it was abandoned because the connection was lost.
   *
   * @param stalled See `heard`.
   */
  pingEnded (now: number, stalled = 0): void {
    if (this._pingStartedAt === undefined) return
    this._roundTrip = now - this._pingStartedAt - (stalled - this._stalledAtPing)
    this._pingStartedAt = undefined
    this._roundTripAt = now
    this._recordLongestRoundTrip(this._roundTrip, now)
  }

  private _recordLongestRoundTrip (milliseconds: number, now: number): void {
    if (milliseconds < this._decayedLongestRoundTrip(now)) return
    this._longestRoundTrip = milliseconds
    this._longestRoundTripAt = now
  }

  /**
   * The longest round trip time of the last seconds, with decay, in milliseconds. The queue of a slow link can build up and clear
   * within one measurement, so the last one alone is not enough where a request must not be late.
   */
  longestRoundTrip (now: number): number { return Math.max(this.roundTrip(now), this._decayedLongestRoundTrip(now)) }

  /**
   * The round trip time, in milliseconds: the last measurement, or the duration so far of the one in progress if that is longer. This
   * shows at once that a link carries chunks of weights or has lost bandwidth.
   */
  roundTrip (now: number): number {
    return Math.max(this._roundTrip, this._pingStartedAt === undefined ? 0 : now - this._pingStartedAt)
  }

  /** The number of late requests of this entry that wait here. */
  get waitingLate (): number {
    let count = 0
    for (const { late } of this.notBegun()) if (late) count += 1
    return count
  }

  /** The places of the requests of this entry that have not begun here, and were sent until the given time. */
  * notBegun (sentUntil = Infinity): Generator<QueuePlace> {
    for (const { place, begun, sentAt } of this._sent.values()) if (!begun && sentAt <= sentUntil) yield place
  }

  /** Records a request, with its place in the engine's queue. */
  sent (request: string, promptTokens: number, now: number, place = COMMON_PLACE): void {
    this._sent.set(request, { promptTokens, sentAt: now, place, begun: false })
  }

  /**
   * Records the first event of an answer, or the complete answer of a plain service.
   *
   * @param predicted The expected time when the request was sent, in milliseconds; `undefined` if there was no estimate.
   */
  begun (request: string, predicted: number | undefined, now: number): void {
    const sent = this._sent.get(request)
    if (sent === undefined || sent.begun) return
    sent.begun = true
    // The wait of a late request depends on the more urgent ones that arrive meanwhile, not on the pace of the engine.
    if (predicted !== undefined && predicted > 0 && !sent.place.late) this._addSlowness((now - sent.sentAt) / predicted, now)
  }

  /** Records the total response time of a plain request, in milliseconds. */
  recordPlainAnswer (milliseconds: number, { usual, requestRate }: PlainService, now: number): void {
    this._plainTime.took(milliseconds, usual, PLAIN_TIME_HALF_LIFE, now)
    this._rememberedPlainTime.took(milliseconds, usual, halfLifeOf(UNUSED_HALF_LIFE, requestRate), now)
  }

  ended (request: string): void {
    if (this._sent.delete(request)) this._endedSinceReport += 1
  }

  /** The recent ratio of measured to expected times; 1 if answers arrive as expected. */
  slowness (now: number): number {
    return 1 + (this._slowness - 1) * decay(now - this._slownessAt, SLOWNESS_HALF_LIFE)
  }

  /**
   * The expected time to the first event of a request that is sent now, in milliseconds.
   *
   * @param passes The place of the request in the queue, and the number of requests there that let it go first.
   * @example
   * const wait = load.expectedFirstEvent(pool, 1_290, now)
   */
  expectedFirstEvent (pool: PoolDescription, promptTokens: number, now: number, passes = NO_PASSING): number {
    const report = this.report(now)
    const work = report === undefined ? this._assumedWork(pool) : this._correctedWork(report, pool, now, passes)
    const pace = Math.max(report?.pace ?? 1, this.slowness(now))
    return pace * firstTokenTime(pool, work, promptTokens) + this.roundTrip(now)
  }

  /**
   * The expected time to the answer of a plain service, in milliseconds. Requests wait only if all slots are occupied, and the load
   * from other entries already shows in the measured response times. A model in which each request slows the next one, and other
   * entries send as much as this one, rejected 14 of 808 requests while endpoints were half empty.
   *
   * @param usual The mean response time of the service; 0 if unknown.
   */
  expectedPlainAnswer (slots: number, usual: number, now: number): number {
    const waiting = Math.max(0, this._sent.size + 1 - slots)
    return this._plainTime.value(usual, PLAIN_TIME_HALF_LIFE, now) * (1 + waiting / Math.max(1, slots))
  }

  /**
   * The response time that is remembered of a plain endpoint, in milliseconds. A request that finds out whether it has recovered is late if it has
   * not, so this lasts for a number of requests.
   */
  rememberedPlainAnswer ({ usual, requestRate }: PlainService, now: number): number {
    return this._rememberedPlainTime.value(usual, halfLifeOf(UNUSED_HALF_LIFE, requestRate), now)
  }

  /** How much slower a plain endpoint was, by a remembered response time, than is expected of it now, in milliseconds. */
  slownessOf (remembered: number, { usual }: Pick<PlainService, 'usual'>, now: number): number {
    return Math.max(0, remembered - this._plainTime.value(usual, PLAIN_TIME_HALF_LIFE, now))
  }

  /** The unread prompt tokens in the report, less those that the engine has read since. */
  private _unreadTokens ({ unreadTokens = 0 }: LoadReport, pool: PoolDescription, now: number): number {
    return Math.max(0, unreadTokens - this.reportAge(now) * prefillRate(pool))
  }

  /** The number of requests in the engine's queue, with those sent since its last report; 0 if there is none. */
  waiting (pool: PoolDescription, now: number): number {
    const report = this.report(now)
    return report === undefined ? 0 : this._correctedWork(report, pool, now, NO_PASSING).waiting
  }

  private _correctedWork (report: LoadReport, pool: PoolDescription, now: number, { place, yielding }: Passing): { running: number, waiting: number, waitingTokens: number } {
    let sentSince = 0
    let tokensSince = 0
    for (const { promptTokens, sentAt, begun, place: other } of this._sent.values()) {
      if (begun || other.urgency > place.urgency || sentAt < this._reportedAt - REPORT_DELAY) continue
      sentSince += 1
      tokensSince += promptTokens
    }
    const waiting = Math.max(0, report.waiting - yielding)
    return {
      running: Math.max(0, report.running - this._endedSinceReport),
      waiting: waiting + sentSince,
      waitingTokens: waiting * pool.usualPromptTokens + tokensSince + this._unreadTokens(report, pool, now)
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

  private _decayedLongestRoundTrip (now: number): number {
    return this._longestRoundTrip * decay(now - this._longestRoundTripAt, ROUND_TRIP_HALF_LIFE)
  }

  private _addSlowness (ratio: number, now: number): void {
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio))
    this._slowness = this.slowness(now) + SLOWNESS_SMOOTHING * (bounded - this.slowness(now))
    this._slownessAt = now
  }
}
