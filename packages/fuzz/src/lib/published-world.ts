/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Processes that follow a store, which may be unavailable or restored from an older snapshot; three of the processes are relays for
 * the others. The state, the store cursor and the choice of relays are the real ones. The oracles know the acknowledged changes;
 * they check that each connected process has them in time and that no process reverts. Fleets have 6 or 24 processes unless a number
 * is given.
 */
import { publishedTopics, RelayRegistry, topicOf, type EndpointRecord, type PublishedChange, type PublishedState, type StoreAnswerKind, type StoreCall } from '@drumdrift/core'
import { realPublishedParts, type PublishedParts } from './published-parts.js'
import { RestorableStore } from './restorable-store.js'
import { Process, World } from './world.js'

/** An answer of the store. */
interface StoreAnswer extends StoreAnswerKind {
  readonly changes: readonly PublishedChange[]
  readonly upTo: number
  readonly epoch: number
}

interface Member {
  readonly index: number
  readonly process: Process
  state: PublishedState
  cursor: ReturnType<PublishedParts['cursor']>
  readonly relayBook: RelayRegistry
  /** The process must hold acknowledged changes from then on, unless it is disturbed again. */
  exemptUntil: number
  /** The highest versions that it has held, and the endpoints that it has seen draining. */
  configuration: number
  version: number
  readonly leaving: Set<string>
  /** Whether calls to a relay and to the store are in flight. */
  inFlight: { relay: boolean, store: boolean }
}

/** An acknowledged change, and the check that a process holds it. */
interface AcknowledgedChange {
  readonly what: string
  readonly at: number
  readonly holds: (state: PublishedState) => boolean
}

const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const FLEET_SIZES = [6, 24] as const
const RELAY_COUNT = 3
const INITIAL_ENDPOINTS = 5
const MAX_ENDPOINTS = 10
const MODEL = 'drafting'
/** Interval of a process's steps, in which it queries the store, sends its note as a relay, or follows relays; in milliseconds. */
const STEP_INTERVAL = 100
const DELTA_TIMEOUT = 800
/**
 * Largest delays of an answer of the store, usually and for the share of answers that many others overtake; in milliseconds. A longer
 * delay would count as a disturbance of the store.
 */
const MAX_USUAL_ANSWER_DELAY = 40
const OVERTAKEN_SHARE = 0.03
const MAX_ANSWER_DELAY = 700
/** Longest outage of the store, and largest age of the snapshot that it is restored from, in milliseconds. */
const MAX_OUTAGE = 2_600
const MAX_SNAPSHOT_AGE = 4_000
/** Operators and endpoints repeat their writes within this time after a restore, in milliseconds. */
const REWRITE_TIME = 600
/** Acknowledged changes are in force after the first time, at processes undisturbed for the second; in milliseconds. */
const IN_FORCE_WITHIN = 2_000
const UNDISTURBED_TIME = 3_000
const CHECK_INTERVAL = 100

/** Simulation of the store and the processes that follow it. */
export class PublishedWorld {
  readonly world: World
  private readonly _store: RestorableStore
  private readonly _members: Member[] = []
  private readonly _platform = new Process('store', 'platform', 'store', 0)
  private readonly _acknowledged: AcknowledgedChange[] = []
  private _version = 1
  private _modelVersion = 0
  private _endpoints: EndpointRecord[] = []
  private _startedEndpoints = 0
  private _storeUp = true
  private _stableFrom = 0

  /**
   * @param processes Number of processes; random if absent.
   */
  constructor (seed: number, private readonly _parts: PublishedParts = realPublishedParts, processes?: number) {
    this.world = new World(seed)
    this._store = new RestorableStore(this.world)
    const fleetSize = this.world.pick(FLEET_SIZES) ?? FLEET_SIZES[0]
    this._writeConfiguration()
    for (let count = 0; count < INITIAL_ENDPOINTS; count += 1) this._startEndpoint()
    for (let index = 0; index < (processes ?? fleetSize); index += 1) this._members.push(this._startMember(index))
    this._checkInForce()
  }

  /** Publishes the next configuration. */
  publish (): void {
    if (!this._storeUp) return
    this._version += 1
    this._writeConfiguration()
    const version = this._version
    this._acknowledge(`configuration ${version}`, state => (state.configuration?.version ?? 0) >= version)
  }

  /** Publishes the next desired version of the model. */
  publishVersion (): void {
    if (!this._storeUp) return
    this._modelVersion += 1
    this._writeVersion()
    const version = this._modelVersion
    this._acknowledge(`version ${version}`, state => (state.wanted(MODEL)?.version ?? 0) >= version)
  }

  /** Marks an endpoint as draining, after another one has started. */
  drain (index: number): void {
    const record = this._endpoints[index % this._endpoints.length]
    if (!this._storeUp || record === undefined || record.draining || this._endpoints.length >= MAX_ENDPOINTS) return
    this._startEndpoint()
    this._writeEndpoint(record.id, { draining: true })
    this._acknowledge(`the drain of ${record.id}`, state => state.endpoints().every(({ id, draining }) => id !== record.id || draining))
  }

  /** Removes an endpoint's record. */
  removeEndpoint (index: number): void {
    const record = this._endpoints[index % this._endpoints.length]
    if (!this._storeUp || record === undefined || this._endpoints.length <= 2) return
    this._endpoints = this._endpoints.filter(({ id }) => id !== record.id)
    this._store.remove(record.id)
    this._acknowledge(`the end of ${record.id}`, state => state.endpoints().every(({ id }) => id !== record.id))
  }

  /** Starts an endpoint, which lists itself. */
  addEndpoint (): void {
    if (!this._storeUp || this._endpoints.length >= MAX_ENDPOINTS) return
    const id = this._startEndpoint()
    this._acknowledge(`the beginning of ${id}`, state => state.endpoints().some(record => record.id === id) || !this._endpoints.some(record => record.id === id))
  }

  /** Makes the store unavailable for some time. */
  interrupt (share: number): void { this._interruptStore(share, () => {}) }

  /** Makes the store unavailable for some time and restores it from an older snapshot. */
  restore (away: number, age: number): void {
    this._interruptStore(away, () => {
      this._store.restore(age * MAX_SNAPSHOT_AGE)
      this._repeatWrites()
    })
  }

  /** Discards the history of the store. */
  forget (): void { this._store.compact() }

  /** Kills and restarts a process. */
  restart (index: number): void {
    const at = index % this._members.length
    const killed = this._members[at]
    if (killed !== undefined) this.world.kill(killed.process)
    this._members[at] = this._startMember(at)
  }

  /** Partitions a zone from the platform and from all other zones. */
  cutZone (index: number): void {
    const zone = ZONES[index % ZONES.length] ?? ''
    for (const other of [...ZONES, 'platform'].filter(name => name !== zone)) {
      this.world.cut(zone, other)
      this.world.cut(other, zone)
    }
  }

  /** Restores all links. */
  heal (): void {
    this.world.heal()
    for (const member of this._members) member.exemptUntil = this.world.now + UNDISTURBED_TIME
  }

  /** Ends all disturbances and waits until acknowledged changes must be in force. */
  settle (): void {
    this.heal()
    this.world.advance(MAX_OUTAGE + UNDISTURBED_TIME + IN_FORCE_WITHIN)
  }

  private _interruptStore (share: number, onRecovery: () => void): void {
    if (!this._storeUp) return
    this._storeUp = false
    this.world.after(share * MAX_OUTAGE, undefined, () => {
      onRecovery()
      this._storeUp = true
      this._stableFrom = this.world.now + UNDISTURBED_TIME
    })
  }

  private _writeConfiguration (): void {
    const configuration = { version: this._version, routes: [], services: [{ name: 'desk', maxConnections: 1 }], organisations: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 } }
    this._store.put('configuration', revision => ({ type: 'configuration', revision, configuration }))
  }

  private _writeVersion (): void {
    const wanted = { model: MODEL, version: this._modelVersion }
    if (wanted.version > 0) this._store.put('version', revision => ({ type: 'wanted-version', revision, wanted }))
  }

  private _startEndpoint (): string {
    const id = `endpoint-${this._startedEndpoints++}`
    const record = { id, service: 'desk', address: `${id}:80`, availabilityZone: this.world.pick(ZONES) ?? '', slots: 1, draining: false, models: [], writings: 0 }
    this._endpoints.push(record)
    this._writeEndpoint(id, {})
    return id
  }

  /** Writes an endpoint's record, which counts its writes. */
  private _writeEndpoint (id: string, part: Partial<EndpointRecord>): void {
    const before = this._endpoints.find(record => record.id === id)
    if (before === undefined) return
    const record = { ...before, ...part, writings: (before.writings ?? 0) + 1 }
    this._endpoints = this._endpoints.map(other => other.id === id ? record : other)
    this._store.put(id, revision => ({ type: 'endpoint', revision, record: this._parts.countsWrites ? record : { ...record, writings: undefined } }))
  }

  /** Operators and endpoints repeat their latest writes, each after a random delay. */
  private _repeatWrites (): void {
    const writeLater = (write: () => void): void => this.world.after(this.world.uniform(0, REWRITE_TIME), undefined, () => {
      if (this._storeUp) write()
      else writeLater(write)
    })
    writeLater(() => this._writeConfiguration())
    writeLater(() => this._writeVersion())
    for (const { id } of this._endpoints) writeLater(() => this._writeEndpoint(id, {}))
    for (const id of this._store.endpoints().filter(listed => !this._endpoints.some(record => record.id === listed))) writeLater(() => this._store.remove(id))
  }

  private _acknowledge (what: string, holds: AcknowledgedChange['holds']): void { this._acknowledged.push({ what, at: this.world.now, holds }) }

  private _startMember (index: number): Member {
    const process = new Process(`process-${index}`, ZONES[index % ZONES.length] ?? '', `process-${index}`, 0)
    const state = this._parts.state()
    const location = { availabilityZone: process.availabilityZone, regionOf: (zone: string) => zone }
    const inFlight = { relay: false, store: false }
    const member: Member = { index, process, state, cursor: this._parts.cursor(state), relayBook: new RelayRegistry(location), exemptUntil: this.world.now + UNDISTURBED_TIME, configuration: 0, version: 0, leaving: new Set(), inFlight }
    this.world.after(this.world.uniform(0, STEP_INTERVAL), process, () => this._step(member))
    return member
  }

  private _isRelay ({ index }: Member): boolean { return index < RELAY_COUNT }

  private _step (member: Member): void {
    const { world } = this
    world.after(STEP_INTERVAL, member.process, () => this._step(member))
    member.state.expire(world.now)
    if (this._isRelay(member)) this._sendNote(member)
    else this._followRelays(member)
    if (this._isRelay(member) || !member.relayBook.followsStore(member.state.epoch, world.now)) this._queryStore(member)
  }

  private _sendNote (relay: Member): void {
    const { state, process } = relay
    const note = { availabilityZone: process.availabilityZone, followed: state.note, held: state.held, fresh: this._reachesStore(relay) && state.complete }
    for (const follower of this._members.slice(RELAY_COUNT)) this.world.send(process, follower.process, () => follower.relayBook.recordNote(process.name, note, this.world.now))
  }

  private _followRelays (member: Member): void {
    const { state, relayBook, process } = member
    for (const topic of publishedTopics) state.followed(topic, relayBook.followedRevision(state.held, topic, this.world.now))
    const address = relayBook.relayAhead(state.held, publishedTopics, new Set(), this.world.now)
    const relay = this._members.find(other => other.process.name === address)
    if (relay === undefined || member.inFlight.relay) return
    member.inFlight.relay = true
    const { note } = state
    this.world.call(process, relay.process, () => relay.state.deltaSince(note, this.world.now), DELTA_TIMEOUT, delta => {
      member.inFlight.relay = false
      if (delta === 'unreachable') return
      this._enterEpoch(member, delta.upTo.epoch)
      member.state.takeDelta(delta, this.world.now)
      this._checkRegression(member)
    })
  }

  private _reachesStore ({ process }: Member): boolean { return this._storeUp && this.world.connected(process, this._platform) }

  private _queryStore (member: Member): void {
    if (member.inFlight.store || !this._reachesStore(member)) return
    member.inFlight.store = true
    const call = member.cursor.next
    const answer = this._answer(call, member.cursor.followed)
    const maxDelay = this.world.random() < OVERTAKEN_SHARE ? MAX_ANSWER_DELAY : MAX_USUAL_ANSWER_DELAY
    this.world.after(this.world.uniform(1, maxDelay), member.process, () => this._applyAnswer(member, call, answer))
  }

  private _answer (call: StoreCall, after: number): StoreAnswer {
    const { epoch, revision } = this._store
    if (call === 'read') return { type: 'changes', epoch, upTo: revision, changes: this._store.items() }
    const changes = this._store.changesSince(after)
    return changes === undefined ? { type: 'history-lost', epoch, upTo: 0, changes: [] } : { type: 'changes', epoch, upTo: revision, changes }
  }

  private _applyAnswer (member: Member, call: StoreCall, answer: StoreAnswer): void {
    member.inFlight.store = false
    if (member.cursor.judge(call, answer) !== 'take') return
    this._enterEpoch(member, answer.epoch)
    const { state } = member
    const { now } = this.world
    for (const topic of publishedTopics) {
      const changes = answer.changes.filter(change => topicOf(change) === topic)
      if (call === 'read') state.takeSnapshot(topic, changes, answer.upTo, now)
      else for (const change of changes) state.take(change, now)
      state.followed(topic, answer.upTo)
    }
    this._checkRegression(member)
  }

  private _enterEpoch (member: Member, epoch: number): void {
    if (epoch > member.state.epoch && member.state.complete && !this._parts.keepsStateAcrossEpochs) {
      member.state = this._parts.state()
      member.cursor = this._parts.cursor(member.state)
    }
    member.state.enterEpoch(epoch, this.world.now)
  }

  /** Checks that a process has not reverted to an older state than it has held before. */
  private _checkRegression (member: Member): void {
    const { state, process } = member
    const [configuration, version] = [state.configuration?.version ?? 0, state.wanted(MODEL)?.version ?? 0]
    if (configuration < member.configuration) this.world.recordViolation(`never-back: ${process.name} reverted from configuration ${member.configuration} to ${configuration}`)
    if (version < member.version) this.world.recordViolation(`never-back: ${process.name} reverted from version ${member.version} to ${version}`)
    member.configuration = Math.max(configuration, member.configuration)
    member.version = Math.max(version, member.version)
    for (const { id, draining } of state.endpoints()) {
      if (draining) member.leaving.add(id)
      else if (member.leaving.has(id)) this.world.recordViolation(`never-back: ${process.name} lists ${id} as ready although it is draining`)
    }
  }

  private _checkInForce (): void {
    const { now } = this.world
    this.world.after(CHECK_INTERVAL, undefined, () => this._checkInForce())
    if (!this._storeUp || now < this._stableFrom) return
    const due = this._acknowledged.filter(({ at }) => now - at >= IN_FORCE_WITHIN)
    for (const member of this._members) {
      if (!this.world.connected(member.process, this._platform)) member.exemptUntil = now + UNDISTURBED_TIME
      if (now < member.exemptUntil) continue
      const missing = due.find(({ holds }) => !holds(member.state))
      if (missing === undefined) continue
      this.world.recordViolation(`in-force-after-restore: ${member.process.name} of ${this._members.length} lacks ${missing.what}, ${Math.round(now - missing.at)} ms after it was acknowledged`)
      member.exemptUntil = Infinity
    }
  }
}
