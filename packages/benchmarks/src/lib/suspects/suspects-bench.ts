/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Prints the effect of requests, and of parts of prompts, that crash endpoints on fleets of several sizes, by policy, number, rate and other faults. */
import { printFigures, twoDecimals, type BenchOptions } from '../bench-options.js'
import { partLoads, simulateSuspects, suspectFleets, type PromptShape, type SuspectFigures, type SuspectLoad, type SuspectRun } from './suspect-model.js'
import type { SuspectPolicyName } from './suspect-policies.js'

const LOADS = [{ fatal: 1, fatalPerSecond: 1 }, { fatal: 1, fatalPerSecond: 10 }, { fatal: 1, fatalPerSecond: 50 }, { fatal: 5, fatalPerSecond: 10 }] as const
const RESTARTS = [undefined, 1] as const
const SECONDS = 20
const SEEDS = 3
/** The maximum share of ordinary requests that may be wrongly held back. */
const MAX_HELD_BACK = 0.01

/** Policies that are compared for requests that arrive repeatedly, and for different requests that share a part. */
const REQUEST_POLICIES: readonly SuspectPolicyName[] = ['none', 'each-entry-alone', 'whole-fleet', 'oracle']
const PART_POLICIES: readonly SuspectPolicyName[] = ['whole-requests', 'crashes-awaited', 'unknown-parts-once', 'whole-fleet', 'oracle']

const PROMPTS: readonly PromptShape[] = [{ organisations: 10, documents: 10 }, { organisations: 100, documents: 100_000 }]
/** When fatal parts begin to arrive, in seconds: from the start of the fleet, or once it has answered requests. */
const FATAL_FROM = [0, 6] as const
/** Fleets in which a run with many losses takes less than a minute. */
const PART_FLEETS = suspectFleets.slice(0, 2)

interface SuspectRow {
  readonly runs: readonly SuspectFigures[]
  readonly good: boolean
}

/** Prints one line for each fleet, load, fault and policy: means over three seeds, and the worst figures. */
export async function suspectsBench ({ seed }: BenchOptions): Promise<boolean> {
  const requestsAreGood = printRequests(seed)
  return printParts(seed) && requestsAreGood
}

function printRequests (seed: number): boolean {
  let good = true
  for (const fleet of suspectFleets.slice(0, 3)) {
    for (const load of LOADS) {
      for (const restartEvery of RESTARTS) {
        for (const policy of REQUEST_POLICIES) {
          const row = measure({ ...fleet, ...load, fatalKind: 'request', policy, seed, restartEvery, seconds: SECONDS })
          printFigures('suspects', {
            entries: fleet.entries, endpoints: fleet.endpoints, fatal: load.fatal, per_second: load.fatalPerSecond, restart_every: restartEvery ?? 'never', policy, ...figuresOf(row)
          })
          good &&= row.good
        }
      }
    }
  }
  return good
}

function printParts (seed: number): boolean {
  let good = true
  for (const fleet of PART_FLEETS) {
    for (const load of Object.values<SuspectLoad>(partLoads)) {
      for (const prompts of PROMPTS) {
        for (const fatalFrom of FATAL_FROM) {
          for (const policy of PART_POLICIES) {
            const row = measure({ ...fleet, ...load, fatalKind: 'prompt-part', prompts, fatalFrom, policy, seed, restartEvery: undefined, seconds: fatalFrom + SECONDS })
            printFigures('suspects', {
              entries: fleet.entries, endpoints: fleet.endpoints, fatal_parts: load.fatal, per_second: load.fatalPerSecond, from: fatalFrom, other_crashes: load.otherCrashesPerSecond ?? 0, power_lost: load.powerLostAt ?? 'never', documents: prompts.documents, policy, ...figuresOf(row)
            })
            if (fatalFrom > 0) good &&= row.good
          }
        }
      }
    }
  }
  return good
}

/** A policy that the product uses may hold back few ordinary requests. */
function measure (run: SuspectRun): SuspectRow {
  const runs = Array.from({ length: SEEDS }, (_, index) => simulateSuspects({ ...run, seed: run.seed + index }))
  return { runs, good: run.policy !== 'whole-fleet' || mean(runs, 'heldBack') <= MAX_HELD_BACK }
}

function mean (runs: readonly SuspectFigures[], figure: keyof SuspectFigures): number {
  return runs.reduce((sum, run) => sum + run[figure], 0) / runs.length
}

function figuresOf ({ runs }: SuspectRow): Record<string, string | number> {
  return {
    ended: twoDecimals(mean(runs, 'endpointsCrashed')),
    most_ended: Math.max(...runs.map(run => run.endpointsCrashed)),
    late_sends: Math.max(...runs.map(run => run.lateSends)),
    unserved: mean(runs, 'unserved').toFixed(4),
    held_back: mean(runs, 'heldBack').toFixed(4),
    served_later: mean(runs, 'servedLater').toFixed(3),
    last_send_seconds: twoDecimals(mean(runs, 'lastSend'))
  }
}
