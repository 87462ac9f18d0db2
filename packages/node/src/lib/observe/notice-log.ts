/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The log lines and counters of what endpoints say of themselves. */
import { endpointOf, type LimitChange, type NoticeChange } from '@drumdrift/core'
import type { Log } from './log.js'
import type { Counters } from './metrics.js'

/** Starts of endpoints that are remembered for having said what cannot be meant: each is logged once. */
const MOST_UNREADABLE = 1_024

type Handlers = { readonly [Type in NoticeChange['type']]: (change: Extract<NoticeChange, { type: Type }>) => void }

/** Writes one line for each change. */
export class NoticeLog {
  private readonly _unreadable = new Set<string>()

  constructor (private readonly _log: Log, private readonly _counters: Counters) {}

  /**
   * An endpoint's own answer changed something.
   *
   * @example
   * for (const change of notices.heard(start, notice, sentAt, now)) noticeLog.note(change)
   */
  note (change: NoticeChange): void { this._handlers[change.type](change as never) }

  /** A limit began, changed or ended, as an answer said, or another process told. */
  limit ({ start, limit, share }: LimitChange, source: 'own' | 'told'): void {
    this._counters.add(limit === undefined ? 'endpoint_limits_ended' : 'endpoint_limits_named')
    if (limit === undefined) this._log.info('endpoint-limit-ended', { endpoint: endpointOf(start), source })
    else this._log.warn('endpoint-limited', { endpoint: endpointOf(start), source, limit, share: rounded(share) })
  }

  private readonly _handlers: Handlers = {
    limit: ({ change }) => { this.limit(change, 'own') },
    leaving: ({ start }) => {
      this._counters.add('endpoints_leaving')
      this._log.warn('endpoint-leaving', { endpoint: endpointOf(start), detail: 'it says so in an answer; this start of it is sent nothing any more' })
    },
    resting: ({ start, rest }) => {
      this._counters.add('endpoint_rests')
      this._log.warn('endpoint-resting', { endpoint: endpointOf(start), for: Math.round(rest) })
    },
    refused: ({ start, what, value }) => {
      this._counters.add('endpoint_notices_refused')
      if (this._unreadable.has(start) || this._unreadable.size >= MOST_UNREADABLE) return
      this._unreadable.add(start)
      this._log.warn('endpoint-notice-refused', { endpoint: endpointOf(start), what, value, detail: 'it cannot be meant; what was known holds on' })
    }
  }
}

function rounded (share: number | undefined): number { return Math.round((share ?? 0) * 1_000) / 1_000 }
