/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Prints the load of an endpoint with a low rate limit for all entries together, by fleet size, load and policy. */
import { printFigures, twoDecimals, type BenchOptions } from '../bench-options.js'
import { limitPolicies, simulateLimit } from './limit-model.js'

const FLEETS = [6, 24, 98, 380] as const
const LIMITS = [1.1, 5] as const
const LOADS = [
  { load: 'steady', requestsPerSecond: 1, idleMilliseconds: 0, restartEvery: undefined },
  { load: 'after-silences', requestsPerSecond: 1, idleMilliseconds: 15_000, restartEvery: undefined },
  { load: 'with-restarts', requestsPerSecond: 1, idleMilliseconds: 0, restartEvery: 0.25 }
] as const

/** Prints one line for each combination: the maximum number of requests in 4 s over all seeds, the number of seeds that exceeded the limit, and the mean share used. */
export async function limitsBench ({ seed, seeds }: BenchOptions): Promise<boolean> {
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
  return good
}
