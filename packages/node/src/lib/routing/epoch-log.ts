/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Tells in the log and in metrics which epoch of the store a process follows, and what a restored store has that is older than what it holds. */
import type { PublishedChange, PublishedNote, PublishedState } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'

/** The lines of one process. */
export class EpochLog {
  constructor (private readonly _state: PublishedState, private readonly _log: Log, private readonly _counters: Counters) {}

  /**
   * The process may have begun to follow another epoch.
   *
   * @param before How far it had followed until then.
   * @param revision Up to which it follows the epoch now.
   * @param by Who told it: the store, or a peer's address.
   * @example
   * epochs.followed(before, answer.upTo, 'store')
   */
  followed (before: PublishedNote, revision: number, by: string): void {
    const { epoch } = this._state
    if (epoch === before.epoch) return
    this._counters.add('store_epoch', epoch - before.epoch)
    if (!this._state.knows('configuration') && !this._state.knows('endpoints')) return
    this._log.warn('epoch-began', { from: before.epoch, epoch, before: Math.max(before.configuration, before.versions, before.endpoints), revision, by })
  }

  /** Operators only raise the version of a configuration; a restored store tells an older one until it is written again. */
  told (changes: readonly PublishedChange[]): void {
    const held = this._state.configuration?.version ?? 0
    for (const change of changes) {
      if (change.type !== 'configuration' || change.configuration.version >= held) continue
      this._counters.add('configurations_older')
      this._log.warn('configuration-older', { version: change.configuration.version, held, epoch: this._state.epoch, revision: change.revision })
    }
  }
}
