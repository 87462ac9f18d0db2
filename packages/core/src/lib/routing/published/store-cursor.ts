/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** How a part of the store is followed: by watches from where they were left, or by a whole reading where its history does not reach there. */
import type { PublishedTopic } from './published-change.js'
import type { PublishedState } from './published-state.js'

/** What is asked of the store. */
export type StoreCall = 'watch' | 'read'

/** What an answer of the store is, as far as following it goes. */
export interface StoreAnswerKind {
  readonly type: 'changes' | 'history-lost' | 'store-failure'
  /** The store's epoch; nothing where it is not told. */
  readonly epoch?: number | undefined
}

/** What is to become of an answer. */
export type AnswerVerdict =
  /** What it tells counts. */
  | 'take'
  /** What lies between it and what was followed is not to be had: everything is to be read. */
  | 'read-whole'
  /** It failed, or was given in an epoch before the one that is followed: what it tells may have been lost since. */
  | 'failed'

/** Where one process stands in following some topics. */
export class StoreCursor {
  /** Whether the store's history does not reach to what was followed. */
  private _lost = false

  constructor (private readonly _state: Pick<PublishedState, 'epoch' | 'note'>, private readonly _topics: readonly PublishedTopic[]) {}

  /** The revision up to which every topic has been followed. */
  get followed (): number {
    const { note } = this._state
    return Math.min(...this._topics.map(topic => note[topic]))
  }

  /** What is to be asked next. */
  get next (): StoreCall { return this._lost || this.followed === 0 ? 'read' : 'watch' }

  /**
   * Judges the answer to a call, before it is taken. The revision of a watch means nothing in a later epoch, so what the watch tells may
   * lack something.
   *
   * @example
   * if (cursor.judge('watch', answer) === 'read-whole') log.warn('history-lost', { revision: cursor.followed })
   */
  judge (call: StoreCall, { type, epoch = this._state.epoch }: StoreAnswerKind): AnswerVerdict {
    if (epoch < this._state.epoch) return 'failed'
    if (type === 'history-lost' || (call === 'watch' && epoch > this._state.epoch)) this._lost = true
    if (type === 'store-failure') return 'failed'
    if (this._lost && (call === 'watch' || type === 'history-lost')) return 'read-whole'
    this._lost = false
    return 'take'
  }

  /** Others have told everything up to what is followed now. */
  caughtUp (): void { this._lost = false }
}
