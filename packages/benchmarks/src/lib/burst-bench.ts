/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Compares fair queueing with early refusal to a single first-in-first-out queue. Ten organisations, two of them large, send requests
 * at a rate that jumps 20-fold and exceeds the capacity.
 */
import { printFigures, seededRandom, twoDecimals, type BenchOptions } from './bench-options.js'
import { chatCalls, summariseCalls, generateLoad, startServing } from './load.js'
import type { CallRecord } from './callers.js'

const WORKERS = 4
const SLOTS = 8
const TOKENS = 16
const TIMES = { load: 100, firstToken: 20, cachedFirstToken: 20, betweenTokens: 5, reportLag: 500 }
/** The time that one request occupies a slot, including timer delays, in seconds; taken from the complete answers of the calm phase. */
const REQUEST_SECONDS = 0.125
const CAPACITY = WORKERS * SLOTS / REQUEST_SECONDS
/** The rate of the burst, of which the capacity is 60%. */
const BURST_RATE = CAPACITY / 0.6
const RATE_JUMP = 20

/** The weight of each organisation and its share of the requests. */
const traffic: Readonly<Record<string, { weight: number, share: number }>> = {
  'house-large-1': { weight: 2, share: 0.4 },
  'house-large-2': { weight: 2, share: 0.24 },
  ...Object.fromEntries(Array.from({ length: 8 }, (_, index) => [`hall-${index + 1}`, { weight: 1, share: 0.045 }]))
}

/** Measures both queueing policies. */
export async function burstBench (options: BenchOptions): Promise<boolean> {
  let good = true
  for (const queueing of ['fair', 'first-in-first-out']) good = await measure(options, queueing) && good
  return good
}

async function measure (options: BenchOptions, queueing: string): Promise<boolean> {
  const weights = Object.fromEntries(Object.entries(traffic).map(([name, { weight }]) => [name, weight]))
  const { fleet } = await startServing({ entries: 2, workers: WORKERS, slots: SLOTS, organisations: weights, engineTimes: TIMES, settings: [['requests', 'queueing', queueing], ['requests', 'queue-seconds', '1']] }, options.seed)
  const random = seededRandom(options.seed)
  const calls = chatCalls(fleet, queueing, drawOrganisation, TOKENS)
  const [calm = [], burst = []] = await generateLoad([{ seconds: 3, callsPerSecond: BURST_RATE / RATE_JUMP }, { seconds: options.seconds, callsPerSecond: BURST_RATE }], calls, random)
  const figures = summariseCalls(burst)
  printFigures('burst', {
    queueing,
    seed: options.seed,
    asked_per_second: Math.round(BURST_RATE),
    jain: jainIndex(burst).toFixed(3),
    goodput_per_second: twoDecimals(figures.whole / options.seconds),
    goodput_of_capacity: twoDecimals(figures.whole / options.seconds / CAPACITY),
    asked: figures.requests,
    whole: figures.whole,
    refused: figures.refused,
    unknown: figures.unknown,
    cut: figures.cut,
    refusal_99_milliseconds: figures.refusalPercentile99,
    first_50_milliseconds: figures.firstBytePercentile50,
    first_99_milliseconds: figures.firstBytePercentile99,
    calm_first_99_milliseconds: summariseCalls(calm).firstBytePercentile99
  })
  await fleet.stop()
  return figures.whole > 0
}

function drawOrganisation (random: () => number): string {
  let remaining = random()
  for (const [name, { share }] of Object.entries(traffic)) {
    remaining -= share
    if (remaining < 0) return name
  }
  return 'hall-8'
}

/** Returns Jain's fairness index of the ratios of served to entitled requests. */
function jainIndex (records: readonly CallRecord[]): number {
  const served = (name: string): number => records.filter(record => record.organisation === name && record.result === 'whole').length
  const requested = (name: string): number => records.filter(record => record.organisation === name).length
  const total = records.filter(record => record.result === 'whole').length
  const entitled = maxMinShares(total, requested)
  const ratios = Object.keys(traffic).map(name => served(name) / Math.max(1, entitled.get(name) ?? 1))
  const sum = ratios.reduce((left, right) => left + right, 0)
  return sum ** 2 / (ratios.length * ratios.reduce((left, right) => left + right ** 2, 0))
}

/** Returns weighted max-min shares: no organisation is entitled to more than it requested, and the remainder goes to the others. */
function maxMinShares (total: number, requested: (name: string) => number): Map<string, number> {
  const entitled = new Map<string, number>()
  let unsatisfied = Object.keys(traffic)
  let remaining = total
  for (;;) {
    const weight = unsatisfied.reduce((sum, name) => sum + (traffic[name]?.weight ?? 0), 0)
    const satisfied = unsatisfied.filter(name => requested(name) <= remaining * (traffic[name]?.weight ?? 0) / weight)
    if (satisfied.length === 0) {
      for (const name of unsatisfied) entitled.set(name, remaining * (traffic[name]?.weight ?? 0) / weight)
      return entitled
    }
    for (const name of satisfied) {
      entitled.set(name, requested(name))
      remaining -= requested(name)
    }
    unsatisfied = unsatisfied.filter(name => !satisfied.includes(name))
    if (unsatisfied.length === 0) return entitled
  }
}
