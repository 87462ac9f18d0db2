/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Applies the notices that endpoints send with their answers, and shares limits with the other entries through the agents that this
 * entry follows. An entry that sends an endpoint few requests sees few of its answers, and would notice neither a limit nor its end.
 */
import { isColdNews, ColdEndpoints, EndpointLimits, EndpointNotices, readColdNews, readLimitNews, type ColdBounds, type ColdNews, type ColdReport, type EndpointGate, type EndpointNotice, type LimitNews, type PublishedState } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { NoticeLog } from '../observe/notice-log.js'
import { runPeriodically, type PeriodicTask } from '../periodic-tasks.js'

/** Dependencies of {@link NoticeExchange}. */
export interface NoticeExchangeDependencies {
  readonly log: Log
  readonly counters: Counters
  /** Returns the number of entries, or `undefined` if it is not known. */
  readonly entries: (now: number) => number | undefined
  /** The limit on requests to cold endpoints; `undefined` if the deployment has none. */
  readonly coldBounds?: ColdBounds | undefined
  /** Sends limits and cold times to some agents, or to one. */
  readonly send: (news: LimitNews, to: 'some' | 'one', cold: ColdNews) => void
}

/**
 * How often one agent is sent all current limits so that differences are corrected, in milliseconds. Without this, a limit whose end
 * is announced at the moment at which it is named again would hold for one turn of this entry: two minutes with a hundred entries.
 */
const SYNC_INTERVAL = 5_000

/** The endpoints' notices, as one entry knows them. */
export class NoticeExchange {
  private readonly _notices: EndpointNotices
  private readonly _cold: ColdEndpoints
  private readonly _noticeLog: NoticeLog
  private readonly _synchronization: PeriodicTask

  constructor (private readonly _dependencies: NoticeExchangeDependencies) {
    this._cold = new ColdEndpoints(_dependencies.coldBounds, _dependencies.entries, Math.random, performance.now())
    this._notices = new EndpointNotices(new EndpointLimits(_dependencies.entries, Math.random), this._cold)
    this._noticeLog = new NoticeLog(_dependencies.log, _dependencies.counters)
    this._synchronization = runPeriodically(() => this._send(this.snapshot(), 'one', this.coldSnapshot()), SYNC_INTERVAL)
  }

  close (): void { this._synchronization.close() }

  /** Decides which endpoints may be sent requests, according to the limits, pauses and draining that they announce. */
  get gate (): EndpointGate { return this._notices }

  /** Applies the published list of endpoints, from which cold endpoints are known. */
  apply (state: Pick<PublishedState, 'endpoints' | 'configuration' | 'hasFollowed'>): void {
    const changes = this._cold.update(state.endpoints(), state.configuration?.services ?? [], state.hasFollowed('endpoints'), performance.now())
    for (const change of changes) this._noticeLog.cold(change)
  }

  /** Records that the evacuation of a zone has ended, after the list that was received with it has been applied. */
  zoneReopened (availabilityZone: string, at: number): void {
    for (const change of this._cold.zoneReopened(availabilityZone, at)) this._noticeLog.cold(change)
  }

  /** Whether endpoints count as cold until they write their entries again, even if these then say the same as before. */
  get awaitsEntries (): boolean { return !this._cold.quiet && this._cold.awaitsEntries(performance.now()) }

  /** Whether an endpoint is cold, so that requests to it must not be delayed. */
  isCold (start: string): boolean { return this._cold.isCold(start, performance.now()) }

  /** Records the notice that came with an answer of an endpoint. */
  recordNotice (start: string, notice: EndpointNotice, askedAt: number, now: number): void {
    for (const change of this._notices.heard(start, notice, askedAt, now)) {
      this._noticeLog.note(change)
      if (change.type === 'limit') this._send(this._notices.limits.report(start, now), 'some')
      if (change.type === 'cold') this._send([], 'some', [change.change])
    }
  }

  /**
   * Receives the limits and cold times that another entry knows, relayed by an agent. Those that are news here are sent on, so that they
   * reach entries that follow other agents.
   */
  receive (input: unknown, agent: string, coldInput?: unknown): void {
    const now = performance.now()
    const news = readLimitNews(input)
    const coldNews = readColdNews(coldInput)
    if (news === undefined || coldNews === undefined) return this._dependencies.log.warn('peer-malformed', { type: 'limits', agent, detail: 'the payload is not a valid message about limits' })
    const { limits } = this._notices
    const changes = limits.told(news, now)
    for (const change of changes) this._noticeLog.limit(change, 'told')
    const coldChanges = this._cold.told(coldNews, now)
    for (const change of coldChanges) this._noticeLog.cold(change)
    this._send(changes.flatMap(({ start }) => limits.report(start, now)), 'some', coldChanges)
  }

  /** Returns the limits to send to an agent to which this entry has just connected. */
  snapshot (): LimitNews { return this._notices.limits.known(performance.now()) }

  /** Returns the cold times to send with them. */
  coldSnapshot (): ColdNews { return this._cold.known(performance.now()) }

  private _send (news: LimitNews, to: 'some' | 'one', cold: readonly ColdReport[] = []): void {
    const coldNews = cold.filter(({ remaining }) => isColdNews(remaining, -Infinity, 0)).map(({ start, remaining }) => ({ start, remaining: Math.round(remaining) }))
    if (news.length + coldNews.length > 0) this._dependencies.send(news, to, coldNews)
  }
}
