/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks how a part of the store is followed: by watches that continue from the last revision, or by a full read if the store's
 * history no longer reaches back to it.
 */
import type { PublishedTopic } from './published-change.js'
import type { PublishedState } from './published-state.js'

/** A kind of call to the store. */
export type StoreCall = 'watch' | 'read'

/** The parts of the store's response that decide how following continues. */
export interface StoreAnswerKind {
  readonly type: 'changes' | 'history-lost' | 'store-failure'
  /** The store's epoch; `undefined` if the response does not contain it. */
  readonly epoch?: number | undefined
}

/** How to handle a response. */
export type AnswerVerdict =
  /** Apply its changes. */
  | 'take'
  /** The changes since the followed revision are not available: a full read is required. */
  | 'read-whole'
  /** The call failed, or its response belongs to an earlier epoch than the followed one, so its changes may have been lost since. */
  | 'failed'

/** The position of one process in following some topics. */
export class StoreCursor {
  /** Whether the store's history no longer reaches back to the followed revision. */
  private _historyLost = false

  constructor (private readonly _state: Pick<PublishedState, 'epoch' | 'note'>, private readonly _topics: readonly PublishedTopic[]) {}

  /** The revision up to which all topics have been followed. */
  get followed (): number {
    const { note } = this._state
    return Math.min(...this._topics.map(topic => note[topic]))
  }

  /** The next call to make. */
  get next (): StoreCall { return this._historyLost || this.followed === 0 ? 'read' : 'watch' }

  /**
   * Decides how to handle the response to a call, before its changes are applied. The revision from which a watch started is not valid
   * in a later epoch, so the changes of such a watch may be incomplete.
   *
   * @example
   * if (cursor.judge('watch', answer) === 'read-whole') log.warn('history-lost', { revision: cursor.followed })
   */
  judge (call: StoreCall, { type, epoch = this._state.epoch }: StoreAnswerKind): AnswerVerdict {
    if (epoch < this._state.epoch) return 'failed'
    if (type === 'history-lost' || (call === 'watch' && epoch > this._state.epoch)) this._historyLost = true
    if (type === 'store-failure') return 'failed'
    if (this._historyLost && (call === 'watch' || type === 'history-lost')) return 'read-whole'
    this._historyLost = false
    return 'take'
  }

  /** Records that peers have supplied every change up to the followed revision. */
  markCaughtUp (): void { this._historyLost = false }
}
