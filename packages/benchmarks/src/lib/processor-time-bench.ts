/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Measures the processor time, the wakes and the context switches of the production programs, built and started as in
 * `deploy/system.toml`: of a start, of an idle second, and of a second with streams.
 */
import { execSync, spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { call, freePorts, isReady, KeyValueStoreStandIn, tolerantConfiguration, UsersWorkerStandIn, type CallerResponse } from '@drumdrift/stand-ins'
import { printFigures, twoDecimals, type BenchOptions } from './bench-options.js'
import { readUse, type ProcessUse } from './process-reading.js'

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url))
const ENTRIES = 6
const AGENTS = 12
/** An eighth of the streams of a deployment of 39 entries. Each entry gets as many as there. */
const STREAMS_PER_SECOND = 64
const EVENTS_PER_STREAM = 18
const EVENT_INTERVAL_MILLISECONDS = 10
/** So few that every change of the number of running requests is reported, which makes an entry receive as many reports as in a busy deployment. */
const SLOTS = 4
const CALL_TIMEOUT_MILLISECONDS = 10_000
/** The starting processes are measured for this long, in milliseconds. */
const START_MILLISECONDS = 2_000
const SETTLE_MILLISECONDS = 4_000
const READY_TIMEOUT_MILLISECONDS = 20_000
const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
/** The engines' addresses depend on the process id, so that concurrent runs share none. */
const engineNetwork = `127.${1 + (process.pid >> 8) % 254}.${process.pid & 255}`

type Role = 'entry' | 'agent'

interface Member {
  readonly role: Role
  readonly child: ChildProcess
}

/** An engine that reports the requests it runs. */
class BusyEngine extends UsersWorkerStandIn {
  protected override async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url?.startsWith('/api/') !== true) {
      this.running += 1
      response.once('close', () => { this.running -= 1 })
    }
    await super.answer(request, response)
  }
}

/** Runs the phases and prints a line for each role and phase. */
export async function processorTimeBench ({ seconds, program }: BenchOptions): Promise<boolean> {
  const directory = mkdtempSync(join(tmpdir(), 'drumdrift-processor-time-'))
  const launcher = program ?? build()
  const store = new KeyValueStoreStandIn(10_000)
  await store.listen(0)
  const engines = await startEngines(store)
  const members: Member[] = []
  try {
    const [agentPort = 0, ...ports] = await freePorts(1 + 3 * ENTRIES)
    const fronts: string[] = []
    const readiness: string[] = []
    const seeds = ports.slice(0, ZONES.length).map(port => `127.0.0.1:${port}`).join(', ')
    const common = { directory, launcher, store: store.address, seeds, agentPort }
    for (const [index, { address }] of engines.entries()) members.push(startAgent({ ...common, index, engine: address }))
    for (let index = 0; index < ENTRIES; index += 1) {
      const [peer = 0, http = 0, ready = 0] = [ports[index], ports[ENTRIES + index], ports[2 * ENTRIES + index]]
      members.push(startEntry({ ...common, index, peer, http, ready }))
      fronts.push(`127.0.0.1:${http}`)
      readiness.push(`127.0.0.1:${ready}`)
    }
    await pause(START_MILLISECONDS)
    const started = members.map(use)
    if (!await allReady(readiness)) throw new Error('the entries did not become ready in time')
    const zero = members.map(() => ({ user: 0, system: 0, wakes: 0, resident: 0 }))
    print('start', members, zero, started, 1)
    await pause(SETTLE_MILLISECONDS)
    const idleFrom = members.map(use)
    await pause(seconds * 1000)
    const idleTo = members.map(use)
    print('idle', members, idleFrom, idleTo, seconds)
    await sendStreams(fronts, 2)
    const busyFrom = members.map(use)
    const { whole, sent, failures } = await sendStreams(fronts, 2 * seconds)
    const busyTo = members.map(use)
    print('streams', members, busyFrom, busyTo, 2 * seconds)
    print('life', members, zero, busyTo, 1)
    const processor = (from: readonly ProcessUse[], to: readonly ProcessUse[]): number => to.reduce((sum, { user, system }, index) => sum + user + system - (from[index]?.user ?? 0) - (from[index]?.system ?? 0), 0)
    const perStream = (processor(busyFrom, busyTo) - 2 * processor(idleFrom, idleTo)) / sent
    printFigures('processor-time', { what: 'total', idle_milliseconds_per_second: twoDecimals(processor(idleFrom, idleTo) / seconds), streams_milliseconds_per_second: twoDecimals(processor(busyFrom, busyTo) / (2 * seconds)), milliseconds_per_stream_above_idle: twoDecimals(perStream), sent, whole, failures })
    return whole >= 0.98 * sent
  } finally {
    for (const { child } of members) child.kill('SIGKILL')
    for (const engine of engines) engine.close()
    store.close()
    rmSync(directory, { recursive: true, force: true })
  }
}

/** Builds the programs with the command of `deploy/system.toml` and returns the launcher. */
function build (): string {
  const command = /^build = (".*")$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))?.[1] ?? '""'
  execSync(JSON.parse(command) as string, { cwd: ROOT })
  return join(ROOT, 'target/launch.cjs')
}

async function startEngines (store: KeyValueStoreStandIn): Promise<BusyEngine[]> {
  store.putConfiguration(tolerantConfiguration(1, SLOTS))
  const engines: BusyEngine[] = []
  const [port = 0] = await freePorts(1)
  for (let index = 0; index < AGENTS; index += 1) {
    const engine = new BusyEngine(`engine-${index}`, 'm')
    engine.eventPauseMilliseconds = EVENT_INTERVAL_MILLISECONDS
    engine.eventsPerStream = EVENTS_PER_STREAM
    await engine.listen(port, `${engineNetwork}.${index + 1}`)
    store.putWorker(engine.id, engine.entry('pool', zoneOf(index)))
    engines.push(engine)
  }
  return engines
}

interface CommonPlan {
  readonly directory: string
  readonly launcher: string
  readonly store: string
  readonly seeds: string
  readonly agentPort: number
  readonly index: number
}

function startEntry ({ index, peer, http, ready, ...plan }: CommonPlan & { readonly peer: number, readonly http: number, readonly ready: number }): Member {
  return startProcess('entry', `entry-${index}`, plan, `
[process]
instance = entry-${index}
availability-zone = ${zoneOf(index)}
address = 127.0.0.1:${peer}
http-address = 127.0.0.1:${http}
readiness-address = 127.0.0.1:${ready}
stop-patience-seconds = 6
[platform]
availability-zones = ${ZONES.join(', ')}
store-address = ${plan.store}
watch-seconds = 3
version-bound-milliseconds = 9000
[peers]
seeds = ${plan.seeds}
key = bench
agent-port = ${plan.agentPort}
[requests]
retry-ratio = 0.2
retry-slack = 100
retry-window-seconds = 10
`)
}

function startAgent ({ index, engine, ...plan }: CommonPlan & { readonly engine: string }): Member {
  return startProcess('agent', `agent-${index}`, plan, `
[process]
instance = agent-${index}
availability-zone = ${zoneOf(index)}
address = ${engine.split(':')[0]}:${plan.agentPort}
stop-patience-seconds = 6
[platform]
availability-zones = ${ZONES.join(', ')}
store-address = ${plan.store}
version-bound-milliseconds = 9000
[peers]
seeds = ${plan.seeds}
key = bench
agent-port = ${plan.agentPort}
[endpoint]
name = pool
address = ${engine}
[weights]
link-megabits-per-second = 10
link-percent = 75
memory-megabytes = 8
`)
}

function startProcess (role: Role, name: string, { directory, launcher }: Pick<CommonPlan, 'directory' | 'launcher'>, settings: string): Member {
  const file = join(directory, `${name}.ini`)
  writeFileSync(file, settings)
  const output = openSync(`${file}.log`, 'a')
  const run = new RegExp(`^\\[roles\\.${role}\\]\\nrun = "node (.*) target/launch\\.cjs (.*)"$`, 'm').exec(readFileSync(join(dirname(launcher), '../deploy/system.toml'), 'utf8'))
  const [, options = '', command = ''] = run ?? []
  return { role, child: spawn(process.execPath, [...options.split(' '), launcher, command, file], { stdio: ['ignore', output, output] }) }
}

async function allReady (addresses: readonly string[]): Promise<boolean> {
  const until = performance.now() + READY_TIMEOUT_MILLISECONDS
  while (performance.now() < until) {
    const ready = await Promise.all(addresses.map(address => isReady(address, AbortSignal.timeout(400))))
    if (ready.every(Boolean)) return true
    await pause(100)
  }
  return false
}

/** Sends streams to the entries in turn at a constant rate. Resolves when all have ended. */
async function sendStreams (fronts: readonly string[], seconds: number): Promise<{ sent: number, whole: number, failures: string }> {
  const answers: Promise<CallerResponse>[] = []
  const from = performance.now()
  while (performance.now() - from < seconds * 1000) {
    const due = (performance.now() - from) / 1000 * STREAMS_PER_SECOND
    while (answers.length < due) answers.push(sendStream(fronts[answers.length % fronts.length] ?? '', `stream-${Math.round(from)}-${answers.length}`))
    await pause(1000 / STREAMS_PER_SECOND / 2)
  }
  const results = await Promise.all(answers)
  const failed = results.filter(({ status, whole }) => status !== 200 || !whole)
  const codes = failed.map(({ status, body }) => `${status}-${/"code":"([^"]+)/.exec(body)?.[1] ?? 'cut'}`)
  const failures = [...new Set(codes)].map(code => `${code}:${codes.filter(other => other === code).length}`).join(',')
  return { sent: results.length, whole: results.length - failed.length, failures }
}

async function sendStream (front: string, id: string): Promise<CallerResponse> {
  return await call(front, { id, kind: 'stream', key: 'key-1', signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS) })
}

function zoneOf (index: number): string { return ZONES[index % ZONES.length] ?? '' }

function use ({ child }: Member): ProcessUse { return readUse(child.pid ?? 0) }

/** Prints the means of each role. */
function print (what: string, members: readonly Member[], from: readonly ProcessUse[], to: readonly ProcessUse[], seconds: number): void {
  for (const role of ['entry', 'agent'] as const) {
    const indices = members.flatMap((member, index) => member.role === role ? [index] : [])
    const mean = (key: keyof ProcessUse): number => indices.reduce((sum, index) => sum + (to[index]?.[key] ?? 0) - (from[index]?.[key] ?? 0), 0) / indices.length / seconds
    printFigures('processor-time', { what, role, user_milliseconds: twoDecimals(mean('user')), system_milliseconds: twoDecimals(mean('system')), wakes: twoDecimals(mean('wakes')), ...(what === 'life' ? { resident_megabytes: twoDecimals(mean('resident') / 1024) } : {}) })
  }
}
