/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What endpoints say of themselves in their answers, as one entry hears it. */
import { endpointOf, isLimit, LimitBook } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { EndpointNotice } from './ports.js'

/** What the exchange works with. */
export interface NoticeExchangeParts {
  readonly log: Log
  readonly counters: Counters
}

/** Starts of endpoints that are remembered for having said what cannot be meant: each is logged once. */
const MOST_UNREADABLE = 1_024

/** What the endpoints said, at one entry. */
export class NoticeExchange {
  private readonly _book = new LimitBook()
  private readonly _unreadable = new Set<string>()

  constructor (private readonly _parts: NoticeExchangeParts) {}

  /** An answer said something of its endpoint. What cannot be meant is not heeded, and what was known stays. */
  heard (start: string, { limit }: EndpointNotice, askedAt: number, now: number): void {
    if (limit === 'unreadable' || (limit !== undefined && !isLimit(limit))) return this._refuse(start, String(limit))
    if (!this._book.heard(start, { limit, askedAt, heardAt: now }, now)) return
    const { log, counters } = this._parts
    counters.add(limit === undefined ? 'endpoint_limits_ended' : 'endpoint_limits_named')
    if (limit === undefined) log.info('endpoint-limit-ended', { endpoint: endpointOf(start), source: 'own' })
    else log.warn('endpoint-limited', { endpoint: endpointOf(start), source: 'own', limit })
  }

  private _refuse (start: string, limit: string): void {
    this._parts.counters.add('endpoint_notices_refused')
    if (this._unreadable.has(start) || this._unreadable.size >= MOST_UNREADABLE) return
    this._unreadable.add(start)
    this._parts.log.warn('endpoint-notice-refused', { endpoint: endpointOf(start), limit, detail: 'it is no number of requests a second; what was known holds on' })
  }
}
