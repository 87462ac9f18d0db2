/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Agents of one pool on the simulated network, with the real transfer, switch and admission, and fake engines that load
 * whatever they are ordered to. The oracle compares the weights that an engine serves with the correct ones.
 */
import {
  AdmissionDoor, defaultTransferPolicy, EngineSwitch, Transfer, type EngineReport, type InstanceRecord, type LoadResult, type Manifest, type SwitchEffect, type TransferEffect
} from '@drumdrift/core'
import { Process, World } from './world.js'

/** The parts whose protections a variant may remove. */
export interface WeightsParts {
  readonly door: (incarnation: string, slots: number) => AdmissionDoor
  /** Returns whether a chunk matches its digest. */
  readonly verify: (content: string, digest: string) => boolean
  /** Whether only a complete version may be loaded. */
  readonly waitsForWhole: boolean
  /** Whether the staged chunks are checked again before a load. */
  readonly looksAgain: boolean
  /** Whether the engine refuses orders and requests with an outdated fence. */
  readonly takesOver: boolean
}

/** The product's own parts. */
export const realWeightsParts: WeightsParts = {
  door: (incarnation, slots) => new AdmissionDoor(incarnation, slots),
  verify: (content, digest) => digestOf(content) === digest,
  waitsForWhole: true,
  looksAgain: true,
  takesOver: true
}

interface Engine {
  readonly staging: Map<string, string>
  version: string
  loading: string
  failed: string
  fence: number
  running: number
  reported: number
  /** Contents of the chunks that the engine serves. */
  contents: readonly string[]
}

interface Member {
  readonly record: InstanceRecord
  readonly engine: Engine
  process: Process
  door: AdmissionDoor
  engineSwitch: EngineSwitch
  transfer: Transfer | undefined
  revision: number
  whole: string
  /** Whether this agent corrupts the chunks that it sends to peers. */
  corrupts: boolean
}

const ZONES = ['koshi', 'bagmati'] as const
const MEMBERS = 5
const CHUNKS = 6
const SHARED = 2
const VERSIONS = ['v1', 'v2', 'v3'] as const
/** Times are in milliseconds. */
const TICK = 50
const POLL = 200
const LOAD_TIME = 300
const REPORT_LAG = 300
const CHUNK_TIME = 30
const CHUNK_TIMEOUT = 4_000
const SLOTS = 4

function digestOf (content: string): string { return `digest of ${content}` }

function contentOf (version: string, index: number): string {
  return index < SHARED ? `shared ${index}` : `${version} ${index}`
}

function manifestOf (version: string): Manifest {
  return { model: 'chat', version, bytes: CHUNKS, chunks: Array.from({ length: CHUNKS }, (_, index) => ({ digest: digestOf(contentOf(version, index)), bytes: 1 })) }
}

/** Simulation of agents and their engines. */
export class WeightsWorld {
  readonly world: World
  readonly members: Member[] = []
  private readonly _records: InstanceRecord[]
  private _revision = 1
  private _wanted: string = VERSIONS[0]
  private _originWell = true
  private _incarnations = 0

  constructor (seed: number, private readonly _parts: WeightsParts = realWeightsParts) {
    this.world = new World(seed)
    this._records = Array.from({ length: MEMBERS }, (_, index) => ({
      instance: `agent-${index}`, availabilityZone: ZONES[index % ZONES.length] ?? '', role: 'agent', address: `10.0.0.${index}:1`, endpoint: 'p', state: 'live'
    }))
    for (const record of this._records) {
      const engine: Engine = { staging: new Map(), version: '', loading: '', failed: '', fence: 0, running: 0, reported: 0, contents: [] }
      this.members.push(this._start(record, engine))
    }
  }

  /** Changes the desired version; agents learn of it after a delay. */
  want (index: number): void {
    this._wanted = VERSIONS[index % VERSIONS.length] ?? ''
    this._revision += 1
    for (const member of this.members) this._tell(member)
  }

  /** Sends a request to an agent. */
  request (index: number): void {
    const member = this._at(index)
    this.world.after(1, member.process, () => {
      const admission = member.door.run(this.world.now)
      if (admission.type !== 'admitted') return
      // The engine refuses a request with an outdated fence, so that it does not run.
      if (this._parts.takesOver && member.engineSwitch.fence < member.engine.fence) member.door.finished(admission.run)
      else this._run(member, admission.run)
    })
  }

  kill (index: number): void { this.world.kill(this._at(index).process) }

  /** Starts a new agent for the same engine; the old one is killed, or frozen and thawed later while the new one runs. */
  replace (index: number, oldIsFrozen: boolean): void {
    const at = index % this.members.length
    const old = this.members[at] as Member
    if (oldIsFrozen) this.world.freeze(old.process)
    else this.world.kill(old.process)
    this.members[at] = this._start(old.record, old.engine)
    if (oldIsFrozen) this.world.after(this.world.between(500, 6_000), undefined, () => this.world.thaw(old.process))
  }

  freeze (index: number): void { this.world.freeze(this._at(index).process) }

  thawAll (): void { for (const member of this.members) this.world.thaw(member.process) }

  cut (from: number, to: number): void { this.world.cut(this._at(from).process.name, this._at(to).process.name) }

  corrupt (index: number): void { this._at(index).corrupts = true }

  setOrigin (well: boolean): void { this._originWell = well }

  /** Ends all disturbances and checks that every engine reaches the desired version. */
  settle (): void {
    this.world.heal()
    this.thawAll()
    this._originWell = true
    for (const [index, member] of this.members.entries()) {
      member.corrupts = false
      if (!member.process.alive) this.replace(index, false)
    }
    for (const member of this.members) this._tell(member)
    this.world.advance(90_000)
    for (const { engine, record } of this.members) {
      if (engine.version !== this._wanted) this.world.violate(`reaches-all: the engine of ${record.instance} serves "${engine.version}", not ${this._wanted}`)
    }
  }

  private _start (record: InstanceRecord, engine: Engine): Member {
    const { world } = this
    const process = new Process(record.instance, record.availabilityZone, `${record.instance}.${this._incarnations++}`, world.between(0, 1e6))
    const door = this._parts.door(process.incarnation, SLOTS)
    const member: Member = {
      record, engine, process, door, engineSwitch: new EngineSwitch(record.instance, door, world.clock(process)), transfer: undefined, revision: 0, whole: '', corrupts: false
    }
    this._repeat(member, TICK, () => this._carry(member, member.transfer?.tick(world.clock(process)) ?? []))
    this._repeat(member, POLL, () => this._poll(member))
    this._tell(member)
    return member
  }

  private _repeat (member: Member, pause: number, run: () => void): void {
    const step = (): void => {
      run()
      this.world.after(pause, member.process, step)
    }
    this.world.after(this.world.between(0, pause), member.process, step)
  }

  private _tell (member: Member): void {
    const revision = this._revision
    const wanted = this._wanted
    this.world.after(this.world.between(0, 500), member.process, () => {
      if (revision <= member.revision) return
      member.revision = revision
      this._want(member, wanted)
    })
  }

  private _want (member: Member, version: string): void {
    this._carry(member, member.transfer?.cancel() ?? [])
    member.whole = ''
    member.transfer = new Transfer(member.record, this._records, version, manifestOf(version), new Set(member.engine.staging.keys()), defaultTransferPolicy)
  }

  // Transfer.

  private _carry (member: Member, effects: readonly TransferEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'fetch') this._fetch(member, effect)
      if (effect.type === 'whole') member.whole = effect.manifestDigest
    }
  }

  private _fetch (member: Member, effect: Extract<TransferEffect, { type: 'fetch' }>): void {
    const { world } = this
    const { transfer, process } = member
    const { source } = effect
    const arrive = (content: string | undefined): void => {
      if (transfer !== member.transfer || transfer === undefined) return
      const now = world.clock(process)
      if (content === undefined) return this._carry(member, transfer.failed(effect.attempt, 'not-yet', now))
      if (!this._parts.verify(content, effect.digest)) return this._carry(member, transfer.failed(effect.attempt, 'corrupt', now))
      member.engine.staging.set(effect.digest, content)
      this._carry(member, transfer.arrived(effect.attempt, now))
    }
    if (source.kind !== 'peer') {
      world.after(CHUNK_TIME, process, () => arrive(this._originWell ? effect.digest.replace('digest of ', '') : undefined))
      return
    }
    const peer = this.members.find(candidate => candidate.record.instance === source.instance)
    world.call(process, peer?.process, () => {
      const held = peer?.engine.staging.get(effect.digest)
      return peer?.corrupts === true && held !== undefined ? `${held} spoiled` : held
    }, CHUNK_TIMEOUT, answer => {
      if (answer === 'unreachable') this._carry(member, transfer?.failed(effect.attempt, 'unreachable', world.clock(process)) ?? [])
      else arrive(answer)
    })
  }

  // Switch of versions.

  private _poll (member: Member): void {
    const { engine, process } = member
    const wanted = member.transfer === undefined ? '' : this._versionOf(member)
    const report: EngineReport = { version: engine.version, loading: engine.loading, failed: engine.failed, fence: engine.fence, running: engine.reported }
    const situation = {
      target: wanted === '' ? undefined : { manifestDigest: wanted, switchFraction: 0.5 },
      wholeDigest: this._parts.waitsForWhole ? member.whole : wanted,
      members: this._records,
      knownDigests: new Set<string>(VERSIONS)
    }
    for (const effect of member.engineSwitch.step(report, situation, this.world.clock(process))) this._switchEffect(member, effect)
  }

  private _switchEffect (member: Member, effect: SwitchEffect): void {
    const { world } = this
    if (effect.type === 'ask-progress') {
      for (const instance of effect.instances) {
        const peer = this.members.find(candidate => candidate.record.instance === instance)
        world.call(member.process, peer?.process, () => (peer as Member).engineSwitch.progress(effect.digest), 500, answer => member.engineSwitch.heard(instance, answer, world.clock(member.process)))
      }
    }
    if (effect.type === 'take-over') {
      world.after(world.between(0, 5), member.process, () => {
        const taken = !this._parts.takesOver || effect.fence > member.engine.fence
        if (taken && this._parts.takesOver) member.engine.fence = effect.fence
        for (const next of member.engineSwitch.tookOver(effect.fence, taken ? 'taken' : 'stale-fence', world.clock(member.process))) this._switchEffect(member, next)
      })
    }
    if (effect.type === 'replaced') this._end(member)
    if (effect.type === 'order-load') this._order(member, effect.digest, effect.fence)
    if (effect.type === 'switched') this._dropOthers(member, effect.digest)
  }

  /** Ends an agent that found itself replaced; the platform starts a new one if it is still the agent of its slot. */
  private _end (member: Member): void {
    const index = this.members.indexOf(member)
    this.world.kill(member.process)
    if (index >= 0) this.world.after(100, undefined, () => { if (this.members[index] === member) this.replace(index, false) })
  }

  /** Orders a load after a short delay, during which the agent may be frozen. */
  private _order (member: Member, digest: string, fence: number): void {
    const held = (): boolean => manifestOf(digest).chunks.every(chunk => member.engine.staging.has(chunk.digest))
    const answer = (result: LoadResult): void => member.engineSwitch.loadAnswered(digest, result, this.world.clock(member.process))
    this.world.after(this.world.between(0, 5), member.process, () => {
      if (this._parts.looksAgain && !held()) {
        this._want(member, digest)
        return answer('refused-here')
      }
      answer(this._load(member.engine, digest, fence))
    })
  }

  private _load (engine: Engine, digest: string, fence: number): LoadResult {
    if (this._parts.takesOver && fence < engine.fence) return 'stale-fence'
    if (engine.running > 0) this.world.violate(`one-version: a load of ${digest} was ordered while ${engine.running} requests were in progress`)
    engine.loading = digest
    this.world.after(LOAD_TIME, undefined, () => {
      if (engine.loading !== digest) return
      engine.loading = ''
      engine.version = digest
      engine.contents = manifestOf(digest).chunks.map(chunk => engine.staging.get(chunk.digest) ?? 'nothing')
      const truth = Array.from({ length: CHUNKS }, (_, index) => contentOf(digest, index))
      if (engine.contents.join() !== truth.join()) this.world.violate(`whole-version: ${digest} was loaded as ${engine.contents.join()}`)
    })
    return 'ordered'
  }

  /** Deletes the chunks of other versions; like an order, this needs the newest fence, so that an agent thawed late deletes nothing. */
  private _dropOthers (member: Member, digest: string): void {
    const { engine } = member
    if (member.engineSwitch.fence < engine.fence || this._versionOf(member) !== digest) return
    const kept = new Set(manifestOf(digest).chunks.map(chunk => chunk.digest))
    for (const staged of [...engine.staging.keys()]) if (!kept.has(staged)) engine.staging.delete(staged)
  }

  private _run (member: Member, run: number): void {
    const { engine, process } = member
    const { version } = engine
    if (engine.loading !== '') this.world.violate(`one-version: a request began while ${engine.loading} was being loaded`)
    engine.running += 1
    this._report(engine)
    this.world.after(this.world.between(50, 900), undefined, () => {
      engine.running -= 1
      this._report(engine)
      if (engine.version !== version) this.world.violate(`one-version: an answer began on ${version} and ended on ${engine.version}`)
      this.world.after(0, process, () => member.door.finished(run))
    })
  }

  /** Reports the engine's load after a delay. */
  private _report (engine: Engine): void {
    const { running } = engine
    this.world.after(REPORT_LAG, undefined, () => { engine.reported = running })
  }

  private _versionOf (member: Member): string { return member.transfer?.manifestDigest ?? '' }
  private _at (index: number): Member { return this.members[index % this.members.length] as Member }
}
