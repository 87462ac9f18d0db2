/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Documents that could not be read: each is counted, and told in the log now and then, since its writer may write it on and on. */
import type { DocumentFailure } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'

/** The same complaint is logged again after this, in milliseconds. */
const SILENCE = 60_000
/** Complaints that are remembered; beyond, the oldest may be logged again sooner. */
const MOST_REMEMBERED = 256

/** The complaints of one process. */
export class RefusedDocuments {
  /** When each was logged last, the oldest first. */
  private readonly _loggedAt = new Map<string, number>()

  constructor (private readonly _log: Log, private readonly _counters: Counters) {}

  /**
   * A document was refused.
   *
   * @example
   * refused.note(failure, performance.now())
   */
  note ({ reason, detail }: DocumentFailure, now: number): void {
    this._counters.add('documents_refused')
    if (now - (this._loggedAt.get(detail) ?? -Infinity) < SILENCE) return
    this._loggedAt.delete(detail)
    this._loggedAt.set(detail, now)
    const [oldest] = this._loggedAt.keys()
    if (this._loggedAt.size > MOST_REMEMBERED && oldest !== undefined) this._loggedAt.delete(oldest)
    this._log.error('document-refused', { reason, detail })
  }
}
