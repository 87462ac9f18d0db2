/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Compares endpoint selection policies with delayed load reports, by tail latency and hits in the engines' prefix caches. */
import { printFigures, seededRandom, twoDecimals, type BenchOptions } from './bench-options.js'
import { chatCalls, summariseCalls, generateLoad, startServing } from './load.js'

const WORKERS = 6
const SLOTS = 6
const TOKENS = 12
const TIMES = { load: 100, firstToken: 80, cachedFirstToken: 20, betweenTokens: 5, reportLag: 500 }
const CALLS_PER_SECOND = 130

/** Measures each policy on a separate fleet. */
export async function choiceBench (options: BenchOptions): Promise<boolean> {
  let good = true
  for (const choice of ['affinity', 'two-choices', 'least-reported', 'round-robin', 'random']) {
    const { fleet } = await startServing({ entries: 3, workers: WORKERS, slots: SLOTS, organisations: { 'hall-1': 1 }, engineTimes: TIMES, settings: [['requests', 'choice', choice]] }, options.seed)
    const calls = chatCalls(fleet, choice, () => 'hall-1', TOKENS)
    const [, measured = []] = await generateLoad([{ seconds: 2, callsPerSecond: CALLS_PER_SECOND }, { seconds: options.seconds, callsPerSecond: CALLS_PER_SECOND }], calls, seededRandom(options.seed))
    const figures = summariseCalls(measured)
    const { engines } = await fleet.journals()
    const hits = engines.reduce((sum, engine) => sum + engine.journal.prefixHits, 0)
    const misses = engines.reduce((sum, engine) => sum + engine.journal.prefixMisses, 0)
    printFigures('choice', {
      choice, seed: options.seed, asked: figures.requests, whole: figures.whole, refused: figures.refused, first_50_milliseconds: figures.firstBytePercentile50, first_95_milliseconds: figures.firstBytePercentile95, first_99_milliseconds: figures.firstBytePercentile99, prefix_hits: twoDecimals(hits / Math.max(1, hits + misses))
    })
    good &&= figures.whole > 0
    await fleet.stop()
  }
  return good
}
