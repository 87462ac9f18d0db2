/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What the platform has published, as one process holds it: the configuration, the versions that are wanted, and the
 * list of endpoints. Changes come from the platform's store or from peers, in any order; each carries the store's
 * revision of its item, and an older one never replaces a newer one.
 *
 * When the store begins another epoch, what is held is carried over at revision 0, below everything that the new epoch tells. A
 * restored store tells older things too; those are known by the counts of their writers: the version of a configuration, the
 * version of a model, and how often an endpoint has written.
 */
import { isEarlierStart, isSameListing, writingsBetween, type EndpointRecord } from './endpoint-record.js'
import { HeldEndpoints, type HeldEndpoint } from './held-endpoints.js'
import { LapseGrace } from './lapse-grace.js'
import { NamedVersions, type WantedVersion } from './named-versions.js'
import { publishedTopics, topicOf, type PublishedChange, type PublishedDelta, type PublishedNote, type PublishedTopic } from './published-change.js'
import { Removals } from './removals.js'
import type { RoutingConfiguration } from './routing-configuration.js'

/**
 * A version that a peer heard of longer ago counts from when this process hears of it, as after an outage, in milliseconds:
 * a few times the pause in which a relay does not watch the store.
 */
const LONGEST_AGE = 1_000

const NOTHING_SEEN: Readonly<Record<PublishedTopic, number>> = { configuration: 0, versions: 0, endpoints: 0 }

/** The published state of one process. */
export class PublishedState {
  private _configuration: { readonly revision: number, readonly configuration: RoutingConfiguration } | undefined
  private readonly _versions = new NamedVersions()
  private readonly _grace = new LapseGrace()
  private readonly _endpoints = new HeldEndpoints()
  private readonly _removals = new Removals()
  private _newestEndpoint = 0
  private _edition = 0
  private _epoch = 0
  private _seen: Readonly<Record<PublishedTopic, number>> = NOTHING_SEEN
  /** Topics that were followed in this epoch or an earlier one. */
  private readonly _known = new Set<PublishedTopic>()

  get configuration (): RoutingConfiguration | undefined { return this._configuration?.configuration }
  get configurationRevision (): number { return this._configuration?.revision ?? 0 }
  /** Whether both a configuration and the endpoints are known. */
  get complete (): boolean { return this._configuration !== undefined && this.knows('endpoints') }
  /** The epoch of the store that is followed; 0 before the first. */
  get epoch (): number { return this._epoch }
  /** How far each topic has been followed in this epoch. */
  get note (): PublishedNote { return { epoch: this._epoch, ...this._seen } }
  /**
   * The revision of the newest thing that is held of each topic. Two processes that hold the same have the same, however far
   * they have followed.
   */
  get held (): PublishedNote {
    const versions = Math.max(0, ...this._versions.newestOfAll().map(({ revision }) => revision))
    return { epoch: this._epoch, configuration: this.configurationRevision, versions, endpoints: this._newestEndpoint }
  }

  /** Whether a topic has been followed, in whichever epoch. */
  knows (topic: PublishedTopic): boolean { return this._known.has(topic) }

  /** Rises with everything that this process would tell differently to a peer. */
  get edition (): number { return this._edition }

  /** The wanted version of a model: the newest that was named. */
  wanted (model: string): WantedVersion | undefined { return this._versions.newest(model) }

  /**
   * When a version above the given one was first named, by this process's clock; nothing when none was, or when it was
   * named before this process began to follow. A newer version may be named while engines still switch to this one, and
   * each has a bound of its own.
   */
  firstNewerAt (model: string, version: number): number | undefined {
    return this._versions.firstNewerAt(model, version)
  }

  /**
   * The least version that may begin a request: the newest that was named longer ago than the bound.
   *
   * @param bound In milliseconds.
   * @returns 0 when any version may.
   * @example
   * const least = state.dueVersion('drafting', 8_000, now)
   */
  dueVersion (model: string, bound: number, now: number): number {
    return this._versions.due(model, bound, now)
  }

  /** Endpoints that are listed, those that drain included. */
  endpoints (): EndpointRecord[] { return [...this._endpoints.values()].map(({ record }) => record) }

  /**
   * Takes one change.
   *
   * @returns The news that it makes: none when a newer state of its item is known, several when it implies others.
   * @example
   * if (state.take({ type: 'endpoint', revision: 7, record }, now).length > 0) rebuildChoices()
   */
  take (change: PublishedChange, now: number): readonly PublishedChange[] {
    const earlier = change.type === 'endpoint' ? this._endpoints.at(change.record.address) : undefined
    this._edition += 1
    if (topicOf(change) === 'endpoints') this._newestEndpoint = Math.max(this._newestEndpoint, change.revision)
    if (!this._takers[change.type](change as never, now)) return []
    return change.type === 'endpoint' ? [change, ...this._replaced(earlier, change)] : [change]
  }

  /**
   * Takes everything that a topic holds: what is missing in it is gone.
   *
   * @param upTo The store's revision of the reading.
   * @returns The changes that were news.
   */
  takeWhole (topic: PublishedTopic, changes: readonly PublishedChange[], upTo: number, now: number): PublishedChange[] {
    const news = changes.flatMap(change => this.take(change, now))
    if (topic === 'endpoints') {
      news.push(...this._takeMissing(changes, upTo, now))
      this._grace.readUpTo(upTo)
      // What went before is not in the reading, and its removal was never heard: only the whole list tells it.
      this._newestEndpoint = Math.max(this._newestEndpoint, upTo)
      this._removals.forgetUpTo(upTo)
    }
    this.followed(topic, upTo)
    return news
  }

  /** Every change of a topic up to a revision has been taken. */
  followed (topic: PublishedTopic, upTo: number): void {
    if (upTo <= this._seen[topic]) return
    this._edition += 1
    this._known.add(topic)
    this._seen = { ...this._seen, [topic]: upTo }
  }

  /**
   * Begins to follow another epoch of the store. What is held stays until its writer says otherwise.
   *
   * @returns Whether the epoch is a later one; nothing happens otherwise.
   * @example
   * if (state.enter(answer.epoch, now)) log.warn('epoch-began', { epoch: state.epoch })
   */
  enter (epoch: number, now: number): boolean {
    if (epoch <= this._epoch) return false
    this._epoch = epoch
    this._edition += 1
    this._seen = NOTHING_SEEN
    this._newestEndpoint = 0
    if (this._configuration !== undefined) this._configuration = { ...this._configuration, revision: 0 }
    this._versions.carryOver()
    this._endpoints.carryOver()
    this._removals.carryOver()
    if (this._known.size > 0) this._grace.restored(now)
    return true
  }

  /** The store cannot be reached: entries that vanish now may have lapsed only because of that. */
  storeLost (): void { this._grace.lost() }

  /**
   * The store answers again.
   *
   * @param upTo Its revision then: what went up to it may have lapsed, what goes later is gone.
   */
  storeRegained (now: number, upTo: number): void { this._grace.regained(now, upTo) }

  /** Takes away endpoints that stayed missing after an outage. Returns their removals. */
  expire (now: number): PublishedChange[] {
    const endpoints = [...this._endpoints.values()]
    this._grace.decide(endpoints.filter(({ lapsesAt }) => lapsesAt !== undefined).length, endpoints.length, now)
    const gone: PublishedChange[] = []
    for (const { record: { id }, lapsesAt } of endpoints) {
      if (lapsesAt === undefined || !this._grace.isOver(lapsesAt, now)) continue
      this._endpoints.drop(id)
      gone.push({ type: 'endpoint-gone', id, revision: this._removals.get(id)?.removal.revision ?? this._seen.endpoints })
    }
    return gone
  }

  /**
   * What a peer lacks that has followed up to `note`.
   *
   * @param topics What it wants to know of; the delta says nothing of the others.
   * @example
   * const delta = state.since(note, performance.now(), ['versions'])
   */
  since (note: PublishedNote, now: number, topics: readonly PublishedTopic[] = publishedTopics): PublishedDelta {
    const nothing: PublishedNote = { ...NOTHING_SEEN, epoch: this._epoch }
    if (note.epoch > this._epoch) return { upTo: nothing, held: nothing, changes: [], whole: [] }
    const from = note.epoch === this._epoch ? note : nothing
    const asked = (told: PublishedNote, otherwise: PublishedNote): PublishedNote => ({ ...otherwise, ...Object.fromEntries(topics.map(topic => [topic, told[topic]])) })
    const delta = this._since(from, now)
    return { upTo: asked(this.note, from), held: asked(this.held, nothing), changes: delta.changes.filter(change => topics.includes(topicOf(change))), whole: delta.whole.filter(topic => topics.includes(topic)) }
  }

  private _since (note: PublishedNote, now: number): Pick<PublishedDelta, 'changes' | 'whole'> {
    const whole = publishedTopics.filter(topic => note[topic] < this._seen[topic] && this._tellsWhole(topic, note))
    const changes: PublishedChange[] = []
    // What was carried over is at revision 0, and belongs to the whole.
    const from = (topic: PublishedTopic): number => whole.includes(topic) ? -1 : note[topic]
    const held = this._configuration
    if (held !== undefined && held.revision > from('configuration')) changes.push({ type: 'configuration', ...held })
    for (const { revision, model, version, heardAt } of this._versions.newestOfAll()) {
      const age = heardAt === undefined ? undefined : now - heardAt
      if (revision > from('versions')) changes.push({ type: 'wanted-version', revision, wanted: { model, version }, age })
    }
    for (const { record, revision } of this._endpoints.values()) if (revision > from('endpoints')) changes.push({ type: 'endpoint', revision, record })
    changes.push(...this._removals.after(from('endpoints')))
    return { changes, whole }
  }

  /** Takes what a peer told, unless it follows an earlier epoch. Returns the changes that were news. */
  takeDelta (delta: PublishedDelta, now: number): PublishedChange[] {
    if (delta.upTo.epoch < this._epoch) return []
    this.enter(delta.upTo.epoch, now)
    const news: PublishedChange[] = []
    for (const topic of publishedTopics) {
      const changes = delta.changes.filter(change => topicOf(change) === topic)
      if (delta.whole.includes(topic) && delta.upTo[topic] > this._seen[topic]) news.push(...this.takeWhole(topic, changes, delta.upTo[topic], now))
      else {
        news.push(...changes.flatMap(change => this.take(change, now)))
        this.followed(topic, delta.upTo[topic])
      }
    }
    this._newestEndpoint = Math.max(this._newestEndpoint, delta.held.endpoints)
    return news
  }

  private readonly _takers: { readonly [Type in PublishedChange['type']]: (change: Extract<PublishedChange, { type: Type }>, now: number) => boolean } = {
    configuration: ({ revision, configuration }) => {
      const held = this._configuration
      if (held !== undefined && revision <= held.revision) return false
      const isNews = held === undefined || isNewerDocument(configuration, held.configuration)
      this._configuration = { revision, configuration: isNews ? configuration : held.configuration }
      return isNews
    },
    'wanted-version': ({ revision, wanted, age = 0 }, now) => {
      const heardAt = !this.knows('versions') ? undefined : now - (age <= LONGEST_AGE ? age : 0)
      return this._versions.take(wanted, revision, heardAt)
    },
    endpoint: change => {
      const { revision, record } = change
      const held = this._endpoints.get(record.id)
      if (revision <= this._knownRevision(record.id) || this._isReplaced(record, revision) || this._hasGone(record.id, revision)) return false
      if (isEarlierStart(record.born, held?.record.born ?? this._removals.get(record.id)?.born)) return false
      if (this._isFromBefore(record)) return this._confirm(record.id, revision)
      this._endpoints.hold({ record, revision, carried: false, lapsesAt: undefined }, this._isNamed(record.service))
      this._removals.forget(record.id)
      return held === undefined || !isSameListing(held.record, record)
    },
    'endpoint-gone': (change, now) => this._remove(change, now)
  }

  /** Whether an endpoint of which nothing is known went before what has been followed: everything up to there has been heard. */
  private _hasGone (id: string, revision: number): boolean { return this._knownRevision(id) < 0 && revision <= this._seen.endpoints }

  /** The revision of what is known of an endpoint; below all others where nothing is. */
  private _knownRevision (id: string): number {
    return Math.max(this._endpoints.get(id)?.revision ?? -1, this._removals.get(id)?.removal.revision ?? -1)
  }

  /**
   * Whether a restored store lists an endpoint as it was before something that was heard of it in an earlier epoch. The revision does
   * not tell that, but the endpoint counts what it writes.
   */
  private _isFromBefore (record: EndpointRecord): boolean {
    const held = this._endpoints.get(record.id)
    if (held !== undefined) return held.carried && (writingsBetween(held.record, record) ?? 0) < 0
    const gone = this._removals.get(record.id)
    if (gone === undefined || !gone.carried) return false
    const successor = this._endpoints.at(record.address)
    return successor?.carried === true || (writingsBetween(gone, record) ?? 1) <= 0
  }

  /** The store has nothing newer of an endpoint at a revision than what was carried over. */
  private _confirm (id: string, revision: number): false {
    this._endpoints.confirm(id, revision)
    this._removals.confirm(id, revision)
    return false
  }

  /** Whether another start of an endpoint was listed at the same address later. */
  private _isReplaced ({ id, address }: EndpointRecord, revision: number): boolean {
    const held = this._endpoints.at(address)
    return held !== undefined && held.record.id !== id && held.revision > revision
  }

  /** An entry of a service that nobody configured takes no address away: it may have been written by anyone. */
  private _isNamed (service: string): boolean {
    return this.configuration === undefined || this.configuration.services.some(({ name }) => name === service)
  }

  /**
   * Takes away the earlier start at an address that a newer one has taken. It stays listed until three heartbeats are missing, and
   * requests sent there meanwhile would be turned away by the newer one.
   */
  private _replaced (earlier: HeldEndpoint | undefined, { revision, record }: Extract<PublishedChange, { type: 'endpoint' }>): PublishedChange[] {
    if (earlier === undefined || earlier.record.id === record.id || !this._isNamed(record.service)) return []
    const { id } = earlier.record
    const gone = { type: 'endpoint-gone', id, revision } as const
    this._endpoints.drop(id)
    this._removals.note(gone, earlier.record)
    return [gone]
  }

  /** A peer that has nothing, or is behind the oldest removal that is kept, gets everything. */
  private _tellsWhole (topic: PublishedTopic, note: PublishedNote): boolean {
    return note[topic] === 0 || (topic === 'endpoints' && note.endpoints < this._removals.forgottenUpTo)
  }

  private _remove (gone: Extract<PublishedChange, { type: 'endpoint-gone' }>, now: number): boolean {
    const { id, revision, certain = false } = gone
    const held = this._endpoints.get(id)
    if (revision <= this._knownRevision(id)) return false
    this._removals.note(gone, held?.record ?? this._removals.get(id) ?? {})
    if (held === undefined) return false
    const keptUntil = certain ? undefined : this._grace.keptUntil(revision, now)
    if (keptUntil !== undefined) {
      held.lapsesAt ??= keptUntil
      return false
    }
    this._endpoints.drop(id)
    return true
  }

  private _takeMissing (changes: readonly PublishedChange[], upTo: number, now: number): PublishedChange[] {
    const listed = new Set(changes.flatMap(change => change.type === 'endpoint' ? [change.record.id] : []))
    const missing = [...this._endpoints.values()].filter(({ record: { id }, revision }) => !listed.has(id) && revision <= upTo)
    return missing.flatMap(({ record: { id } }) => this.take({ type: 'endpoint-gone', revision: upTo, id }, now))
  }
}

/** Operators raise the version with each change; should they forget to, what is written last counts. */
function isNewerDocument (configuration: RoutingConfiguration, than: RoutingConfiguration): boolean {
  if (configuration.version !== than.version) return configuration.version > than.version
  return JSON.stringify(configuration) !== JSON.stringify(than)
}
