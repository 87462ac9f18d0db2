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
 *
 * A process that starts knows nothing and could be taken back by a stale service or peer. So it asks a few peers first,
 * and takes the newest of what they and the service said once all have answered, or the time is up.
 */
import { jitterOf } from './chunk-tree.js'
import type { Configuration, InstanceList, InstanceRecord } from './documents.js'
import { checkConfiguration, checkInstanceList } from './documents.js'
import type { DocumentFailure } from './failure.js'
import { applyListChange, listChange, type ListChange } from './list-change.js'
import { Joining } from './joining.js'
import { Neighbourhood } from './neighbourhood.js'
import { RevisionLedger, type Acceptance, type Published } from './revision-ledger.js'

/** The topics that the platform publishes. */
export type Topic = 'configuration' | 'instances'
export const topics: readonly Topic[] = ['configuration', 'instances']

/** What a process holds, told to a peer. Ages are milliseconds since somebody was told by the service. */
export interface SpreadNote {
  readonly revisions: Readonly<Record<Topic, number>>
  readonly ages: Readonly<Record<Topic, number>>
}

/** Documents on their way from one process to another; the list as a change when the other holds its base. */
export interface SpreadDocuments {
  readonly documents: readonly { readonly topic: Topic, readonly published: Published }[]
  readonly change?: ListChange | undefined
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
  /** The same for a zone's watchers, who are few: a service that comes back must be noticed within seconds. */
  readonly longestWatcherBackoff: number
  /** The same for a process that holds nothing yet. */
  readonly longestEmptyBackoff: number
  /** How long a process that starts asks peers before it takes what the service says. */
  readonly joinPatience: number
}

/** The policy that the daemons use. */
export const defaultSpreadPolicy: SpreadPolicy = {
  watchersPerZone: 2,
  fanOut: 8,
  comparePause: 1_000,
  patience: 5_000,
  firstBackoff: 500,
  longestBackoff: 60_000,
  longestWatcherBackoff: 2_000,
  longestEmptyBackoff: 5_000,
  joinPatience: 1_500
}

/** Every how many comparisons a peer of another zone is asked. */
const ABROAD_EVERY = 2
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
  /** How the list in force differs from the one before. */
  private _change: ListChange | undefined
  /** Until this process has joined; then nothing. */
  private _joining: Joining | undefined
  private _neighbourhood: Neighbourhood

  /**
   * @param _random Draws from [0, 1); seeded in tests.
   * @param newLedger Makes the ledger of the configuration; tests give one that lacks a protection.
   */
  constructor (
    private readonly _self: SpreadSelf,
    private readonly _random: () => number,
    now: number,
    private readonly _policy: SpreadPolicy = defaultSpreadPolicy,
    newLedger: (source: string) => RevisionLedger<Configuration> = source => new RevisionLedger(source, checkConfiguration)
  ) {
    this._ledgers = {
      configuration: newLedger(_self.source),
      instances: new RevisionLedger<InstanceList>(_self.source, checkInstanceList)
    }
    const start = (topic: Topic): ServiceState => ({
      confirmedAt: NEVER, reading: false, nextReadAt: now + jitterOf(_self.instance, topic) * _policy.firstBackoff, backoff: _policy.firstBackoff
    })
    this._service = { configuration: start('configuration'), instances: start('instances') }
    this._compareAt = now
    this._joining = new Joining(now + _policy.joinPatience)
    this._neighbourhood = new Neighbourhood(_self, [])
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
    const effects: SpreadEffect[] = this._join(now)
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
    if (this._joining !== undefined && answer !== 'unchanged') {
      this._joining.hold(topic, answer)
      state.nextReadAt = now + this._policy.firstBackoff
      return this._joinIfOver(now)
    }
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
    const byChange = lacking.includes('instances') && this._change?.base === note.revisions.instances
    const behind = topics.some(topic => note.revisions[topic] > this._ledgers[topic].seenRevision)
    for (const topic of topics) this._hearAge(topic, note.revisions[topic], note.ages[topic], now)
    return { reply: this._documents(lacking, byChange, now), behind }
  }

  /**
   * Documents came from a peer.
   *
   * @param way Whether they were pushed down the tree, or came in answer to a comparison and so past the tree: then the
   * zone's first member is told, whose pushes reach the whole zone.
   */
  received (incoming: SpreadDocuments, way: 'pushed' | 'compared', now: number): SpreadEffect[] {
    const effects: SpreadEffect[] = []
    const built = this._built(incoming.change)
    for (const { topic, published } of [...incoming.documents, ...built]) {
      if (!topics.includes(topic)) continue
      if (this._joining !== undefined) {
        this._joining.hold(topic, published)
        continue
      }
      const taken = this._take(topic, published, now)
      effects.push(...taken)
      if (way === 'compared' && taken.length > 0) effects.push(...this._tellFirst(topic, now))
      this._hearAge(topic, published.revision, incoming.ages[topic], now)
    }
    return effects
  }

  /** A peer that was compared with told what it holds itself: its word on the service's age counts. */
  answered (address: string, note: SpreadNote, now: number): SpreadEffect[] {
    for (const topic of topics) this._hearAge(topic, note.revisions[topic], note.ages[topic], now)
    this._joining?.heard(address)
    return this._joinIfOver(now)
  }

  /** A peer that was to be compared with could not be reached: it is passed over for a while. */
  unanswered (address: string, now: number): SpreadEffect[] {
    this._neighbourhood.silent(address, now + this._policy.patience * 2)
    this._joining?.heard(address)
    return this._joinIfOver(now)
  }

  /** Whether this process is one of its zone's watchers. */
  isWatcher (): boolean {
    const order = this._neighbourhood.order
    const rank = order.indexOf(this._self.instance)
    return rank >= 0 && rank < this._policy.watchersPerZone
  }

  /** At the start, a few seeds are asked at once; when all have answered or the time is up, the newest is taken. */
  private _join (now: number): SpreadEffect[] {
    const joining = this._joining
    if (joining === undefined) return []
    const asked = joining.ask(this._self.seeds.filter(seed => seed !== this._self.address), this._random())
    if (asked.length > 0) this._compareAt = now + this._policy.comparePause
    const note = this.note(now)
    return [...asked.map(address => ({ type: 'compare', address, note }) as const), ...this._joinIfOver(now)]
  }

  private _joinIfOver (now: number): SpreadEffect[] {
    const joining = this._joining
    if (joining === undefined || !joining.over(now)) return []
    this._joining = undefined
    return joining.newestFirst().flatMap(({ topic, published }) => this._take(topic, published, now))
  }

  /** The list that a change leads to, if this process holds its base; else a comparison will bring it whole. */
  private _built (change: ListChange | undefined): { readonly topic: Topic, readonly published: Published }[] {
    const held = this._ledgers.instances.document
    if (change === undefined || held === undefined || change.base !== this.revision('instances')) return []
    return [{ topic: 'instances', published: applyListChange(held, change) }]
  }

  private _take (topic: Topic, published: Published, now: number): SpreadEffect[] {
    const before = { revision: this.revision('instances'), list: this._ledgers.instances.document }
    const acceptance: Acceptance = this._ledgers[topic].offer(published)
    if (acceptance.type === 'same') return []
    if (acceptance.type === 'refused') {
      return acceptance.failure.reason === 'older' ? [] : [{ type: 'refused', topic, failure: acceptance.failure }]
    }
    if (topic === 'instances') this._adoptedList(before, published)
    return [{ type: 'adopted', topic, revision: acceptance.revision }, ...this._push(topic, now)]
  }

  /** What changed is kept, to be pushed in place of the whole list. */
  private _adoptedList (before: { readonly revision: number, readonly list: InstanceList | undefined }, published: Published): void {
    this._neighbourhood = new Neighbourhood(this._self, this.instances)
    const after = this._ledgers.instances.document
    this._change = before.list === undefined || after === undefined ? undefined : listChange(before.list, before.revision, published, after)
  }

  /** Children in a tree over the zone, laid out in the order that starts with the watchers. */
  private _push (topic: Topic, now: number): SpreadEffect[] {
    const order = this._neighbourhood.order
    const rank = order.indexOf(this._self.instance)
    if (rank < 0) return []
    const addresses = new Map(this.instances.map(record => [record.instance, record.address]))
    const first = rank * this._policy.fanOut + 1
    const documents = this._documents([topic], topic === 'instances' && this._change !== undefined, now)
    return order.slice(first, first + this._policy.fanOut)
      .map(instance => ({ type: 'push', address: addresses.get(instance) ?? '', documents }) as const)
  }

  private _tellFirst (topic: Topic, now: number): SpreadEffect[] {
    const [first] = this._neighbourhood.order
    const address = this.instances.find(record => record.instance === first)?.address
    if (address === undefined || first === this._self.instance) return []
    return [{ type: 'push', address, documents: this._documents([topic], topic === 'instances' && this._change !== undefined, now) }]
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
    const longest = this._longestBackoff()
    state.nextReadAt = now + Math.min(longest, state.backoff) * (0.5 + this._random())
    state.backoff = Math.min(longest, state.backoff * 2)
    return []
  }

  /** A process that holds nothing serves nothing, so it asks more often than one that only waits for news. */
  private _longestBackoff (): number {
    if (this.isWatcher()) return this._policy.longestWatcherBackoff
    return this.revision('instances') === 0 ? this._policy.longestEmptyBackoff : this._policy.longestBackoff
  }

  /** Compares with one peer; with one near and one abroad while nothing is heard of the service. */
  private _compare (now: number): SpreadEffect[] {
    this._compareAt = now + this._policy.comparePause * (0.75 + this._random() / 2)
    this._comparisons += 1
    // A zone that hears nothing of the service may be cut off from it: other zones may not be.
    const unheard = this.age('configuration', now) > this._policy.patience
    const abroad = this._comparisons % ABROAD_EVERY === 0
    const chosen = unheard ? [this._peer(false, now), this._peer(true, now)] : [this._peer(abroad, now)]
    const note = this.note(now)
    return [...new Set(chosen)].flatMap(address => address === undefined ? [] : [{ type: 'compare', address, note } as const])
  }

  /** A random peer, near or abroad; before the first list, a seed. */
  private _peer (abroad: boolean, now: number): string | undefined {
    return this._neighbourhood.pick(abroad, this._random(), now)
  }

  /** @param byChange Whether the list goes as the change that led to it. */
  private _documents (which: readonly Topic[], byChange: boolean, now: number): SpreadDocuments {
    const whole = byChange ? which.filter(topic => topic !== 'instances') : which
    const documents = whole.flatMap(topic => {
      const published = this._ledgers[topic].published
      return published === undefined ? [] : [{ topic, published }]
    })
    return byChange ? { documents, change: this._change, ages: this._ages(now) } : { documents, ages: this._ages(now) }
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
}
