/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Options and output that the benchmarks share. */
import { formatPairs, type LogFields } from 'drumdrift'

/** Options of any benchmark, as given on the command line. */
export interface BenchOptions {
  readonly seed: number
  readonly endpoints: number
  readonly originCopies: number
  readonly strategy: string
  readonly kill: number
  readonly stall: number
  readonly corrupt: number
  readonly seconds: number
  readonly baselines: boolean
  /** Seeds that a model is played with, from `seed` on. */
  readonly seeds: number
  /** Where a plot goes; nothing for none. */
  readonly plot: string | undefined
  /** Chunks in flight at one agent. */
  readonly window: number
}

/** A benchmark prints its lines and returns whether it could measure what it is for. */
export type Bench = (options: BenchOptions) => Promise<boolean>

/** Prints one line of figures. */
export function printFigures (name: string, fields: LogFields): void {
  process.stdout.write(`${formatPairs({ event: 'bench', case: name, ...fields })}\n`)
}

/**
 * The value at a share of sorted values.
 *
 * @example
 * quantile([1, 2, 3, 4], 0.5) // 3
 */
export function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN
}

/** A number with two decimals. */
export function twoDecimals (value: number): string { return value.toFixed(2) }

/** A seeded generator of numbers in [0, 1), the same for one seed everywhere. */
export { seededRandom } from '@drumdrift/stand-ins'
