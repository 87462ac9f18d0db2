/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Processes that hold the published configuration, on the simulated network, with the real gossip, and a fake configuration
 * service that can be down or stale. The oracle knows every published revision.
 */
import { RevisionLedger, Spread, checkConfiguration, type Configuration, type InstanceRecord, type Published, type SpreadEffect, type Topic } from '@drumdrift/core'
import { Process, World } from './world.js'

/** The parts whose protections a variant may remove. */
export interface ConfigurationParts {
  readonly ledger: (source: string) => RevisionLedger<Configuration>
  /** Whether processes compare revisions with random peers. */
  readonly comparesWithPeers: boolean
  /** Whether a starting process asks its peers before it adopts a revision from the service. */
  readonly joinsThroughSeeds: boolean
}

/** The product's own parts. */
export const realConfigurationParts: ConfigurationParts = {
  ledger: source => new RevisionLedger(source, checkConfiguration),
  comparesWithPeers: true,
  joinsThroughSeeds: true
}

interface Member {
  readonly record: InstanceRecord
  process: Process
  spread: Spread
  /** The highest revision that this incarnation has adopted. */
  highestRevision: number
  /** The highest revision held at the start by the seeds, if this incarnation has been able to reach them all since; otherwise 0. */
  seedRevision: number
  readonly startedAt: number
}

type ServiceState = 'normal' | 'down' | 'stale'

const SOURCE = 'fuzz'
const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const MEMBER_COUNT = 9
/** Times are in milliseconds. */
const TICK_INTERVAL = 100
const CALL_TIMEOUT = 1_000
const READ_TIMEOUT = 1_500
const WATCH_TIMEOUT = 2_500
const SERVICE_LATENCY = 3
/** Longer than a starting process waits for its seeds before it adopts a revision. */
const JOIN_TIME = 3_000
/** Required time from the publication of a revision until it is in force everywhere. */
const IN_FORCE_WITHIN = 9_000

const validDocument = { models: {}, pools: {}, services: {}, organisations: {} }
const invalidDocument = { models: {}, pools: { drafting: { model: 'none', version: 'v1' } }, services: {}, organisations: {} }

/** Simulation of the processes and the configuration service. */
export class ConfigurationWorld {
  readonly world: World
  readonly members: Member[] = []
  private readonly _published: Published[] = []
  private readonly _instances: Published
  private _service: ServiceState = 'normal'
  private _incarnations = 0

  constructor (seed: number, private readonly _parts: ConfigurationParts = realConfigurationParts) {
    this.world = new World(seed)
    const records: InstanceRecord[] = Array.from({ length: MEMBER_COUNT }, (_, index) => ({
      instance: `process-${index}`, availabilityZone: ZONES[index % ZONES.length] ?? '', role: 'agent', address: `10.0.0.${index}:1`, endpoint: 'p', state: 'live'
    }))
    this._instances = { source: SOURCE, revision: 1, document: { instances: records } }
    this._publishDocument(validDocument)
    for (const record of records) this.members.push(this._startMember(record))
  }

  /** Publishes a document; the service orders concurrent publications. */
  publish (valid: boolean): void { this._publishDocument(valid ? validDocument : invalidDocument) }

  /** Clears the expectation from the seeds for processes that have not joined yet, since they may no longer reach their seeds. */
  private _clearSeedRevisions (): void {
    for (const member of this.members) if (this.world.now - member.startedAt < JOIN_TIME) member.seedRevision = 0
  }

  setService (state: ServiceState): void { this._service = state }

  /** Kills a process and starts a new incarnation at once. */
  restart (index: number): void {
    const at = index % this.members.length
    const old = this.members[at] as Member
    this.world.kill(old.process)
    this._clearSeedRevisions()
    this.members[at] = this._startMember(old.record)
  }

  freeze (index: number): void {
    this.world.freeze((this.members[index % this.members.length] as Member).process)
    this._clearSeedRevisions()
  }

  thawAll (): void { for (const member of this.members) this.world.thaw(member.process) }

  cutZones (from: number, to: number, bothWays: boolean): void {
    const [left, right] = [ZONES[from % ZONES.length] ?? '', ZONES[to % ZONES.length] ?? '']
    if (left === right) return
    this.world.cut(left, right)
    if (bothWays) this.world.cut(right, left)
    this._clearSeedRevisions()
  }

  cutPlatform (zone: number): void { this.world.cut('platform', ZONES[zone % ZONES.length] ?? '') }

  /**
   * Advances by the required time without new disturbances, then checks that every process has the newest revision that the
   * service returns or that any process connected to it, directly or through others, held before. A revision that the service
   * has replaced and that no connected process has adopted is no longer available.
   */
  quiet (): void {
    const expected = this._service === 'normal' ? this.members.map(member => ({ member, newest: this._newestObtainable(member) })) : []
    this.world.advance(IN_FORCE_WITHIN)
    for (const { member, newest } of expected) {
      if (member.spread.revision('configuration') < newest) {
        this.world.recordViolation(`in-force: ${member.process.name} is at ${member.spread.revision('configuration')}, not ${newest}, after ${IN_FORCE_WITHIN} ms`)
      }
    }
  }

  /** Ends all disturbances and checks that every process reaches the newest revision. */
  settle (): void {
    this.world.heal()
    this.thawAll()
    this._service = 'normal'
    // Longer than the longest back-off of a process that was isolated.
    this.world.advance(20_000)
    this.quiet()
  }

  /** Returns the newest revision that a process can obtain, or 0 if it is frozen or cut off from the platform. */
  private _newestObtainable (member: Member): number {
    const group = this._connected(member)
    if (!group.some(({ process }) => this.world.connectedToPlatform(process))) return 0
    const newest = this._published.at(-1)
    const held = group.map(({ spread }) => spread.revision('configuration'))
    return Math.max(0, newest?.document === validDocument ? newest.revision : 0, ...held)
  }

  /** Returns the running members connected to one, directly or through others; none if that member is not running. */
  private _connected (start: Member): Member[] {
    const running = this.members.filter(member => member.process.alive && !member.process.frozen)
    if (!running.includes(start)) return []
    const group = new Set([start])
    for (let size = 0; size < group.size;) {
      size = group.size
      for (const member of running) {
        const adjacent = [...group].some(other => this.world.connected(member.process, other.process) && this.world.connected(other.process, member.process))
        if (adjacent) group.add(member)
      }
    }
    return [...group]
  }

  private _publishDocument (document: unknown): void {
    this._published.push({ source: SOURCE, revision: this._published.length + 1, document })
  }

  private _startMember (record: InstanceRecord): Member {
    const { world } = this
    const process = new Process(record.instance, record.availabilityZone, `${record.instance}.${this._incarnations++}`, world.uniform(0, 1e6))
    const seeds = this._parts.joinsThroughSeeds ? ['10.0.0.0:1', '10.0.0.1:1', '10.0.0.2:1'] : []
    const spread = new Spread({ ...record, seeds, source: SOURCE }, () => world.random(), world.clock(process), undefined, this._parts.ledger)
    const member: Member = { record, process, spread, highestRevision: 0, seedRevision: this._seedRevisionFor(process), startedAt: world.now }
    const tick = (): void => {
      this._execute(member, spread.tick(world.clock(process)))
      world.after(TICK_INTERVAL, process, tick)
    }
    world.after(world.uniform(0, TICK_INTERVAL), process, tick)
    return member
  }

  /** Returns the newest revision of the first three members, which are the seeds, if the process reaches them all, and 0 otherwise. */
  private _seedRevisionFor (process: Process): number {
    const seeds = this.members.slice(0, 3).filter(seed => seed.process.name !== process.name)
    const reachable = seeds.every(seed => seed.process.alive && !seed.process.frozen && this.world.connected(process, seed.process) && this.world.connected(seed.process, process))
    return reachable ? Math.max(0, ...seeds.map(seed => seed.spread.revision('configuration'))) : 0
  }

  private _execute (member: Member, effects: readonly SpreadEffect[]): void {
    for (const effect of effects) this._handlers[effect.type](member, effect as never)
  }

  private readonly _handlers: { readonly [Type in SpreadEffect['type']]: (member: Member, effect: Extract<SpreadEffect, { type: Type }>) => void } = {
    'read-service': (member, { topic, after, watch }) => this._read(member, topic, after, watch ? WATCH_TIMEOUT : 0),
    compare: (member, { address }) => { if (this._parts.comparesWithPeers) this._compare(member, address) },
    push: (member, { address, documents }) => {
      const to = this._memberAt(address)
      if (to === undefined) return
      this.world.send(member.process, to.process, () => this._execute(to, to.spread.received(documents, 'pushed', this.world.clock(to.process))))
    },
    adopted: (member, { topic, revision }) => { if (topic === 'configuration') this._adopted(member, revision) },
    refused: () => {}
  }

  private _adopted (member: Member, revision: number): void {
    const name = member.process.incarnation
    if (revision < member.highestRevision) this.world.recordViolation(`never-reverts: ${name} reverted from ${member.highestRevision} to ${revision}`)
    if (revision < member.seedRevision) this.world.recordViolation(`never-reverts: ${name} adopted ${revision} although its seeds held ${member.seedRevision}`)
    if (this._published[revision - 1]?.document !== validDocument) this.world.recordViolation(`accepted-only: ${name} adopted the invalid revision ${revision}`)
    member.highestRevision = Math.max(member.highestRevision, revision)
  }

  private _compare (member: Member, address: string): void {
    const { world } = this
    const from = member.process
    const to = this._memberAt(address)
    world.call(from, to?.process, () => {
      const peer = to as Member
      const now = world.clock(peer.process)
      const { reply, behind } = peer.spread.compared(member.spread.note(world.clock(from)), now)
      if (behind) this._compare(peer, member.record.address)
      return { reply, note: peer.spread.note(now) }
    }, CALL_TIMEOUT, answer => {
      const now = world.clock(from)
      if (answer === 'unreachable') return this._execute(member, member.spread.unanswered(address, now))
      this._execute(member, member.spread.received(answer.reply, 'compared', now))
      this._execute(member, member.spread.answered(address, answer.note, now))
    })
  }

  /** Reads from the service; a watch is answered when there is a newer revision or when its wait is over. */
  private _read (member: Member, topic: Topic, after: number, wait: number): void {
    const { world } = this
    const { process, spread } = member
    let answered = false
    const answer = (result: Published | 'unchanged' | 'unreachable'): void => {
      if (answered) return
      answered = true
      this._execute(member, spread.serviceAnswered(topic, result, world.clock(process)))
    }
    const deadline = world.now + wait
    const poll = (): void => {
      if (answered) return
      if (this._service === 'down' || !world.connectedToPlatform(process)) return
      const newest = this._served(topic)
      const canAnswer = newest !== undefined && (newest.revision > after || this._service === 'stale')
      if (canAnswer) world.after(SERVICE_LATENCY, process, () => answer(newest))
      else if (world.now >= deadline) world.after(SERVICE_LATENCY, process, () => answer('unchanged'))
      else world.after(50, undefined, poll)
    }
    world.after(SERVICE_LATENCY, undefined, poll)
    world.after(wait + READ_TIMEOUT, process, () => answer('unreachable'))
  }

  private _served (topic: Topic): Published | undefined {
    if (topic === 'instances') return this._instances
    return this._service === 'stale' ? this._published[0] : this._published.at(-1)
  }

  private _memberAt (address: string): Member | undefined { return this.members.find(member => member.record.address === address) }
}
