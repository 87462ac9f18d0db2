/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Prints the load that retries add to fleets of three sizes, by policy, restart interval and share of refused attempts. */
import { printFigures, twoDecimals } from '../bench-options.js'
import { simulateRetries, retryFleets, retryPolicyNames } from './retry-model.js'

const RESTARTS = [undefined, 1, 3, 10] as const
const REFUSED = [0.1, 0.3, 0.45, 0.6, 0.9] as const
const SECONDS = 40

/**
 * Prints one line for each fleet, restart interval, share of refused attempts and policy.
 *
 * @param seeds The number of seeds, starting at `seed`; the worst ratio and the mean share served are printed.
 * @returns Whether the product's policy kept to the bound in every run.
 */
export function printRetryTable (seed: number, seeds: number): boolean {
  let good = true
  for (const fleet of retryFleets) {
    for (const restartEvery of RESTARTS) {
      for (const refused of REFUSED) {
        for (const policy of retryPolicyNames) {
          const runs = Array.from({ length: seeds }, (_, index) => simulateRetries({ ...fleet, policy, seed: seed + index, refused, restartEvery, seconds: SECONDS }))
          const worstRatio = Math.max(...runs.map(run => run.worstRatio))
          const served = runs.reduce((sum, run) => sum + run.served, 0) / runs.length
          if (policy === 'part-of-the-fleet' && worstRatio > 1) good = false
          printFigures('retry-bound', { entries: fleet.entries, restart_every: restartEvery ?? 'never', refused, policy, of_bound: twoDecimals(worstRatio), served: twoDecimals(served) })
        }
      }
    }
  }
  return good
}
