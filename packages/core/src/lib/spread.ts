/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Distributes published documents from the platform's service to every process with few reads at the service.
 *
 * In each availability zone, a few watchers, chosen by rendezvous order over the instance list, watch the service. A
 * process that adopts a new revision pushes it down a broadcast tree over its zone; the watchers of other zones receive
 * it from the service. Every second, each process also runs anti-entropy with a random peer, alternating between its own
 * zone and others, which repairs lost pushes and partitioned zones. A process without a direct or indirect confirmation
 * from the service for some time reads the service itself, with exponential backoff and jitter.
 *
 * A process that starts holds no revision, so a stale service or peer could make it adopt an old one. It therefore
 * queries a few peers first, and adopts the newest document from them and the service once all have answered or the
 * join timeout has expired.
 */
import { jitterOf } from './chunk-tree.js'
import type { Configuration, InstanceList, InstanceRecord } from './documents.js'
import { checkConfiguration, checkInstanceList } from './documents.js'
import type { DocumentFailure } from './failure.js'
import { applyListChange, listChange, type ListChange } from './list-change.js'
import { JoinPhase } from './joining.js'
import { Neighbourhood } from './neighbourhood.js'
import { RevisionLedger, type Acceptance, type Published } from './revision-ledger.js'

/** The topics that the platform publishes. */
export type Topic = 'configuration' | 'instances'
export const topics: readonly Topic[] = ['configuration', 'instances']

/**
 * The revisions that a process holds, as sent to a peer. Ages are milliseconds since the service last confirmed them to
 * any process.
 */
export interface SpreadNote {
  readonly revisions: Readonly<Record<Topic, number>>
  readonly ages: Readonly<Record<Topic, number>>
}

/** Documents sent from one process to another. The instance list is sent as a change if the receiver holds its base. */
export interface SpreadDocuments {
  readonly documents: readonly { readonly topic: Topic, readonly published: Published }[]
  readonly change?: ListChange | undefined
  readonly ages: Readonly<Record<Topic, number>>
}

/** An action for the caller to perform. */
export type SpreadEffect =
  /** Read from the service. With `watch`, the service answers only when it has a newer revision. */
  | { readonly type: 'read-service', readonly topic: Topic, readonly after: number, readonly watch: boolean }
  | { readonly type: 'compare', readonly address: string, readonly note: SpreadNote }
  | { readonly type: 'push', readonly address: string, readonly documents: SpreadDocuments }
  | { readonly type: 'adopted', readonly topic: Topic, readonly revision: number }
  | { readonly type: 'refused', readonly topic: Topic, readonly failure: DocumentFailure }

/** Parameters of the distribution; times in milliseconds. */
export interface SpreadPolicy {
  readonly watchersPerZone: number
  readonly fanOut: number
  readonly compareInterval: number
  /** The age of the last confirmation from the service after which a process reads the service itself. */
  readonly patience: number
  readonly initialBackoff: number
  readonly maxBackoff: number
  /** The longest backoff of a zone's watchers. They are few and must notice a recovered service within seconds. */
  readonly maxWatcherBackoff: number
  /** The longest backoff of a process that holds no instance list yet. */
  readonly maxEmptyBackoff: number
  /** How long a starting process waits for peers before it adopts documents from the service. */
  readonly joinTimeout: number
}

/** The policy that the daemons use. */
export const defaultSpreadPolicy: SpreadPolicy = {
  watchersPerZone: 2,
  fanOut: 8,
  compareInterval: 1_000,
  patience: 5_000,
  initialBackoff: 500,
  maxBackoff: 60_000,
  maxWatcherBackoff: 2_000,
  maxEmptyBackoff: 5_000,
  joinTimeout: 1_500
}

/** Every n-th comparison is made with a peer in another zone. */
const OTHER_ZONE_INTERVAL = 2
const NEVER = -Infinity

/** The identity and location of this process. */
export interface SpreadSelf {
  readonly instance: string
  readonly availabilityZone: string
  readonly address: string
  /** Peers to contact until an instance list is available. */
  readonly seeds: readonly string[]
  readonly source: string
}

interface ServiceState {
  /** When the service last confirmed the held revision, directly or through a peer, by this process's clock. */
  confirmedAt: number
  reading: boolean
  nextReadAt: number
  backoff: number
}

type Ledgers = { readonly configuration: RevisionLedger<Configuration>, readonly instances: RevisionLedger<InstanceList> }

/** Holds the published documents of one process and distributes them to its peers. */
export class Spread {
  private readonly _ledgers: Ledgers
  private readonly _service: Record<Topic, ServiceState>
  private _nextCompareAt: number
  private _comparisons = 0
  /** The change from the previous instance list to the one in force. */
  private _change: ListChange | undefined
  /** The join phase; `undefined` once it is over. */
  private _joining: JoinPhase | undefined
  private _neighbourhood: Neighbourhood

  /**
   * @param _random Draws from [0, 1); seeded in tests.
   * @param newLedger Creates the ledger of the configuration. Tests replace it with one that lacks a safeguard.
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
      confirmedAt: NEVER, reading: false, nextReadAt: now + jitterOf(_self.instance, topic) * _policy.initialBackoff, backoff: _policy.initialBackoff
    })
    this._service = { configuration: start('configuration'), instances: start('instances') }
    this._nextCompareAt = now
    this._joining = new JoinPhase(now + _policy.joinTimeout)
    this._neighbourhood = new Neighbourhood(_self, [])
  }

  /** The configuration in force here. */
  get configuration (): Configuration | undefined { return this._ledgers.configuration.document }

  /** The listed instances, which may include this one. */
  get instances (): readonly InstanceRecord[] { return this._ledgers.instances.document?.instances ?? [] }

  /** The revision in force; 0 if none has been adopted. */
  revision (topic: Topic): number { return this._ledgers[topic].revision }

  /** Milliseconds since the service confirmed, directly or through a peer, that the held revision is the newest. */
  age (topic: Topic, now: number): number { return now - this._service[topic].confirmedAt }

  /**
   * Runs due reads and comparisons. Must be called several times a second.
   *
   * @example
   * for (const effect of spread.tick(now)) carryOut(effect)
   */
  tick (now: number): SpreadEffect[] {
    const effects: SpreadEffect[] = this._join(now)
    for (const topic of topics) effects.push(...this._read(topic, now))
    if (now >= this._nextCompareAt) effects.push(...this._compare(now))
    return effects
  }

  /**
   * Handles the result of a read or watch.
   *
   * @param answer The document, or 'unchanged' if the service has none newer than the requested revision.
   */
  serviceAnswered (topic: Topic, answer: Published | 'unchanged' | 'unreachable', now: number): SpreadEffect[] {
    const state = this._service[topic]
    state.reading = false
    if (answer === 'unreachable') return this._backOff(state, now)
    if (this._joining !== undefined && answer !== 'unchanged') {
      this._joining.hold(topic, answer)
      state.nextReadAt = now + this._policy.initialBackoff
      return this._endJoinIfOver(now)
    }
    const effects = answer === 'unchanged' ? [] : this._offer(topic, answer, now)
    // An older revision, or one that was refused whatever its document holds: the next read would get the same answer at once.
    const isUnusable = answer !== 'unchanged' && answer.revision !== this._ledgers[topic].seenRevision
    if (isUnusable) return [...effects, ...this._backOff(state, now)]
    state.confirmedAt = now
    state.backoff = this._policy.initialBackoff
    state.nextReadAt = now
    return effects
  }

  /** The revisions that this process holds, for a peer. */
  note (now: number): SpreadNote {
    return { revisions: { configuration: this.revision('configuration'), instances: this.revision('instances') }, ages: this._ages(now) }
  }

  /**
   * Handles the note of a peer. The reply contains the documents it lacks; `behind` tells whether the peer has newer
   * ones.
   */
  compared (note: SpreadNote, now: number): { readonly reply: SpreadDocuments, readonly behind: boolean } {
    const lacking = topics.filter(topic => this.revision(topic) > note.revisions[topic])
    const byChange = lacking.includes('instances') && this._change?.base === note.revisions.instances
    const behind = topics.some(topic => note.revisions[topic] > this._ledgers[topic].seenRevision)
    for (const topic of topics) this._adoptAge(topic, note.revisions[topic], note.ages[topic], now)
    return { reply: this._documents(lacking, byChange, now), behind }
  }

  /**
   * Handles documents from a peer.
   *
   * @param way Whether the documents were pushed down the tree or received in reply to a comparison. In the latter case
   * they bypassed the tree, so they are pushed to the zone's first member, whose pushes reach the whole zone.
   */
  received (incoming: SpreadDocuments, way: 'pushed' | 'compared', now: number): SpreadEffect[] {
    const effects: SpreadEffect[] = []
    const built = this._applyChange(incoming.change)
    for (const { topic, published } of [...incoming.documents, ...built]) {
      if (!topics.includes(topic)) continue
      if (this._joining !== undefined) {
        this._joining.hold(topic, published)
        continue
      }
      const taken = this._offer(topic, published, now)
      effects.push(...taken)
      if (way === 'compared' && taken.length > 0) effects.push(...this._pushToFirst(topic, now))
      this._adoptAge(topic, published.revision, incoming.ages[topic], now)
    }
    return effects
  }

  /** Handles the note with which a peer replied to a comparison, including the ages of its confirmations. */
  answered (address: string, note: SpreadNote, now: number): SpreadEffect[] {
    for (const topic of topics) this._adoptAge(topic, note.revisions[topic], note.ages[topic], now)
    this._joining?.peerDone(address)
    return this._endJoinIfOver(now)
  }

  /** Handles a failed comparison: the peer is skipped for some time. */
  unanswered (address: string, now: number): SpreadEffect[] {
    this._neighbourhood.silent(address, now + this._policy.patience * 2)
    this._joining?.peerDone(address)
    return this._endJoinIfOver(now)
  }

  /** Whether this process is a watcher of its zone. */
  isWatcher (): boolean {
    const order = this._neighbourhood.order
    const rank = order.indexOf(this._self.instance)
    return rank >= 0 && rank < this._policy.watchersPerZone
  }

  /** Queries a few seeds at the start, and ends the join phase when all have answered or the timeout has expired. */
  private _join (now: number): SpreadEffect[] {
    const joining = this._joining
    if (joining === undefined) return []
    const asked = joining.ask(this._self.seeds.filter(seed => seed !== this._self.address), this._random())
    if (asked.length > 0) this._nextCompareAt = now + this._policy.compareInterval
    const note = this.note(now)
    return [...asked.map(address => ({ type: 'compare', address, note }) as const), ...this._endJoinIfOver(now)]
  }

  private _endJoinIfOver (now: number): SpreadEffect[] {
    const joining = this._joining
    if (joining === undefined || !joining.isOver(now)) return []
    this._joining = undefined
    return joining.newestFirst().flatMap(({ topic, published }) => this._offer(topic, published, now))
  }

  /**
   * The list that results from a change, if this process holds its base. Otherwise a later comparison delivers the full
   * list.
   */
  private _applyChange (change: ListChange | undefined): { readonly topic: Topic, readonly published: Published }[] {
    const held = this._ledgers.instances.document
    if (change === undefined || held === undefined || change.base !== this.revision('instances')) return []
    return [{ topic: 'instances', published: applyListChange(held, change) }]
  }

  private _offer (topic: Topic, published: Published, now: number): SpreadEffect[] {
    const before = { revision: this.revision('instances'), list: this._ledgers.instances.document }
    const acceptance: Acceptance = this._ledgers[topic].offer(published)
    if (acceptance.type === 'same') return []
    if (acceptance.type === 'refused') {
      return acceptance.failure.reason === 'older' ? [] : [{ type: 'refused', topic, failure: acceptance.failure }]
    }
    if (topic === 'instances') this._updateList(before, published)
    return [{ type: 'adopted', topic, revision: acceptance.revision }, ...this._push(topic, now)]
  }

  /** Computes the change from the previous list, which is sent to peers in place of the full list. */
  private _updateList (before: { readonly revision: number, readonly list: InstanceList | undefined }, published: Published): void {
    this._neighbourhood = new Neighbourhood(this._self, this.instances)
    const after = this._ledgers.instances.document
    this._change = before.list === undefined || after === undefined ? undefined : listChange(before.list, before.revision, published, after)
  }

  /** Pushes a document to this process's children in the tree over the zone, in which the watchers come first. */
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

  private _pushToFirst (topic: Topic, now: number): SpreadEffect[] {
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
    const overdue = now - state.confirmedAt > patience
    if (!watcher && !overdue) return []
    state.reading = true
    const after = this._ledgers[topic].seenRevision
    return [{ type: 'read-service', topic, after, watch: watcher && after > 0 }]
  }

  private _backOff (state: ServiceState, now: number): SpreadEffect[] {
    const longest = this._maxBackoff()
    state.nextReadAt = now + Math.min(longest, state.backoff) * (0.5 + this._random())
    state.backoff = Math.min(longest, state.backoff * 2)
    return []
  }

  /** A process without an instance list cannot serve, so it retries more often than one that only waits for updates. */
  private _maxBackoff (): number {
    if (this.isWatcher()) return this._policy.maxWatcherBackoff
    return this.revision('instances') === 0 ? this._policy.maxEmptyBackoff : this._policy.maxBackoff
  }

  /** Starts a comparison with one peer; with a peer in the own zone and one in another while confirmations are overdue. */
  private _compare (now: number): SpreadEffect[] {
    this._nextCompareAt = now + this._policy.compareInterval * (0.75 + this._random() / 2)
    this._comparisons += 1
    // The zone may be partitioned from the service while other zones are not.
    const overdue = this.age('configuration', now) > this._policy.patience
    const otherZone = this._comparisons % OTHER_ZONE_INTERVAL === 0
    const chosen = overdue ? [this._peer(false, now), this._peer(true, now)] : [this._peer(otherZone, now)]
    const note = this.note(now)
    return [...new Set(chosen)].flatMap(address => address === undefined ? [] : [{ type: 'compare', address, note } as const])
  }

  /** A random peer in the own or another zone, or a seed if there is no instance list yet. */
  private _peer (otherZone: boolean, now: number): string | undefined {
    return this._neighbourhood.pick(otherZone, this._random(), now)
  }

  /** @param byChange Whether to send the instance list as a change to the previous one. */
  private _documents (requested: readonly Topic[], byChange: boolean, now: number): SpreadDocuments {
    const whole = byChange ? requested.filter(topic => topic !== 'instances') : requested
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

  /** Adopts a peer's more recent confirmation from the service if the peer holds the same revision. */
  private _adoptAge (topic: Topic, revision: number, age: number, now: number): void {
    if (revision < this._ledgers[topic].seenRevision || !(age >= 0)) return
    if (revision > this._ledgers[topic].seenRevision) return
    const state = this._service[topic]
    state.confirmedAt = Math.max(state.confirmedAt, now - age)
  }
}
