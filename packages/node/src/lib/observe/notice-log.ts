/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Logs and counts the notices that endpoints send about themselves. */
import { endpointIdOf, type ColdChange, type LimitChange, type NoticeChange } from '@drumdrift/core'
import type { Log } from './log.js'
import type { Counters } from './metrics.js'

/** Maximum number of endpoint starts remembered for an invalid notice. Each is logged once; further ones are only counted. */
const MAX_REFUSED_STARTS = 1_024

type Handlers = { readonly [Type in NoticeChange['type']]: (change: Extract<NoticeChange, { type: Type }>) => void }

/** Writes one log line and increments one counter for each change. */
export class NoticeLog {
  private readonly _refusedStarts = new Set<string>()

  constructor (private readonly _log: Log, private readonly _counters: Counters) {}

  /**
   * Records a change that follows from an endpoint's own answer.
   *
   * @example
   * noticeLog.note({ type: 'leaving', start })
   */
  note (change: NoticeChange): void { this._handlers[change.type](change as never) }

  /** Records that a limit began, changed or ended, reported by the endpoint's own answer or by another process. */
  limit ({ start, limit, share }: LimitChange, source: 'own' | 'told'): void {
    this._counters.add(limit === undefined ? 'endpoint_limits_ended' : 'endpoint_limits_named')
    if (limit === undefined) this._log.info('endpoint-limit-ended', { endpoint: endpointIdOf(start), source })
    else this._log.warn('endpoint-limited', { endpoint: endpointIdOf(start), source, limit, share: roundShare(share) })
  }

  /** Records that an endpoint became cold, or that it ended to be cold earlier than expected. */
  cold ({ start, source, remaining, share }: ColdChange): void {
    this._counters.add(remaining === 0 ? 'endpoint_colds_ended_early' : 'endpoint_colds')
    if (remaining === 0) this._log.info('endpoint-cold-ended', { endpoint: endpointIdOf(start), source })
    else this._log.info('endpoint-cold', { endpoint: endpointIdOf(start), source, for: Math.round(remaining), share: roundShare(share) })
  }

  private readonly _handlers: Handlers = {
    limit: ({ change }) => { this.limit(change, 'own') },
    leaving: ({ start }) => {
      this._counters.add('endpoints_leaving')
      this._log.warn('endpoint-leaving', { endpoint: endpointIdOf(start), detail: 'announced in an answer; this start of the endpoint receives no further requests' })
    },
    resting: ({ start, rest }) => {
      this._counters.add('endpoint_rests')
      this._log.warn('endpoint-resting', { endpoint: endpointIdOf(start), for: Math.round(rest) })
    },
    cold: ({ change }) => { this.cold(change) },
    refused: ({ start, what, value }) => {
      this._counters.add('endpoint_notices_refused')
      if (this._refusedStarts.has(start) || this._refusedStarts.size >= MAX_REFUSED_STARTS) return
      this._refusedStarts.add(start)
      this._log.warn('endpoint-notice-refused', { endpoint: endpointIdOf(start), what, value, detail: 'the value is invalid; the previous state stays in effect' })
    }
  }
}

function roundShare (share: number | undefined): number { return Math.round((share ?? 0) * 1_000) / 1_000 }
