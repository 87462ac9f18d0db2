/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Prints the effect of requests that crash endpoints on fleets of three sizes, by policy, number of requests, rate and restarts of entries. */
import { printFigures, twoDecimals, type BenchOptions } from '../bench-options.js'
import { simulateSuspects, suspectFleets, suspectPolicyNames } from './suspect-model.js'

const LOADS = [{ fatal: 1, fatalPerSecond: 1 }, { fatal: 1, fatalPerSecond: 10 }, { fatal: 1, fatalPerSecond: 50 }, { fatal: 5, fatalPerSecond: 10 }] as const
const RESTARTS = [undefined, 1] as const
const SECONDS = 20
const SEEDS = 3
/** The maximum share of ordinary requests that may be wrongly held back. */
const MAX_HELD_BACK = 0.01

/** Prints one line for each fleet, load, restart interval and policy: means over three seeds, and the maximum number of crashes. */
export async function suspectsBench ({ seed }: BenchOptions): Promise<boolean> {
  let good = true
  for (const fleet of suspectFleets) {
    for (const load of LOADS) {
      for (const restartEvery of RESTARTS) {
        for (const policy of suspectPolicyNames) {
          const runs = Array.from({ length: SEEDS }, (_, index) => simulateSuspects({ ...fleet, ...load, fatalKind: 'request', policy, seed: seed + index, restartEvery, seconds: SECONDS }))
          const mean = (figure: (run: (typeof runs)[number]) => number): number => runs.reduce((sum, run) => sum + figure(run), 0) / runs.length
          if (policy === 'whole-fleet' && mean(run => run.heldBack) > MAX_HELD_BACK) good = false
          printFigures('suspects', {
            entries: fleet.entries,
            endpoints: fleet.endpoints,
            fatal: load.fatal,
            per_second: load.fatalPerSecond,
            restart_every: restartEvery ?? 'never',
            policy,
            ended: twoDecimals(mean(run => run.endpointsCrashed)),
            most_ended: Math.max(...runs.map(run => run.endpointsCrashed)),
            unserved: mean(run => run.unserved).toFixed(4),
            held_back: mean(run => run.heldBack).toFixed(4),
            last_send_seconds: twoDecimals(mean(run => run.lastSend))
          })
        }
      }
    }
  }
  return good
}
