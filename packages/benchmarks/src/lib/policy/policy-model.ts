/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates a pool behind several entries in virtual time: callers, entries that choose engines, engines, and the agents' load
 * reports. It compares selection policies. Networks, links and weights are not modelled.
 */
import { type EngineWork, type PoolDescription, prefillRate, retryAfter, UnreadTokenEstimator } from '@drumdrift/core'
import { quantile } from '../bench-options.js'
import { seededRandom } from '@drumdrift/stand-ins'
import { entryPolicies, type EntryPolicy, type RoutedRequest, type PolicyName } from './policies.js'
import { VirtualEngine } from './virtual-engine.js'
import { VirtualTime } from './virtual-time.js'

/** The pool description that the users publish for one engine of their sites. */
export const modelPool: PoolDescription = {
  slots: 16, stride: 5, stepTime: 9.27, stepTimePerRequest: 0.0232, stepTimePerThousandTokens: 0.0322, promptTokensPerMillisecond: 20.7, promptTokensPerStep: 2_048, usualPromptTokens: 935, usualAnswerTokens: 92, models: [], layers: 16, chunks: 96, chunkBytes: 24_576
}

/** A simulated deployment. */
export interface ModelSite {
  readonly entries: number
  readonly engines: number
  /** Number of engines that one entry follows and sends requests to. */
  readonly followed: number
  readonly pool: PoolDescription
  /** One-way latency between any two processes, in milliseconds. */
  readonly latency: number
  /** Target time to the first token, in milliseconds. */
  readonly objective: number
  readonly sizes: Readonly<Record<'prompt' | 'answer', LogNormal>>
  /** Credit earned by each kind of answer. */
  readonly credits: Credits
}

/** A truncated log-normal distribution of sizes in tokens: its mean, the standard deviation of the logarithm, and the maximum. */
interface LogNormal {
  readonly mean: number
  readonly spread: number
  readonly maximum: number
}

interface Credits {
  readonly inTime: number
  readonly late: number
  /** Credit for an answer in time after one refusal; `undefined` if the time counts from the first attempt. */
  readonly afterRefusal: number | undefined
  readonly secondRefusal: number
}

/** The simulated sites. */
export const modelSites = {
  /** Few entries and engines with spare capacity, as in the users' first sites. */
  few: {
    entries: 6,
    engines: 15,
    followed: 15,
    pool: modelPool,
    latency: 2,
    objective: 450,
    sizes: { prompt: { mean: 935, spread: 0.8, maximum: 3_800 }, answer: { mean: 92, spread: 0.7, maximum: 250 } },
    credits: { inTime: 1, late: 0.25, afterRefusal: 0.625, secondRefusal: 0 }
  },
  /** Engines of 8 slots that are full 90% of the time, with more entries than engines. */
  crowded: crowdedSite(15, 9, 9),
  /** The same with about ten times as many engines; each entry follows only some of them. */
  hundreds: crowdedSite(98, 84, 20),
  /** More entries than engines, each with few requests; fast engines of 12 slots, low latency and longer answers. */
  'many-entries': {
    entries: 40,
    engines: 32,
    followed: 20,
    pool: { slots: 12, stride: 5, stepTime: 8.87, stepTimePerRequest: 0.039, stepTimePerThousandTokens: 0.02, promptTokensPerMillisecond: 19.1, promptTokensPerStep: 2_048, usualPromptTokens: 930, usualAnswerTokens: 100, models: [], layers: 16, chunks: 96, chunkBytes: 24_576 },
    latency: 0.75,
    objective: 435,
    sizes: { prompt: { mean: 930, spread: 0.9, maximum: 3_900 }, answer: { mean: 100, spread: 0.75, maximum: 270 } },
    credits: { inTime: 1, late: 0.25, afterRefusal: undefined, secondRefusal: -0.3 }
  }
} as const satisfies Record<string, ModelSite>

/** The name of a site. */
export type SiteName = keyof typeof modelSites

function crowdedSite (entries: number, engines: number, followed: number): ModelSite {
  return {
    entries,
    engines,
    followed,
    pool: { slots: 8, stride: 5, stepTime: 13.9, stepTimePerRequest: 0.0348, stepTimePerThousandTokens: 0.0483, promptTokensPerMillisecond: 13.8, promptTokensPerStep: 2_048, usualPromptTokens: 970, usualAnswerTokens: 71, models: [], layers: 16, chunks: 96, chunkBytes: 24_576 },
    latency: 8,
    objective: 580,
    sizes: { prompt: { mean: 970, spread: 1, maximum: 3_880 }, answer: { mean: 71, spread: 0.85, maximum: 178 } },
    credits: { inTime: 1, late: 0.25, afterRefusal: undefined, secondRefusal: -0.3 }
  }
}

/** The longest pause between two reports to a follower that rarely chooses, in milliseconds; used by `by-choices`. */
const MAX_REPORT_PAUSE_MILLISECONDS = 200

/** Load report schedules: the pause between two reports to a follower, by the requests per millisecond that the follower sends to the pool. */
export const reportSchedules = {
  /** A report after each reading of the engine; the product does this. */
  'each-look': () => 0,
  /** One report per choice of the follower: at most half as many reports, but choices use older ones. */
  'by-choices': sentRate => Math.min(MAX_REPORT_PAUSE_MILLISECONDS, 1 / sentRate)
} as const satisfies Record<string, (sentRate: number) => number>

/** The name of a load report schedule. */
export type ReportSchedule = keyof typeof reportSchedules

/** Parameters of one simulation run. */
export interface PolicyRun {
  readonly site: SiteName
  readonly policy: PolicyName
  readonly seed: number
  /** Requests per second of all entries together. */
  readonly perSecond: number
  readonly reportSchedule?: ReportSchedule | undefined
}

/** Results of one simulation run. */
export interface PolicyFigures {
  /** Credit earned per request, at most 1. */
  readonly worth: number
  readonly refused: number
  readonly late: number
  readonly firstTokenMedian: number
  readonly firstTokenP99: number
  /** Load reports that one entry receives per second. */
  readonly reportsPerSecond: number
}

/** Times in milliseconds: the pause between two readings of an engine, and the total time that callers wait. */
const READING_INTERVAL_MILLISECONDS = 50
const CALLER_TIMEOUT_MILLISECONDS = 6_000
/** A share of the engines stops accepting requests for a while and reopens at once, as after a switch or an outage; times in milliseconds. */
const CLOSURE = { share: 0.4, from: 6_000, to: 8_000 }
/** Requests that arrive before this time are not counted, because the engines are still filling; none arrive after `ARRIVALS_END_MILLISECONDS`. In milliseconds. */
const COUNTING_START_MILLISECONDS = 2_000
const ARRIVALS_END_MILLISECONDS = 14_000
/** Time after `ARRIVALS_END_MILLISECONDS` in which the last answers complete, in milliseconds. */
const DRAIN_MILLISECONDS = 6_000

interface Counters {
  requests: number
  credit: number
  refused: number
  late: number
  reports: number
  readonly firsts: number[]
}

/** The state of one simulation run. */
class PolicyModel {
  private readonly _time = new VirtualTime()
  private readonly _random: () => number
  private readonly _site: ModelSite
  private readonly _engines: VirtualEngine[]
  private readonly _entries: EntryPolicy[]
  /** The engines that each entry follows, by the index of the entry. */
  private readonly _followed: ReadonlySet<number>[]
  private readonly _counters: Counters = { requests: 0, credit: 0, refused: 0, late: 0, reports: 0, firsts: [] }
  private _requestCount = 0
  /** Requests in transit to each engine. */
  private readonly _inTransit = new Map<number, { requests: number, tokens: number }>()

  constructor (private readonly _run: PolicyRun) {
    this._site = modelSites[_run.site]
    this._random = seededRandom(_run.seed)
    const { engines, entries, pool } = this._site
    this._engines = Array.from({ length: engines }, () => new VirtualEngine(pool, this._time))
    this._followed = Array.from({ length: entries }, () => this._drawFollowed())
    this._entries = this._followed.map(followed => entryPolicies[_run.policy]({ pool, engines: [...followed], random: this._random, work: index => this._currentWork(index) }))
  }

  private _currentWork (index: number): EngineWork {
    const { running, waiting, waitingTokens } = this._engines[index]?.remainingWork() ?? { running: 0, waiting: 0, waitingTokens: 0 }
    const sent = this._inTransit.get(index) ?? { requests: 0, tokens: 0 }
    return { running, waiting: waiting + sent.requests, waitingTokens: waitingTokens + sent.tokens }
  }

  private _drawFollowed (): ReadonlySet<number> {
    const { engines, followed } = this._site
    const order = Array.from({ length: engines }, (_, index) => ({ index, weight: followed < engines ? this._random() : index }))
    return new Set(order.sort((left, right) => left.weight - right.weight).slice(0, followed).map(({ index }) => index))
  }

  run (): PolicyFigures {
    this._engines.forEach((engine, index) => this._startReporting(engine, index))
    for (const entry of this._entries) this._scheduleArrival(entry)
    this._time.after(CLOSURE.from, () => this._setAccepting(false))
    this._time.after(CLOSURE.to, () => this._setAccepting(true))
    this._time.runUntil(ARRIVALS_END_MILLISECONDS + DRAIN_MILLISECONDS)
    const { requests, credit, refused, late, reports, firsts } = this._counters
    return { worth: credit / requests, refused: refused / requests, late: late / requests, firstTokenMedian: quantile(firsts, 0.5), firstTokenP99: quantile(firsts, 0.99), reportsPerSecond: reports / this._site.entries / ARRIVALS_END_MILLISECONDS * 1_000 }
  }

  private _setAccepting (accepting: boolean): void {
    for (const engine of this._engines.slice(0, Math.round(this._engines.length * CLOSURE.share))) engine.accepting = accepting
  }

  /** Starts an agent's loop, which reads its engine and sends load reports to the entries that follow it. */
  private _startReporting (engine: VirtualEngine, index: number): void {
    const estimator = new UnreadTokenEstimator()
    const followers = this._entries.filter((_, entry) => this._followed[entry]?.has(index))
    const sentRate = followers.length * this._run.perSecond / 1_000 / this._site.entries / this._site.followed
    const pause = reportSchedules[this._run.reportSchedule ?? 'each-look'](this._run.perSecond / 1_000 / this._site.entries)
    const reportedAt = new Map<EntryPolicy, number>()
    const isDue = (entry: EntryPolicy): boolean => this._time.now - (reportedAt.get(entry) ?? -Infinity) >= pause - READING_INTERVAL_MILLISECONDS / 2
    const readAndReport = (): void => {
      const { running, waiting, contextTokens } = engine.reportedLoad()
      const unreadTokens = estimator.observe({ running, contextTokens }, prefillRate(this._site.pool), this._time.now)
      const report = { running, waiting, unreadTokens, version: 1, accepting: engine.accepting, pace: 1, sentRate }
      const recipients = followers.filter(isDue)
      for (const entry of recipients) reportedAt.set(entry, this._time.now)
      this._counters.reports += recipients.length
      this._time.after(this._site.latency, () => { for (const entry of recipients) entry.reportReceived(index, report, this._time.now) })
      if (this._time.now < ARRIVALS_END_MILLISECONDS) this._time.after(READING_INTERVAL_MILLISECONDS, readAndReport)
    }
    this._time.after(this._random() * READING_INTERVAL_MILLISECONDS, readAndReport)
  }

  /** Schedules Poisson arrivals at an entry. */
  private _scheduleArrival (entry: EntryPolicy): void {
    const interval = -Math.log(1 - this._random()) * 1_000 * this._site.entries / this._run.perSecond
    if (this._time.now + interval > ARRIVALS_END_MILLISECONDS) return
    this._time.after(interval, () => {
      this._submit(entry, this._newRequest(), this._time.now >= COUNTING_START_MILLISECONDS)
      this._scheduleArrival(entry)
    })
  }

  private _newRequest (): RoutedRequest & { readonly answerTokens: number } {
    return { id: String(this._requestCount++), promptTokens: this._drawSize(this._site.sizes.prompt), answerTokens: this._drawSize(this._site.sizes.answer), objective: this._site.objective }
  }

  /** Draws a size from a truncated log-normal distribution of the given mean, by the Box-Muller transform. */
  private _drawSize ({ mean, spread, maximum }: LogNormal): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this._random())) * Math.cos(2 * Math.PI * this._random())
    return Math.max(1, Math.round(Math.min(maximum, mean * Math.exp(spread * normal - spread ** 2 / 2))))
  }

  private _submit (entry: EntryPolicy, request: ReturnType<PolicyModel['_newRequest']>, counted: boolean): void {
    if (counted) this._counters.requests += 1
    const { credits } = this._site
    const arrivedAt = this._time.now
    const onSecondRefusal = (): void => {
      if (!counted) return
      this._counters.refused += 1
      this._counters.credit += credits.secondRefusal
    }
    const onFirstRefusal = (): void => {
      this._time.after(retryAfter({ patience: CALLER_TIMEOUT_MILLISECONDS, objective: this._site.objective }, this._random(), { type: 'open' }), () => {
        const since = credits.afterRefusal === undefined ? arrivedAt : this._time.now
        this._dispatch(entry, { request, counted, isRetry: true }, new Set(), since, onSecondRefusal)
      })
    }
    this._dispatch(entry, { request, counted, isRetry: false }, new Set(), arrivedAt, onFirstRefusal)
  }

  private _dispatch (entry: EntryPolicy, attempt: { readonly request: ReturnType<PolicyModel['_newRequest']>, readonly counted: boolean, readonly isRetry: boolean }, tried: Set<number>, since: number, onRefusal: () => void): void {
    const { request } = attempt
    const index = entry.choose(request, tried, this._time.now)
    const engine = index === undefined ? undefined : this._engines[index]
    if (index === undefined || engine === undefined) return onRefusal()
    tried.add(index)
    const onFirstToken = (): void => this._time.after(this._site.latency, () => {
      entry.firstTokenReceived(index, request, this._time.now)
      if (attempt.counted) this._recordFirstToken(this._time.now - since, attempt.isRetry)
    })
    const onEnd = (): void => this._time.after(this._site.latency, () => entry.responseEnded(index, request, 'served', this._time.now))
    const onRejected = (): void => this._time.after(this._site.latency, () => {
      entry.responseEnded(index, request, 'refused', this._time.now)
      this._dispatch(entry, attempt, tried, since, onRefusal)
    })
    this._addInTransit(index, 1, request.promptTokens)
    this._time.after(this._site.latency, () => {
      this._addInTransit(index, -1, -request.promptTokens)
      if (!engine.send({ ...request, onFirstToken, onEnd })) onRejected()
    })
  }

  private _addInTransit (index: number, requests: number, tokens: number): void {
    const before = this._inTransit.get(index) ?? { requests: 0, tokens: 0 }
    this._inTransit.set(index, { requests: before.requests + requests, tokens: before.tokens + tokens })
  }

  private _recordFirstToken (time: number, isRetry: boolean): void {
    this._counters.firsts.push(time)
    const { credits, objective } = this._site
    const inTime = time <= objective
    if (!inTime) this._counters.late += 1
    this._counters.credit += !inTime ? credits.late : isRetry ? credits.afterRefusal ?? credits.inTime : credits.inTime
  }
}

/**
 * Runs the simulation once.
 *
 * @example
 * simulatePolicy({ site: 'few', policy: 'by-room', seed: 7, perSecond: 110 }).worth
 */
export function simulatePolicy (run: PolicyRun): PolicyFigures { return new PolicyModel(run).run() }
