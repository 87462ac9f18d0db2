/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Shared options and output of the benchmarks. */
import { formatPairs, type LogFields } from 'drumdrift'

/** Command line options of the benchmarks. */
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
  /** The number of seeds to run a simulation with, starting at `seed`. */
  readonly seeds: number
  /** The file for a plot; `undefined` for no plot. */
  readonly plot: string | undefined
  /** The launcher of a build to measure; `undefined` to build and measure this working tree. */
  readonly program: string | undefined
  /** The number of chunks in flight at one agent. */
  readonly window: number
}

/** Runs a benchmark and prints its figures. Resolves to true if the measurement is valid and meets the benchmark's criteria. */
export type Bench = (options: BenchOptions) => Promise<boolean>

/** Prints one line of figures. */
export function printFigures (name: string, fields: LogFields): void {
  process.stdout.write(`${formatPairs({ event: 'bench', case: name, ...fields })}\n`)
}

/**
 * Returns the quantile of unsorted values.
 *
 * @example
 * quantile([1, 2, 3, 4], 0.5) // 3
 */
export function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN
}

/** Formats a number with two decimals. */
export function twoDecimals (value: number): string { return value.toFixed(2) }

/** Creates a generator of numbers in [0, 1) that gives the same sequence for the same seed on every machine. */
export { seededRandom } from '@drumdrift/stand-ins'
