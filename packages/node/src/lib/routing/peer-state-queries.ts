/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Queries peers, one at a time, for published state that is newer than this process's own. */
import { failureOf, type DeltaTimes, type PeerRequest, type PublishedDelta, type PublishedState } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import { decodeDelta } from './delta-codec.js'

/** Dependencies and settings of the queries to peers. */
export interface PeerStateQueriesDependencies {
  readonly state: PublishedState
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  /** Addresses of peers that may hold newer state. */
  readonly peers: () => readonly string[]
  readonly onDelta: (address: string, delta: PublishedDelta, times: DeltaTimes) => void
}

type NewsRequest = Omit<Extract<PeerRequest, { type: 'news' }>, 'type'>

/** Timeout of a query, in milliseconds: allows for a few network round trips and a busy peer. */
const QUERY_TIMEOUT = 400
/** Timeout of a query by a process without any state, whose response is the full state, in milliseconds. */
const FULL_STATE_TIMEOUT = 2_000

/** Queries the peers of one process. */
export class PeerStateQueries {
  private _querying = false

  constructor (private readonly _dependencies: PeerStateQueriesDependencies) {}

  /** Queries a random peer, unless a query is in flight. */
  async query (): Promise<void> { await this._query({ note: this._dependencies.state.note }) }

  /** Queries a random peer for all versions, also those that this process knows, for the times of their publication. */
  async queryVersions (): Promise<void> { await this._query({ note: { ...this._dependencies.state.note, versions: 0 }, topics: ['versions'] }) }

  private async _query (request: NewsRequest): Promise<void> {
    const addresses = this._dependencies.peers()
    const address = addresses[Math.floor(Math.random() * addresses.length)]
    if (address === undefined || this._querying) return
    this._querying = true
    try {
      await this._queryPeer(address, request)
    } finally {
      this._querying = false
    }
  }

  private async _queryPeer (address: string, request: NewsRequest): Promise<void> {
    const { state, pool, log, counters, onDelta } = this._dependencies
    const sentAt = performance.now()
    counters.add('peer_news_asked')
    try {
      const { reply, payload } = await pool.call(address, { type: 'news', ...request }, { timeout: state.complete ? QUERY_TIMEOUT : FULL_STATE_TIMEOUT })
      if (reply.type === 'news') onDelta(address, decodeDelta(payload), { requestedAt: sentAt, encodedFor: reply.encodedFor })
    } catch (error) {
      counters.add('peer_news_failures')
      log.debug('peer-silent', { address, reason: failureOf(error).type, took: Math.round(performance.now() - sentAt) })
    }
  }
}
