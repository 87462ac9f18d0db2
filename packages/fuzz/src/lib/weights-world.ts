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
  AdmissionController, defaultTransferPolicy, EngineSwitch, Transfer, type EngineReport, type InstanceRecord, type LoadResult, type Manifest, type SwitchEffect, type TransferEffect
} from '@drumdrift/core'
import { Process, World } from './world.js'

/** The parts whose protections a variant may remove. */
export interface WeightsParts {
  readonly admissionController: (incarnation: string, slots: number) => AdmissionController
  /** Returns whether a chunk matches its digest. */
  readonly verify: (content: string, digest: string) => boolean
  /** Whether only a complete version may be loaded. */
  readonly waitsForCompleteVersion: boolean
  /** Whether the staged chunks are checked again before a load. */
  readonly rechecksStaging: boolean
  /** Whether the engine refuses orders and requests with an outdated fence. */
  readonly enforcesFence: boolean
}

/** The product's own parts. */
export const realWeightsParts: WeightsParts = {
  admissionController: (incarnation, slots) => new AdmissionController(incarnation, slots),
  verify: (content, digest) => digestOf(content) === digest,
  waitsForCompleteVersion: true,
  rechecksStaging: true,
  enforcesFence: true
}

interface Engine {
  readonly staging: Map<string, string>
  version: string
  loading: string
  failed: string
  fence: number
  running: number
  reportedRunning: number
  /** Contents of the chunks that the engine serves. */
  contents: readonly string[]
}

interface Member {
  readonly record: InstanceRecord
  readonly engine: Engine
  process: Process
  admissionController: AdmissionController
  engineSwitch: EngineSwitch
  transfer: Transfer | undefined
  revision: number
  completeDigest: string
  /** Whether this agent corrupts the chunks that it sends to peers. */
  corrupts: boolean
}

const ZONES = ['koshi', 'bagmati'] as const
const MEMBER_COUNT = 5
const CHUNK_COUNT = 6
const SHARED_CHUNK_COUNT = 2
const VERSIONS = ['v1', 'v2', 'v3'] as const
/** Times are in milliseconds. */
const TICK_INTERVAL = 50
const POLL_INTERVAL = 200
const LOAD_TIME = 300
const REPORT_DELAY = 300
const CHUNK_TIME = 30
const CHUNK_TIMEOUT = 4_000
const SLOTS = 4

function digestOf (content: string): string { return `digest of ${content}` }

function contentOf (version: string, index: number): string {
  return index < SHARED_CHUNK_COUNT ? `shared ${index}` : `${version} ${index}`
}

function manifestOf (version: string): Manifest {
  return { model: 'chat', version, bytes: CHUNK_COUNT, chunks: Array.from({ length: CHUNK_COUNT }, (_, index) => ({ digest: digestOf(contentOf(version, index)), bytes: 1 })) }
}

/** Simulation of agents and their engines. */
export class WeightsWorld {
  readonly world: World
  readonly members: Member[] = []
  private readonly _records: InstanceRecord[]
  private _revision = 1
  private _desiredVersion: string = VERSIONS[0]
  private _originAvailable = true
  private _incarnations = 0

  constructor (seed: number, private readonly _parts: WeightsParts = realWeightsParts) {
    this.world = new World(seed)
    this._records = Array.from({ length: MEMBER_COUNT }, (_, index) => ({
      instance: `agent-${index}`, availabilityZone: ZONES[index % ZONES.length] ?? '', role: 'agent', address: `10.0.0.${index}:1`, endpoint: 'p', state: 'live'
    }))
    for (const record of this._records) {
      const engine: Engine = { staging: new Map(), version: '', loading: '', failed: '', fence: 0, running: 0, reportedRunning: 0, contents: [] }
      this.members.push(this._startMember(record, engine))
    }
  }

  /** Changes the desired version; agents learn of it after a delay. */
  setDesiredVersion (index: number): void {
    this._desiredVersion = VERSIONS[index % VERSIONS.length] ?? ''
    this._revision += 1
    for (const member of this.members) this._announceVersion(member)
  }

  /** Sends a request to an agent. */
  request (index: number): void {
    const member = this._memberAt(index)
    this.world.after(1, member.process, () => {
      const admission = member.admissionController.run(this.world.now)
      if (admission.type !== 'admitted') return
      // The engine refuses a request with an outdated fence, so that it does not run.
      if (this._parts.enforcesFence && member.engineSwitch.fence < member.engine.fence) member.admissionController.finished(admission.run)
      else this._runRequest(member, admission.run)
    })
  }

  kill (index: number): void { this.world.kill(this._memberAt(index).process) }

  /** Starts a new agent for the same engine; the old one is killed, or frozen and thawed later while the new one runs. */
  replace (index: number, oldIsFrozen: boolean): void {
    const at = index % this.members.length
    const old = this.members[at] as Member
    if (oldIsFrozen) this.world.freeze(old.process)
    else this.world.kill(old.process)
    this.members[at] = this._startMember(old.record, old.engine)
    if (oldIsFrozen) this.world.after(this.world.uniform(500, 6_000), undefined, () => this.world.thaw(old.process))
  }

  freeze (index: number): void { this.world.freeze(this._memberAt(index).process) }

  thawAll (): void { for (const member of this.members) this.world.thaw(member.process) }

  cut (from: number, to: number): void { this.world.cut(this._memberAt(from).process.name, this._memberAt(to).process.name) }

  corrupt (index: number): void { this._memberAt(index).corrupts = true }

  setOrigin (available: boolean): void { this._originAvailable = available }

  /** Ends all disturbances and checks that every engine reaches the desired version. */
  settle (): void {
    this.world.heal()
    this.thawAll()
    this._originAvailable = true
    for (const [index, member] of this.members.entries()) {
      member.corrupts = false
      if (!member.process.alive) this.replace(index, false)
    }
    for (const member of this.members) this._announceVersion(member)
    this.world.advance(90_000)
    for (const { engine, record } of this.members) {
      if (engine.version !== this._desiredVersion) this.world.recordViolation(`reaches-all: the engine of ${record.instance} serves "${engine.version}", not ${this._desiredVersion}`)
    }
  }

  private _startMember (record: InstanceRecord, engine: Engine): Member {
    const { world } = this
    const process = new Process(record.instance, record.availabilityZone, `${record.instance}.${this._incarnations++}`, world.uniform(0, 1e6))
    const controller = this._parts.admissionController(process.incarnation, SLOTS)
    const member: Member = {
      record, engine, process, admissionController: controller, engineSwitch: new EngineSwitch(record.instance, controller, world.clock(process)), transfer: undefined, revision: 0, completeDigest: '', corrupts: false
    }
    this._repeat(member, TICK_INTERVAL, () => this._executeTransferEffects(member, member.transfer?.tick(world.clock(process)) ?? []))
    this._repeat(member, POLL_INTERVAL, () => this._poll(member))
    this._announceVersion(member)
    return member
  }

  private _repeat (member: Member, pause: number, run: () => void): void {
    const step = (): void => {
      run()
      this.world.after(pause, member.process, step)
    }
    this.world.after(this.world.uniform(0, pause), member.process, step)
  }

  private _announceVersion (member: Member): void {
    const revision = this._revision
    const version = this._desiredVersion
    this.world.after(this.world.uniform(0, 500), member.process, () => {
      if (revision <= member.revision) return
      member.revision = revision
      this._startTransfer(member, version)
    })
  }

  private _startTransfer (member: Member, version: string): void {
    this._executeTransferEffects(member, member.transfer?.cancel() ?? [])
    member.completeDigest = ''
    member.transfer = new Transfer(member.record, this._records, version, manifestOf(version), new Set(member.engine.staging.keys()), defaultTransferPolicy)
  }

  // Transfer.

  private _executeTransferEffects (member: Member, effects: readonly TransferEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'fetch') this._fetch(member, effect)
      if (effect.type === 'whole') member.completeDigest = effect.manifestDigest
    }
  }

  private _fetch (member: Member, effect: Extract<TransferEffect, { type: 'fetch' }>): void {
    const { world } = this
    const { transfer, process } = member
    const { source } = effect
    const handleContent = (content: string | undefined): void => {
      if (transfer !== member.transfer || transfer === undefined) return
      const now = world.clock(process)
      if (content === undefined) return this._executeTransferEffects(member, transfer.failed(effect.attempt, 'not-yet', now))
      if (!this._parts.verify(content, effect.digest)) return this._executeTransferEffects(member, transfer.failed(effect.attempt, 'corrupt', now))
      member.engine.staging.set(effect.digest, content)
      this._executeTransferEffects(member, transfer.chunkReceived(effect.attempt, now))
    }
    if (source.kind !== 'peer') {
      world.after(CHUNK_TIME, process, () => handleContent(this._originAvailable ? effect.digest.replace('digest of ', '') : undefined))
      return
    }
    const peer = this.members.find(candidate => candidate.record.instance === source.instance)
    world.call(process, peer?.process, () => {
      const held = peer?.engine.staging.get(effect.digest)
      return peer?.corrupts === true && held !== undefined ? `${held} spoiled` : held
    }, CHUNK_TIMEOUT, answer => {
      if (answer === 'unreachable') this._executeTransferEffects(member, transfer?.failed(effect.attempt, 'unreachable', world.clock(process)) ?? [])
      else handleContent(answer)
    })
  }

  // Switch of versions.

  private _poll (member: Member): void {
    const { engine, process } = member
    const target = member.transfer === undefined ? '' : this._transferVersion(member)
    const report: EngineReport = { version: engine.version, loading: engine.loading, failed: engine.failed, fence: engine.fence, running: engine.reportedRunning }
    const situation = {
      target: target === '' ? undefined : { manifestDigest: target, switchFraction: 0.5 },
      wholeDigest: this._parts.waitsForCompleteVersion ? member.completeDigest : target,
      members: this._records,
      configuredDigests: new Set<string>(VERSIONS)
    }
    for (const effect of member.engineSwitch.step(report, situation, this.world.clock(process))) this._executeSwitchEffect(member, effect)
  }

  private _executeSwitchEffect (member: Member, effect: SwitchEffect): void {
    const { world } = this
    if (effect.type === 'ask-progress') {
      for (const instance of effect.instances) {
        const peer = this.members.find(candidate => candidate.record.instance === instance)
        world.call(member.process, peer?.process, () => (peer as Member).engineSwitch.progress(effect.digest), 500, answer => member.engineSwitch.progressReported(instance, answer, world.clock(member.process)))
      }
    }
    if (effect.type === 'take-over') {
      world.after(world.uniform(0, 5), member.process, () => {
        const taken = !this._parts.enforcesFence || effect.fence > member.engine.fence
        if (taken && this._parts.enforcesFence) member.engine.fence = effect.fence
        for (const next of member.engineSwitch.takeOverAnswered(effect.fence, taken ? 'taken' : 'stale-fence', world.clock(member.process))) this._executeSwitchEffect(member, next)
      })
    }
    if (effect.type === 'replaced') this._endAgent(member)
    if (effect.type === 'order-load') this._orderLoad(member, effect.digest, effect.fence)
    if (effect.type === 'switched') this._deleteOtherChunks(member, effect.digest)
  }

  /** Ends an agent that found itself replaced; the platform starts a new one if it is still the agent of its slot. */
  private _endAgent (member: Member): void {
    const index = this.members.indexOf(member)
    this.world.kill(member.process)
    if (index >= 0) this.world.after(100, undefined, () => { if (this.members[index] === member) this.replace(index, false) })
  }

  /** Orders a load after a short delay, during which the agent may be frozen. */
  private _orderLoad (member: Member, digest: string, fence: number): void {
    const held = (): boolean => manifestOf(digest).chunks.every(chunk => member.engine.staging.has(chunk.digest))
    const answer = (result: LoadResult): void => member.engineSwitch.loadAnswered(digest, result, this.world.clock(member.process))
    this.world.after(this.world.uniform(0, 5), member.process, () => {
      if (this._parts.rechecksStaging && !held()) {
        this._startTransfer(member, digest)
        return answer('refused-here')
      }
      answer(this._load(member.engine, digest, fence))
    })
  }

  private _load (engine: Engine, digest: string, fence: number): LoadResult {
    if (this._parts.enforcesFence && fence < engine.fence) return 'stale-fence'
    if (engine.running > 0) this.world.recordViolation(`one-version: a load of ${digest} was ordered while ${engine.running} requests were in progress`)
    engine.loading = digest
    this.world.after(LOAD_TIME, undefined, () => {
      if (engine.loading !== digest) return
      engine.loading = ''
      engine.version = digest
      engine.contents = manifestOf(digest).chunks.map(chunk => engine.staging.get(chunk.digest) ?? 'nothing')
      const expected = Array.from({ length: CHUNK_COUNT }, (_, index) => contentOf(digest, index))
      if (engine.contents.join() !== expected.join()) this.world.recordViolation(`whole-version: ${digest} was loaded as ${engine.contents.join()}`)
    })
    return 'ordered'
  }

  /** Deletes the chunks of other versions; like an order, this needs the newest fence, so that an agent thawed late deletes nothing. */
  private _deleteOtherChunks (member: Member, digest: string): void {
    const { engine } = member
    if (member.engineSwitch.fence < engine.fence || this._transferVersion(member) !== digest) return
    const kept = new Set(manifestOf(digest).chunks.map(chunk => chunk.digest))
    for (const staged of [...engine.staging.keys()]) if (!kept.has(staged)) engine.staging.delete(staged)
  }

  private _runRequest (member: Member, run: number): void {
    const { engine, process } = member
    const { version } = engine
    if (engine.loading !== '') this.world.recordViolation(`one-version: a request began while ${engine.loading} was being loaded`)
    engine.running += 1
    this._report(engine)
    this.world.after(this.world.uniform(50, 900), undefined, () => {
      engine.running -= 1
      this._report(engine)
      if (engine.version !== version) this.world.recordViolation(`one-version: an answer began on ${version} and ended on ${engine.version}`)
      this.world.after(0, process, () => member.admissionController.finished(run))
    })
  }

  /** Reports the engine's load after a delay. */
  private _report (engine: Engine): void {
    const { running } = engine
    this.world.after(REPORT_DELAY, undefined, () => { engine.reportedRunning = running })
  }

  private _transferVersion (member: Member): string { return member.transfer?.manifestDigest ?? '' }
  private _memberAt (index: number): Member { return this.members[index % this.members.length] as Member }
}
