/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What the platform has published, as one process holds it: the configuration, the versions that are wanted, and the
 * list of endpoints. Changes come from the platform's store or from peers, in any order; each carries the store's
 * revision of its item, and an older one never replaces a newer one.
 */
import { isEarlierStart, type EndpointRecord, type ModelVersion } from './endpoint-record.js'
import { HeldEndpoints, type HeldEndpoint } from './held-endpoints.js'
import { LapseGrace } from './lapse-grace.js'
import { NamedVersions, type WantedVersion } from './named-versions.js'
import { Removals } from './removals.js'
import type { RoutingConfiguration } from './routing-configuration.js'

/** Parts of what is published. */
export type PublishedTopic = 'configuration' | 'versions' | 'endpoints'
export const publishedTopics: readonly PublishedTopic[] = ['configuration', 'versions', 'endpoints']

/** One change of one item. */
export type PublishedChange =
  | { readonly type: 'configuration', readonly revision: number, readonly configuration: RoutingConfiguration }
  /** `age`: milliseconds since the teller heard of it, in news between processes; nothing where that is not known. */
  | { readonly type: 'wanted-version', readonly revision: number, readonly wanted: ModelVersion, readonly age?: number | undefined }
  | { readonly type: 'endpoint', readonly revision: number, readonly record: EndpointRecord }
  /** `certain`: it names no endpoint to use any more, whatever became of the store meanwhile; otherwise it may only have lapsed. */
  | { readonly type: 'endpoint-gone', readonly revision: number, readonly id: string, readonly certain?: boolean | undefined }

/** How far a process has followed each topic: the store's revision up to which it has seen every change. */
export type PublishedNote = Readonly<Record<PublishedTopic, number>>

/** Changes on their way to a peer. */
export interface PublishedDelta {
  readonly upTo: PublishedNote
  readonly changes: readonly PublishedChange[]
  /** Topics that `changes` holds in whole: what it lacks of them is gone. */
  readonly whole: readonly PublishedTopic[]
}

/**
 * A version that a peer heard of longer ago counts from when this process hears of it, as after an outage, in milliseconds:
 * a few times the pause in which a relay does not watch the store.
 */
const LONGEST_AGE = 1_000

/** The published state of one process. */
export class PublishedState {
  private _configuration: { readonly revision: number, readonly configuration: RoutingConfiguration } | undefined
  private readonly _versions = new NamedVersions()
  private readonly _grace = new LapseGrace()
  private readonly _endpoints = new HeldEndpoints()
  private readonly _removals = new Removals()
  private _newestEndpoint = 0
  private _edition = 0
  private readonly _seen: Record<PublishedTopic, number> = { configuration: 0, versions: 0, endpoints: 0 }

  get configuration (): RoutingConfiguration | undefined { return this._configuration?.configuration }
  get configurationRevision (): number { return this._configuration?.revision ?? 0 }
  /** Whether both a configuration and the endpoints are known. */
  get complete (): boolean { return this._configuration !== undefined && this._seen.endpoints > 0 }
  /** How far each topic has been followed. */
  get note (): PublishedNote { return { ...this._seen } }
  /**
   * The revision of the newest thing that is held of each topic. Two processes that hold the same have the same, however far
   * they have followed.
   */
  get held (): PublishedNote {
    const versions = Math.max(0, ...this._versions.newestOfAll().map(({ revision }) => revision))
    return { configuration: this.configurationRevision, versions, endpoints: this._newestEndpoint }
  }

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
    if (topic === 'endpoints') news.push(...this._takeMissing(changes, upTo, now))
    this.followed(topic, upTo)
    return news
  }

  /** Every change of a topic up to a revision has been taken. */
  followed (topic: PublishedTopic, upTo: number): void {
    if (upTo <= this._seen[topic]) return
    this._edition += 1
    this._seen[topic] = upTo
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
      gone.push({ type: 'endpoint-gone', id, revision: this._removals.revisionOf(id) || this._seen.endpoints })
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
    const known = { ...this.note }
    for (const topic of publishedTopics) if (!topics.includes(topic)) known[topic] = note[topic]
    const delta = this._since(note, now)
    return { upTo: known, changes: delta.changes.filter(change => topics.includes(topicOf(change))), whole: delta.whole.filter(topic => topics.includes(topic)) }
  }

  private _since (note: PublishedNote, now: number): Pick<PublishedDelta, 'changes' | 'whole'> {
    const whole = publishedTopics.filter(topic => note[topic] < this._seen[topic] && this._tellsWhole(topic, note))
    const changes: PublishedChange[] = []
    const held = this._configuration
    if (held !== undefined && held.revision > note.configuration) changes.push({ type: 'configuration', ...held })
    for (const { revision, model, version, heardAt } of this._versions.newestOfAll()) {
      const age = heardAt === undefined ? undefined : now - heardAt
      if (revision > note.versions) changes.push({ type: 'wanted-version', revision, wanted: { model, version }, age })
    }
    const from = whole.includes('endpoints') ? 0 : note.endpoints
    for (const { record, revision } of this._endpoints.values()) if (revision > from) changes.push({ type: 'endpoint', revision, record })
    changes.push(...this._removals.after(from))
    return { changes, whole }
  }

  /** Takes what a peer told. Returns the changes that were news. */
  takeDelta (delta: PublishedDelta, now: number): PublishedChange[] {
    const news: PublishedChange[] = []
    for (const topic of publishedTopics) {
      const changes = delta.changes.filter(change => topicOf(change) === topic)
      if (delta.whole.includes(topic) && delta.upTo[topic] > this._seen[topic]) news.push(...this.takeWhole(topic, changes, delta.upTo[topic], now))
      else {
        news.push(...changes.flatMap(change => this.take(change, now)))
        this.followed(topic, delta.upTo[topic])
      }
    }
    return news
  }

  private readonly _takers: { readonly [Type in PublishedChange['type']]: (change: Extract<PublishedChange, { type: Type }>, now: number) => boolean } = {
    configuration: ({ revision, configuration }) => {
      if (revision <= this.configurationRevision) return false
      this._configuration = { revision, configuration }
      return true
    },
    'wanted-version': ({ revision, wanted, age = 0 }, now) => {
      const heardAt = this._seen.versions === 0 ? undefined : now - (age <= LONGEST_AGE ? age : 0)
      return this._versions.take(wanted, revision, heardAt)
    },
    endpoint: ({ revision, record }) => {
      const held = this._endpoints.get(record.id)
      const known = Math.max(held?.revision ?? 0, this._removals.revisionOf(record.id))
      if (revision <= known || this._isReplaced(record, revision)) return false
      if (isEarlierStart(record.born, held?.record.born ?? this._removals.bornOf(record.id))) return false
      this._endpoints.hold({ record, revision, lapsesAt: undefined }, this._isNamed(record.service))
      this._removals.forget(record.id)
      return true
    },
    'endpoint-gone': (change, now) => this._remove(change, now)
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
   * An earlier start of an endpoint at an address that a newer one has taken. It stays listed until three heartbeats are
   * missing; requests sent there meanwhile are answered by the newer one with "wrong instance": 112 on a day that ends with a
   * loss of power, and 38 since then.
   */
  private _replaced (earlier: HeldEndpoint | undefined, { revision, record }: Extract<PublishedChange, { type: 'endpoint' }>): PublishedChange[] {
    if (earlier === undefined || earlier.record.id === record.id || !this._isNamed(record.service)) return []
    const { id, born } = earlier.record
    const gone = { type: 'endpoint-gone', id, revision } as const
    this._endpoints.drop(id)
    this._removals.note(gone, born)
    return [gone]
  }

  /** A peer that has nothing, or is behind the oldest removal that is kept, gets everything. */
  private _tellsWhole (topic: PublishedTopic, note: PublishedNote): boolean {
    return note[topic] === 0 || (topic === 'endpoints' && note.endpoints < this._removals.forgottenUpTo)
  }

  private _remove (gone: Extract<PublishedChange, { type: 'endpoint-gone' }>, now: number): boolean {
    const { id, revision, certain = false } = gone
    const held = this._endpoints.get(id)
    if (revision <= Math.max(held?.revision ?? 0, this._removals.revisionOf(id))) return false
    this._removals.note(gone, held?.record.born ?? this._removals.bornOf(id))
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

const topicsOfChanges: Record<PublishedChange['type'], PublishedTopic> = {
  configuration: 'configuration',
  'wanted-version': 'versions',
  endpoint: 'endpoints',
  'endpoint-gone': 'endpoints'
}

/** The topic that a change belongs to. */
export function topicOf (change: PublishedChange): PublishedTopic { return topicsOfChanges[change.type] }
