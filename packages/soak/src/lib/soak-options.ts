/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Validation of the options of a soak. */
import { DrumdriftError } from '@drumdrift/core'

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number
  readonly minutes: number
  /** Number of entry processes. */
  readonly processes: number
  /** Calls per second, of all callers together. */
  readonly rate: number
  /** Mean time between two faults, in milliseconds. */
  readonly pause: number
}

interface Range {
  readonly least: number
  readonly most: number
  readonly whole: boolean
}

const ranges: Record<keyof SoakOptions, Range> = {
  seed: { least: 0, most: 2 ** 31, whole: true },
  minutes: { least: 0.1, most: 600, whole: false },
  processes: { least: 2, most: 300, whole: true },
  rate: { least: 1, most: 5_000, whole: false },
  pause: { least: 50, most: 60_000, whole: false }
}

/**
 * Parses and checks options from the command line.
 *
 * @throws DrumdriftError with a settings failure that names the first invalid option.
 * @example
 * const options = checkOptions({ seed: '7', minutes: '1', processes: '6', rate: '60', pause: '1500' })
 */
export function checkOptions (given: Readonly<Record<keyof SoakOptions, string>>): SoakOptions {
  const checked = Object.entries(ranges).map(([key, range]) => [key, checkNumber(key, given[key as keyof SoakOptions], range)] as const)
  return Object.fromEntries(checked) as unknown as SoakOptions
}

function checkNumber (key: string, text: string, { least, most, whole }: Range): number {
  const value = text.trim() === '' ? Number.NaN : Number(text)
  if (value >= least && value <= most && (!whole || Number.isInteger(value))) return value
  const expected = `${whole ? 'a whole number' : 'a number'} from ${least} to ${most}`
  throw new DrumdriftError({ type: 'settings-failure', file: 'the command line', section: 'soak', key, expected })
}
