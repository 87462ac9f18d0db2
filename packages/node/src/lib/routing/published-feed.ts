/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Keeps published state up to date: watches the store, and queries peers while the store is unavailable.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { PublishedState, StoreCursor, topicOf, type ModelVersion, type Place, type PublishedChange, type PublishedDelta, type PublishedTopic } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import { EpochLog } from './epoch-log.js'
import { PeerNews } from './peer-news.js'
import { RefusedDocuments } from './refused-documents.js'
import { RelayFollower, waitUntil } from './relay-follower.js'
import { topicsOfScope, type HistoryLost, type PublishedStore, type ReadFreshness, type StoreAnswer, type StoreChanges, type StoreFailure, type StoreScope } from './ports.js'

/** A scope of the store that is watched continuously. */
export interface Watch {
  readonly scope: StoreScope
  /**
   * Delay between a response that contains changes and the next watch, in milliseconds. The store counts every watch as a
   * call, and changes come in bursts, so the delay batches them.
   */
  readonly pause: number
  /** How long the store may hold a watch open, in milliseconds. */
  readonly wait: number
  /** Whether the scope is followed through relays instead of the store while at least one relay follows the store. */
  readonly relayed: boolean
}

/** The relays from which a process receives published state. */
export interface Relays {
  /** Addresses of the relays; empty for a process that is itself a relay. */
  readonly addresses: readonly string[]
  readonly place: Place
  /** Topics whose changes are fetched as soon as a relay has them. */
  readonly topics: () => readonly PublishedTopic[]
}

/** Dependencies and settings of a {@link PublishedFeed}. */
export interface PublishedFeedParts {
  readonly store: PublishedStore
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  readonly watches: readonly Watch[]
  readonly relays: Relays
  /** Addresses of peers that may hold newer state. */
  readonly peers: () => readonly string[]
  readonly onChanges: (changes: readonly PublishedChange[]) => void
}

/**
 * After a failure, watches use a shorter wait, so that a watch that hangs while the network path is failing or recovering
 * times out soon. All values are in milliseconds: the period after a failure in which waits are short, the wait while the
 * scope is still failing, and the wait once the store has responded, which is longer because every watch counts as a call.
 */
const UNSTEADY_TIME = 12_000
const FIRST_UNSTEADY_WAIT = 500
const UNSTEADY_WAIT = 1_000
/** Bounds of the exponential backoff after a failed store call, in milliseconds. The store charges for refused calls too. */
const FIRST_BACKOFF = 100
const LONGEST_BACKOFF = 800
/**
 * A watch that returns within this time reports changes made before it was sent, in milliseconds. The store responds within
 * a few milliseconds, or within a few hundred when it is slow.
 */
const QUICK_ANSWER = 500
/** Interval between queries to peers while the store is unavailable, in milliseconds. */
const PEER_PAUSE = 250
/**
 * How long a starting process waits for the full state from a relay before it reads the store itself, in milliseconds. When
 * all processes start at once, a relay is up after 0.3 s and has read the full state 0.2 s later. A process that restarts
 * alone receives it within tens of milliseconds.
 */
const START_PATIENCE = 1_000
/** Poll intervals during that wait, and for checking whether a relay still follows the store, in milliseconds. */
const START_STEP = 20
const RELAY_STEP = 100

/** Follows published state from the store, relays and peers. */
export class PublishedFeed {
  readonly state = new PublishedState()
  /** Scopes whose last call failed, with the time of the first of the consecutive failures. */
  private readonly _failing = new Map<StoreScope, number>()
  private readonly _peerTimer: NodeJS.Timeout
  private readonly _relays: RelayFollower
  private readonly _startedAt = performance.now()
  /** Scopes that this process follows in the store directly and whose last call succeeded. */
  private readonly _answering = new Set<StoreScope>()
  private readonly _refreshing = new Set<StoreScope>()
  private readonly _refusedDocuments: RefusedDocuments
  private readonly _epochs: EpochLog
  private readonly _peerNews: PeerNews
  private _failedAt = -Infinity
  private _closed = false

  constructor (private readonly _parts: PublishedFeedParts) {
    this._peerTimer = setInterval(() => { this._tick() }, PEER_PAUSE)
    const { pool, log, counters, peers, relays: { addresses, place, topics } } = _parts
    const onNews = (address: string, delta: PublishedDelta, took: number): void => { if (!this._closed) this._takeNews(address, delta, took) }
    this._refusedDocuments = new RefusedDocuments(log, counters)
    this._epochs = new EpochLog(this.state, log, counters)
    this._peerNews = new PeerNews({ state: this.state, pool, log, counters, peers, onNews })
    this._relays = new RelayFollower({ relays: addresses, place, pool, log, counters, state: this.state, topics, onNews })
  }

  /** Starts following the watched scopes in the background. */
  start (): void {
    this._relays.start()
    for (const watch of this._parts.watches) this._follow(watch)
  }

  close (): void {
    this._closed = true
    clearInterval(this._peerTimer)
    this._relays.close()
  }

  /** Whether this process reads the operators' documents directly from the store, and its last call succeeded. */
  get readsStore (): boolean { return [...this._answering].some(scope => topicsOfScope[scope].includes('configuration')) }

  /** Whether the last call for every scope succeeded. */
  get storeAnswers (): boolean { return this._failing.size === 0 }

  /**
   * Reads a scope that is not watched, from a relay if possible and otherwise from the store, whose response may be a few
   * seconds old. While the store is unavailable, peers are queried.
   */
  async refresh (scope: StoreScope): Promise<void> {
    if (this._refreshing.has(scope)) return
    this._refreshing.add(scope)
    try {
      await this._refresh(scope)
    } finally {
      this._refreshing.delete(scope)
    }
  }

  private async _refresh (scope: StoreScope): Promise<void> {
    if (this._followed(scope) === 0) {
      await this._awaitRelays(scope)
      if (this._closed || this._followed(scope) > 0) return
    }
    if (await this._relays.take(topicsOfScope[scope])) return
    const askedAt = performance.now()
    let answer = this._inEpoch(await this._read(scope, 'may-be-old'))
    // A possibly stale read may return an earlier epoch; a read of the newest state does not.
    if (answer.type === 'store-failure' && answer.reason === 'earlier-epoch') answer = this._inEpoch(await this._read(scope, 'newest'))
    if (this._closed) return
    if (answer.type === 'store-failure') return this._failed(scope, answer, askedAt)
    // A possibly stale read does not show the store's current revision.
    this._answered(scope, Infinity)
    this._takeWhole(scope, answer, askedAt)
  }

  /**
   * Records a wanted version reported by a peer without a revision.
   *
   * @param heardAt When the peer learned of it, on this process's clock.
   */
  told (wanted: ModelVersion, heardAt: number): void {
    this._tell(this.state.take({ type: 'wanted-version', revision: 0, wanted }, heardAt))
  }

  /** During startup, waits for a relay to deliver the full state. */
  private async _awaitRelays (scope: StoreScope): Promise<void> {
    if (this._parts.relays.addresses.length === 0) return
    await waitUntil(() => this._closed || this._followed(scope) > 0, this._startedAt + START_PATIENCE - performance.now(), START_STEP)
  }

  /** Leaves a scope to the relays until none of them follows the store. */
  private async _leaveToRelays (scope: StoreScope): Promise<void> {
    this._answering.delete(scope)
    this._answered(scope, Math.max(...topicsOfScope[scope].map(topic => this.state.note[topic])))
    await waitUntil(() => this._closed || !this._relays.confirmed, Infinity, RELAY_STEP)
  }

  private async _follow (watch: Watch): Promise<void> {
    const { scope, pause: rest, relayed } = watch
    await this._awaitRelays(scope)
    let backoff = FIRST_BACKOFF
    const cursor = new StoreCursor(this.state, topicsOfScope[scope])
    let restedFrom: number | undefined
    while (!this._closed) {
      if (relayed && this._relays.confirmed) {
        await this._leaveToRelays(scope)
        cursor.caughtUp()
        restedFrom = undefined
        continue
      }
      const askedAt = performance.now()
      const notBefore = restedFrom ?? askedAt
      restedFrom = undefined
      const call = cursor.next
      const answer = this._inEpoch(call === 'watch' ? await this._watch(watch) : await this._read(scope, 'newest'))
      if (this._closed) return
      const verdict = cursor.judge(call, answer)
      if (answer.type === 'store-failure') {
        this._failed(scope, answer, askedAt)
        await pause(backoff * (0.5 + Math.random()))
        backoff = Math.min(LONGEST_BACKOFF, backoff * 2)
        continue
      }
      backoff = FIRST_BACKOFF
      if (answer.type === 'history-lost' || verdict === 'read-whole') {
        this._parts.log.warn('history-lost', { scope, revision: cursor.followed, epoch: this.state.epoch, told: answer.epoch })
        this._answering.delete(scope)
        // All processes lose the history at the same time; a relay rereads the full state within a few hundred milliseconds.
        if (relayed) await waitUntil(() => this._closed || this._relays.confirmed, START_PATIENCE, START_STEP)
        continue
      }
      this._answered(scope, answer.upTo)
      this._answering.add(scope)
      if (call === 'watch') this._takeChanges(scope, answer, changedFrom(notBefore, askedAt, performance.now()))
      else this._takeWhole(scope, answer, askedAt)
      if (answer.changes.length === 0 || rest === 0) continue
      restedFrom = performance.now()
      await pause(rest)
    }
  }

  private async _read (scope: StoreScope, freshness: ReadFreshness): Promise<StoreChanges | StoreFailure> {
    this._parts.counters.add('store_reads')
    return await this._parts.store.readWhole(scope, freshness)
  }

  private async _watch (watch: Watch): Promise<StoreChanges | HistoryLost | StoreFailure> {
    this._parts.counters.add('store_watches')
    return await this._parts.store.awaitChanges(watch.scope, this._followed(watch.scope), this._watchWait(watch))
  }

  /** Turns a response from an epoch before the current one into a failure: its contents may have been lost since. */
  private _inEpoch<Answer extends StoreAnswer> (answer: Answer): Answer | StoreFailure {
    const { epoch } = answer
    if (epoch === undefined || epoch >= this.state.epoch) return answer
    return { type: 'store-failure', reason: 'earlier-epoch', detail: `response is from epoch ${epoch}; current epoch is ${this.state.epoch}`, epoch }
  }

  /** How long the store may hold a watch open now, in milliseconds. */
  private _watchWait ({ scope, wait }: Watch): number {
    if (performance.now() - this._failedAt >= UNSTEADY_TIME) return wait
    const unsteady = this._failing.has(scope) ? FIRST_UNSTEADY_WAIT : UNSTEADY_WAIT
    return Math.min(unsteady, wait)
  }

  /** The revision up to which every topic of a scope is known. */
  private _followed (scope: StoreScope): number { return new StoreCursor(this.state, topicsOfScope[scope]).followed }

  private _takeWhole (scope: StoreScope, answer: StoreChanges, askedAt: number): void {
    const now = performance.now()
    const before = this.state.note
    if (answer.epoch !== undefined) this.state.enter(answer.epoch, now)
    this._epochs.followed(before, answer.upTo, 'store')
    this._epochs.told(answer.changes)
    const news = topicsOfScope[scope].flatMap(topic => this.state.takeWhole(topic, answer.changes.filter(change => topicOf(change) === topic), answer.upTo, now))
    this._refused(answer)
    this._parts.log.info('published-read', { scope, epoch: this.state.epoch, revision: answer.upTo, items: answer.changes.length, news: news.length, took: Math.round(now - askedAt), bytes: answer.bytes })
    this._tell(news)
  }

  private _takeChanges (scope: StoreScope, answer: StoreChanges, changedAt: number): void {
    this._epochs.told(answer.changes)
    const news = answer.changes.flatMap(change => this.state.take(change, changedAt))
    for (const topic of topicsOfScope[scope]) this.state.followed(topic, answer.upTo)
    this._refused(answer)
    this._tell(news)
  }

  private _refused ({ refused }: StoreChanges): void {
    for (const failure of refused) this._refusedDocuments.note(failure, performance.now())
  }

  private _tell (news: readonly PublishedChange[]): void {
    if (news.length > 0) this._parts.onChanges(news)
  }

  private _failed (scope: StoreScope, failure: StoreFailure, askedAt: number): void {
    const now = performance.now()
    this._answering.delete(scope)
    this._parts.counters.add('store_failures')
    this._parts.counters.add(`store_failures_${failure.reason.replaceAll('-', '_')}`)
    this._parts.log.debug('store-call-failed', { scope, reason: failure.reason, took: Math.round(now - askedAt), complete: this.state.complete })
    this._failedAt = now
    if (!this._failing.has(scope)) {
      this._failing.set(scope, now)
      this._parts.log.warn('store-lost', { scope, reason: failure.reason, detail: failure.detail, revision: this._followed(scope) })
    }
    // A relay that still follows the store shows that the store is up: records then do not expire, and removals are real.
    if (!this._relays.confirmed) this.state.storeLost()
  }

  private _answered (scope: StoreScope, upTo: number): void {
    const since = this._failing.get(scope)
    if (since === undefined) return
    const now = performance.now()
    this._failing.delete(scope)
    this._parts.log.info('store-regained', { scope, away: Math.round(now - since) })
    if (this.storeAnswers) this.state.storeRegained(now, upTo)
  }

  private _tick (): void {
    this._tell(this.state.expire(performance.now()))
    const starting = this._parts.relays.addresses.length > 0 && performance.now() - this._startedAt < START_PATIENCE
    const wanting = !this.storeAnswers || !this.state.complete
    if (wanting && !starting) this._peerNews.ask()
  }

  private _takeNews (address: string, delta: PublishedDelta, took: number): void {
    const before = this.state.note
    const news = this.state.takeDelta(delta, performance.now())
    const { configuration, versions, endpoints } = delta.upTo
    this._epochs.followed(before, Math.max(configuration, versions, endpoints), address)
    if (news.length === 0) return
    this._parts.log.info('published-from-peer', { address, epoch: this.state.epoch, news: news.length, configuration, endpoints, took })
    this._tell(news)
  }
}

/**
 * Returns the time from which changes in a watch's response count. If the watch returns immediately after a pause, the
 * changes may be as old as the previous response; counted as new, a version named during the pause would get a deadline that
 * is too late by the length of the pause. After a failure, changes count from when they are received, so that a store outage
 * does not shorten the time allowed to transfer a version.
 *
 * @param notBefore When the pause before the watch began or, without a pause, when the watch was sent.
 */
function changedFrom (notBefore: number, askedAt: number, now: number): number {
  return now - askedAt <= QUICK_ANSWER ? notBefore : now
}
