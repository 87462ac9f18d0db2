/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Measures the slopes that docs/CAPACITY.md is calculated from: the cost of control traffic for each process by fleet size, with
 * real processes, and the cost of the core at the target size, with an instance list of that length.
 */
import { fileURLToPath } from 'node:url'
import { setTimeout as pause } from 'node:timers/promises'
import { ClaimKeeper, EndpointChoice, Spread, type InstanceRecord, type ProcessStatus } from '@drumdrift/core'
import { printFigures, twoDecimals, type BenchOptions } from './bench-options.js'
import type { Fleet, Member } from './fleet.js'
import { plainConfiguration, preparePlainFleet } from './plain-fleet.js'
import { residentAfterImports } from './process-reading.js'

const SIZES = [24, 48, 96, 192] as const
const ZONES = ['koshi', 'bagmati', 'gandaki', 'lumbini', 'karnali'] as const
const TARGET_ZONES = 5
const TARGET_PROCESSES = 2_780
const SETTLE_MILLISECONDS = 4_000
/** The timeout for starting 192 processes on one busy machine, in milliseconds. */
const START_TIMEOUT_MILLISECONDS = 180_000
const CHANGES = 5
const MEBIBYTE = 1024 * 1024
const KIBIBYTE = 1024
const CHANGES_PER_DAY = 290
const LIST_CHANGES_PER_DAY = 2 * (330 + 17)
const SECONDS_PER_DAY = 86_400

interface Sample {
  readonly size: number
  readonly role: 'entry' | 'agent'
  readonly bytesPerSecond: number
  readonly corePercent: number
  readonly residentBytes: number
  readonly heapBytes: number
  readonly bytesPerChange: number
}

/** Runs all measurements and prints a line for each slope. */
export async function capacityBench (options: BenchOptions): Promise<boolean> {
  measureRuntime()
  const samples: Sample[] = []
  for (const size of SIZES) samples.push(...await measureFleet(size, options.seconds))
  for (const role of ['entry', 'agent'] as const) printSlopes(role, samples.filter(sample => sample.role === role))
  for (const size of [278, 695, 1_390, TARGET_PROCESSES]) measureList(size)
  measureKeeper()
  measureChoice()
  return samples.length > 0
}

/** Measures the memory of the runtime and of each library before any state is held. */
function measureRuntime (): void {
  const from = fileURLToPath(new URL('../../../node', import.meta.url))
  const bare = Math.min(...[1, 2, 3].map(() => residentAfterImports([], from)))
  printFigures('capacity', { what: 'runtime', library: 'none', megabytes: twoDecimals(bare / MEBIBYTE), over_runtime: '0.00' })
  for (const name of ['node:http', 'cbor-x', 'winston', 'hdr-histogram-js', 'ini', 'valibot', 'ts-pattern', 'commander', 'prom-client', '@drumdrift/core']) {
    const resident = Math.min(...[1, 2, 3].map(() => residentAfterImports([name], from)))
    printFigures('capacity', { what: 'runtime', library: name, megabytes: twoDecimals(resident / MEBIBYTE), over_runtime: twoDecimals((resident - bare) / MEBIBYTE) })
  }
}

/** Measures the steady state, then a few changes of configuration and instances; returns means per process for each role. */
async function measureFleet (size: number, seconds: number): Promise<Sample[]> {
  const fleet = await preparePlainFleet(size, ZONES)
  await fleet.startAll()
  if (!await fleet.waitUntilUp(START_TIMEOUT_MILLISECONDS)) throw new Error('the fleet did not start in time')
  await pause(SETTLE_MILLISECONDS)
  const first = await statusesOf(fleet)
  await pause(seconds * 1000)
  const second = await statusesOf(fleet)
  for (let change = 0; change < CHANGES; change += 1) {
    const member = fleet.agents[change]
    if (member !== undefined) member.state = 'leaving'
    fleet.publishInstances()
    fleet.publish(plainConfiguration)
    await pause(500)
  }
  await pause(seconds * 1000 - CHANGES * 500)
  const third = await statusesOf(fleet)
  await fleet.stop()
  return (['entry', 'agent'] as const).map(role => sampleOf(size, role, fleet.members.filter(member => member.role === role), [first, second, third], seconds))
}

async function statusesOf (fleet: Fleet): Promise<ReadonlyMap<string, ProcessStatus>> {
  const statuses = await Promise.all(fleet.members.map(async member => await fleet.status(member, 5_000)))
  return new Map(statuses.flatMap(status => status === undefined ? [] : [[status.instance, status]]))
}

type Readings = readonly [ReadonlyMap<string, ProcessStatus>, ReadonlyMap<string, ProcessStatus>, ReadonlyMap<string, ProcessStatus>]

function sampleOf (size: number, role: 'entry' | 'agent', members: readonly Member[], [first, second, third]: Readings, seconds: number): Sample {
  const mean = (read: (instance: string) => number): number => members.reduce((sum, member) => sum + read(member.instance), 0) / members.length
  const bytes = (readings: ReadonlyMap<string, ProcessStatus>) => (instance: string): number => readings.get(instance)?.cost.controlBytes ?? 0
  const steady = (mean(bytes(second)) - mean(bytes(first))) / seconds
  const changing = (mean(bytes(third)) - mean(bytes(second))) / seconds
  const processor = mean(instance => (second.get(instance)?.cost.processorMilliseconds ?? 0) - (first.get(instance)?.cost.processorMilliseconds ?? 0))
  const sample: Sample = {
    size,
    role,
    bytesPerSecond: steady,
    corePercent: processor / seconds / 10,
    residentBytes: mean(instance => second.get(instance)?.cost.residentBytes ?? 0),
    heapBytes: mean(instance => second.get(instance)?.cost.heapBytes ?? 0),
    bytesPerChange: Math.max(0, changing - steady) * seconds / CHANGES
  }
  printFigures('capacity', {
    what: 'fleet', role, processes: size, control_kilobytes_per_second: twoDecimals(steady / KIBIBYTE), control_core_percent: sample.corePercent.toFixed(3), resident_megabytes: twoDecimals(sample.residentBytes / MEBIBYTE), heap_megabytes: twoDecimals(sample.heapBytes / MEBIBYTE), kilobytes_per_change_of_both: twoDecimals(sample.bytesPerChange / KIBIBYTE)
  })
  return sample
}

/** Fits each figure by linear least squares over the fleet size, and prints the value at the target size and the largest residual. */
function printSlopes (role: 'entry' | 'agent', samples: readonly Sample[]): void {
  const read: Readonly<Record<string, (sample: Sample) => number>> = {
    control_kilobytes_per_second: sample => sample.bytesPerSecond / KIBIBYTE,
    control_core_percent: sample => sample.corePercent,
    resident_megabytes: sample => sample.residentBytes / MEBIBYTE,
    heap_megabytes: sample => sample.heapBytes / MEBIBYTE,
    kilobytes_per_change_of_both: sample => sample.bytesPerChange / KIBIBYTE
  }
  for (const [name, value] of Object.entries(read)) {
    const points = samples.map(sample => ({ x: sample.size, y: value(sample) }))
    const { slope, intercept, residual } = fit(points)
    printFigures('capacity', { what: 'slope', role, figure: name, per_process: slope.toExponential(2), intercept: intercept.toFixed(3), largest_residual: residual.toFixed(3), at_target: (intercept + slope * TARGET_PROCESSES).toFixed(2) })
    if (name !== 'kilobytes_per_change_of_both') continue
    const perDay = (intercept + slope * TARGET_PROCESSES) * (CHANGES_PER_DAY + LIST_CHANGES_PER_DAY)
    printFigures('capacity', { what: 'changes', role, kilobytes_per_second_over_a_day: (perDay / SECONDS_PER_DAY).toFixed(3) })
  }
}

function fit (points: readonly { x: number, y: number }[]): { slope: number, intercept: number, residual: number } {
  const count = points.length
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count
  const slope = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const intercept = meanY - slope * meanX
  return { slope, intercept, residual: Math.max(...points.map(({ x, y }) => Math.abs(y - intercept - slope * x))) }
}

function createInstances (size: number): InstanceRecord[] {
  return Array.from({ length: size }, (_, index) => ({
    instance: `instance-${index}`, availabilityZone: ZONES[index % TARGET_ZONES] ?? '', role: index % 8 === 0 ? 'entry' : 'agent', address: `10.${index >> 12}.${(index >> 6) & 63}.${index & 63}:7400`, endpoint: 'drafting', state: 'live'
  }))
}

/** Measures the memory of an instance list, and the processor time of its adoption and upkeep. */
function measureList (size: number): void {
  const records = createInstances(size)
  const text = JSON.stringify({ instances: records })
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const startedAt = performance.now()
  const spread = new Spread({ ...records[0] as InstanceRecord, seeds: [], source: 's' }, Math.random, 0)
  spread.tick(0)
  spread.serviceAnswered('instances', { source: 's', revision: 1, document: JSON.parse(text) }, 1)
  const adopted = performance.now()
  collectGarbage()
  const heapBytes = process.memoryUsage().heapUsed - before
  const ticks = 2_000
  const tickingAt = performance.now()
  for (let tick = 0; tick < ticks; tick += 1) spread.tick(tick * 100)
  const perTick = (performance.now() - tickingAt) / ticks
  printFigures('capacity', { what: 'list', instances: size, document_kilobytes: twoDecimals(text.length / KIBIBYTE), heap_kilobytes: twoDecimals(heapBytes / KIBIBYTE), adoption_milliseconds: twoDecimals(adopted - startedAt), upkeep_core_percent: (perTick * 10 / 10).toFixed(4) })
}

/** Measures the memory of one record of a request id that must not repeat. */
function measureKeeper (): void {
  const records = 20_000
  const keeper = new ClaimKeeper('agent-1.a', { repeatWindow: 600_000, recordsPerOrganisation: records })
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  for (let index = 0; index < records; index += 1) keeper.claim('hall-1', `notice-${index}-${'x'.repeat(20)}`, `entry-1.abc:${index}`, 'd'.repeat(64), 1)
  collectGarbage()
  const heapBytes = process.memoryUsage().heapUsed - before
  printFigures('capacity', { what: 'keeper', records: keeper.size, bytes_per_record: Math.round(heapBytes / records) })
}

/** Measures the time of one choice; an entry uses at most 24 endpoints of an availability zone. */
function measureChoice (): void {
  for (const endpoints of [3, 12, 24]) {
    const candidates = Array.from({ length: endpoints }, (_, index) => ({ instance: `agent-${index}`, availabilityZone: 'koshi' }))
    const choice = new EndpointChoice({ instance: 'entry-1', availabilityZone: 'koshi' }, Math.random)
    const count = 2_000
    const startedAt = performance.now()
    for (let index = 0; index < count; index += 1) choice.choose(candidates, `prompt ${index % 50}`, 0)
    printFigures('capacity', { what: 'choice', endpoints, microseconds: twoDecimals((performance.now() - startedAt) * 1000 / count) })
  }
}

function collectGarbage (): void {
  const { gc } = globalThis as { gc?: () => void }
  gc?.()
}
