/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A process that follows published state in the simulated network: a relay watches the store and announces what it holds, other
 * processes fetch changes from the relays, and read the store while no relay follows it. The intervals are those of the product.
 */
import { publishedTopics, RelayRegistry, StoreView, type PublishedChange, type PublishedRevisions, type PublishedState, type StoreAnswerKind, type StoreCall } from '@drumdrift/core'
import type { DeltaSource, PublishedParts } from './published-parts.js'
import type { Process, World } from './world.js'

/** A call to the store. */
export interface StoreRequest {
  readonly call: StoreCall
  readonly after: number
  /** How long the store may hold a watch open, in milliseconds. */
  readonly wait: number
}

/** An answer of the store. */
export interface StoreAnswer extends StoreAnswerKind {
  readonly changes: readonly PublishedChange[]
  readonly upTo: number
  readonly epoch: number
}

/** The surroundings of a process. */
export interface PublishedSurroundings {
  readonly world: World
  readonly parts: PublishedParts
  readonly processes: () => readonly PublishedProcess[]
  readonly callStore: (from: PublishedProcess, request: StoreRequest, onSettled: (answer: StoreAnswer | 'failed') => void) => void
  readonly onChanged: (process: PublishedProcess) => void
}

/** Times are in milliseconds. */
export const WATCH_WAIT = 1_000
export const WATCH_PAUSE = 250
const FAILING_WATCH_WAIT = 500
const RETRY_DELAY = 100
const STARTUP_RELAY_TIMEOUT = 1_000
const STEP_INTERVAL = 100
const ANNOUNCE_INTERVAL = 50
const HEARTBEAT_INTERVAL = 500
const MIN_FETCH_INTERVAL = 200
const FETCH_TIMEOUT = 800
const EXCLUSION_TIME = 2_000
const UNDATED_QUERY_PERIOD = 3_000

/** One incarnation of a process, with its replica of the published state. */
export class PublishedProcess {
  state: PublishedState
  /** The last time at which the process restarted, or a message to or from it was lost or slow. */
  disturbedAt: number
  /** The highest versions that it has held, and the endpoints that it has seen draining. */
  configuration = 0
  version = 0
  readonly leaving = new Set<string>()
  /** When it began to follow the present epoch of the store. */
  epochEnteredAt = -Infinity
  /** The zones that it has held as evacuated since operators evacuated them. */
  readonly evacuated = new Set<string>()
  /** Replaced when a call on it has failed. */
  storeConnection = { silent: false }
  private _exemptUntil = 0
  private _cursor: ReturnType<PublishedParts['cursor']>
  private _deltas: DeltaSource
  private readonly _relayBook: RelayRegistry
  private readonly _view = new StoreView()
  private readonly _startedAt: number
  private _readsStore = false
  private _isFailing = false
  private _announced = ''
  private _announcedAt = -Infinity
  private _fetching = false
  private _queryingDates = false
  private _fetchedAt = -Infinity
  private readonly _excluded = new Map<string, number>()

  constructor (readonly process: Process, readonly isRelay: boolean, private readonly _surroundings: PublishedSurroundings, undisturbedTime: number) {
    const { world, parts } = _surroundings
    this._startedAt = world.now
    this.disturbedAt = world.now
    this.exempt(undisturbedTime)
    this.state = parts.state()
    this._cursor = parts.cursor(this.state)
    this._deltas = parts.deltas(this.state)
    this._relayBook = new RelayRegistry({ availabilityZone: process.availabilityZone, regionOf: zone => zone })
    world.after(world.uniform(0, STEP_INTERVAL), process, () => this._step())
    world.after(world.uniform(0, STEP_INTERVAL), process, () => this._follow())
    if (isRelay) world.after(world.uniform(0, ANNOUNCE_INTERVAL), process, () => this._announce())
  }

  /** Whether the process must hold acknowledged changes: it has been undisturbed for long enough. */
  get isJudged (): boolean { return this._surroundings.world.now >= this._exemptUntil }

  /** Exempts the process for some time from now on. */
  exempt (duration: number): void { this._exemptUntil = Math.max(this._exemptUntil, this._surroundings.world.now + duration) }

  private _step (): void {
    const { world } = this._surroundings
    world.after(STEP_INTERVAL, this.process, () => this._step())
    this.state.expire(world.now)
    if (this.state.undatedVersions().length > 0 && world.now - this._startedAt < UNDATED_QUERY_PERIOD) this._queryDates()
    if (this.isRelay) return
    for (const topic of publishedTopics) this.state.followed(topic, this._relayBook.followedRevision(this.state.held, topic, world.now))
    this.state.versionsCompleteAt(this._relayBook.completeAt(this.state.held, 'versions', world.now))
    this.state.evacuationsCompleteAt(this._relayBook.completeAt(this.state.held, 'evacuations', world.now))
    this._fetchChanges()
  }

  private _follow (): void {
    const { world, parts, callStore, onChanged } = this._surroundings
    const sentAt = world.now
    if (this._leavesStoreToRelays()) return this._followAfter(STEP_INTERVAL)
    const call = this._cursor.next
    const wait = this._isFailing ? FAILING_WATCH_WAIT : WATCH_WAIT
    callStore(this, { call, after: this._cursor.followed, wait }, answer => {
      const verdict = answer === 'failed' ? 'failed' : this._cursor.judge(call, answer)
      this._readsStore = verdict === 'take'
      if (verdict === 'failed' || answer === 'failed') {
        this._isFailing = true
        return this._followAfter(RETRY_DELAY)
      }
      this._isFailing = false
      if (verdict === 'read-whole') return this._followAfter(STEP_INTERVAL)
      this._enterEpoch(answer.epoch)
      parts.takeAnswer(this.state, this._view, { call, sentAt, answeredAt: world.now, wait, changes: answer.changes, upTo: answer.upTo })
      onChanged(this)
      if (answer.changes.length === 0) this._follow()
      else this._followAfter(WATCH_PAUSE)
    })
  }

  private _followAfter (delay: number): void {
    this._surroundings.world.after(delay, this.process, () => this._follow())
  }

  private _leavesStoreToRelays (): boolean {
    const { now } = this._surroundings.world
    if (this.isRelay) return false
    if (this.state.note.versions === 0 && now - this._startedAt < STARTUP_RELAY_TIMEOUT) return true
    if (!this._relayBook.followsStore(this.state.epoch, now)) return false
    this._readsStore = false
    this._cursor.markCaughtUp()
    return true
  }

  private _announce (): void {
    const { world, processes } = this._surroundings
    world.after(ANNOUNCE_INTERVAL, this.process, () => this._announce())
    const note = { availabilityZone: this.process.availabilityZone, followed: this.state.note, held: this.state.held, fresh: this._readsStore && this.state.complete, versionsAge: this.state.versionsCompleteUntil === -Infinity ? undefined : world.now - this.state.versionsCompleteUntil }
    const announcement = JSON.stringify([note.held, note.fresh])
    if (announcement === this._announced && world.now - this._announcedAt < HEARTBEAT_INTERVAL) return
    this._announced = announcement
    this._announcedAt = world.now
    for (const follower of processes().filter(({ isRelay }) => !isRelay)) {
      world.send(this.process, follower.process, () => {
        follower._relayBook.recordNote(this.process.name, note, world.now)
        follower._fetchChanges()
      })
    }
  }

  private _fetchChanges (): void {
    const { world, processes } = this._surroundings
    if (this._fetching || world.now - this._fetchedAt < MIN_FETCH_INTERVAL) return
    const excluded = new Set([...this._excluded].filter(([, until]) => world.now < until).map(([name]) => name))
    const address = this._relayBook.relayAhead(this.state.held, publishedTopics, excluded, world.now)
    const relay = processes().find(other => other.process.name === address)
    if (relay === undefined) return
    this._fetching = true
    this._fetchedAt = world.now
    this._fetchFrom(relay, this.state.note, isAnswered => {
      this._fetching = false
      if (!isAnswered) this._excluded.set(relay.process.name, world.now + EXCLUSION_TIME)
    })
  }

  /** Asks a relay when the versions were published that this process knows. */
  private _queryDates (): void {
    const { world, processes } = this._surroundings
    const relay = world.pick(processes().filter(other => other.isRelay && other !== this))
    if (relay === undefined || this._queryingDates) return
    this._queryingDates = true
    this._fetchFrom(relay, { ...this.state.note, versions: 0 }, () => { this._queryingDates = false })
  }

  private _fetchFrom (relay: PublishedProcess, note: PublishedRevisions, onSettled: (isAnswered: boolean) => void): void {
    const { world, parts, onChanged } = this._surroundings
    const sentAt = world.now
    world.call(this.process, relay.process, () => relay._deltas(note, world.now), FETCH_TIMEOUT, sent => {
      onSettled(sent !== 'unreachable')
      if (sent === 'unreachable') return
      this._enterEpoch(sent.delta.upTo.epoch)
      parts.takeDelta(this.state, sent, world.now, sentAt)
      onChanged(this)
    })
  }

  private _enterEpoch (epoch: number): void {
    const { world, parts } = this._surroundings
    if (epoch > this.state.epoch && this.state.complete && !parts.keepsStateAcrossEpochs) {
      this.state = parts.state()
      this._cursor = parts.cursor(this.state)
      this._deltas = parts.deltas(this.state)
    }
    if (this.state.enterEpoch(epoch, world.now)) this.epochEnteredAt = world.now
  }
}
