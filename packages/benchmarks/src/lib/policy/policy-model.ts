/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A model of a pool behind several entries, in virtual time: callers, entries that choose, engines, and the agents' reports
 * in between. It says how a policy of choosing fares; it knows nothing of networks, links or weights.
 */
import { readRate, retryAfter, UnreadTokens, type PoolDescription } from '@drumdrift/core'
import { quantile } from '../bench-options.js'
import { seededRandom } from '../seeded-random.js'
import { entryPolicies, type EntryPolicy, type PlacedRequest, type PolicyName } from './policies.js'
import { VirtualEngine } from './virtual-engine.js'
import { VirtualTime } from './virtual-time.js'

/** The pool as the users publish theirs (their sites' figures of one engine). */
export const modelPool: PoolDescription = {
  slots: 16, stride: 5, stepTime: 9.27, stepTimePerRequest: 0.0232, stepTimePerThousandTokens: 0.0322, promptTokensPerMillisecond: 20.7, promptTokensPerStep: 2_048, usualPromptTokens: 935, usualAnswerTokens: 92, models: [], layers: 16, chunks: 96, chunkBytes: 24_576
}

/** One play of the model. */
export interface PolicyPlay {
  readonly policy: PolicyName
  readonly seed: number
  /** Requests a second of all entries together. */
  readonly perSecond: number
}

/** What came of it. */
export interface PolicyFigures {
  /** Credit earned of credit owed, 0 to 1. */
  readonly worth: number
  readonly refused: number
  readonly late: number
  readonly firstMedian: number
  readonly firstLatest: number
}

const ENTRIES = 6
const ENGINES = 15
/** Milliseconds: one way between any two processes, between two looks of an agent, what callers wait for and in all. */
const WAY = 2
const LOOK_PAUSE = 100
const OBJECTIVE = 450
const PATIENCE = 6_000
/** The sizes of prompts and answers, in tokens: means, and the spread of their logarithms, as in the users' sheets. */
const SIZES = { prompt: { mean: 935, spread: 0.8, most: 3_800 }, answer: { mean: 92, spread: 0.7, most: 250 } }
/** A part of the engines is closed for a while and opens at one moment, as after a switch or an outage. In milliseconds. */
const CLOSED = { share: 0.4, from: 6_000, to: 8_000 }
/** Requests that come before this are not counted, while engines fill; none come after the end. In milliseconds. */
const COUNTED_FROM = 2_000
const END = 14_000
/** Time for the last answers, in milliseconds. */
const TAIL = 6_000
/** What an answer earns: in time, late, and in time after one refusal (the mean of both), as the users count. */
const CREDITS = { inTime: 1, late: 0.25, afterRefusal: 0.625 }

interface Tally {
  asked: number
  credit: number
  refused: number
  late: number
  readonly firsts: number[]
}

/** One play under way. */
class PolicyModel {
  private readonly _time = new VirtualTime()
  private readonly _draw: () => number
  private readonly _engines = Array.from({ length: ENGINES }, () => new VirtualEngine(modelPool, this._time))
  private readonly _entries: EntryPolicy[]
  private readonly _tally: Tally = { asked: 0, credit: 0, refused: 0, late: 0, firsts: [] }
  private _named = 0

  constructor (private readonly _play: PolicyPlay) {
    this._draw = seededRandom(_play.seed)
    this._entries = Array.from({ length: ENTRIES }, () => entryPolicies[_play.policy]({ pool: modelPool, engines: ENGINES, draw: this._draw }))
  }

  play (): PolicyFigures {
    this._engines.forEach((engine, index) => this._look(engine, index))
    for (const entry of this._entries) this._arrive(entry)
    this._time.after(CLOSED.from, () => this._setAccepting(false))
    this._time.after(CLOSED.to, () => this._setAccepting(true))
    this._time.playUntil(END + TAIL)
    const { asked, credit, refused, late, firsts } = this._tally
    return { worth: credit / asked, refused: refused / asked, late: late / asked, firstMedian: quantile(firsts, 0.5), firstLatest: quantile(firsts, 0.99) }
  }

  private _setAccepting (accepting: boolean): void {
    for (const engine of this._engines.slice(0, Math.round(ENGINES * CLOSED.share))) engine.accepting = accepting
  }

  /** An agent looks at its engine, and tells all entries. */
  private _look (engine: VirtualEngine, index: number): void {
    const unread = new UnreadTokens()
    const look = (): void => {
      const { running, waiting, contextTokens } = engine.reading()
      const unreadTokens = unread.observe({ running, contextTokens }, readRate(modelPool), this._time.now)
      const report = { running, waiting, unreadTokens, version: 1, accepting: engine.accepting, pace: 1, sentRate: this._play.perSecond / 1_000 / ENGINES }
      this._time.after(WAY, () => { for (const entry of this._entries) entry.heard(index, report, this._time.now) })
      if (this._time.now < END) this._time.after(LOOK_PAUSE, look)
    }
    this._time.after(this._draw() * LOOK_PAUSE, look)
  }

  /** Requests come to an entry at random times. */
  private _arrive (entry: EntryPolicy): void {
    const pause = -Math.log(1 - this._draw()) * 1_000 * ENTRIES / this._play.perSecond
    if (this._time.now + pause > END) return
    this._time.after(pause, () => {
      this._ask(entry, this._newRequest(), this._time.now >= COUNTED_FROM)
      this._arrive(entry)
    })
  }

  private _newRequest (): PlacedRequest & { readonly answerTokens: number } {
    return { id: String(this._named++), promptTokens: this._size(SIZES.prompt), answerTokens: this._size(SIZES.answer), objective: OBJECTIVE }
  }

  /** A size from a log-normal distribution of this mean, cut off at the most (Box and Muller's way to a normal number). */
  private _size ({ mean, spread, most }: { mean: number, spread: number, most: number }): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this._draw())) * Math.cos(2 * Math.PI * this._draw())
    return Math.max(1, Math.round(Math.min(most, mean * Math.exp(spread * normal - spread ** 2 / 2))))
  }

  private _ask (entry: EntryPolicy, request: ReturnType<PolicyModel['_newRequest']>, counted: boolean): void {
    if (counted) this._tally.asked += 1
    const refused = (): void => {
      this._time.after(retryAfter(PATIENCE, this._draw(), { type: 'open' }), () => this._place(entry, { request, counted, again: true }, new Set(), this._time.now, () => { if (counted) this._tally.refused += 1 }))
    }
    this._place(entry, { request, counted, again: false }, new Set(), this._time.now, refused)
  }

  private _place (entry: EntryPolicy, asked: { readonly request: ReturnType<PolicyModel['_newRequest']>, readonly counted: boolean, readonly again: boolean }, tried: Set<number>, since: number, refused: () => void): void {
    const { request } = asked
    const index = entry.choose(request, tried, this._time.now)
    const engine = index === undefined ? undefined : this._engines[index]
    if (index === undefined || engine === undefined) return refused()
    tried.add(index)
    const first = (): void => this._time.after(WAY, () => {
      entry.begun(index, request, this._time.now)
      if (asked.counted) this._count(this._time.now - since, asked.again)
    })
    const ended = (): void => this._time.after(WAY, () => entry.ended(index, request, 'served', this._time.now))
    const turnedAway = (): void => this._time.after(WAY, () => {
      entry.ended(index, request, 'refused', this._time.now)
      this._place(entry, asked, tried, since, refused)
    })
    this._time.after(WAY, () => { if (!engine.send({ ...request, onFirst: first, onEnd: ended })) turnedAway() })
  }

  private _count (first: number, again: boolean): void {
    this._tally.firsts.push(first)
    const inTime = first <= OBJECTIVE
    if (!inTime) this._tally.late += 1
    this._tally.credit += !inTime ? CREDITS.late : again ? CREDITS.afterRefusal : CREDITS.inTime
  }
}

/**
 * Plays the model once.
 *
 * @example
 * playPolicy({ policy: 'by-room', seed: 7, perSecond: 110 }).worth
 */
export function playPolicy (play: PolicyPlay): PolicyFigures { return new PolicyModel(play).play() }
