/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Measures the load that retries add, and the recovery time, with and without a retry budget while a third of the endpoints hang. */
import { setTimeout as pause } from 'node:timers/promises'
import { printFigures, seededRandom, twoDecimals, type BenchOptions } from './bench-options.js'
import type { CallRecord } from './callers.js'
import { chatCalls, summariseCalls, generateLoad, startServing } from './load.js'
import { printRetryTable } from './retries/retry-table.js'

const WORKERS = 6
const HANGING = 2
const SLOTS = 8
const TOKENS = 12
const TIMES = { load: 100, firstToken: 20, cachedFirstToken: 20, betweenTokens: 5, reportLag: 500 }
const CALLS_PER_SECOND = 200
const SECONDS_BEFORE = 3
const SECONDS_AFTER = 6
const RECOVERY_WINDOW_MILLISECONDS = 500

/** The number of seeds of the simulation for each line of its table. */
const MODEL_SEEDS = 3

/** Prints the table of the simulation, then measures real processes with a retry budget and without a bound. */
export async function retriesBench (options: BenchOptions): Promise<boolean> {
  let good = printRetryTable(options.seed, MODEL_SEEDS)
  for (const percent of ['10', '1000']) good = await measure(options, percent) && good
  return good
}

async function measure (options: BenchOptions, percent: string): Promise<boolean> {
  const settings = [['requests', 'retry-percent', percent], ['requests', 'first-answer-seconds', '0.5'], ['requests', 'silence-seconds', '0.5']] as const
  const { fleet } = await startServing({ entries: 2, workers: WORKERS, slots: SLOTS, organisations: { 'hall-1': 1 }, engineTimes: TIMES, settings }, options.seed)
  const calls = chatCalls(fleet, `retry${percent}`, () => 'hall-1', TOKENS)
  const load = generateLoad([{ seconds: SECONDS_BEFORE, callsPerSecond: CALLS_PER_SECOND }, { seconds: options.seconds, callsPerSecond: CALLS_PER_SECOND }, { seconds: SECONDS_AFTER, callsPerSecond: CALLS_PER_SECOND }], calls, seededRandom(options.seed))
  const failing = fleet.agents.slice(0, HANGING)
  await pause(SECONDS_BEFORE * 1000)
  for (const member of failing) await fleet.endpoint(member, { type: 'freeze', frozen: true })
  await pause(options.seconds * 1000)
  const healedAt = Date.now()
  for (const member of failing) await fleet.endpoint(member, { type: 'freeze', frozen: false })
  const [before = [], during = [], after = []] = await load
  const { engines } = await fleet.journals()
  const runs = engines.reduce((sum, engine) => sum + Object.values(engine.journal.runs).reduce((left, right) => left + right, 0), 0)
  const asked = before.length + during.length + after.length
  const started = asked - [...before, ...during, ...after].filter(record => record.result === 'refused').length
  const [calm, faulty, healed] = [before, during, after].map(summariseCalls)
  printFigures('retries', {
    retry_percent: percent,
    seed: options.seed,
    failing: `${HANGING}/${WORKERS}`,
    asked,
    load_factor: twoDecimals(runs / started),
    goodput_before: completeShare(calm),
    goodput_during: completeShare(faulty),
    goodput_after: completeShare(healed),
    cut_during: faulty?.cut,
    unknown_during: faulty?.unknown,
    recovery_milliseconds: recoveryMilliseconds(after, healedAt),
    first_99_before: calm?.firstBytePercentile99,
    first_99_during: faulty?.firstBytePercentile99,
    first_99_after: healed?.firstBytePercentile99
  })
  await fleet.stop()
  return calm !== undefined && calm.whole > 0
}

function completeShare (figures: ReturnType<typeof summariseCalls> | undefined): string {
  return figures === undefined ? 'none' : twoDecimals(figures.whole / Math.max(1, figures.requests))
}

/** Returns the milliseconds from the end of the fault to the first half second in which 99% of the requests are answered, or -1 if there is none. */
function recoveryMilliseconds (records: readonly CallRecord[], healedAt: number): number {
  for (let start = 0; start < SECONDS_AFTER * 1000; start += RECOVERY_WINDOW_MILLISECONDS) {
    const within = records.filter(record => record.at - healedAt >= start && record.at - healedAt < start + RECOVERY_WINDOW_MILLISECONDS)
    if (within.length > 0 && within.filter(record => record.result === 'whole').length >= within.length * 0.99) return start
  }
  return -1
}
