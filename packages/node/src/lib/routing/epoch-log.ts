/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reports epoch changes of the store, and configurations in a restored store that are older than the held one, to the log and the metrics. */
import type { PublishedChange, PublishedRevisions, PublishedState } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'

/** Reports epoch changes for one process. */
export class EpochLog {
  constructor (private readonly _state: PublishedState, private readonly _log: Log, private readonly _counters: Counters) {}

  /**
   * Reports an epoch change if the epoch differs from the earlier one.
   *
   * @param before The epoch and the revisions followed before.
   * @param revision The revision followed in the current epoch.
   * @param by The source of the state: the store, or a peer's address.
   * @example
   * epochs.reportEpochChange(before, response.upTo, 'store')
   */
  reportEpochChange (before: PublishedRevisions, revision: number, by: string): void {
    const { epoch } = this._state
    if (epoch === before.epoch) return
    this._counters.add('store_epoch', epoch - before.epoch)
    if (!this._state.hasFollowed('configuration') && !this._state.hasFollowed('endpoints')) return
    this._log.warn('epoch-began', { from: before.epoch, epoch, before: Math.max(before.configuration, before.versions, before.endpoints), revision, by })
  }

  /**
   * Reports configurations older than the held one. Operators only ever increase the version, but a restored store returns an
   * older one until the configuration is written again.
   */
  reportOlderConfigurations (changes: readonly PublishedChange[]): void {
    const held = this._state.configuration?.version ?? 0
    for (const change of changes) {
      if (change.type !== 'configuration' || change.configuration.version >= held) continue
      this._counters.add('configurations_older')
      this._log.warn('configuration-older', { version: change.configuration.version, held, epoch: this._state.epoch, revision: change.revision })
    }
  }
}
