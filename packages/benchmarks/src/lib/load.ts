/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Open-loop load: each call is due at a time that does not depend on earlier calls, and latency is measured from that time. */
import { setTimeout as pause } from 'node:timers/promises'
import { makeCall, type Call, type CallRecord } from './callers.js'
import { quantile } from './bench-options.js'
import { Fleet, organisations, type FleetPlan } from './fleet.js'
import { generateVersion, poissonArrivals, type GeneratedVersion } from '@drumdrift/stand-ins'
import type { Configuration } from '@drumdrift/core'

/** A period of load at a constant rate. */
export interface Phase {
  readonly seconds: number
  readonly callsPerSecond: number
}

/** The number of prompt prefixes that callers share; a few of them are much more frequent than the others. */
const PROMPT_PREFIXES = 60

/** Creates a call. The number is unique over all phases. */
export type CallMaker = (number: number, random: () => number) => Call

/**
 * Runs phases one after the other with Poisson arrivals.
 *
 * @returns The records of each phase.
 * @example
 * const [calm, burst] = await generateLoad([{ seconds: 2, callsPerSecond: 20 }, { seconds: 5, callsPerSecond: 400 }], make, random)
 */
export async function generateLoad (phases: readonly Phase[], make: CallMaker, random: () => number): Promise<CallRecord[][]> {
  let start = performance.now()
  let number = 0
  const all: Promise<CallRecord>[][] = []
  for (const phase of phases) {
    const end = start + phase.seconds * 1000
    const calls: Promise<CallRecord>[] = []
    all.push(calls)
    for await (const due of poissonArrivals(start, () => end, phase.callsPerSecond, random)) calls.push(makeCall({ ...make(number++, random), due }))
    start = end
  }
  return await Promise.all(all.map(async calls => await Promise.all(calls)))
}

/** Counts and latencies of a set of calls. */
export interface LoadFigures {
  readonly requests: number
  readonly whole: number
  readonly refused: number
  readonly unknown: number
  readonly cut: number
  readonly firstBytePercentile50: string
  readonly firstBytePercentile95: string
  readonly firstBytePercentile99: string
  readonly refusalPercentile99: string
}

/** Summarises records; times are in milliseconds. */
export function summariseCalls (records: readonly CallRecord[]): LoadFigures {
  const whole = records.filter(record => record.result === 'whole')
  const refused = records.filter(record => record.result === 'refused')
  const first = whole.map(record => record.firstByte)
  const text = (value: number): string => Number.isNaN(value) ? 'none' : value.toFixed(1)
  return {
    requests: records.length,
    whole: whole.length,
    refused: refused.length,
    unknown: records.filter(record => record.result === 'unknown').length,
    cut: records.filter(record => record.result === 'cut' || record.result === 'wrong' || record.result === 'mixed').length,
    firstBytePercentile50: text(quantile(first, 0.5)),
    firstBytePercentile95: text(quantile(first, 0.95)),
    firstBytePercentile99: text(quantile(first, 0.99)),
    refusalPercentile99: text(quantile(refused.map(record => record.took), 0.99))
  }
}

/** A running fleet that serves a small model version. */
export interface ServingFleet {
  readonly fleet: Fleet
  readonly version: GeneratedVersion
  readonly configuration: Partial<Configuration>
}

/** The size and settings of a serving fleet. */
export interface ServingPlan {
  readonly entries: number
  readonly workers: number
  readonly slots: number
  readonly organisations: Readonly<Record<string, number>>
  readonly engineTimes: NonNullable<FleetPlan['engineTimes']>
  readonly settings?: FleetPlan['settings']
  readonly chunks?: number
  readonly chunkBytes?: number
  readonly linkMegabytesPerSecond?: number
}

/** Starts a fleet in one availability zone and waits until all its engines serve the version. */
export async function startServing (plan: ServingPlan, seed: number): Promise<ServingFleet> {
  const fleet = await Fleet.prepare({
    availabilityZones: ['koshi'],
    entriesPerZone: plan.entries,
    endpoints: Array.from({ length: plan.workers }, () => ({ name: 'drafting', kind: 'model', availabilityZone: 'koshi' })),
    linkMegabytesPerSecond: plan.linkMegabytesPerSecond ?? 500,
    originMegabytesPerSecond: 500,
    engineTimes: plan.engineTimes,
    hosts: 2,
    settings: [['process', 'log-level', 'warn'], ...plan.settings ?? []]
  })
  const version = generateVersion({ model: 'chat', version: 'v1', chunks: plan.chunks ?? 4, chunkBytes: plan.chunkBytes ?? 4096, seed })
  fleet.addVersion(version)
  const configuration: Partial<Configuration> = {
    models: { chat: { versions: { v1: version.digest } } },
    pools: { drafting: { model: 'chat', version: 'v1', switchFraction: 0.25, slots: plan.slots, originCopies: 1 } },
    organisations: organisations(plan.organisations)
  }
  fleet.publish(configuration)
  fleet.publishInstances()
  await fleet.startAll()
  const up = await fleet.waitUntilUp() && await fleet.waitUntil(async () => (await fleet.journals()).engines.every(engine => engine.version === version.digest), 30_000)
  if (!up) throw new Error('the fleet did not start in time')
  await pause(1_000)
  return { fleet, version, configuration }
}

/** Creates chat calls that are spread over the entries; a few prompt prefixes are much more frequent than the others. */
export function chatCalls (fleet: Fleet, name: string, organisationOf: (random: () => number) => string, tokens: number): CallMaker {
  return (number, random) => ({
    id: `${name}-${number}`,
    organisation: organisationOf(random),
    address: fleet.entries[number % fleet.entries.length]?.httpAddress ?? '',
    chat: { pool: 'drafting', prompt: `${String(Math.floor(random() ** 2 * PROMPT_PREFIXES)).padStart(3, '0')} ${'a long start that many callers share '.repeat(6)}`, tokens, streamed: true }
  })
}
