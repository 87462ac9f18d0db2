/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What endpoints say of themselves in their answers, heeded by one entry and shared with the others by way of the agents that it
 * follows: an entry that sends an endpoint almost nothing hears almost nothing from it, neither of a limit nor of its end.
 */
import { EndpointAbsences, EndpointLimits, EndpointNotices, endpointOf, isLimit, isRest, readLimitNews, type EndpointGate, type LimitChange, type LimitNews } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { EndpointNotice } from './ports.js'

/** What the exchange works with. */
export interface NoticeExchangeParts {
  readonly log: Log
  readonly counters: Counters
  /** How many entries there are; nothing while that is not known. */
  readonly entries: (now: number) => number | undefined
  /** Tells some agents, or one. */
  readonly tell: (news: LimitNews, to: 'some' | 'one') => void
}

/**
 * How often an agent hears all that holds here and puts it right, in milliseconds: a limit whose end was told in the moment in which it
 * was named once more would else hold for a turn of this entry, two minutes where there are a hundred.
 */
const COMPARE_PAUSE = 5_000
/** Starts of endpoints that are remembered for having said what cannot be meant: each is logged once. */
const MOST_UNREADABLE = 1_024

/** What the endpoints said, at one entry. */
export class NoticeExchange {
  private readonly _limits: EndpointLimits
  private readonly _absences = new EndpointAbsences()
  /** What the endpoints ask of those who send to them. */
  readonly gate: EndpointGate
  private readonly _unreadable = new Set<string>()
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: NoticeExchangeParts) {
    this._limits = new EndpointLimits(_parts.entries, Math.random)
    this.gate = new EndpointNotices(this._limits, this._absences)
    this._timer = setInterval(() => this._tell(this.known(), 'one'), COMPARE_PAUSE)
  }

  close (): void { clearInterval(this._timer) }

  /** An answer said something of its endpoint. What cannot be meant is not heeded, and what was known stays. */
  heard (start: string, { limit, leaving, rest }: EndpointNotice, askedAt: number, now: number): void {
    if (leaving && this._absences.leaves(start)) this._noteLeaving(start)
    if (rest !== undefined) this._heardRest(start, rest, now)
    this._heardLimit(start, limit, askedAt, now)
  }

  private _heardRest (start: string, rest: number | 'unreadable', now: number): void {
    if (rest === 'unreadable' || !isRest(rest)) return this._refuse(start, 'rest', String(rest))
    this._parts.counters.add('endpoint_rests_asked')
    if (this._absences.rests(start, rest, now)) this._parts.log.warn('endpoint-resting', { endpoint: endpointOf(start), for: Math.round(rest) })
  }

  private _heardLimit (start: string, limit: EndpointNotice['limit'], askedAt: number, now: number): void {
    if (limit === 'unreadable' || (limit !== undefined && !isLimit(limit))) return this._refuse(start, 'limit', String(limit))
    const change = this._limits.heard(start, { limit, askedAt, heardAt: now }, now)
    if (change === undefined) return
    this._note(change, 'own', now)
    this._tell(this._limits.report(start, now), 'some')
  }

  /** An agent passes on what another entry heard; what changes a limit here is told further, so that it reaches entries that follow other agents. */
  told (input: unknown, agent: string): void {
    const now = performance.now()
    const news = readLimitNews(input)
    if (news === undefined) return this._parts.log.warn('peer-malformed', { type: 'limits', agent, detail: 'it is no news of limits' })
    const changes = this._limits.told(news, now)
    for (const change of changes) this._note(change, 'told', now)
    this._tell(changes.flatMap(({ start }) => this._limits.report(start, now)), 'some')
  }

  /** What an agent should know that this entry has just reached. */
  known (): LimitNews { return this._limits.known(performance.now()) }

  private _tell (news: LimitNews, to: 'some' | 'one'): void {
    if (news.length > 0) this._parts.tell(news, to)
  }

  private _note ({ start, limit, share }: LimitChange, source: 'own' | 'told', now: number): void {
    const { log, counters, entries } = this._parts
    counters.add(limit === undefined ? 'endpoint_limits_ended' : 'endpoint_limits_named')
    if (limit === undefined) log.info('endpoint-limit-ended', { endpoint: endpointOf(start), source })
    else log.warn('endpoint-limited', { endpoint: endpointOf(start), source, limit, share: rounded(share), entries: entries(now) })
  }

  private _noteLeaving (start: string): void {
    this._parts.counters.add('endpoints_leaving')
    this._parts.log.warn('endpoint-leaving', { endpoint: endpointOf(start), detail: 'it says so in an answer; this start of it is sent nothing any more' })
  }

  private _refuse (start: string, what: 'limit' | 'rest', value: string): void {
    this._parts.counters.add('endpoint_notices_refused')
    if (this._unreadable.has(start) || this._unreadable.size >= MOST_UNREADABLE) return
    this._unreadable.add(start)
    this._parts.log.warn('endpoint-notice-refused', { endpoint: endpointOf(start), what, value, detail: 'it cannot be meant; what was known holds on' })
  }
}

function rounded (share: number | undefined): number { return Math.round((share ?? 0) * 1_000) / 1_000 }
