/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The demo scenario: 3 availability zones with 2 entries and 4 endpoints each. The fleet serves version 1, then a burst of requests
 * during which version 2 is rolled out and faults are injected.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { formatPairs, type LogFields } from 'drumdrift'
import type { Configuration } from '@drumdrift/core'
import { generateVersion, type GeneratedVersion } from '@drumdrift/stand-ins'
import { obtainRequestId, makeCall, type Call, type CallRecord } from './callers.js'
import { runsById, countFalseNotRun } from './oracles.js'
import { Fleet, organisations, type EndpointPlan, type Member } from './fleet.js'

const POOL = 'drafting'
const CHUNK_BYTES = 256 * 1024
const CHUNKS = 128
const BURST_SECONDS = 14
const CALLS_PER_SECOND = 60
const TIMEOUT_MILLISECONDS = 20_000
const WEIGHTS = { 'hall-1': 4, 'hall-2': 4, 'hall-3': 1, 'hall-4': 1, 'house-1': 2, 'house-2': 2 }

const zonePlans: Readonly<Record<string, readonly (readonly [string, 'model' | 'plain'])[]>> = {
  bagmati: [[POOL, 'model'], [POOL, 'model'], [POOL, 'model'], ['booking', 'plain']],
  gandaki: [[POOL, 'model'], [POOL, 'model'], [POOL, 'model'], ['booking', 'plain']],
  koshi: [[POOL, 'model'], [POOL, 'model'], ['booking', 'plain'], ['membership', 'plain']]
}

/** The result of the demo. */
export type DemoSummary = LogFields & { readonly result: 'pass' | 'fail' }

/** One run of the demo. */
export class DemoRun {
  private readonly _results: CallRecord[] = []
  private readonly _repeats: CallRecord[] = []
  private readonly _startedAt = performance.now()
  /** The number of calls that received no request id and were therefore not sent. */
  private _withoutId = 0
  private readonly _versions: readonly GeneratedVersion[]
  /** The call number of each id that an entry issued. */
  private readonly _issuedIds = new Map<string, number>()
  private _timeToReplicas = -1

  private constructor (private readonly _fleet: Fleet) {
    const common = { model: 'chat', chunks: CHUNKS, chunkBytes: CHUNK_BYTES, seed: 7, shared: 0.25 }
    this._versions = [generateVersion({ ...common, version: 'v1' }), generateVersion({ ...common, version: 'v2' })]
  }

  static async prepare (): Promise<DemoRun> {
    const endpoints: EndpointPlan[] = Object.entries(zonePlans).flatMap(([availabilityZone, plans]) => plans.map(([name, kind]) => ({ name, kind, availabilityZone })))
    const fleet = await Fleet.prepare({
      availabilityZones: Object.keys(zonePlans),
      entriesPerZone: 2,
      endpoints,
      linkMegabytesPerSecond: 16,
      originMegabytesPerSecond: 32,
      relays: true,
      hosts: 2,
      settings: [['requests', 'first-answer-seconds', '2'], ['requests', 'silence-seconds', '2']]
    })
    return new DemoRun(fleet)
  }

  /** Runs the scenario. */
  async run (): Promise<DemoSummary> {
    const fleet = this._fleet
    for (const version of this._versions) fleet.addVersion(version)
    fleet.publish(this._configuration('v1'))
    fleet.publishInstances()
    await fleet.startAll()
    this._print('started', { processes: fleet.members.length, up: await fleet.waitUntilUp(TIMEOUT_MILLISECONDS) })
    const first = await this._waitUntilServing(0, this._models(), TIMEOUT_MILLISECONDS)
    this._print('version-1', { serving: first, origin_copies: this._originCopies() })
    const burst = this._burst()
    await pause(2_000)
    await this._injectFaults()
    await burst
    await this._repeatCalls()
    const summary = await this._summarise()
    return summary
  }

  private async _injectFaults (): Promise<void> {
    const fleet = this._fleet
    const models = this._models()
    const [killed, frozen, drained, corrupt] = [models[1], models[4], models[6], models[2]] as [Member, Member, Member, Member]
    corrupt.relay?.set('corrupt', 3)
    const rolloutAt = performance.now()
    fleet.publish(this._configuration('v2'))
    this._print('rollout', { to: 'v2' })
    await pause(700)
    fleet.signal(killed, 'SIGKILL')
    killed.state = 'gone'
    this._print('killed', { instance: killed.instance })
    await pause(300)
    fleet.signal(frozen, 'SIGSTOP')
    this._print('frozen', { instance: frozen.instance })
    fleet.publishInstances()
    await pause(1_000)
    const status = await fleet.status(drained)
    await fleet.ask(drained, { type: 'leave', incarnation: status?.incarnation ?? '', lifecycle: 'draining', operator: 'demo' })
    this._print('drained', { instance: drained.instance })
    fleet.configuration.behaviour = 'down'
    this._print('configuration-service', { behaviour: 'down' })
    await pause(3_000)
    await fleet.start(killed)
    this._print('restarted', { instance: killed.instance, while_service_is: 'down' })
    await pause(700)
    fleet.signal(frozen, 'SIGCONT')
    this._print('thawed', { instance: frozen.instance })
    fleet.configuration.behaviour = 'normal'
    fleet.publishInstances()
    this._print('configuration-service', { behaviour: 'normal' })
    const serving = await this._waitUntilServing(1, models, TIMEOUT_MILLISECONDS)
    this._timeToReplicas = Math.round(performance.now() - rolloutAt)
    this._print('version-2', { serving, origin_copies: this._originCopies(), corrupted: corrupt.relay?.corruptedBlocks })
  }

  private _models (): Member[] {
    return this._fleet.agents.filter(member => member.kind === 'model')
  }

  /** Waits until all engines serve a version. Returns the number of engines that do. */
  private async _waitUntilServing (version: number, members: readonly Member[], timeout: number): Promise<number> {
    let serving = 0
    await this._fleet.waitUntil(async () => {
      serving = await this._countServing(version, members)
      return serving === members.length
    }, timeout)
    return serving
  }

  private async _countServing (version: number, members: readonly Member[]): Promise<number> {
    const ports = new Set(members.map(member => member.endpointPort))
    const { engines } = await this._fleet.journals()
    return engines.filter(engine => ports.has(engine.port) && engine.version === this._versions[version]?.digest).length
  }

  /** Sends calls at fixed times that do not depend on earlier calls (open loop). */
  private async _burst (): Promise<void> {
    const calls: Promise<unknown>[] = []
    const startedAt = performance.now()
    for (let index = 0; index < BURST_SECONDS * CALLS_PER_SECOND; index += 1) {
      const due = startedAt + index * 1000 / CALLS_PER_SECOND
      const wait = due - performance.now()
      if (wait > 0) await pause(wait)
      calls.push(this._send(index, due))
    }
    await Promise.all(calls)
  }

  private async _send (index: number, due: number): Promise<void> {
    const call = this._call(index)
    const id = call.neverRepeat === true ? await obtainRequestId(call.address) : call.id
    if (id === undefined) {
      this._withoutId += 1
      return
    }
    if (call.neverRepeat === true) this._issuedIds.set(id, index)
    this._results.push(await makeCall({ ...call, id, due }))
  }

  private _call (index: number): Call {
    const { entries } = this._fleet
    const names = Object.keys(WEIGHTS)
    const common = {
      id: `request-${index}`,
      organisation: names[index % names.length] ?? '',
      address: entries[index % entries.length]?.httpAddress ?? '',
      versions: this._versions.map(version => version.digest)
    }
    if (index % 5 === 3) return { ...common, plain: { service: 'booking', method: 'POST', path: '/notices', body: `{"notice":${index}}` }, neverRepeat: true }
    if (index % 10 === 4) return { ...common, plain: { service: 'membership', method: 'GET', path: `/members/${index}`, body: '' } }
    return { ...common, chat: { pool: POOL, prompt: `Plan rehearsal ${index % 40} for hall ${index % 7}`, tokens: 24, streamed: index % 2 === 0 } }
  }

  /** Repeats calls with the same id through another entry. */
  private async _repeatCalls (): Promise<void> {
    const neverRepeated = this._results.filter(record => record.neverRepeat).slice(0, 60)
    for (const [index, record] of neverRepeated.entries()) {
      const number = this._issuedIds.get(record.id) ?? 0
      const other = this._fleet.entries[(number + 1 + index) % this._fleet.entries.length]
      this._repeats.push(await makeCall({ ...this._call(number), id: record.id, address: other?.httpAddress ?? '' }))
    }
    this._print('repeated-by-callers', { asked: neverRepeated.length, answered_again: this._repeats.filter(repeat => repeat.result === 'whole').length })
  }

  private async _summarise (): Promise<DemoSummary> {
    const models = this._models()
    const serving = await this._countServing(1, models)
    const { engines, plains } = await this._fleet.journals()
    const originCopies = this._originCopies()
    const runs = runsById(plains)
    const count = (result: CallRecord['result']): number => this._results.filter(record => record.result === result).length
    const neverRepeat = new Set(this._results.filter(record => record.neverRepeat).map(record => record.id))
    const repeated = [...neverRepeat].filter(id => (runs.get(id) ?? 0) > 1).length
    const falseNotRun = countFalseNotRun([...this._results, ...this._repeats], runs)
    const partial = engines.reduce((sum, engine) => sum + engine.journal.partialLoads, 0)
    const orphans = await this._fleet.stop()
    this._printCodes()
    const good = serving === models.length && repeated === 0 && falseNotRun === 0 && count('mixed') === 0 && count('wrong') === 0 && partial === 0 && orphans === 0 && count('cut') === 0 && count('whole') > 0
    return {
      result: good ? 'pass' : 'fail',
      replicas: serving,
      of: models.length,
      time_to_replicas_milliseconds: this._timeToReplicas,
      origin_copies: originCopies.toFixed(2),
      answers_asked: this._results.length + this._withoutId,
      answers_whole: count('whole'),
      answers_refused: count('refused') + this._withoutId,
      answers_unknown: count('unknown'),
      answers_cut: count('cut'),
      answers_wrong: count('wrong'),
      not_run_untrue: falseNotRun,
      repeated,
      mixed_versions: count('mixed'),
      partial_loads: partial,
      orphans,
      seconds: Math.round((performance.now() - this._startedAt) / 1000)
    }
  }

  /** Prints the number of unanswered calls by code. */
  private _printCodes (): void {
    const codes = new Map<string, number>()
    for (const record of [...this._results, ...this._repeats]) {
      if (record.code !== '') codes.set(record.code, (codes.get(record.code) ?? 0) + 1)
    }
    for (const [code, calls] of codes) this._print('code', { code, calls })
  }

  private _originCopies (): number {
    return (this._fleet.origin.bytes + this._fleet.store.bytes) / (CHUNKS * CHUNK_BYTES)
  }

  private _configuration (version: string): Partial<Configuration> {
    const [first, second] = this._versions
    return {
      models: { chat: { versions: { v1: first?.digest ?? '', v2: second?.digest ?? '' } } },
      pools: { [POOL]: { model: 'chat', version, switchFraction: 0.34, slots: 16, originCopies: 1 } },
      services: { booking: { slots: 32, neverRepeat: [{ method: 'POST', pathPrefix: '/notices' }] }, membership: { slots: 32, neverRepeat: [] } },
      organisations: organisations(WEIGHTS)
    }
  }

  private _print (event: string, fields: LogFields): void {
    process.stdout.write(`${formatPairs({ event, at_milliseconds: Math.round(performance.now() - this._startedAt), ...fields })}\n`)
  }
}
