/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Counts rejected documents, and logs them with a rate limit, since a writer may rewrite the same one repeatedly. */
import { dropOldest, type DocumentFailure } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'

/** Minimum interval between log entries with the same detail, in milliseconds. */
const LOG_INTERVAL = 60_000
/** Maximum number of details remembered; beyond it, the oldest is forgotten and may be logged again sooner. */
const MAX_REMEMBERED = 256

/** Counts and logs the documents that one process rejects. */
export class RefusedDocuments {
  /** When each detail was last logged, oldest first. */
  private readonly _loggedAt = new Map<string, number>()

  constructor (private readonly _log: Log, private readonly _counters: Counters) {}

  /**
   * Records a rejected document.
   *
   * @example
   * refused.note(failure, performance.now())
   */
  note ({ reason, detail }: DocumentFailure, now: number): void {
    this._counters.add('documents_refused')
    if (now - (this._loggedAt.get(detail) ?? -Infinity) < LOG_INTERVAL) return
    this._loggedAt.delete(detail)
    this._loggedAt.set(detail, now)
    dropOldest(this._loggedAt, MAX_REMEMBERED)
    this._log.error('document-refused', { reason, detail })
  }
}
