/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates a pool behind several entries in virtual time: callers, entries that choose engines, engines, and the agents' load
 * reports. It compares selection policies. Networks, links and weights are not modelled.
 */
import { type EngineWork, type PoolDescription, readRate, retryAfter, UnreadTokens } from '@drumdrift/core'
import { quantile } from '../bench-options.js'
import { seededRandom } from '@drumdrift/stand-ins'
import { entryPolicies, type EntryPolicy, type PlacedRequest, type PolicyName } from './policies.js'
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
  readonly way: number
  /** Deadline for the first token, in milliseconds. */
  readonly objective: number
  readonly sizes: Readonly<Record<'prompt' | 'answer', LogNormal>>
  /** Credit earned by each kind of answer. */
  readonly credits: Credits
}

/** A truncated log-normal distribution of sizes in tokens: its mean, the standard deviation of the logarithm, and the maximum. */
interface LogNormal {
  readonly mean: number
  readonly spread: number
  readonly most: number
}

interface Credits {
  readonly inTime: number
  readonly late: number
  /** Credit for an answer in time after one refusal; `undefined` if the time counts from the first attempt. */
  readonly afterRefusal: number | undefined
  readonly refusedAgain: number
}

/** The simulated sites. */
export const modelSites = {
  /** Few entries and engines with spare capacity, as in the users' first sites. */
  few: {
    entries: 6,
    engines: 15,
    followed: 15,
    pool: modelPool,
    way: 2,
    objective: 450,
    sizes: { prompt: { mean: 935, spread: 0.8, most: 3_800 }, answer: { mean: 92, spread: 0.7, most: 250 } },
    credits: { inTime: 1, late: 0.25, afterRefusal: 0.625, refusedAgain: 0 }
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
    way: 0.75,
    objective: 435,
    sizes: { prompt: { mean: 930, spread: 0.9, most: 3_900 }, answer: { mean: 100, spread: 0.75, most: 270 } },
    credits: { inTime: 1, late: 0.25, afterRefusal: undefined, refusedAgain: -0.3 }
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
    way: 8,
    objective: 580,
    sizes: { prompt: { mean: 970, spread: 1, most: 3_880 }, answer: { mean: 71, spread: 0.85, most: 178 } },
    credits: { inTime: 1, late: 0.25, afterRefusal: undefined, refusedAgain: -0.3 }
  }
}

/** The longest pause between two reports to a follower that rarely chooses, in milliseconds; used by `by-choices`. */
const LONGEST_TELLING_PAUSE = 200

/** Load report schedules: the pause between two reports to a follower, by the requests per millisecond that the follower sends to the pool. */
export const tellings = {
  /** A report after each reading of the engine; the product does this. */
  'each-look': () => 0,
  /** One report per choice of the follower: at most half as many reports, but choices use older ones. */
  'by-choices': sentRate => Math.min(LONGEST_TELLING_PAUSE, 1 / sentRate)
} as const satisfies Record<string, (sentRate: number) => number>

/** The name of a load report schedule. */
export type Telling = keyof typeof tellings

/** Parameters of one simulation run. */
export interface PolicyPlay {
  readonly site: SiteName
  readonly policy: PolicyName
  readonly seed: number
  /** Requests per second of all entries together. */
  readonly perSecond: number
  readonly telling?: Telling | undefined
}

/** Results of one simulation run. */
export interface PolicyFigures {
  /** Credit earned per request, at most 1. */
  readonly worth: number
  readonly refused: number
  readonly late: number
  readonly firstMedian: number
  readonly firstLatest: number
  /** Load reports that one entry receives per second. */
  readonly heardPerSecond: number
}

/** Times in milliseconds: the pause between two readings of an engine, and the total time that callers wait. */
const LOOK_PAUSE = 50
const PATIENCE = 6_000
/** A share of the engines stops accepting requests for a while and reopens at once, as after a switch or an outage; times in milliseconds. */
const CLOSED = { share: 0.4, from: 6_000, to: 8_000 }
/** Requests that arrive before this time are not counted, because the engines are still filling; none arrive after `END`. In milliseconds. */
const COUNTED_FROM = 2_000
const END = 14_000
/** Time after `END` in which the last answers complete, in milliseconds. */
const TAIL = 6_000

interface Tally {
  asked: number
  credit: number
  refused: number
  late: number
  reports: number
  readonly firsts: number[]
}

/** The state of one simulation run. */
class PolicyModel {
  private readonly _time = new VirtualTime()
  private readonly _draw: () => number
  private readonly _site: ModelSite
  private readonly _engines: VirtualEngine[]
  private readonly _entries: EntryPolicy[]
  /** The engines that each entry follows, by the index of the entry. */
  private readonly _followed: ReadonlySet<number>[]
  private readonly _tally: Tally = { asked: 0, credit: 0, refused: 0, late: 0, reports: 0, firsts: [] }
  private _named = 0
  /** Requests in transit to each engine. */
  private readonly _underWay = new Map<number, { requests: number, tokens: number }>()

  constructor (private readonly _play: PolicyPlay) {
    this._site = modelSites[_play.site]
    this._draw = seededRandom(_play.seed)
    const { engines, entries, pool } = this._site
    this._engines = Array.from({ length: engines }, () => new VirtualEngine(pool, this._time))
    this._followed = Array.from({ length: entries }, () => this._drawFollowed())
    this._entries = this._followed.map(followed => entryPolicies[_play.policy]({ pool, engines: [...followed], draw: this._draw, work: index => this._workOf(index) }))
  }

  private _workOf (index: number): EngineWork {
    const { running, waiting, waitingTokens } = this._engines[index]?.work() ?? { running: 0, waiting: 0, waitingTokens: 0 }
    const sent = this._underWay.get(index) ?? { requests: 0, tokens: 0 }
    return { running, waiting: waiting + sent.requests, waitingTokens: waitingTokens + sent.tokens }
  }

  private _drawFollowed (): ReadonlySet<number> {
    const { engines, followed } = this._site
    const order = Array.from({ length: engines }, (_, index) => ({ index, weight: followed < engines ? this._draw() : index }))
    return new Set(order.sort((left, right) => left.weight - right.weight).slice(0, followed).map(({ index }) => index))
  }

  play (): PolicyFigures {
    this._engines.forEach((engine, index) => this._look(engine, index))
    for (const entry of this._entries) this._arrive(entry)
    this._time.after(CLOSED.from, () => this._setAccepting(false))
    this._time.after(CLOSED.to, () => this._setAccepting(true))
    this._time.playUntil(END + TAIL)
    const { asked, credit, refused, late, reports, firsts } = this._tally
    return { worth: credit / asked, refused: refused / asked, late: late / asked, firstMedian: quantile(firsts, 0.5), firstLatest: quantile(firsts, 0.99), heardPerSecond: reports / this._site.entries / END * 1_000 }
  }

  private _setAccepting (accepting: boolean): void {
    for (const engine of this._engines.slice(0, Math.round(this._engines.length * CLOSED.share))) engine.accepting = accepting
  }

  /** Starts an agent's loop, which reads its engine and sends load reports to the entries that follow it. */
  private _look (engine: VirtualEngine, index: number): void {
    const unread = new UnreadTokens()
    const followers = this._entries.filter((_, entry) => this._followed[entry]?.has(index))
    const sentRate = followers.length * this._play.perSecond / 1_000 / this._site.entries / this._site.followed
    const pause = tellings[this._play.telling ?? 'each-look'](this._play.perSecond / 1_000 / this._site.entries)
    const toldAt = new Map<EntryPolicy, number>()
    const due = (entry: EntryPolicy): boolean => this._time.now - (toldAt.get(entry) ?? -Infinity) >= pause - LOOK_PAUSE / 2
    const look = (): void => {
      const { running, waiting, contextTokens } = engine.reading()
      const unreadTokens = unread.observe({ running, contextTokens }, readRate(this._site.pool), this._time.now)
      const report = { running, waiting, unreadTokens, version: 1, accepting: engine.accepting, pace: 1, sentRate }
      const told = followers.filter(due)
      for (const entry of told) toldAt.set(entry, this._time.now)
      this._tally.reports += told.length
      this._time.after(this._site.way, () => { for (const entry of told) entry.heard(index, report, this._time.now) })
      if (this._time.now < END) this._time.after(LOOK_PAUSE, look)
    }
    this._time.after(this._draw() * LOOK_PAUSE, look)
  }

  /** Schedules Poisson arrivals at an entry. */
  private _arrive (entry: EntryPolicy): void {
    const pause = -Math.log(1 - this._draw()) * 1_000 * this._site.entries / this._play.perSecond
    if (this._time.now + pause > END) return
    this._time.after(pause, () => {
      this._ask(entry, this._newRequest(), this._time.now >= COUNTED_FROM)
      this._arrive(entry)
    })
  }

  private _newRequest (): PlacedRequest & { readonly answerTokens: number } {
    return { id: String(this._named++), promptTokens: this._size(this._site.sizes.prompt), answerTokens: this._size(this._site.sizes.answer), objective: this._site.objective }
  }

  /** Draws a size from a truncated log-normal distribution of the given mean, by the Box-Muller transform. */
  private _size ({ mean, spread, most }: LogNormal): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this._draw())) * Math.cos(2 * Math.PI * this._draw())
    return Math.max(1, Math.round(Math.min(most, mean * Math.exp(spread * normal - spread ** 2 / 2))))
  }

  private _ask (entry: EntryPolicy, request: ReturnType<PolicyModel['_newRequest']>, counted: boolean): void {
    if (counted) this._tally.asked += 1
    const { credits } = this._site
    const askedAt = this._time.now
    const refusedAgain = (): void => {
      if (!counted) return
      this._tally.refused += 1
      this._tally.credit += credits.refusedAgain
    }
    const refused = (): void => {
      this._time.after(retryAfter({ patience: PATIENCE, objective: this._site.objective }, this._draw(), { type: 'open' }), () => {
        const since = credits.afterRefusal === undefined ? askedAt : this._time.now
        this._place(entry, { request, counted, again: true }, new Set(), since, refusedAgain)
      })
    }
    this._place(entry, { request, counted, again: false }, new Set(), askedAt, refused)
  }

  private _place (entry: EntryPolicy, asked: { readonly request: ReturnType<PolicyModel['_newRequest']>, readonly counted: boolean, readonly again: boolean }, tried: Set<number>, since: number, refused: () => void): void {
    const { request } = asked
    const index = entry.choose(request, tried, this._time.now)
    const engine = index === undefined ? undefined : this._engines[index]
    if (index === undefined || engine === undefined) return refused()
    tried.add(index)
    const first = (): void => this._time.after(this._site.way, () => {
      entry.begun(index, request, this._time.now)
      if (asked.counted) this._count(this._time.now - since, asked.again)
    })
    const ended = (): void => this._time.after(this._site.way, () => entry.ended(index, request, 'served', this._time.now))
    const turnedAway = (): void => this._time.after(this._site.way, () => {
      entry.ended(index, request, 'refused', this._time.now)
      this._place(entry, asked, tried, since, refused)
    })
    this._onTheWay(index, 1, request.promptTokens)
    this._time.after(this._site.way, () => {
      this._onTheWay(index, -1, -request.promptTokens)
      if (!engine.send({ ...request, onFirst: first, onEnd: ended })) turnedAway()
    })
  }

  private _onTheWay (index: number, requests: number, tokens: number): void {
    const before = this._underWay.get(index) ?? { requests: 0, tokens: 0 }
    this._underWay.set(index, { requests: before.requests + requests, tokens: before.tokens + tokens })
  }

  private _count (first: number, again: boolean): void {
    this._tally.firsts.push(first)
    const { credits, objective } = this._site
    const inTime = first <= objective
    if (!inTime) this._tally.late += 1
    this._tally.credit += !inTime ? credits.late : again ? credits.afterRefusal ?? credits.inTime : credits.inTime
  }
}

/**
 * Runs the simulation once.
 *
 * @example
 * playPolicy({ site: 'few', policy: 'by-room', seed: 7, perSecond: 110 }).worth
 */
export function playPolicy (play: PolicyPlay): PolicyFigures { return new PolicyModel(play).play() }
