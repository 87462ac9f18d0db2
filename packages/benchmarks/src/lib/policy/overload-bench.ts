/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Compares admission policies in the simulated pool under overload, by urgency and organisation. */
import { printFigures, type BenchOptions } from '../bench-options.js'
import { overloadSites, simulateOverload, type OverloadCounts, type OverloadFigures, type OverloadRun, type OverloadSite } from './overload-model.js'
import { overloadPolicyNames } from './overload-policies.js'

/** Offered requests as multiples of what saturated engines complete. */
const LOADS = [0.8, 1, 1.3, 1.7] as const
const MIXES: readonly OverloadRun['urgencies'][] = ['three', 'one']

/** Runs each policy at each load and number of entries. */
export async function overloadBench ({ seed, seeds }: BenchOptions): Promise<boolean> {
  let valid = true
  for (const entries of Object.keys(overloadSites).map(name => Number(name) as OverloadSite)) {
    const runs = MIXES.flatMap(urgencies => LOADS.flatMap(load => overloadPolicyNames.map(policy => ({ entries, urgencies, load, policy }))))
    for (const run of runs) {
      const figures = overloadFigures({ ...run, seed }, seeds)
      for (const [group, counts] of [...figures].sort(([left], [right]) => left.localeCompare(right))) printFigures('overload', { ...run, seeds, group, ...sharesOf(counts) })
      valid &&= (figures.get('all')?.all ?? 0) > 0
    }
  }
  return valid
}

/**
 * Adds up the figures of several seeds, by group.
 *
 * @example
 * overloadFigures({ entries: 40, policy: 'ordered', load: 1, urgencies: 'three', seed: 7 }, 3).get('all')
 */
export function overloadFigures (run: OverloadRun, seeds: number): ReadonlyMap<string, OverloadCounts> {
  const sums = new Map<string, OverloadCounts>()
  for (let index = 0; index < seeds; index += 1) {
    const figures: OverloadFigures = simulateOverload({ ...run, seed: run.seed + index })
    for (const [group, { all, inTime, late, unserved, refused }] of Object.entries(figures)) {
      const sum = sums.get(group) ?? { all: 0, inTime: 0, late: 0, unserved: 0, refused: 0 }
      sums.set(group, { all: sum.all + all, inTime: sum.inTime + inTime, late: sum.late + late, unserved: sum.unserved + unserved, refused: sum.refused + refused })
    }
  }
  return sums
}

function sharesOf ({ all, inTime, late, unserved, refused }: OverloadCounts): Record<string, string | number> {
  const share = (count: number): string => (count / all).toFixed(3)
  return { requests: all, in_time: share(inTime), late: share(late), unserved: share(unserved), refused: share(refused) }
}
