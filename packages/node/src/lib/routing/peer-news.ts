/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Asks peers, one at a time, what they know of published state that this process does not. */
import { failureOf, type PublishedDelta, type PublishedState } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import { unpackNews } from './packed-news.js'

/** What the asking works with. */
export interface PeerNewsParts {
  readonly state: PublishedState
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  /** Addresses of peers that may know more. */
  readonly peers: () => readonly string[]
  readonly onNews: (address: string, delta: PublishedDelta, took: number) => void
}

/** One peer's time to answer, in milliseconds: a few network delays and a busy process. */
const TIMEOUT = 400
/** The same for a process that knows nothing yet, since the answer is everything, in milliseconds. */
const WHOLE_TIMEOUT = 2_000

/** The asking of one process. */
export class PeerNews {
  private _asking = false

  constructor (private readonly _parts: PeerNewsParts) {}

  /** Asks some peer, unless another is being asked. */
  async ask (): Promise<void> {
    const addresses = this._parts.peers()
    const address = addresses[Math.floor(Math.random() * addresses.length)]
    if (address === undefined || this._asking) return
    this._asking = true
    try {
      await this._askOne(address)
    } finally {
      this._asking = false
    }
  }

  private async _askOne (address: string): Promise<void> {
    const { state, pool, log, counters, onNews } = this._parts
    const askedAt = performance.now()
    counters.add('peer_news_asked')
    try {
      const { reply, payload } = await pool.call(address, { type: 'news', note: state.note }, { timeout: state.complete ? TIMEOUT : WHOLE_TIMEOUT })
      if (reply.type === 'news') onNews(address, unpackNews(payload), Math.round(performance.now() - askedAt))
    } catch (error) {
      counters.add('peer_news_failures')
      log.debug('peer-silent', { address, reason: failureOf(error).type, took: Math.round(performance.now() - askedAt) })
    }
  }
}
