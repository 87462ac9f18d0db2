/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The client side of relays: keeps a connection to each relay and fetches published state from them, so that this process
 * need not read the store. The relays are the seeds listed in the settings.
 */
import { failureOf, RelayDelivery, RelayRegistry, type DeltaTimes, type EntryLocation, type EvidenceReport, type PublishedDelta, type PublishedState, type PublishedTopic } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerConnection } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'
import { runningTime, runPeriodically, type PeriodicTask } from '../periodic-tasks.js'
import { decodeDelta } from './delta-codec.js'

/** Dependencies and settings of a {@link RelayFollower}. */
export interface RelayFollowerDependencies {
  readonly relays: readonly string[]
  readonly place: EntryLocation
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  readonly state: PublishedState
  /** Topics whose changes are fetched as soon as a relay has them. */
  readonly topics: () => readonly PublishedTopic[]
  readonly onDelta: (address: string, delta: PublishedDelta, times: DeltaTimes) => void
  /** Returns the earliest time at which a message that is handled now may have arrived. */
  readonly arrivedSince: (now: number) => number
  /** Receives what other entries of the zone report of endpoints; `undefined` for processes that send them no requests. */
  readonly onEvidence?: ((reports: unknown, relay: string) => void) | undefined
}

/** Interval between checks for due work, in milliseconds. */
const TICK_INTERVAL = 100
/** Timeout for opening a connection to a relay, and delay before the next attempt after a failure, in milliseconds. */
const CONNECT_TIMEOUT = 300
const RETRY_DELAY = 200
/** A connection that receives nothing for this time is reopened, in milliseconds. Relays send a heartbeat every 500 ms. */
const IDLE_TIMEOUT = 1_600
/** Minimum interval between fetches, in milliseconds: changes come in bursts, and every copy of a configuration is costly. */
const MIN_FETCH_INTERVAL = 200
/**
 * Timeout of a fetch from a relay, in milliseconds. If a relay freezes after it announced a change, there must be time left to
 * fetch the change from another relay within 2 s. The first fetch has a longer timeout: it transfers tens of kilobytes, from a
 * process that may be sending them to its whole zone after a restart.
 */
const FETCH_TIMEOUT = 800
const FIRST_FETCH_TIMEOUT = 1_500
/** A relay whose fetch failed or timed out is not used for this time, in milliseconds. */
const EXCLUSION_TIME = 2_000

interface RelayState {
  connecting: boolean
  connection: PeerConnection | undefined
  /** See `runningTime`. */
  receivedAt: number
  retryAt: number
  excludedUntil: number
}

/** Follows the relays of one process. */
export class RelayFollower {
  private readonly _book: RelayRegistry
  private readonly _delivery = new RelayDelivery()
  private readonly _relays = new Map<string, RelayState>()
  private _ticks: PeriodicTask | undefined
  private _fetchStartedAt = -Infinity
  private _fetching = false
  /** The changes of the relays and of the own state by which no relay was ahead; `undefined` if one may be. */
  private _settledFor: { readonly relays: number, readonly state: number } | undefined

  constructor (private readonly _dependencies: RelayFollowerDependencies) {
    this._book = new RelayRegistry(_dependencies.place)
    for (const relay of _dependencies.relays) this._relays.set(relay, { connecting: false, connection: undefined, receivedAt: 0, retryAt: 0, excludedUntil: 0 })
  }

  /** Starts following the relays in the background. */
  start (): void {
    if (this._relays.size === 0) return
    this._ticks = runPeriodically(() => this._tick(), TICK_INTERVAL)
    this._tick()
  }

  /** Whether this process can rely on its relays: one of them follows the store, and they deliver what they announce. */
  get relaysDeliver (): boolean { return !this._delivery.overdue && this.followsStore }

  /** Whether at least one connected relay currently follows the store, even if it delivers nothing. */
  get followsStore (): boolean { return this._book.followsStore(this._dependencies.state.epoch, runningTime()) }

  close (): void { this._ticks?.close() }

  /**
   * Fetches the state of some topics from the nearest connected relay.
   *
   * @returns Whether a relay delivered it.
   */
  async fetchState (topics: readonly PublishedTopic[]): Promise<boolean> {
    const now = performance.now()
    const address = this._book.nearestRelay(this._dependencies.state.epoch, topics, this._excludedRelays(now), runningTime())
    return address !== undefined && await this._fetchFrom(address, topics)
  }

  /**
   * Reports results of requests to the nearest relay. They are lost if there is none: they count for some seconds only.
   *
   * @example
   * follower.sendEvidence(chooser.takeEvidence(now))
   */
  sendEvidence (reports: readonly EvidenceReport[]): void {
    const address = this._book.nearest(runningTime())
    const connection = address === undefined ? undefined : this._relays.get(address)?.connection
    connection?.notify({ type: 'endpoint-evidence', availabilityZone: this._dependencies.place.availabilityZone, reports })
  }

  private _tick (): void {
    const now = performance.now()
    for (const [address, relay] of this._relays) {
      if (relay.connection !== undefined) this._closeIfSilent(address, relay.receivedAt, relay.connection)
      if (relay.connection === undefined && !relay.connecting && now >= relay.retryAt) this._connect(address, relay)
    }
    const { state } = this._dependencies
    if (!this._delivery.overdue && this._settledFor?.relays === this._book.changeCount && this._settledFor.state === state.changeCount) return
    this._advanceFollowed(runningTime())
    this._checkDelivery(runningTime())
    if (!this._fetching && now - this._fetchStartedAt >= MIN_FETCH_INTERVAL) this._fetchChanges(now)
  }

  private _closeIfSilent (address: string, receivedAt: number, connection: PeerConnection): void {
    const silentFor = runningTime() - receivedAt
    if (silentFor <= IDLE_TIMEOUT) return
    this._dependencies.log.warn('relay-silent', { address, reason: 'no-note', silent_for: Math.round(silentFor) })
    connection.close()
  }

  /**
   * Advances the followed revisions. A relay that holds nothing newer than this process confirms that there were no changes up
   * to the revision that the relay has followed.
   */
  private _advanceFollowed (now: number): void {
    const { state } = this._dependencies
    const { held } = state
    for (const topic of this._dependencies.topics()) state.followed(topic, this._book.followedRevision(held, topic, now))
    state.versionsCompleteAt(this._book.completeAt(held, 'versions', now))
    state.evacuationsCompleteAt(this._book.completeAt(held, 'evacuations', now))
  }

  private _checkDelivery (now: number): void {
    const behindFor = this._delivery.observe(this._book.areAhead(this._dependencies.state.held, this._dependencies.topics(), now), now)
    if (behindFor !== undefined) this._dependencies.log.warn('relays-lost', { reason: 'not-delivered', behind_for: Math.round(behindFor) })
  }

  private _fetchChanges (now: number): void {
    const { state } = this._dependencies
    const topics = this._dependencies.topics()
    const excluded = this._excludedRelays(now)
    const ahead = this._book.relayAhead(state.held, topics, excluded, runningTime())
    // A process that reads the store itself may never be behind again, so it asks a relay that is not ahead whether it delivers.
    const address = ahead ?? (this._delivery.overdue ? this._book.nearestRelay(state.epoch, topics, excluded, runningTime()) : undefined)
    if (address !== undefined) this._fetchFrom(address, topics)
    else if (excluded.size === 0 && !this._book.waitsForNearer) this._settledFor = { relays: this._book.changeCount, state: state.changeCount }
  }

  private _excludedRelays (now: number): ReadonlySet<string> {
    return new Set([...this._relays].filter(([, { excludedUntil }]) => now < excludedUntil).map(([address]) => address))
  }

  private async _fetchFrom (address: string, topics: readonly PublishedTopic[]): Promise<boolean> {
    const sentAt = performance.now()
    this._fetching = true
    this._fetchStartedAt = sentAt
    this._dependencies.counters.add('relay_news_asked')
    try {
      const { reply, payload } = await this._dependencies.pool.call(address, { type: 'news', note: this._dependencies.state.note, topics }, { timeout: this._dependencies.state.complete ? FETCH_TIMEOUT : FIRST_FETCH_TIMEOUT })
      if (reply.type !== 'news') {
        this._exclude(address)
        return false
      }
      this._dependencies.counters.add('relay_news_bytes', payload.length)
      this._dependencies.onDelta(address, decodeDelta(payload), { requestedAt: sentAt, encodedFor: reply.encodedFor })
      if (this._delivery.delivered()) this._dependencies.log.info('relays-regained', { address })
      return true
    } catch (error) {
      this._dependencies.counters.add('relay_news_failures')
      this._dependencies.log.warn('relay-silent', { address, reason: failureOf(error).type, took: Math.round(performance.now() - sentAt) })
      this._exclude(address)
      return false
    } finally {
      this._fetching = false
    }
  }

  private _exclude (address: string): void {
    const relay = this._relays.get(address)
    if (relay !== undefined) relay.excludedUntil = performance.now() + EXCLUSION_TIME
  }

  private async _connect (address: string, relay: RelayState): Promise<void> {
    relay.connecting = true
    try {
      const connection = await this._dependencies.pool.connection(address, { patience: CONNECT_TIMEOUT })
      relay.connection = connection
      relay.receivedAt = runningTime()
      const { onEvidence, place } = this._dependencies
      connection.ask({ type: 'follow-news', availabilityZone: onEvidence === undefined ? undefined : place.availabilityZone }, undefined, {
        reply: reply => {
          if (reply.type === 'endpoint-evidence') return onEvidence?.(reply.reports, address)
          if (reply.type !== 'news-note') return
          relay.receivedAt = runningTime()
          this._book.recordNote(address, reply.note, this._dependencies.arrivedSince(performance.now()), relay.receivedAt)
          this._tick()
        },
        lost: () => this._onDisconnected(address, relay)
      })
    } catch (error) {
      this._dependencies.log.debug('relay-unreachable', { address, reason: failureOf(error).type })
      this._onDisconnected(address, relay)
    } finally {
      relay.connecting = false
    }
  }

  private _onDisconnected (address: string, relay: RelayState): void {
    relay.connection = undefined
    relay.retryAt = performance.now() + RETRY_DELAY
    this._book.lost(address)
  }
}
