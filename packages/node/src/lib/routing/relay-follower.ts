/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The client side of relays: keeps a connection to each relay and fetches published state from them, so that this process
 * need not read the store. The relays are the seeds listed in the settings.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { failureOf, RelayBook, type Place, type PublishedDelta, type PublishedState, type PublishedTopic } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerConnection } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'
import { unpackNews } from './packed-news.js'

/** Dependencies and settings of a {@link RelayFollower}. */
export interface RelayFollowerParts {
  readonly relays: readonly string[]
  readonly place: Place
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  readonly state: PublishedState
  /** Topics whose changes are fetched as soon as a relay has them. */
  readonly topics: () => readonly PublishedTopic[]
  readonly onNews: (address: string, delta: PublishedDelta, took: number) => void
}

/** Interval between checks for due work, in milliseconds. */
const TICK = 100
/** Timeout for opening a connection to a relay, and delay before the next attempt after a failure, in milliseconds. */
const CONNECT_PATIENCE = 300
const RETRY_PAUSE = 200
/** A connection that receives nothing for this time is reopened, in milliseconds. Relays send a heartbeat every 500 ms. */
const SILENCE = 1_600
/** Minimum interval between fetches, in milliseconds: changes come in bursts, and every copy of a configuration is costly. */
const TAKE_PAUSE = 200
/**
 * Timeout of a fetch from a relay, in milliseconds. If a relay freezes after it announced a change, there must be time left to
 * fetch the change from another relay within 2 s. The first fetch has a longer timeout: it transfers tens of kilobytes, from a
 * process that may be sending them to its whole zone after a restart.
 */
const NEWS_PATIENCE = 800
const FIRST_NEWS_PATIENCE = 1_500
/** A relay whose fetch failed or timed out is not used for this time, in milliseconds. */
const PASS_OVER = 2_000

interface Followed {
  connecting: boolean
  connection: PeerConnection | undefined
  heardAt: number
  retryAt: number
  passedOverUntil: number
}

/** Follows the relays of one process. */
export class RelayFollower {
  private readonly _book: RelayBook
  private readonly _followed = new Map<string, Followed>()
  private _timer: NodeJS.Timeout | undefined
  private _takenAt = -Infinity
  private _taking = false

  constructor (private readonly _parts: RelayFollowerParts) {
    this._book = new RelayBook(_parts.place)
    for (const relay of _parts.relays) this._followed.set(relay, { connecting: false, connection: undefined, heardAt: 0, retryAt: 0, passedOverUntil: 0 })
  }

  /** Starts following the relays in the background. */
  start (): void {
    if (this._followed.size === 0) return
    this._timer = setInterval(() => this._tick(), TICK)
    this._tick()
  }

  /** Whether at least one connected relay currently follows the store. */
  get confirmed (): boolean { return this._book.confirmed(this._parts.state.epoch, performance.now()) }

  close (): void { clearInterval(this._timer) }

  /**
   * Fetches the state of some topics from the nearest connected relay.
   *
   * @returns Whether a relay delivered it.
   */
  async take (topics: readonly PublishedTopic[]): Promise<boolean> {
    const now = performance.now()
    const address = this._book.nearest(this._parts.state.epoch, this._passedOver(now), now)
    return address !== undefined && await this._takeFrom(address, topics)
  }

  private _tick (): void {
    const now = performance.now()
    for (const [address, followed] of this._followed) {
      if (followed.connection !== undefined && now - followed.heardAt > SILENCE) followed.connection.close()
      if (followed.connection === undefined && !followed.connecting && now >= followed.retryAt) this._connect(address, followed)
    }
    this._countFollowed(now)
    if (!this._taking && now - this._takenAt >= TAKE_PAUSE) this._takeNews(now)
  }

  /**
   * Advances the followed revisions. A relay that holds nothing newer than this process confirms that there were no changes up
   * to the revision that the relay has followed.
   */
  private _countFollowed (now: number): void {
    const { state } = this._parts
    const { held } = state
    for (const topic of this._parts.topics()) state.followed(topic, this._book.followedBy(held, topic, now))
  }

  private _takeNews (now: number): void {
    const topics = this._parts.topics()
    const address = this._book.ahead(this._parts.state.held, topics, this._passedOver(now), now)
    if (address !== undefined) this._takeFrom(address, topics)
  }

  private _passedOver (now: number): ReadonlySet<string> {
    return new Set([...this._followed].filter(([, { passedOverUntil }]) => now < passedOverUntil).map(([address]) => address))
  }

  private async _takeFrom (address: string, topics: readonly PublishedTopic[]): Promise<boolean> {
    const askedAt = performance.now()
    this._taking = true
    this._takenAt = askedAt
    this._parts.counters.add('relay_news_asked')
    try {
      const { reply, payload } = await this._parts.pool.call(address, { type: 'news', note: this._parts.state.note, topics }, { timeout: this._parts.state.complete ? NEWS_PATIENCE : FIRST_NEWS_PATIENCE })
      if (reply.type !== 'news') return false
      this._parts.counters.add('relay_news_bytes', payload.length)
      this._parts.onNews(address, unpackNews(payload), Math.round(performance.now() - askedAt))
      return true
    } catch (error) {
      this._parts.counters.add('relay_news_failures')
      this._parts.log.warn('relay-silent', { address, reason: failureOf(error).type, took: Math.round(performance.now() - askedAt) })
      const followed = this._followed.get(address)
      if (followed !== undefined) followed.passedOverUntil = performance.now() + PASS_OVER
      return false
    } finally {
      this._taking = false
    }
  }

  private async _connect (address: string, followed: Followed): Promise<void> {
    followed.connecting = true
    try {
      const connection = await this._parts.pool.connection(address, { patience: CONNECT_PATIENCE })
      followed.connection = connection
      followed.heardAt = performance.now()
      connection.ask({ type: 'follow-news' }, undefined, {
        reply: reply => {
          if (reply.type !== 'news-note') return
          followed.heardAt = performance.now()
          this._book.heard(address, reply.note, followed.heardAt)
          this._tick()
        },
        lost: () => this._lost(address, followed)
      })
    } catch (error) {
      this._parts.log.debug('relay-unreachable', { address, reason: failureOf(error).type })
      this._lost(address, followed)
    } finally {
      followed.connecting = false
    }
  }

  private _lost (address: string, followed: Followed): void {
    followed.connection = undefined
    followed.retryAt = performance.now() + RETRY_PAUSE
    this._book.lost(address)
  }
}

/**
 * Polls until a condition holds, for at most `patience` milliseconds.
 *
 * @param step Poll interval in milliseconds.
 * @example
 * await waitUntil(() => feed.state.complete, 1_000, 20)
 */
export async function waitUntil (holds: () => boolean, patience: number, step: number): Promise<void> {
  const until = performance.now() + patience
  while (!holds() && performance.now() < until) await pause(step)
}
