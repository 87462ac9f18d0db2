/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A model of a fleet that transfers and switches versions, in virtual time. The decisions are the product's; links, engines, the
 * announcements between agents and the choice of an engine for a request are simplified.
 */
import {
  ChunkAssignment, ChunkSwarm, defaultSwarmPolicy, directInstances, overlapStep, shouldFinish, switchCohort, switchPosition, VersionSwitch, WantedVersions,
  type ChunkMember, type CohortPolicy, type FetchProblem, type Manifest, type StagedVersion, type SwitchPosition, type SwitchView, type TransferEffect
} from '@drumdrift/core'
import { seededRandom } from '@drumdrift/stand-ins'
import { VirtualTime } from '../policy/virtual-time.js'
import { VirtualLink } from './virtual-link.js'

/** Times in milliseconds, rates in bytes per millisecond. */
export interface VersionScenario {
  readonly agents: number
  readonly seed: number
  /** When versions 2, 3, ... are published. */
  readonly published: readonly number[]
  /** Whether agents are killed, staged chunks turn bad and endpoints leave. */
  readonly trouble: boolean
  /** Whether one budget limits what an agent sends and receives together, in place of one for each direction. */
  readonly halfDuplex?: boolean
}

/** The result of a run. */
export interface VersionOutcome {
  /** Share of the present engines that accept requests, by second from the first publication on. */
  readonly capacity: readonly number[]
  readonly refused: readonly number[]
  /** When each engine's order to switch was given, and what it drained. */
  readonly switches: readonly { readonly at: number, readonly instance: string, readonly version: number, readonly why: string, readonly drain: number }[]
  /** When each agent held a version completely, by version. */
  readonly whole: ReadonlyMap<number, readonly number[]>
  /** Bytes that the origin sent, in copies of a version, by version. */
  readonly originCopies: ReadonlyMap<number, number>
  /** Chunks that arrived at an agent which no longer wanted their version. */
  readonly superseded: number
  /** Requests that began on a version after its bound. */
  readonly begunTooLate: number
  /** Versions served by the present engines at the end. */
  readonly served: readonly number[]
}

export const BOUND = 9_700
const CHUNKS = 48
const CHUNK_BYTES = 49_152
const MEGABIT = 125
const ORIGIN_RATE = 9 * MEGABIT
const AGENT_RATE = 6.58 * MEGABIT
const LINK_SHARE = 0.75
const SLOTS = 12
const MIN_ANSWER = 1_000
const MAX_ANSWER = 4_000
const LOAD_TIME = 300
/** The share of all slots that requests would use if all engines accepted them. */
const OFFERED = 0.45
const LATENCY = 2
const SWITCH_LEAD = 400
const WARM_UP = 5_000
/** See `HoldingsPublisher`. */
const ANNOUNCE_BATCH = 4
const MAX_ANNOUNCE_DELAY = 240
const MIN_HELD_BY_FLEET = 0.9
const END = 26_000
/** See `WeightsAgent`. */
const TRANSFER_OVERHEAD = 1.3
const cohortPolicy: CohortPolicy = { bound: BOUND, lead: SWITCH_LEAD, transferTime: TRANSFER_OVERHEAD * CHUNKS * CHUNK_BYTES / (AGENT_RATE * LINK_SHARE) }

interface Transfer {
  readonly version: number
  readonly identity: string
  swarm: ChunkSwarm
  readonly held: Set<number>
  whole: boolean
  firstWholeInZoneAt: number | undefined
  readonly fetches: Map<number, { cancelled: boolean }>
  readonly announced: Map<Agent, { held: Set<number>, elsewhere: Set<number>, at: number }>
}

class Engine {
  version = 1
  accepting = true
  ends: number[] = []
  leaving = false
  /** Staging memory: one slot per chunk index. */
  readonly staging = new Map<number, { readonly version: number, bad: boolean }>()

  constructor (private readonly _time: VirtualTime) {}

  running (now: number): number {
    this.ends = this.ends.filter(end => end > now)
    return this.ends.length
  }

  order (version: number): number {
    const now = this._time.now
    const drain = Math.max(0, ...this.ends.map(end => end - now))
    this.accepting = false
    this._time.after(drain + LOAD_TIME, () => {
      this.version = version
      this.accepting = true
    })
    return drain
  }
}

/** One agent with its engine. */
class Agent {
  alive = true
  up: VirtualLink
  down: VirtualLink
  staged: Transfer | undefined
  next: Transfer | undefined
  versionSwitch = new VersionSwitch(BOUND, SWITCH_LEAD)
  readonly versions = new WantedVersions()
  closesAt: number | undefined
  private _overlaps = false
  readonly engine: Engine

  constructor (readonly member: ChunkMember, private readonly _fleet: VersionFleet) {
    const { time, scenario } = _fleet
    this.engine = new Engine(time)
    this.up = new VirtualLink(time, AGENT_RATE * LINK_SHARE)
    this.down = scenario.halfDuplex === true ? this.up : new VirtualLink(time, AGENT_RATE * LINK_SHARE)
  }

  get now (): number { return this._fleet.time.now }

  /** See `VersionTransfers.want`. */
  want (version: number): void {
    if (!this.alive || this.staged?.version === version || this.next?.version === version) return
    const { staged } = this
    const beside = staged !== undefined && this.engine.version < staged.version && (shouldFinish(this._stagedView(staged)) || this._isStepwise(staged, version))
    if (beside) {
      if (this.next !== undefined) this._drop(this.next)
      this.next = this._transfer(version, new Set())
    } else this._stage(version, new Set())
    this.assignReaders()
  }

  private _isStepwise (staged: Transfer, version: number): boolean {
    const known = new Set([...staged.swarm.elsewhere(this.now), ...staged.held]).size / CHUNKS
    const [older, newer] = [staged.version, version].map(each => ({ version: each, at: this._fleet.versions.firstNewerAt('m', each - 1) ?? 0 }))
    return known >= MIN_HELD_BY_FLEET && !directInstances(this._fleet.members, 'm', older!, newer!, cohortPolicy).has(this.member.instance)
  }

  /** Divides the members between two versions that overlap. */
  assignReaders (): void {
    const [older, newer] = this._fleet.versions.all().slice(-2).map(({ version }) => ({ version, at: this._fleet.versions.firstNewerAt('m', version - 1) ?? 0 }))
    if (older === undefined || newer === undefined) return
    const direct = directInstances(this._fleet.members, 'm', older, newer, cohortPolicy)
    const stepwise = new Set(this._fleet.members.map(({ instance }) => instance).filter(instance => !direct.has(instance)))
    if (direct.size === 0 || stepwise.size === 0) return
    this._overlaps = true
    this.transferOf(older.version)?.swarm.setReaders(stepwise)
    this.transferOf(newer.version)?.swarm.setReaders(direct)
  }

  private _stagedView (staged: Transfer): StagedVersion {
    return { version: staged.version, whole: staged.whole, progress: staged.swarm.progress, availableShare: staged.swarm.availableShare }
  }

  private _stage (version: number, held: Set<number>): void {
    if (this.staged !== undefined) this._drop(this.staged)
    if (this.next !== undefined) this._drop(this.next)
    this.next = undefined
    const kept = new Set([...this.engine.staging].filter(([, chunk]) => chunk.version === version).map(([index]) => index))
    for (const index of held) {
      kept.add(index)
      this.engine.staging.set(index, { version, bad: false })
    }
    this.staged = this._transfer(version, kept)
  }

  private _drop ({ swarm, fetches }: Transfer): void {
    this._apply(undefined, swarm.cancel())
    for (const fetch of fetches.values()) fetch.cancelled = true
  }

  private _transfer (version: number, held: Set<number>): Transfer {
    const transfer: Transfer = {
      version, identity: `m@${version}`, swarm: this._newSwarm(version, held), held, whole: false, firstWholeInZoneAt: undefined, fetches: new Map(), announced: new Map()
    }
    return transfer
  }

  private _newSwarm (version: number, held: ReadonlySet<number>): ChunkSwarm {
    const { time, draw, members, manifestOf, publishedAt } = this._fleet
    const manifest = manifestOf(version)
    const policy = { ...defaultSwarmPolicy, originCopyTime: manifest.bytes / ORIGIN_RATE }
    const swarm = new ChunkSwarm(this.member, members, `m@${version}`, manifest, new Set([...held].map(index => `${version}:${index}`)), draw, policy)
    swarm.setPublishedAt(Math.min(time.now, publishedAt(version)))
    for (const peer of this._fleet.agents.values()) if (!peer.alive) swarm.peerLost(peer.member.instance)
    return swarm
  }

  transferOf (version: number): Transfer | undefined { return [this.staged, this.next].find(transfer => transfer?.version === version) }

  /** Evaluates transfers 20 times a second, and the switch ten times. */
  tick (): void {
    if (!this.alive) return
    for (const transfer of [this.staged, this.next]) if (transfer !== undefined && !transfer.whole) this._apply(transfer, transfer.swarm.tick(this.now))
  }

  private _apply (transfer: Transfer | undefined, effects: readonly TransferEffect[]): void {
    for (const effect of effects) {
      if (transfer === undefined) continue
      if (effect.type === 'fetch') this._fetch(transfer, effect)
      else if (effect.type === 'abandon') {
        const fetch = transfer.fetches.get(effect.attempt)
        if (fetch !== undefined) fetch.cancelled = true
        transfer.fetches.delete(effect.attempt)
      } else {
        transfer.whole = true
        const times = this._fleet.whole.get(transfer.version) ?? []
        times.push(this.now)
        this._fleet.whole.set(transfer.version, times)
        this.step()
      }
    }
  }

  private _fetch (transfer: Transfer, { attempt, index, source }: Extract<TransferEffect, { type: 'fetch' }>): void {
    const { time, origin } = this._fleet
    const fetch = { cancelled: false }
    const { swarm, version } = transfer
    transfer.fetches.set(attempt, fetch)
    const done = (problem?: FetchProblem): void => {
      if (fetch.cancelled || !this.alive) {
        if (problem === undefined) this._fleet.superseded += 1
        return
      }
      transfer.fetches.delete(attempt)
      if (problem === undefined) {
        transfer.held.add(index)
        if (transfer === this.staged) this.engine.staging.set(index, { version, bad: false })
      }
      if (transfer.swarm === swarm) this._apply(transfer, problem === undefined ? swarm.chunkReceived(attempt, this.now) : swarm.failed(attempt, problem, this.now))
    }
    const receive = (): void => { this.down.send(CHUNK_BYTES, () => this.alive, () => done()) }
    if (source.kind !== 'peer') {
      origin.send(CHUNK_BYTES, () => this.alive && !fetch.cancelled, () => {
        this._fleet.originChunks.set(version, (this._fleet.originChunks.get(version) ?? 0) + 1)
        receive()
      })
      return
    }
    const peer = this._fleet.agents.get(source.instance)
    time.after(LATENCY, () => {
      const held = peer?.alive === true && peer.transferOf(version)?.held.has(index) === true
      if (peer === undefined || !held) return time.after(LATENCY, () => done(peer?.alive === true ? 'not-held' : 'unreachable'))
      peer.up.send(CHUNK_BYTES, () => peer.alive && this.alive && peer.holds(version, index), () => { time.after(LATENCY, receive) }, () => done('not-held'))
    })
  }

  /** Whether a chunk is really held; a bad one is found out when it is read. */
  holds (version: number, index: number): boolean {
    const transfer = this.transferOf(version)
    if (transfer === undefined || !transfer.held.has(index)) return false
    if (transfer === this.staged && this.engine.staging.get(index)?.bad === true) {
      transfer.held.delete(index)
      return false
    }
    return true
  }

  announce (): void {
    if (!this.alive) return
    for (const transfer of [this.staged, this.next]) {
      if (transfer === undefined) continue
      let elsewhere: number[] | undefined
      for (const follower of this._fleet.followersOf(this)) {
        const theirs = follower.transferOf(transfer.version)
        if (!follower.alive || theirs === undefined || (theirs.whole && follower.engine.version >= theirs.version)) continue
        const announced = theirs.announced.get(this) ?? { held: new Set<number>(), elsewhere: new Set<number>(), at: -Infinity }
        const held = [...transfer.held].filter(index => !announced.held.has(index))
        if (!transfer.whole && held.length < ANNOUNCE_BATCH && this.now - announced.at < MAX_ANNOUNCE_DELAY) continue
        elsewhere ??= transfer.swarm.elsewhere(this.now)
        const others = elsewhere.filter(index => !announced.held.has(index) && !announced.elsewhere.has(index))
        if (held.length + others.length === 0) continue
        for (const index of held) announced.held.add(index)
        for (const index of others) announced.elsewhere.add(index)
        announced.at = this.now
        theirs.announced.set(this, announced)
        this._fleet.time.after(LATENCY, () => follower.learn(this, theirs, held, others))
      }
    }
  }

  learn (peer: Agent, transfer: Transfer, held: readonly number[], elsewhere: readonly number[]): void {
    if (!this.alive || !peer.alive) return
    transfer.swarm.peerHolds(peer.member.instance, held)
    transfer.swarm.peerReports(elsewhere, this.now)
    const { completePeers } = transfer.swarm
    const zone = this.member.availabilityZone
    if (completePeers.some(instance => this._fleet.agents.get(instance)?.member.availabilityZone === zone)) transfer.firstWholeInZoneAt ??= this.now
  }

  private _turn (transfer: Transfer): SwitchPosition {
    const firstCompleteAt = transfer.firstWholeInZoneAt ?? this.now
    const published = this._fleet.versions.all().map(({ version }) => ({ version, at: this._fleet.versions.firstNewerAt('m', version - 1) ?? 0 }))
    const cohort = switchCohort(this.member, this._fleet.members, 'm', { target: transfer.version, served: this.engine.version, published }, cohortPolicy)
    const position = switchPosition(this.member, cohort.members, transfer.identity)
    return { ...position, firstCompleteAt: Math.max(firstCompleteAt, cohort.earliestAt), latestAt: cohort.latestAt }
  }

  private _view (transfer: Transfer): SwitchView {
    const missing = (1 - transfer.swarm.progress) * CHUNKS * CHUNK_BYTES
    const { progress, availableShare } = transfer.swarm
    const byLink = missing / (AGENT_RATE * LINK_SHARE)
    const byPace = progress < 0.2 ? undefined : Math.max(byLink, (this.now - this._fleet.publishedAt(transfer.version)) * (1 - progress) / progress)
    const turn = (): SwitchPosition => this._turn(transfer)
    return {
      wanted: transfer.version,
      publishedAt: this._fleet.versions.firstNewerAt('m', this.engine.version),
      whole: transfer.whole ? transfer.version : 0,
      wholeIn: availableShare === 1 ? byLink : byPace,
      engine: { version: this.engine.version, busy: !this.engine.accepting },
      get turn () { return turn() }
    }
  }

  /** See `VersionTransfers.step` and `EngineSwitcher`. */
  step (): void {
    if (!this.alive || this.engine.leaving) return
    this._stepOverlap()
    const { staged } = this
    if (staged === undefined) return
    const view = this._view(staged)
    this.closesAt = this.versionSwitch.plannedAt(view, this.now)
    const step = this.versionSwitch.step(view, this.now)
    if (step.type !== 'order') return
    const bad = [...this.engine.staging].filter(([, chunk]) => chunk.bad || chunk.version !== staged.version).map(([index]) => index)
    if (bad.length > 0) {
      for (const index of bad) {
        staged.held.delete(index)
        this.engine.staging.delete(index)
      }
      staged.whole = false
      staged.swarm = this._newSwarm(staged.version, staged.held)
      staged.announced.clear()
      this.versionSwitch.answered('not-whole', this.now)
      return
    }
    const drain = this.engine.order(step.version)
    this._fleet.switches.push({ at: this.now, instance: this.member.instance, version: step.version, why: step.why, drain })
    this.versionSwitch.answered('begun', this.now)
  }

  private _stepOverlap (): void {
    const { staged, next } = this
    if (staged === undefined || next === undefined) return
    const progressing = !staged.whole && this.now - staged.swarm.lastChunkAt < 500
    next.swarm.limit(progressing ? { peers: 1, origin: staged.swarm.availableShare < 1 || this._overlaps ? 0 : 1 } : undefined)
    const newerAt = this._fleet.versions.firstNewerAt('m', staged.version)
    const step = overlapStep({
      staged: this._stagedView(staged),
      newer: { version: next.version, whole: next.whole },
      served: this.engine.version,
      ordering: !this.engine.accepting,
      mayBegin: newerAt === undefined || this.now < newerAt + BOUND
    })
    if (step.type === 'take-over') {
      this._stage(next.version, next.held)
      this.assignReaders()
    }
  }

  kill (): void {
    this.alive = false
    for (const transfer of [this.staged, this.next]) if (transfer !== undefined) this._drop(transfer)
    this.staged = this.next = this.closesAt = undefined
    for (const peer of this._fleet.agents.values()) {
      for (const transfer of [peer.staged, peer.next]) {
        transfer?.swarm.peerLost(this.member.instance)
        transfer?.announced.delete(this)
      }
    }
  }

  revive (): void {
    this.alive = true
    this.versionSwitch = new VersionSwitch(BOUND, SWITCH_LEAD)
    for (const peer of this._fleet.agents.values()) for (const transfer of [peer.staged, peer.next]) transfer?.swarm.peerJoined(this.member.instance)
    this._fleet.wantNewest(this)
  }
}

/** The fleet, its origin and its requests. */
class VersionFleet {
  readonly time = new VirtualTime()
  readonly agents = new Map<string, Agent>()
  readonly versions = new WantedVersions()
  readonly origin = new VirtualLink(this.time, ORIGIN_RATE)
  members: readonly ChunkMember[]
  readonly draw: () => number
  readonly whole = new Map<number, number[]>()
  readonly originChunks = new Map<number, number>()
  readonly switches: { at: number, instance: string, version: number, why: string, drain: number }[] = []
  superseded = 0
  begunTooLate = 0
  readonly refused: number[] = Array(END / 1000).fill(0)
  private readonly _accepting: number[] = Array(END / 1000).fill(0)
  private readonly _followers = new Map<Agent, Agent[]>()

  constructor (readonly scenario: VersionScenario) {
    this.draw = seededRandom(scenario.seed)
    this.members = Array.from({ length: scenario.agents }, (_, index) => ({ instance: `agent-${index}`, availabilityZone: `zone-${index % 3}` }))
    for (const member of this.members) this.agents.set(member.instance, new Agent(member, this))
    for (const agent of this.agents.values()) for (const peer of this._peersOf(agent)) this._followers.set(peer, [...this._followers.get(peer) ?? [], agent])
  }

  followersOf (agent: Agent): readonly Agent[] { return this._followers.get(agent) ?? [] }

  publishedAt = (version: number): number => WARM_UP + (this.scenario.published[version - 2] ?? 0)

  manifestOf = (version: number): Manifest => ({
    model: 'm', version: String(version), bytes: CHUNKS * CHUNK_BYTES, chunks: Array.from({ length: CHUNKS }, (_, index) => ({ digest: `${version}:${index}`, bytes: CHUNK_BYTES }))
  })

  wantNewest (agent: Agent): void {
    const newest = this.versions.newest('m')
    if (newest !== undefined) agent.want(newest.version)
  }

  /** A sample of the peers, as `peersToFollow` selects it. */
  private _peersOf (agent: Agent): Agent[] {
    const { member } = agent
    const places = new ChunkAssignment(member, this.members)
    const readers = new Set(Array.from({ length: CHUNKS }, (_, chunk) => chunk).filter(chunk => places.ranks(chunk).inZone === 0).map(chunk => places.originReader(chunk)))
    const others = [...this.agents.values()].filter(other => other !== agent).map(other => ({ other, order: this.draw() })).sort((left, right) => left.order - right.order).map(({ other }) => other)
    const zones = [...new Set(this.members.map(({ availabilityZone }) => availabilityZone))]
    return zones.flatMap(zone => {
      const there = others.filter(other => other.member.availabilityZone === zone)
      if (zone === member.availabilityZone) {
        const first = there.filter(other => other.member.instance === places.predecessor)
        return [...first, ...there.filter(other => !first.includes(other))].slice(0, 12)
      }
      const first = there.filter(other => readers.has(other.member.instance)).slice(0, 6)
      return [...first, ...there.filter(other => !readers.has(other.member.instance)).slice(0, Math.max(0, 3 - first.length))]
    })
  }

  private _every (interval: number, phase: number, run: () => void): void {
    const again = (): void => {
      run()
      this.time.after(interval, again)
    }
    this.time.after(phase, again)
  }

  run (): VersionOutcome {
    const { scenario, time } = this
    for (const agent of this.agents.values()) {
      this._every(50, this.draw() * 50, () => agent.tick())
      this._every(100, this.draw() * 100, () => agent.step())
      this._every(60, this.draw() * 60, () => agent.announce())
    }
    // Engines are under load before the first publication.
    const warmUp = WARM_UP
    this._every(1000 / this._requestRate, 0, () => this._request())
    time.runUntil(warmUp)
    scenario.published.forEach((at, index) => {
      time.after(at, () => {
        this.versions.add({ model: 'm', version: index + 2 }, index, { earliest: time.now, latest: time.now })
        for (const agent of this.agents.values()) time.after(50 + 150 * this.draw(), () => this.wantNewest(agent))
      })
    })
    if (scenario.trouble) this._scheduleTrouble()
    this._every(20, 0, () => this._sample(warmUp))
    time.runUntil(warmUp + END)
    const relative = (times: readonly number[]): number[] => times.map(at => at - warmUp)
    return {
      capacity: this._accepting.map(sum => sum / 50),
      refused: this.refused,
      switches: this.switches.map(each => ({ ...each, at: each.at - warmUp })),
      whole: new Map([...this.whole].map(([version, times]) => [version, relative(times)])),
      originCopies: new Map([...this.originChunks].map(([version, chunks]) => [version, chunks / CHUNKS])),
      superseded: this.superseded,
      begunTooLate: this.begunTooLate,
      served: this._present().map(({ engine }) => engine.version)
    }
  }

  private get _requestRate (): number { return OFFERED * SLOTS * this.scenario.agents / ((MIN_ANSWER + MAX_ANSWER) / 2) * 1000 }

  private _present (): Agent[] { return [...this.agents.values()].filter(({ engine }) => !engine.leaving) }

  private _open (): Agent[] {
    const due = this.versions.dueVersion('m', BOUND, this.time.now)
    return this._present().filter(({ engine }) => engine.accepting && engine.version >= due)
  }

  private _sample (start: number): void {
    const second = Math.floor((this.time.now - start) / 1000)
    if (second >= 0 && second < this._accepting.length) this._accepting[second]! += this._open().length / this._present().length
  }

  /** Sends a request where it is expected soonest and delays no planned switch, like an entry (`choice-price.ts`). */
  private _request (): void {
    const { now } = this.time
    const duration = MIN_ANSWER + (MAX_ANSWER - MIN_ANSWER) * this.draw()
    let best: { readonly agent: Agent, readonly cost: number } | undefined
    for (const agent of this._open()) {
      const running = agent.engine.running(now)
      if (running >= SLOTS) continue
      const cost = running * 20 + 30 * this.draw() + 1.5 * Math.max(0, now + duration - (agent.closesAt ?? Infinity))
      if (best === undefined || cost < best.cost) best = { agent, cost }
    }
    if (best === undefined) {
      const second = Math.floor((now - WARM_UP) / 1000)
      if (second >= 0) this.refused[second]! += 1
    } else {
      best.agent.engine.ends.push(now + duration)
      const { version } = best.agent.engine
      if (this.scenario.published.some((at, index) => WARM_UP + at + BOUND <= now && version < index + 2)) this.begunTooLate += 1
    }
  }

  private _scheduleTrouble (): void {
    const { time } = this
    const shuffled = [...this.agents.values()].map(agent => ({ agent, order: this.draw() })).sort((left, right) => left.order - right.order).map(({ agent }) => agent)
    time.after(1_200, () => {
      for (const { engine } of shuffled.slice(0, Math.round(shuffled.length * 0.3))) for (const chunk of engine.staging.values()) if (this.draw() < 0.06) chunk.bad = true
    })
    for (const agent of shuffled.slice(-4)) {
      time.after(1_600, () => agent.kill())
      time.after(1_600 + 3_000, () => agent.revive())
    }
    shuffled.slice(4, 12).forEach((agent, index) => {
      time.after(2_200 + 250 * index, () => { agent.engine.leaving = true })
      time.after(2_200 + 250 * index + 3_000, () => {
        agent.kill()
        this.members = this.members.filter(({ instance }) => instance !== agent.member.instance)
        for (const peer of this._present()) for (const transfer of [peer.staged, peer.next]) transfer?.swarm.setMembers(this.members)
      })
    })
  }
}

/**
 * Plays a scenario.
 *
 * @example
 * const { capacity } = playVersions({ agents: 30, seed: 1, published: [0, 3_000], trouble: true })
 */
export function playVersions (scenario: VersionScenario): VersionOutcome { return new VersionFleet(scenario).run() }
