/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Runs real processes under load while entries and agents are killed and frozen at random, drawn from the seed. The oracles compare
 * the endpoints' journals with the answers that callers received. Callers retry unanswered requests through another entry.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { formatPairs } from 'drumdrift'
import { defaultEngineTimes, generateVersion } from '@drumdrift/stand-ins'
import { printFigures, seededRandom, type BenchOptions } from './bench-options.js'
import { obtainRequestId, makeCall, type Call, type CallRecord } from './callers.js'
import { Fleet, organisations, type EndpointPlan, type Member } from './fleet.js'
import { runsById, countFalseNotRun } from './oracles.js'

const ZONES = ['koshi', 'bagmati'] as const
const CALLS_PER_SECOND = 60
const FAULT_INTERVAL_MILLISECONDS = 900
const FREEZE_MILLISECONDS = 2_500
const DOWN_MILLISECONDS = 800
const MAX_RETRIES = 3
const RETRY_DELAY_MILLISECONDS = 400
const LARGEST_SEED = 1_000

const endpoints: readonly EndpointPlan[] = ZONES.flatMap(availabilityZone => [
  ...['drafting', 'drafting', 'drafting'].map(name => ({ name, kind: 'model' as const, availabilityZone })),
  ...['booking', 'booking', 'booking'].map(name => ({ name, kind: 'plain' as const, availabilityZone }))
])

type Fault = (fleet: Fleet, member: Member) => Promise<void>

const faults: Readonly<Record<string, Fault>> = {
  kill: async (fleet, member) => {
    fleet.signal(member, 'SIGKILL')
    await fleet.waitForExit(member)
    await pause(DOWN_MILLISECONDS)
    await fleet.start(member)
  },
  freeze: async (fleet, member) => {
    fleet.signal(member, 'SIGSTOP')
    await pause(FREEZE_MILLISECONDS)
    fleet.signal(member, 'SIGCONT')
  }
}

/** Runs for the given time and checks the results. */
export async function chaosBench (options: BenchOptions): Promise<boolean> {
  const version = generateVersion({ model: 'chat', version: 'v1', chunks: 8, chunkBytes: 16_384, seed: options.seed })
  const fleet = await startFleet(version)
  const random = seededRandom(options.seed % LARGEST_SEED + 1)
  const records: CallRecord[] = []
  const pending: Promise<void>[] = []
  const end = performance.now() + options.seconds * 1000
  const injection = injectFaults(fleet, random, end)
  for (let number = 0; performance.now() < end; number += 1) {
    pending.push(requestUntilAnswered(fleet, number, [version.digest], records))
    await pause(1000 / CALLS_PER_SECOND)
  }
  await Promise.all(pending)
  const faultCount = await injection
  await pause(FREEZE_MILLISECONDS)
  return await checkResults(fleet, records, options, faultCount)
}

async function startFleet (version: ReturnType<typeof generateVersion>): Promise<Fleet> {
  const fleet = await Fleet.prepare({
    availabilityZones: ZONES,
    entriesPerZone: 2,
    endpoints,
    linkMegabytesPerSecond: 200,
    originMegabytesPerSecond: 200,
    engineTimes: { ...defaultEngineTimes, load: 50 },
    settings: [['process', 'log-level', 'warn'], ['requests', 'first-answer-seconds', '1'], ['requests', 'silence-seconds', '1'], ['requests', 'deadline-seconds', '6']]
  })
  fleet.addVersion(version)
  fleet.publish({
    models: { chat: { versions: { v1: version.digest } } },
    pools: { drafting: { model: 'chat', version: 'v1', switchFraction: 1, slots: 16, originCopies: 1 } },
    services: { booking: { slots: 32, neverRepeat: [{ method: 'POST', pathPrefix: '/notices' }] } },
    organisations: organisations({ 'hall-1': 1, 'hall-2': 1 })
  })
  fleet.publishInstances()
  await fleet.startAll()
  const up = await fleet.waitUntilUp() && await fleet.waitUntil(async () => (await fleet.journals()).engines.every(engine => engine.version === version.digest), 30_000)
  if (!up) throw new Error('the fleet did not start in time')
  return fleet
}

async function injectFaults (fleet: Fleet, random: () => number, end: number): Promise<number> {
  const pending: Promise<void>[] = []
  const busy = new Set<Member>()
  const names = Object.keys(faults)
  while (performance.now() < end - FREEZE_MILLISECONDS) {
    await pause(FAULT_INTERVAL_MILLISECONDS)
    const member = fleet.members[Math.floor(random() * fleet.members.length)]
    const name = names[Math.floor(random() * names.length)] ?? ''
    const fault = faults[name]
    if (member === undefined || fault === undefined || busy.has(member)) continue
    busy.add(member)
    process.stdout.write(`${formatPairs({ event: 'fault', fault: name, instance: member.instance })}\n`)
    pending.push(fault(fleet, member).then(() => { busy.delete(member) }))
  }
  await Promise.all(pending)
  return pending.length
}

/** Sends a request and retries it with the same id through another entry until it is answered or the retries are used up. */
async function requestUntilAnswered (fleet: Fleet, number: number, versions: readonly string[], records: CallRecord[]): Promise<void> {
  const neverRepeat = number % 2 === 0
  const id = neverRepeat ? await obtainRequestId(entryAddress(fleet, number)) : `chat-${number}`
  if (id === undefined) return
  for (let attempt = 0; attempt <= MAX_RETRIES; attempt += 1) {
    const call: Call = { id, organisation: `hall-${number % 2 + 1}`, address: entryAddress(fleet, number + attempt), versions, timeout: 8_000, ...(neverRepeat ? noticeCall(number) : chatCall(number)) }
    const record = await makeCall(call)
    records.push(record)
    if (record.result === 'whole' || record.code === 'already-claimed') return
    await pause(RETRY_DELAY_MILLISECONDS)
  }
}

function entryAddress (fleet: Fleet, index: number): string {
  return fleet.entries[index % fleet.entries.length]?.httpAddress ?? ''
}

function noticeCall (number: number): Pick<Call, 'plain' | 'neverRepeat'> {
  return { plain: { service: 'booking', method: 'POST', path: '/notices', body: `{"notice":${number}}` }, neverRepeat: true }
}

function chatCall (number: number): Pick<Call, 'chat'> {
  return { chat: { pool: 'drafting', prompt: `prompt ${number % 30}`, tokens: 16, streamed: number % 4 === 1 } }
}

async function checkResults (fleet: Fleet, records: readonly CallRecord[], options: BenchOptions, faultCount: number): Promise<boolean> {
  const journals = await fleet.journals()
  const runs = runsById(journals.plains)
  const count = (result: CallRecord['result']): number => records.filter(record => record.result === result).length
  const repeated = [...new Set(records.filter(record => record.neverRepeat).map(record => record.id))].filter(id => (runs.get(id) ?? 0) > 1).length
  const falseNotRun = countFalseNotRun(records, runs)
  const partial = journals.engines.reduce((sum, engine) => sum + engine.journal.partialLoads, 0)
  const orphans = await fleet.stop()
  const answered = new Set(records.filter(record => record.result === 'whole').map(record => record.id)).size
  const held = repeated === 0 && falseNotRun === 0 && count('wrong') === 0 && count('mixed') === 0 && partial === 0
  printFigures('chaos', {
    seed: options.seed, seconds: options.seconds, faults: faultCount, ids: new Set(records.map(record => record.id)).size, answered, calls: records.length, whole: count('whole'), refused: count('refused'), unknown: count('unknown'), cut: count('cut'), wrong: count('wrong'), mixed: count('mixed'), repeated, not_run_untrue: falseNotRun, partial_loads: partial, orphans, held
  })
  return held
}
