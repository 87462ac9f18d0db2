/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What endpoints say of themselves in their answers, heeded by one entry. Limits are shared with the other entries by way of the agents
 * that it follows: an entry that sends an endpoint almost nothing hears almost nothing from it, neither of a limit nor of its end.
 */
import { EndpointLimits, EndpointNotices, readLimitNews, type EndpointGate, type EndpointNotice, type LimitNews } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { NoticeLog } from '../observe/notice-log.js'

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

/** What the endpoints said, at one entry. */
export class NoticeExchange {
  private readonly _notices: EndpointNotices
  private readonly _noticeLog: NoticeLog
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: NoticeExchangeParts) {
    this._notices = new EndpointNotices(new EndpointLimits(_parts.entries, Math.random))
    this._noticeLog = new NoticeLog(_parts.log, _parts.counters)
    this._timer = setInterval(() => this._tell(this.known(), 'one'), COMPARE_PAUSE)
  }

  close (): void { clearInterval(this._timer) }

  /** What the endpoints ask of those who send to them. */
  get gate (): EndpointGate { return this._notices }

  /** An answer said something of its endpoint. */
  heard (start: string, notice: EndpointNotice, askedAt: number, now: number): void {
    for (const change of this._notices.heard(start, notice, askedAt, now)) {
      this._noticeLog.note(change)
      if (change.type === 'limit') this._tell(this._notices.limits.report(start, now), 'some')
    }
  }

  /** An agent passes on what another entry heard; what changes a limit here is told further, so that it reaches entries that follow other agents. */
  told (input: unknown, agent: string): void {
    const now = performance.now()
    const news = readLimitNews(input)
    if (news === undefined) return this._parts.log.warn('peer-malformed', { type: 'limits', agent, detail: 'it is no news of limits' })
    const { limits } = this._notices
    const changes = limits.told(news, now)
    for (const change of changes) this._noticeLog.limit(change, 'told')
    this._tell(changes.flatMap(({ start }) => limits.report(start, now)), 'some')
  }

  /** What an agent should know that this entry has just reached. */
  known (): LimitNews { return this._notices.limits.known(performance.now()) }

  private _tell (news: LimitNews, to: 'some' | 'one'): void {
    if (news.length > 0) this._parts.tell(news, to)
  }
}
