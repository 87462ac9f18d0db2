/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Carries published documents from the platform's service to every process, with few reads at the service.
 *
 * In each availability zone a few watchers, chosen by rendezvous order over the instance list, watch the service. A
 * process that adopts a new revision pushes it down a tree over its zone; watchers of other zones get theirs from the
 * service. Every second each process also compares notes with one random peer, in its zone or, now and then, in
 * another: that repairs what the push lost, and heals zones that were cut off. A process that has not heard, even at
 * second hand, of the service for a while reads it itself, with growing, jittered pauses.
 */
import { jitterOf } from './chunk-tree.js'
import type { Checked, Configuration, InstanceList, InstanceRecord } from './documents.js'
import { checkConfiguration, checkInstanceList } from './documents.js'
import type { DocumentFailure } from './failure.js'
import { rendezvousOrder } from './rendezvous.js'
import { RevisionLedger, type Acceptance, type Published } from './revision-ledger.js'

/** The topics that the platform publishes. */
export type Topic = 'configuration' | 'instances'
export const topics: readonly Topic[] = ['configuration', 'instances']

/** What a process holds, told to a peer. Ages are milliseconds since somebody was told by the service. */
export interface SpreadNote {
  readonly revisions: Readonly<Record<Topic, number>>
  readonly ages: Readonly<Record<Topic, number>>
}

/** Documents on their way from one process to another. */
export interface SpreadDocuments {
  readonly documents: readonly { readonly topic: Topic, readonly published: Published }[]
  readonly ages: Readonly<Record<Topic, number>>
}

/** What the shell is to do. */
export type SpreadEffect =
  /** Ask the service; `watch` asks it to answer only when there is something newer. */
  | { readonly type: 'read-service', readonly topic: Topic, readonly after: number, readonly watch: boolean }
  | { readonly type: 'compare', readonly address: string, readonly note: SpreadNote }
  | { readonly type: 'push', readonly address: string, readonly documents: SpreadDocuments }
  | { readonly type: 'adopted', readonly topic: Topic, readonly revision: number }
  | { readonly type: 'refused', readonly topic: Topic, readonly failure: DocumentFailure }

/** Bounds; times in milliseconds. */
export interface SpreadPolicy {
  readonly watchersPerZone: number
  readonly fanOut: number
  readonly comparePause: number
  /** Age of the last word from the service after which a process reads it itself. */
  readonly patience: number
  readonly firstBackoff: number
  readonly longestBackoff: number
}

/** The policy that the daemons use. */
export const defaultSpreadPolicy: SpreadPolicy = {
  watchersPerZone: 2,
  fanOut: 8,
  comparePause: 1_000,
  patience: 5_000,
  firstBackoff: 500,
  longestBackoff: 60_000
}

/** Every how many comparisons a peer of another zone is asked. */
const ABROAD_EVERY = 4
const NEVER = -Infinity

/** Where this process stands. */
export interface SpreadSelf {
  readonly instance: string
  readonly availabilityZone: string
  readonly address: string
  /** Peers to ask before the first instance list is known. */
  readonly seeds: readonly string[]
  readonly source: string
}

interface ServiceState {
  /** When the service last confirmed what is held, by this process's clock; the confirmation may be second hand. */
  confirmedAt: number
  reading: boolean
  nextReadAt: number
  backoff: number
}

type Ledgers = { readonly configuration: RevisionLedger<Configuration>, readonly instances: RevisionLedger<InstanceList> }

/** What one process knows of the published documents, and how it passes them on. */
export class Spread {
  private readonly _ledgers: Ledgers
  private readonly _service: Record<Topic, ServiceState>
  private _compareAt: number
  private _comparisons = 0
  private _order: { readonly revision: number, readonly members: readonly string[] } = { revision: 0, members: [] }

  /**
   * @param _random Draws from [0, 1); seeded in tests.
   * @param check Replaces the check of configurations; for tests of what the check protects.
   */
  constructor (
    private readonly _self: SpreadSelf,
    private readonly _random: () => number,
    now: number,
    private readonly _policy: SpreadPolicy = defaultSpreadPolicy,
    check: (input: unknown) => Checked<Configuration, DocumentFailure> = checkConfiguration
  ) {
    this._ledgers = {
      configuration: new RevisionLedger<Configuration>(_self.source, check),
      instances: new RevisionLedger<InstanceList>(_self.source, checkInstanceList)
    }
    const start = (topic: Topic): ServiceState => ({
      confirmedAt: NEVER, reading: false, nextReadAt: now + jitterOf(_self.instance, topic) * _policy.firstBackoff, backoff: _policy.firstBackoff
    })
    this._service = { configuration: start('configuration'), instances: start('instances') }
    this._compareAt = now
  }

  /** The configuration in force here. */
  get configuration (): Configuration | undefined { return this._ledgers.configuration.document }

  /** The instances listed, this one included or not as the list has it. */
  get instances (): readonly InstanceRecord[] { return this._ledgers.instances.document?.instances ?? [] }

  /** The revision in force here; 0 before the first. */
  revision (topic: Topic): number { return this._ledgers[topic].revision }

  /** Milliseconds since the service confirmed, at first or second hand, that there is nothing newer. */
  age (topic: Topic, now: number): number { return now - this._service[topic].confirmedAt }

  /**
   * Time has passed. Call it a few times a second.
   *
   * @example
   * for (const effect of spread.tick(now)) carryOut(effect)
   */
  tick (now: number): SpreadEffect[] {
    const effects: SpreadEffect[] = []
    for (const topic of topics) effects.push(...this._read(topic, now))
    if (now >= this._compareAt) effects.push(...this._compare(now))
    return effects
  }

  /**
   * The service answered a read or a watch, or could not be reached.
   *
   * @param answer The document, or 'unchanged' when there is none above the revision that was asked from.
   */
  serviceAnswered (topic: Topic, answer: Published | 'unchanged' | 'unreachable', now: number): SpreadEffect[] {
    const state = this._service[topic]
    state.reading = false
    if (answer === 'unreachable') return this._backOff(state, now)
    const effects = answer === 'unchanged' ? [] : this._take(topic, answer, now)
    const stale = answer !== 'unchanged' && answer.revision < this._ledgers[topic].seenRevision
    if (stale) return [...effects, ...this._backOff(state, now)]
    state.confirmedAt = now
    state.backoff = this._policy.firstBackoff
    state.nextReadAt = now
    return effects
  }

  /** What this process holds, for a peer. */
  note (now: number): SpreadNote {
    return { revisions: { configuration: this.revision('configuration'), instances: this.revision('instances') }, ages: this._ages(now) }
  }

  /** A peer told what it holds: the answer carries what it lacks. `behind` says whether to compare notes in return. */
  compared (note: SpreadNote, now: number): { readonly reply: SpreadDocuments, readonly behind: boolean } {
    const lacking = topics.filter(topic => this.revision(topic) > note.revisions[topic])
    const behind = topics.some(topic => note.revisions[topic] > this._ledgers[topic].seenRevision)
    for (const topic of topics) this._hearAge(topic, note.revisions[topic], note.ages[topic], now)
    return { reply: this._documents(lacking, now), behind }
  }

  /** Documents came from a peer, in answer to a comparison or pushed. */
  received (incoming: SpreadDocuments, now: number): SpreadEffect[] {
    const effects: SpreadEffect[] = []
    for (const { topic, published } of incoming.documents) {
      if (!topics.includes(topic)) continue
      effects.push(...this._take(topic, published, now))
      this._hearAge(topic, published.revision, incoming.ages[topic], now)
    }
    return effects
  }

  /** A peer answered a comparison with nothing newer: its word on the service's age counts. */
  agreed (revisions: Readonly<Record<Topic, number>>, ages: Readonly<Record<Topic, number>>, now: number): void {
    for (const topic of topics) this._hearAge(topic, revisions[topic], ages[topic], now)
  }

  /** Whether this process is one of its zone's watchers. */
  isWatcher (): boolean {
    const order = this._zoneOrder()
    const rank = order.indexOf(this._self.instance)
    return rank >= 0 && rank < this._policy.watchersPerZone
  }

  private _take (topic: Topic, published: Published, now: number): SpreadEffect[] {
    const acceptance: Acceptance = this._ledgers[topic].offer(published)
    if (acceptance.type === 'same') return []
    if (acceptance.type === 'refused') {
      return acceptance.failure.reason === 'older' ? [] : [{ type: 'refused', topic, failure: acceptance.failure }]
    }
    return [{ type: 'adopted', topic, revision: acceptance.revision }, ...this._push(topic, now)]
  }

  /** Children in a tree over the zone, laid out in the order that starts with the watchers. */
  private _push (topic: Topic, now: number): SpreadEffect[] {
    const order = this._zoneOrder()
    const rank = order.indexOf(this._self.instance)
    if (rank < 0) return []
    const addresses = new Map(this.instances.map(record => [record.instance, record.address]))
    const first = rank * this._policy.fanOut + 1
    const documents = this._documents([topic], now)
    return order.slice(first, first + this._policy.fanOut)
      .map(instance => ({ type: 'push', address: addresses.get(instance) ?? '', documents }) as const)
  }

  private _read (topic: Topic, now: number): SpreadEffect[] {
    const state = this._service[topic]
    if (state.reading || now < state.nextReadAt) return []
    const watcher = this.isWatcher()
    const patience = this._policy.patience * (1 + jitterOf(this._self.instance, 'patience'))
    const unheard = now - state.confirmedAt > patience
    if (!watcher && !unheard) return []
    state.reading = true
    const after = this._ledgers[topic].seenRevision
    return [{ type: 'read-service', topic, after, watch: watcher && after > 0 }]
  }

  private _backOff (state: ServiceState, now: number): SpreadEffect[] {
    state.nextReadAt = now + state.backoff * (0.5 + this._random())
    state.backoff = Math.min(this._policy.longestBackoff, state.backoff * 2)
    return []
  }

  private _compare (now: number): SpreadEffect[] {
    this._compareAt = now + this._policy.comparePause * (0.75 + this._random() / 2)
    this._comparisons += 1
    const abroad = this._comparisons % ABROAD_EVERY === 0
    const others = this.instances.filter(record => record.instance !== this._self.instance)
    const preferred = others.filter(record => (record.availabilityZone !== this._self.availabilityZone) === abroad)
    const addresses = (preferred.length > 0 ? preferred : others).map(record => record.address)
    const choices = addresses.length > 0 ? addresses : this._self.seeds.filter(seed => seed !== this._self.address)
    const address = choices[Math.floor(this._random() * choices.length)]
    if (address === undefined) return []
    return [{ type: 'compare', address, note: this.note(now) }]
  }

  private _documents (which: readonly Topic[], now: number): SpreadDocuments {
    const documents = which.flatMap(topic => {
      const published = this._ledgers[topic].published
      return published === undefined ? [] : [{ topic, published }]
    })
    return { documents, ages: this._ages(now) }
  }

  private _ages (now: number): Record<Topic, number> {
    const bounded = (topic: Topic): number => Math.min(2 ** 40, this.age(topic, now))
    return { configuration: bounded('configuration'), instances: bounded('instances') }
  }

  /** A peer at the same or a higher revision heard of the service more lately than this process did. */
  private _hearAge (topic: Topic, revision: number, age: number, now: number): void {
    if (revision < this._ledgers[topic].seenRevision || !(age >= 0)) return
    if (revision > this._ledgers[topic].seenRevision) return
    const state = this._service[topic]
    state.confirmedAt = Math.max(state.confirmedAt, now - age)
  }

  /** The zone's members in the order that starts with the watchers; worked out once for each instance list. */
  private _zoneOrder (): readonly string[] {
    const revision = this.revision('instances')
    if (this._order.revision !== revision) {
      const listed = this.instances.filter(record => record.availabilityZone === this._self.availabilityZone)
      this._order = { revision, members: rendezvousOrder(listed.map(record => record.instance), 'watchers') }
    }
    return this._order.members
  }
}
