/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Prints the load of an endpoint with a low rate limit for all entries together, by fleet size, load and policy, and the load of cold
 * endpoints.
 */
import { printFigures, twoDecimals, type BenchOptions } from '../bench-options.js'
import { coldCases, simulateCold } from './cold-model.js'
import { limitPolicies, simulateLimit } from './limit-model.js'

const FLEETS = [6, 24, 98, 380] as const
const LIMITS = [1.1, 5] as const
const LOADS = [
  { load: 'steady', requestsPerSecond: 1, idleMilliseconds: 0, restartEvery: undefined },
  { load: 'after-silences', requestsPerSecond: 1, idleMilliseconds: 15_000, restartEvery: undefined },
  { load: 'with-restarts', requestsPerSecond: 1, idleMilliseconds: 0, restartEvery: 0.25 }
] as const

const COLD_FLEETS = [6, 40, 100, 380] as const
/** Requests per second to the service: of two deployments. */
const COLD_DEMANDS = [400, 576] as const
/** One of these simulations takes about half a second. */
const MAX_COLD_SEEDS = 8

/** Prints one line for each combination: the most requests to a cold endpoint in a second over all seeds, and the mean share used. */
function coldBench (options: BenchOptions): boolean {
  const { seed } = options
  const seeds = Math.min(MAX_COLD_SEEDS, options.seeds)
  let good = true
  for (const limited of [true, false]) {
    for (const requestsPerSecond of COLD_DEMANDS) {
      for (const entries of limited ? COLD_FLEETS : [40]) {
        for (const event of coldCases) {
          const runs = Array.from({ length: seeds }, (_, index) => simulateCold({ event, entries, requestsPerSecond, limited, seed: seed + index }))
          const exceeding = runs.filter(({ mostSent, mostArrived, allowed }) => Math.max(mostSent, mostArrived) > allowed).length
          if (limited && exceeding > 0) good = false
          printFigures('cold', {
            limited, entries, demand: requestsPerSecond, event, most_sent: Math.max(...runs.map(({ mostSent }) => mostSent)), most_arrived: Math.max(...runs.map(({ mostArrived }) => mostArrived)), allowed: runs[0]?.allowed, broken: exceeding, plays: seeds, used: twoDecimals(runs.reduce((sum, { usedShare }) => sum + usedShare, 0) / seeds)
          })
        }
      }
    }
  }
  return good
}

/** Prints one line for each combination: the maximum number of requests in 4 s over all seeds, the number of seeds that exceeded the limit, and the mean share used. */
export async function limitsBench (options: BenchOptions): Promise<boolean> {
  const { seed, seeds } = options
  let good = true
  for (const entries of FLEETS) {
    for (const limit of LIMITS) {
      for (const { load, ...traffic } of LOADS) {
        for (const policy of limitPolicies) {
          const runs = Array.from({ length: seeds }, (_, index) => simulateLimit({ policy, entries, limit, ...traffic, seed: seed + index }))
          const exceeding = runs.filter(({ maximum, allowed }) => maximum > allowed).length
          if (policy === 'parts-that-lapse' && exceeding > 0) good = false
          printFigures('limits', {
            entries, limit, load, way: policy, most: Math.max(...runs.map(({ maximum }) => maximum)), allowed: twoDecimals(runs[0]?.allowed ?? 0), broken: exceeding, plays: seeds, used: twoDecimals(runs.reduce((sum, { usedShare }) => sum + usedShare, 0) / seeds)
          })
        }
      }
    }
  }
  return coldBench(options) && good
}
