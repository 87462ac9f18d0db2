/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reports from when the deadlines of versions count, and decides when peers are asked for times that this process does not know. */
import type { PublishedChange, PublishedState } from '@drumdrift/core'
import type { Log } from '../observe/log.js'

/** How this process learned of a version. */
export interface VersionSource {
  /** `store`, or the peer. */
  readonly from: string
  readonly by: 'watch' | 'read' | 'news' | 'ping'
  /** Duration of the call, in milliseconds; absent for a message that was not requested. */
  readonly took?: number
}

/**
 * How long peers are queried for the time of a version's publication that this process does not know, in milliseconds. If all
 * processes have started since, none knows it.
 */
const QUERY_PERIOD = 3_000

/** The dates of versions in one process. */
export class VersionDates {
  /** Since when there has been a version without a lower bound on the time of its publication. */
  private _undatedSince: number | undefined

  constructor (private readonly _state: PublishedState, private readonly _log: Log) {}

  /** Logs from when the deadline of each changed version counts, and how this process learned of it. */
  log (changes: readonly PublishedChange[], source: VersionSource): void {
    const now = performance.now()
    for (const change of changes) {
      if (change.type !== 'wanted-version') continue
      const { model, version } = change.wanted
      const datedAt = this._state.firstNewerAt(model, version - 1)
      this._log.info('version-dated', { model, version, ...source, age: datedAt === undefined ? undefined : Math.round(now - datedAt) })
    }
  }

  /** Whether a peer may know better than this process when a version was published. */
  needQuery (now: number): boolean {
    if (!this._state.hasUndatedVersion) {
      this._undatedSince = undefined
      return false
    }
    this._undatedSince ??= now
    return now - this._undatedSince < QUERY_PERIOD
  }
}
