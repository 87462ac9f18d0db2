/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One process's replica of the state that the platform publishes: the configuration, the wanted versions, the list of
 * endpoints and the evacuated zones. Changes come from the platform's store or from peers, in any order. Each carries the store's revision of its item, and
 * an older revision never replaces a newer one.
 *
 * When the store begins a new epoch, the replica is carried over at revision 0, below every revision of the new epoch. A restored
 * store also returns outdated items. These are recognised by counters that their writers maintain: the version of a
 * configuration, the version of a model, and the number of times that an endpoint has written its entry.
 */
import { isEarlierStart, isSameListing, writingsBetween, type EndpointRecord, type ModelVersion } from './endpoint-record.js'
import { Evacuations } from './evacuations.js'
import { HeldEndpoints, type EpochRevision, type HeldEndpoint } from './held-endpoints.js'
import { LapseGrace } from './lapse-grace.js'
import { toldSpan, toldVersion, validAge, type DeltaTimes } from './told-versions.js'
import { WantedVersions, type PublicationSpan, type WantedVersion } from './wanted-versions.js'
import type { PublishedVersion } from '../weights/switch-cohort.js'
import { completeRevisions, publishedTopics, topicOf, type PublishedChange, type PublishedDelta, type PublishedRevisions, type PublishedTopic } from './published-change.js'
import { Removals, type Removal } from './removals.js'
import type { RoutingConfiguration } from './routing-configuration.js'

const NO_REVISIONS: Readonly<Record<PublishedTopic, number>> = { configuration: 0, versions: 0, endpoints: 0, evacuations: 0 }
/** Topics whose snapshots from the store show which items have been removed. */
const listTopics = ['endpoints', 'evacuations'] as const
type ListTopic = typeof listTopics[number]
function isListTopic (topic: PublishedTopic): topic is ListTopic { return topic === 'endpoints' || topic === 'evacuations' }

/** The replica of the published state in one process. */
export class PublishedState {
  private _configuration: { readonly revision: number, readonly configuration: RoutingConfiguration } | undefined
  private readonly _versions = new WantedVersions()
  private readonly _grace = new LapseGrace()
  private readonly _endpoints = new HeldEndpoints()
  private readonly _removals = new Removals()
  private readonly _evacuations = new Evacuations()
  /** The newest revision that is held of each list. */
  private _newestRevisions: Readonly<Record<ListTopic, number>> = { endpoints: 0, evacuations: 0 }
  private _changeCount = 0
  private _epoch = 0
  private _followed: Readonly<Record<PublishedTopic, number>> = NO_REVISIONS
  /** Topics that have been followed in this epoch or an earlier one. */
  private readonly _knownTopics = new Set<PublishedTopic>()

  get configuration (): RoutingConfiguration | undefined { return this._configuration?.configuration }
  get configurationRevision (): number { return this._configuration?.revision ?? 0 }
  /** Whether a configuration, the endpoints and the evacuated zones are known, so that requests can be routed. */
  get complete (): boolean { return this._configuration !== undefined && this.hasFollowed('endpoints') && this.hasFollowed('evacuations') }
  /** The evacuated availability zones. The set is replaced when it changes. */
  get evacuatedZones (): ReadonlySet<string> { return this._evacuations.zones }
  /** The epoch of the store that is followed; 0 before the first one. */
  get epoch (): number { return this._epoch }
  /** The revision up to which each topic has been followed in this epoch. */
  get note (): PublishedRevisions { return { epoch: this._epoch, ...this._followed } }
  /**
   * The newest revision that is held of each topic. It is equal in two processes that hold the same items, even if one has followed the
   * store further.
   */
  get held (): PublishedRevisions {
    const versions = Math.max(0, ...this._versions.newestOfAll().map(({ revision }) => revision))
    return { epoch: this._epoch, configuration: this.configurationRevision, versions, ...this._newestRevisions }
  }

  /** Whether a topic has been followed in any epoch. */
  hasFollowed (topic: PublishedTopic): boolean { return this._knownTopics.has(topic) }

  /** Increases with every change that may affect the deltas sent to peers. */
  get changeCount (): number { return this._changeCount }

  /** Returns the wanted version of a model, which is the newest one published. */
  wanted (model: string): WantedVersion | undefined { return this._versions.newest(model) }

  /**
   * Returns the earliest time at which a version above the given one may have been published, by this process's clock, or `undefined` if
   * there is none or if nothing is known about that time. A newer version may be published while engines still switch to this one, and
   * each version has a deadline of its own.
   */
  firstNewerAt (model: string, version: number): number | undefined {
    return this._versions.firstNewerAt(model, version)
  }

  /** Returns the known versions of a model in ascending order, with the times from which their deadlines count, as far as known. */
  publishedVersions (model: string): PublishedVersion[] { return this._versions.published(model) }

  /**
   * Returns the lowest version that may start a request: the newest one that may have been published `bound` ago or earlier.
   *
   * @param bound In milliseconds.
   * @returns 0 if any version may.
   * @example
   * const least = state.dueVersion('drafting', 8_000, now)
   */
  dueVersion (model: string, bound: number, now: number): number {
    return this._versions.dueVersion(model, bound, now)
  }

  /** Returns the listed endpoints, including draining ones, but one for each address. */
  endpoints (): EndpointRecord[] { return [...this._endpoints.values()].filter(held => this._endpoints.isListed(held)).map(({ record }) => record) }

  /** The number of endpoints that are kept although their entries are missing. */
  get missingCount (): number { return [...this._endpoints.values()].filter(({ lapsesAt }) => lapsesAt !== undefined).length }

  /** Returns the versions of which nothing is known about the time of their publication. */
  undatedVersions (): ModelVersion[] { return this._versions.undated() }

  /** Records that every version published until a time has been received, so that one received later was published after it. */
  versionsCompleteAt (time: number): void { this._versions.completeAt(time) }
  /** Records that every change of an evacuation until a time has been received. */
  evacuationsCompleteAt (time: number): void { this._evacuations.completeAt(time) }
  /** The last time for which `versionsCompleteAt` was called; `-Infinity` if none. */
  get versionsCompleteUntil (): number { return this._versions.completeUntil }

  /**
   * Applies one change.
   *
   * @param now The time of receipt.
   * @param since The earliest time at which the change may have been made; by default the time of receipt, or `-Infinity` before the
   *     topic was first followed.
   * @returns The effective changes: none if a newer state of the item is known, several if the change implies others.
   * @example
   * if (state.take({ type: 'endpoint', revision: 7, record }, now).length > 0) rebuildChoices()
   */
  take (change: PublishedChange, now: number, since = this._defaultSince(topicOf(change), now)): readonly PublishedChange[] {
    this._changeCount += 1
    this._raiseNewest(topicOf(change), change.revision)
    return this._appliers[change.type](change as never, now, since)
  }

  /**
   * Applies a version that a peer told, with the span in which the peer knows that it was published. Returns the effective changes.
   */
  takeFromPeer (change: Extract<PublishedChange, { type: 'wanted-version' }>, published: PublicationSpan): readonly PublishedChange[] {
    this._changeCount += 1
    return this._versions.addFromPeer(change.wanted, change.revision, published) === 'known' ? [] : [change]
  }

  /**
   * Applies a complete snapshot of a topic: items that are missing from it have been removed.
   *
   * @param upTo The store's revision of the snapshot.
   * @param since See `take`.
   * @returns The effective changes.
   */
  takeSnapshot (topic: PublishedTopic, changes: readonly PublishedChange[], upTo: number, now: number, since = this._defaultSince(topic, now)): PublishedChange[] {
    const applied = changes.flatMap(change => this.take(change, now, since))
    // Items removed earlier are not in the snapshot, and their removals were never received, so peers need the complete list.
    this._raiseNewest(topic, upTo)
    if (topic === 'endpoints') {
      applied.push(...this._removeMissing(changes, upTo, now))
      this._grace.snapshotRead(upTo)
      this._removals.markIncompleteUpTo(upTo)
    }
    if (topic === 'evacuations') applied.push(...this._endMissingEvacuations(changes, upTo, now))
    this.followed(topic, upTo)
    return applied
  }

  private _raiseNewest (topic: PublishedTopic, revision: number): void {
    if (isListTopic(topic)) this._newestRevisions = { ...this._newestRevisions, [topic]: Math.max(this._newestRevisions[topic], revision) }
  }

  /** A process that begins to follow a topic does not know how old its items are. */
  private _defaultSince (topic: PublishedTopic, now: number): number { return this.hasFollowed(topic) ? now : -Infinity }

  /** Records that every change of a topic up to a revision has been applied. */
  followed (topic: PublishedTopic, upTo: number): void {
    if (upTo <= this._followed[topic]) return
    this._changeCount += 1
    this._knownTopics.add(topic)
    this._followed = { ...this._followed, [topic]: upTo }
  }

  /**
   * Begins to follow a new epoch of the store. Held items stay until their writers update them.
   *
   * @returns Whether the epoch is later than the current one; otherwise the call has no effect.
   * @example
   * if (state.enterEpoch(answer.epoch, now)) log.warn('epoch-began', { epoch: state.epoch })
   */
  enterEpoch (epoch: number, now: number): boolean {
    if (epoch <= this._epoch) return false
    this._epoch = epoch
    this._changeCount += 1
    this._followed = NO_REVISIONS
    this._newestRevisions = { endpoints: 0, evacuations: 0 }
    if (this._configuration !== undefined) this._configuration = { ...this._configuration, revision: 0 }
    this._versions.carryOver()
    this._endpoints.carryOver()
    this._removals.carryOver()
    this._evacuations.carryOver(now)
    if (this._knownTopics.size > 0) this._grace.storeRestored(now)
    return true
  }

  /**
   * Records that the store cannot be reached: entries that disappear from now on may only have expired.
   *
   * @param since Since when it may not have answered, by the clock of this process.
   */
  storeLost (since: number): void { this._grace.storeLost(since) }

  /**
   * Records that the store answers again.
   *
   * @param upTo The store's current revision: removals up to it may be expired entries, later ones are real.
   */
  storeRegained (now: number, upTo: number): void { this._grace.storeRegained(now, upTo) }

  /**
   * Removes endpoints whose entries are still missing at the end of the grace period, and ends evacuations that a restored store still
   * lacks. Returns the effective changes.
   */
  expire (now: number): PublishedChange[] { return [...this._expireEndpoints(now), ...this._expireEvacuations(now)] }

  private _expireEvacuations (now: number): PublishedChange[] {
    const revision = this._followed.evacuations
    return this._evacuations.lapsed().flatMap(zone => this.take({ type: 'evacuation-ended', revision, zone }, now))
  }

  private _expireEndpoints (now: number): PublishedChange[] {
    const endpoints = [...this._endpoints.values()]
    this._grace.endIfFewMissing(() => endpoints.map(({ record }) => record.service), now)
    const removals: PublishedChange[] = []
    for (const { record: { id, service }, lapsesAt } of endpoints) {
      if (lapsesAt === undefined || !this._grace.isExpired(service, lapsesAt, now)) continue
      removals.push({ type: 'endpoint-gone', id, revision: this._removals.get(id)?.removal.revision ?? this._followed.endpoints }, ...this._releaseAddress(id))
    }
    return removals
  }

  /**
   * Returns the changes that a peer lacks which has followed the store up to `note`.
   *
   * @param topics The requested topics; the delta contains no others.
   * @example
   * const delta = state.deltaSince(note, performance.now(), ['versions'])
   */
  deltaSince (noteOfPeer: Partial<PublishedRevisions>, now: number, topics: readonly PublishedTopic[] = publishedTopics): PublishedDelta {
    const note = completeRevisions(noteOfPeer)
    const noRevisions: PublishedRevisions = { ...NO_REVISIONS, epoch: this._epoch }
    if (note.epoch > this._epoch) return { upTo: noRevisions, held: noRevisions, changes: [], whole: [] }
    const from = note.epoch === this._epoch ? note : noRevisions
    const requested = (revisions: PublishedRevisions, defaults: PublishedRevisions): PublishedRevisions => ({ ...defaults, ...Object.fromEntries(topics.map(topic => [topic, revisions[topic]])) })
    const delta = this._changesSince(from, now)
    return { upTo: requested(this.note, from), held: requested(this.held, noRevisions), changes: delta.changes.filter(change => topics.includes(topicOf(change))), whole: delta.whole.filter(topic => topics.includes(topic)) }
  }

  private _changesSince (note: PublishedRevisions, now: number): Pick<PublishedDelta, 'changes' | 'whole'> {
    const whole = publishedTopics.filter(topic => note[topic] < this._followed[topic] && this._needsSnapshot(topic, note))
    const changes: PublishedChange[] = []
    // Items carried over from an earlier epoch are at revision 0 and belong to a complete snapshot.
    const from = (topic: PublishedTopic): number => whole.includes(topic) ? -1 : note[topic]
    const held = this._configuration
    if (held !== undefined && held.revision > from('configuration')) changes.push({ type: 'configuration', ...held })
    for (const version of this._versions.all()) if (version.revision > from('versions')) changes.push(toldVersion(version, now))
    for (const { record, revision } of this._endpoints.values()) if (revision > from('endpoints')) changes.push({ type: 'endpoint', revision, record })
    changes.push(...this._removals.after(from('endpoints')).map(removal => this._toldRemoval(removal, now)))
    changes.push(...this._evacuations.changesAfter(from('evacuations'), now))
    return { changes, whole }
  }

  /** Adds to a removal that the endpoint is kept here because its entry may only have expired. */
  private _toldRemoval (removal: Removal, now: number): PublishedChange {
    const held = this._endpoints.get(removal.id)
    return held?.lapsesAt === undefined ? removal : { ...removal, keptFor: this._grace.remaining(held.record.service, held.lapsesAt, now) }
  }

  /**
   * Applies a peer's delta, unless the peer follows an earlier epoch.
   *
   * @returns The effective changes.
   * @example
   * const changes = state.takeDelta(delta, performance.now(), { requestedAt })
   */
  takeDelta (delta: PublishedDelta, now: number, times: DeltaTimes = { requestedAt: now }): PublishedChange[] {
    if (delta.upTo.epoch < this._epoch) return []
    this.enterEpoch(delta.upTo.epoch, now)
    const applied: PublishedChange[] = []
    for (const topic of publishedTopics) {
      const changes = delta.changes.filter(change => topicOf(change) === topic && change.type !== 'wanted-version').map(change => sinceEncoding(change, times))
      if (topic === 'versions') applied.push(...delta.changes.flatMap(change => change.type === 'wanted-version' ? this.takeFromPeer(change, toldSpan(change, now, times)) : []))
      if (delta.whole.includes(topic) && delta.upTo[topic] > this._followed[topic]) applied.push(...this.takeSnapshot(topic, changes, delta.upTo[topic], now))
      else {
        applied.push(...changes.flatMap(change => this.take(change, now)))
        this.followed(topic, delta.upTo[topic])
      }
    }
    for (const topic of listTopics) this._raiseNewest(topic, delta.held[topic])
    return applied
  }

  /** Apply a change of each type and return the effective changes. */
  private readonly _appliers: { readonly [Type in PublishedChange['type']]: (change: Extract<PublishedChange, { type: Type }>, now: number, since: number) => PublishedChange[] } = {
    configuration: change => {
      const { revision, configuration } = change
      const held = this._configuration
      if (held !== undefined && revision <= held.revision && !isLaterFormat(held, revision, configuration)) return []
      const isNewer = held === undefined || isNewerConfiguration(configuration, held.configuration)
      this._configuration = { revision, configuration: isNewer ? configuration : held.configuration }
      return isNewer ? [change] : []
    },
    'wanted-version': (change, now, since) => this._versions.add(change.wanted, change.revision, { earliest: Math.min(since, now), latest: now }) === 'known' ? [] : [change],
    endpoint: change => this._applyEndpoint(change),
    'endpoint-gone': (change, now) => this._remove(change, now),
    evacuation: (change, now) => this._evacuations.begin(change.zone, change.revision, this._followed.evacuations, now) ? [change] : [],
    'evacuation-ended': (change, now) => this._evacuations.end(change.zone, change.revision, this._followed.evacuations, now - validAge(change.age, 0)) ? [change] : []
  }

  private _applyEndpoint (change: Extract<PublishedChange, { type: 'endpoint' }>): PublishedChange[] {
    const { revision, record } = change
    const held = this._endpoints.get(record.id)
    if (revision <= this._knownRevision(record.id) || this._wasRemoved(record.id, revision)) return []
    if (isEarlierStart(record.born, held?.record.born ?? this._removals.get(record.id)?.born)) return []
    if (this._isOutdated(record)) {
      this._confirm(record.id, revision)
      return []
    }
    const wasListed = held !== undefined && this._endpoints.isListed(held)
    const previous = this._endpoints.ownerOf(record.address)
    const stored: HeldEndpoint = { record, firstKnown: this._firstKnown(record, revision), revision, carried: false, lapsesAt: undefined }
    this._endpoints.put(stored, this._isConfiguredService(record.service))
    this._removals.delete(record.id)
    if (!this._endpoints.isListed(stored)) return []
    const isChanged = !wasListed || !isSameListing(held.record, record)
    return [...(isChanged ? [change] : []), ...this._replace(previous, stored)]
  }

  /** Reports that an endpoint is listed in place of the previous owner of its address, if it has become the owner. */
  private _replace (previous: HeldEndpoint | undefined, { record, revision }: HeldEndpoint): PublishedChange[] {
    if (previous === undefined || previous.record.id === record.id || this._endpoints.ownerOf(record.address)?.record.id !== record.id) return []
    // Its entry is missing, so it is not listed again if the new owner leaves.
    if (previous.lapsesAt !== undefined) this._endpoints.remove(previous.record.id)
    return [{ type: 'endpoint-gone', id: previous.record.id, revision, successor: record.id }]
  }

  /** Returns the first entry of a start that was known here. */
  private _firstKnown (record: EndpointRecord, revision: number): EpochRevision {
    const held = this._endpoints.get(record.id)
    const known = held === undefined ? this._removals.get(record.id) : { born: held.record.born, firstKnown: held.firstKnown }
    return known?.firstKnown !== undefined && known.born === record.born ? known.firstKnown : { epoch: this._epoch, revision }
  }

  /** Whether an unknown endpoint was removed before the followed revision: every change up to that revision has been received. */
  private _wasRemoved (id: string, revision: number): boolean { return this._knownRevision(id) < 0 && revision <= this._followed.endpoints }

  /** Returns the newest known revision of an endpoint; -1, which is below all others, if the endpoint is unknown. */
  private _knownRevision (id: string): number {
    return Math.max(this._endpoints.get(id)?.revision ?? -1, this._removals.get(id)?.removal.revision ?? -1)
  }

  /**
   * Whether a restored store lists an endpoint in an older state than the one received in an earlier epoch. Revisions of different
   * epochs are not comparable, but the endpoint counts its writings.
   */
  private _isOutdated (record: EndpointRecord): boolean {
    const held = this._endpoints.get(record.id)
    if (held !== undefined) return held.carried && (writingsBetween(held.record, record) ?? 0) < 0
    const known = this._removals.get(record.id)
    if (known === undefined || !known.carried) return false
    const successor = this._endpoints.ownerOf(record.address)
    return successor?.carried === true || (writingsBetween(known, record) ?? 1) <= 0
  }

  /** Records that the store has no newer state of an endpoint, at a revision, than the one carried over. */
  private _confirm (id: string, revision: number): void {
    this._endpoints.confirm(id, revision)
    this._removals.confirm(id, revision)
  }

  /** Whether a service is configured. An entry of an unconfigured service may have been written by anyone, so it cannot claim an address. */
  private _isConfiguredService (service: string): boolean {
    return this.configuration === undefined || this.configuration.services.some(({ name }) => name === service)
  }

  /**
   * Removes an endpoint.
   *
   * @returns The endpoint that is listed at its address from now on, as a change.
   */
  private _releaseAddress (id: string): PublishedChange[] {
    const next = this._endpoints.remove(id)
    return next === undefined ? [] : [{ type: 'endpoint', revision: next.revision, record: next.record }]
  }

  /**
   * Whether a peer needs a complete snapshot: it has nothing of the topic, or is behind the oldest removal that is kept. Evacuations are
   * few, so they are always sent completely.
   */
  private _needsSnapshot (topic: PublishedTopic, note: PublishedRevisions): boolean {
    return note[topic] === 0 || topic === 'evacuations' || (topic === 'endpoints' && note.endpoints < this._removals.incompleteUpTo)
  }

  private _remove (change: Extract<PublishedChange, { type: 'endpoint-gone' }>, now: number): PublishedChange[] {
    const { type, id, revision, certain } = change
    const held = this._endpoints.get(id)
    if (revision <= this._knownRevision(id)) return []
    this._removals.add({ type, id, revision, certain }, held === undefined ? this._removals.get(id) ?? {} : { ...held.record, firstKnown: held.firstKnown })
    if (held === undefined) return []
    const isListed = this._endpoints.isListed(held)
    // A later list that still lacks the entry does not show that the endpoint has left since.
    const keptUntil = certain === true || this._endpoints.isContested(held) ? undefined : held.lapsesAt ?? this._keptUntil(change, held.record.service, now)
    if (keptUntil !== undefined) {
      held.lapsesAt = keptUntil
      this._grace.recordMissing(id, held.record.service)
      return []
    }
    const next = this._releaseAddress(id)
    return isListed ? [change, ...next] : []
  }

  /** Returns the time until which an endpoint whose entry began to be missing is kept, or `undefined` if it has left. */
  private _keptUntil ({ revision, keptFor }: Extract<PublishedChange, { type: 'endpoint-gone' }>, service: string, now: number): number | undefined {
    const keptByPeer = validAge(keptFor, 0)
    return keptByPeer > 0 ? this._grace.keepLikePeer(service, keptByPeer, now) : this._grace.keptUntil(service, revision, now)
  }

  private _endMissingEvacuations (changes: readonly PublishedChange[], upTo: number, now: number): PublishedChange[] {
    // A peer's evacuation at revision 0 is one that the restored store lacked when the peer read it.
    const listed = new Set(changes.flatMap(change => change.type === 'evacuation' && change.revision > 0 ? [change.zone] : []))
    return this._evacuations.missingFrom(listed, upTo).flatMap(zone => this.take({ type: 'evacuation-ended', revision: upTo, zone }, now))
  }

  private _removeMissing (changes: readonly PublishedChange[], upTo: number, now: number): PublishedChange[] {
    const listed = new Set(changes.flatMap(change => change.type === 'endpoint' ? [change.record.id] : []))
    const missing = [...this._endpoints.values()].filter(({ record: { id }, revision }) => !listed.has(id) && revision <= upTo)
    return missing.flatMap(({ record: { id } }) => this.take({ type: 'endpoint-gone', revision: upTo, id }, now))
  }
}

/** Corrects the times in a change of a delta by the time since the delta was encoded. */
function sinceEncoding (change: PublishedChange, { encodedFor }: DeltaTimes): PublishedChange {
  const elapsed = validAge(encodedFor, 0)
  if (change.type === 'evacuation-ended') return { ...change, age: validAge(change.age, 0) + elapsed }
  if (change.type === 'endpoint-gone' && change.keptFor !== undefined) return { ...change, keptFor: Math.max(0, validAge(change.keptFor, 0) - elapsed) }
  return change
}

/** Whether a configuration is the held one, with fields that the release of a peer which passed it on did not decode. */
function isLaterFormat (held: { readonly revision: number, readonly configuration: RoutingConfiguration }, revision: number, { version, format = 0 }: RoutingConfiguration): boolean {
  return revision === held.revision && version === held.configuration.version && format > (held.configuration.format ?? 0)
}

/** Operators increase the version with each change. If a change keeps the version, the configuration written last applies. */
function isNewerConfiguration (configuration: RoutingConfiguration, other: RoutingConfiguration): boolean {
  if (configuration.version !== other.version) return configuration.version > other.version
  return JSON.stringify(configuration) !== JSON.stringify(other)
}
