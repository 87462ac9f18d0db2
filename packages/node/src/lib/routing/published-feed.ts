/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Keeps published state up to date: watches the store, and queries peers while the store is unavailable.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { PublishedState, StallDetector, StoreCursor, StoreView, topicOf, type DeltaTimes, type NamedVersion, type EntryLocation, type PublishedChange, type PublishedDelta, type PublishedTopic, type EvidenceReport } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import { runPeriodically, waitUntil, type PeriodicTask } from '../periodic-tasks.js'
import { EpochLog } from './epoch-log.js'
import { PeerStateQueries } from './peer-state-queries.js'
import { RefusedDocuments } from './refused-documents.js'
import { RelayFollower } from './relay-follower.js'
import { topicsOfScope, type HistoryLost, type PublishedStore, type ReadFreshness, type StoreAnswer, type StoreChanges, type StoreFailure, type StoreScope } from './ports.js'
import { VersionDates } from './version-dates.js'

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
  /** Whether the scope is followed through relays instead of the store while one of them follows the store and they deliver. */
  readonly relayed: boolean
}

/** The relays from which a process receives published state. */
export interface Relays {
  /** Addresses of the relays; empty for a process that is itself a relay. */
  readonly addresses: readonly string[]
  readonly place: EntryLocation
  /** Topics whose changes are fetched as soon as a relay has them. */
  readonly topics: () => readonly PublishedTopic[]
  /** See `RelayFollowerDependencies`. */
  readonly onEvidence?: ((reports: unknown, relay: string) => void) | undefined
}

/** Dependencies and settings of a {@link PublishedFeed}. */
export interface PublishedFeedDependencies {
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
const SHORT_WATCH_PERIOD = 12_000
const FAILING_WATCH_WAIT = 500
const SHORT_WATCH_WAIT = 1_000
/**
 * The wait in the first time after a failure, and how long that time is, in milliseconds. The store answers at once then if only a connection was cut,
 * before another one is cut.
 */
const CHECK_WATCH_WAIT = 1
const CHECK_PERIOD = 1_000
/** Bounds of the exponential backoff after a failed store call, in milliseconds. The store charges for refused calls too. */
const MIN_BACKOFF = 100
const MAX_BACKOFF = 800
/** Interval between queries to peers while the store is unavailable, in milliseconds. */
const PEER_QUERY_INTERVAL = 250
/** Interval at which the process notes that it runs, in milliseconds. */
const STALL_CHECK_INTERVAL = 100
/**
 * How long a starting process waits for the full state from a relay before it reads the store itself, in milliseconds. When
 * all processes start at once, a relay is up after 0.3 s and has read the full state 0.2 s later. A process that restarts
 * alone receives it within tens of milliseconds.
 */
const STARTUP_RELAY_TIMEOUT = 1_000
/** Poll intervals during that wait, and for checking whether a relay still follows the store, in milliseconds. */
const STARTUP_POLL_INTERVAL = 20
const RELAY_POLL_INTERVAL = 100

/** Follows published state from the store, relays and peers. */
export class PublishedFeed {
  readonly state = new PublishedState()
  /** Scopes whose last call failed, with the time of the first of the consecutive failures. */
  private readonly _failing = new Map<StoreScope, number>()
  private readonly _ticks: PeriodicTask
  private readonly _stalls = new StallDetector(STALL_CHECK_INTERVAL)
  private readonly _stallChecks: PeriodicTask
  private readonly _relays: RelayFollower
  private readonly _startedAt = performance.now()
  /** Scopes that this process follows in the store directly and whose last call succeeded. */
  private readonly _scopesFromStore = new Set<StoreScope>()
  private readonly _refreshing = new Set<StoreScope>()
  private readonly _refusedDocuments: RefusedDocuments
  private readonly _epochs: EpochLog
  private readonly _dates: VersionDates
  private readonly _peerQueries: PeerStateQueries
  private _lastFailureAt = -Infinity
  /** Endpoints that were kept although their entries were missing, when this was last logged. */
  private _missingEndpoints = 0
  private _closed = false

  constructor (private readonly _dependencies: PublishedFeedDependencies) {
    this._ticks = runPeriodically(() => { this._tick() }, PEER_QUERY_INTERVAL)
    this._stallChecks = runPeriodically(() => { this._stalls.tick(performance.now()) }, STALL_CHECK_INTERVAL)
    const { pool, log, counters, peers, relays: { addresses, place, topics, onEvidence } } = _dependencies
    const onDelta = (address: string, delta: PublishedDelta, times: DeltaTimes): void => { if (!this._closed) this._applyPeerDelta(address, delta, times) }
    this._refusedDocuments = new RefusedDocuments(log, counters)
    this._epochs = new EpochLog(this.state, log, counters)
    this._dates = new VersionDates(this.state, log)
    this._peerQueries = new PeerStateQueries({ state: this.state, pool, log, counters, peers, onDelta })
    this._relays = new RelayFollower({ relays: addresses, place, pool, log, counters, state: this.state, topics, onDelta, arrivedSince: now => this._stalls.arrivedSince(now), onEvidence })
  }

  /** Starts following the watched scopes in the background. */
  start (): void {
    this._relays.start()
    for (const watch of this._dependencies.watches) this._follow(watch)
  }

  /** Reports results of requests to other entries, by way of a relay. */
  sendEvidence (reports: readonly EvidenceReport[]): void { this._relays.sendEvidence(reports) }

  close (): void {
    this._closed = true
    this._ticks.close()
    this._stallChecks.close()
    this._relays.close()
  }

  /** Whether this process reads the operators' documents directly from the store, and its last call succeeded. */
  get readsStore (): boolean { return [...this._scopesFromStore].some(scope => topicsOfScope[scope].includes('configuration')) }

  /** Whether the last call for every scope succeeded. */
  get storeAvailable (): boolean { return this._failing.size === 0 }

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
      await this._awaitRelayState(scope)
      if (this._closed || this._followed(scope) > 0) return
    }
    if (await this._relays.fetchState(topicsOfScope[scope])) return
    let sentAt = performance.now()
    let response = this._rejectEarlierEpoch(await this._read(scope, 'may-be-old'))
    if (response.type === 'store-failure' && response.reason === 'unreachable' && !this._closed) {
      // The next reading comes seconds later: a connection that was cut must not count as an outage until then.
      await pause(MIN_BACKOFF)
      sentAt = performance.now()
      response = this._rejectEarlierEpoch(await this._read(scope, 'may-be-old'))
    }
    // A possibly stale read may return an earlier epoch; a read of the newest state does not.
    if (response.type === 'store-failure' && response.reason === 'earlier-epoch') response = this._rejectEarlierEpoch(await this._read(scope, 'newest'))
    if (this._closed) return
    if (response.type === 'store-failure') return this._onCallFailed(scope, response, sentAt)
    // A possibly stale read does not show the store's current revision.
    this._onCallSucceeded(scope, Infinity)
    this._applySnapshot(scope, response, sentAt, -Infinity)
  }

  /**
   * Records a version that a peer told without a revision, and how long ago it was received by some process.
   *
   * @param from The peer, for the log.
   * @returns The effective changes, which the caller applies.
   */
  takeNamedVersion ({ model, version, age }: NamedVersion, from: string): readonly PublishedChange[] {
    const change = { type: 'wanted-version', revision: 0, wanted: { model, version } } as const
    const changes = this.state.takeFromPeer(change, { earliest: -Infinity, latest: performance.now() - age })
    this._dates.log(changes, { from, by: 'ping' })
    return changes
  }

  /** During startup, waits for a relay to deliver the full state. */
  private async _awaitRelayState (scope: StoreScope): Promise<void> {
    if (this._dependencies.relays.addresses.length === 0) return
    await waitUntil(() => this._closed || this._followed(scope) > 0, this._startedAt + STARTUP_RELAY_TIMEOUT - performance.now(), STARTUP_POLL_INTERVAL)
  }

  /** Leaves a scope to the relays until none of them follows the store, or they do not deliver what they announce. */
  private async _deferToRelays (scope: StoreScope): Promise<void> {
    this._scopesFromStore.delete(scope)
    this._onCallSucceeded(scope, Math.max(...topicsOfScope[scope].map(topic => this.state.note[topic])))
    await waitUntil(() => this._closed || !this._relays.relaysDeliver, Infinity, RELAY_POLL_INTERVAL)
  }

  private async _follow (watch: Watch): Promise<void> {
    const { scope, pause: interval, relayed } = watch
    await this._awaitRelayState(scope)
    let backoff = MIN_BACKOFF
    const cursor = new StoreCursor(this.state, topicsOfScope[scope])
    const view = new StoreView()
    while (!this._closed) {
      if (relayed && this._relays.relaysDeliver) {
        await this._deferToRelays(scope)
        cursor.markCaughtUp()
        continue
      }
      const sentAt = performance.now()
      const call = cursor.next
      const wait = this._watchWait(watch)
      const followedBefore = cursor.followed
      const response = this._rejectEarlierEpoch(call === 'watch' ? await this._watch(scope, wait) : await this._read(scope, 'newest'))
      if (this._closed) return
      const verdict = cursor.judge(call, response)
      if (response.type === 'store-failure') {
        this._onCallFailed(scope, response, sentAt)
        await pause(backoff * (0.5 + Math.random()))
        backoff = Math.min(MAX_BACKOFF, backoff * 2)
        continue
      }
      backoff = MIN_BACKOFF
      if (response.type === 'history-lost' || verdict === 'read-whole') {
        this._dependencies.log.warn('history-lost', { scope, revision: cursor.followed, epoch: this.state.epoch, told: response.epoch })
        this._scopesFromStore.delete(scope)
        // All processes lose the history at the same time; a relay rereads the full state within a few hundred milliseconds.
        if (relayed) await waitUntil(() => this._closed || this._relays.relaysDeliver, STARTUP_RELAY_TIMEOUT, STARTUP_POLL_INTERVAL)
        continue
      }
      this._onCallSucceeded(scope, response.upTo)
      this._scopesFromStore.add(scope)
      const since = view.completeUntil
      if (call === 'watch') {
        const empty = response.changes.length === 0 && response.upTo === followedBefore
        view.watchAnswered({ sentAt, answeredAt: this._stalls.arrivedSince(performance.now()), wait, empty })
        this._applyChanges(scope, response, sentAt, since)
      } else {
        view.readAnswered(sentAt)
        this._applySnapshot(scope, response, sentAt, since)
      }
      if (topicsOfScope[scope].includes('versions')) this.state.versionsCompleteAt(view.completeUntil)
      if (topicsOfScope[scope].includes('evacuations')) this.state.evacuationsCompleteAt(view.completeUntil)
      if (response.changes.length === 0 || interval === 0) continue
      await pause(interval)
    }
  }

  private async _read (scope: StoreScope, freshness: ReadFreshness): Promise<StoreChanges | StoreFailure> {
    this._dependencies.counters.add('store_reads')
    return await this._dependencies.store.readWhole(scope, freshness).catch(failureOfException)
  }

  private async _watch (scope: StoreScope, wait: number): Promise<StoreChanges | HistoryLost | StoreFailure> {
    this._dependencies.counters.add('store_watches')
    return await this._dependencies.store.awaitChanges(scope, this._followed(scope), wait).catch(failureOfException)
  }

  /** Turns a response from an epoch before the current one into a failure: its contents may have been lost since. */
  private _rejectEarlierEpoch<Answer extends StoreAnswer> (response: Answer): Answer | StoreFailure {
    const { epoch } = response
    if (epoch === undefined || epoch >= this.state.epoch) return response
    return { type: 'store-failure', reason: 'earlier-epoch', detail: `response is from epoch ${epoch}; current epoch is ${this.state.epoch}`, epoch }
  }

  /** How long the store may hold a watch open now, in milliseconds. */
  private _watchWait ({ scope, wait }: Watch): number {
    if (performance.now() - this._lastFailureAt >= SHORT_WATCH_PERIOD) return wait
    const failingSince = this._failing.get(scope)
    if (failingSince === undefined) return Math.min(SHORT_WATCH_WAIT, wait)
    return Math.min(performance.now() - failingSince < CHECK_PERIOD ? CHECK_WATCH_WAIT : FAILING_WATCH_WAIT, wait)
  }

  /** The revision up to which every topic of a scope is known. */
  private _followed (scope: StoreScope): number { return new StoreCursor(this.state, topicsOfScope[scope]).followed }

  private _applySnapshot (scope: StoreScope, response: StoreChanges, sentAt: number, since: number): void {
    const now = performance.now()
    const before = this.state.note
    if (response.epoch !== undefined) this.state.enterEpoch(response.epoch, now)
    this._epochs.reportEpochChange(before, response.upTo, 'store')
    this._epochs.reportOlderConfigurations(response.changes)
    const changes = topicsOfScope[scope].flatMap(topic => this.state.takeSnapshot(topic, response.changes.filter(change => topicOf(change) === topic), response.upTo, now, since))
    this._recordRefused(response)
    this._dependencies.log.info('published-read', { scope, epoch: this.state.epoch, revision: response.upTo, items: response.changes.length, news: changes.length, took: Math.round(now - sentAt), bytes: response.bytes })
    this._dates.log(changes, { from: 'store', by: 'read', took: Math.round(now - sentAt) })
    this._emitChanges(changes)
    this._reportMissing('store')
  }

  private _applyChanges (scope: StoreScope, response: StoreChanges, sentAt: number, since: number): void {
    const now = performance.now()
    this._epochs.reportOlderConfigurations(response.changes)
    const changes = response.changes.flatMap(change => this.state.take(change, now, since))
    for (const topic of topicsOfScope[scope]) this.state.followed(topic, response.upTo)
    this._recordRefused(response)
    this._dates.log(changes, { from: 'store', by: 'watch', took: Math.round(now - sentAt) })
    this._emitChanges(changes)
    this._reportMissing('store')
  }

  private _recordRefused ({ refused }: StoreChanges): void {
    for (const failure of refused) this._refusedDocuments.note(failure, performance.now())
  }

  /** Logs how many endpoints are kept although their entries are missing, if that has changed. */
  private _reportMissing (from: string): void {
    const { missingCount, note } = this.state
    if (missingCount === this._missingEndpoints) return
    this._missingEndpoints = missingCount
    this._dependencies.log.info('endpoints-missing', { kept: missingCount, from, revision: note.endpoints })
  }

  private _emitChanges (changes: readonly PublishedChange[]): void {
    if (changes.length > 0) this._dependencies.onChanges(changes)
  }

  private _onCallFailed (scope: StoreScope, failure: StoreFailure, sentAt: number): void {
    const now = performance.now()
    this._scopesFromStore.delete(scope)
    this._dependencies.counters.add('store_failures')
    this._dependencies.counters.add(`store_failures_${failure.reason.replaceAll('-', '_')}`)
    this._dependencies.log.debug('store-call-failed', { scope, reason: failure.reason, took: Math.round(now - sentAt), complete: this.state.complete })
    this._lastFailureAt = now
    if (!this._failing.has(scope)) {
      this._failing.set(scope, now)
      this._dependencies.log.warn('store-lost', { scope, reason: failure.reason, detail: failure.detail, revision: this._followed(scope) })
    }
    // A relay that still follows the store shows that the store is up: records then do not expire, and removals are real.
    if (!this._relays.followsStore) this.state.storeLost(failure.reason === 'timed-out' ? sentAt : now)
  }

  private _onCallSucceeded (scope: StoreScope, upTo: number): void {
    const since = this._failing.get(scope)
    if (since === undefined) return
    const now = performance.now()
    this._failing.delete(scope)
    this._dependencies.log.info('store-regained', { scope, away: Math.round(now - since) })
    if (this.storeAvailable) this.state.storeRegained(now, upTo)
  }

  private _tick (): void {
    const now = performance.now()
    this._emitChanges(this.state.expire(now))
    this._reportMissing('time')
    const awaitingRelays = this._dependencies.relays.addresses.length > 0 && now - this._startedAt < STARTUP_RELAY_TIMEOUT
    const incomplete = !this.storeAvailable || !this.state.complete
    if (incomplete && !awaitingRelays) this._peerQueries.query()
    else if (this._dates.needQuery(now)) this._peerQueries.queryVersions()
  }

  private _applyPeerDelta (address: string, delta: PublishedDelta, times: DeltaTimes): void {
    const before = this.state.note
    const now = performance.now()
    const took = Math.round(now - times.requestedAt)
    const changes = this.state.takeDelta(delta, now, times)
    const { configuration, versions, endpoints } = delta.upTo
    this._epochs.reportEpochChange(before, Math.max(configuration, versions, endpoints), address)
    this._reportMissing(address)
    if (changes.length === 0) return
    this._dependencies.log.info('published-from-peer', { address, epoch: this.state.epoch, news: changes.length, configuration, endpoints, took })
    this._dates.log(changes, { from: address, by: 'news', took })
    this._emitChanges(changes)
  }
}

/** A scope is followed by one loop, which an exception of the store's client must not end. */
function failureOfException (error: unknown): StoreFailure {
  return { type: 'store-failure', reason: 'malformed', detail: error instanceof Error ? error.message : 'unknown error' }
}
