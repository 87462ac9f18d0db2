/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Validation of the options of a soak. */
import { DrumdriftError } from '@drumdrift/core'

/** Sets of faults: those of all parts of a deployment, those around versions of weights, and crowds of clients outside all limits. */
export type FaultSet = 'usual' | 'versions' | 'crowds'

const faultSets: readonly FaultSet[] = ['usual', 'versions', 'crowds']

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
  /** Sets to draw from. Their faults overlap. */
  readonly faults: readonly FaultSet[]
}

type NumberKey = Exclude<keyof SoakOptions, 'faults'>

interface Range {
  readonly min: number
  readonly max: number
  readonly integer: boolean
}

const ranges: Record<NumberKey, Range> = {
  seed: { min: 0, max: 2 ** 31, integer: true },
  minutes: { min: 0.1, max: 600, integer: false },
  processes: { min: 2, max: 300, integer: true },
  rate: { min: 1, max: 5_000, integer: false },
  pause: { min: 50, max: 60_000, integer: false }
}

/**
 * Parses and checks options from the command line.
 *
 * @throws DrumdriftError with a settings failure that names the first invalid option.
 * @example
 * const options = checkOptions({ seed: '7', minutes: '1', processes: '6', rate: '60', pause: '1500', faults: 'usual,versions' })
 */
export function checkOptions (given: Readonly<Record<keyof SoakOptions, string>>): SoakOptions {
  const checked = Object.entries(ranges).map(([key, range]) => [key, checkNumber(key, given[key as NumberKey], range)] as const)
  return { ...Object.fromEntries(checked) as Record<NumberKey, number>, faults: checkFaults(given.faults) }
}

function checkNumber (key: string, text: string, { min, max, integer }: Range): number {
  const value = text.trim() === '' ? Number.NaN : Number(text)
  if (value >= min && value <= max && (!integer || Number.isInteger(value))) return value
  const expected = `${integer ? 'a whole number' : 'a number'} from ${min} to ${max}`
  throw failureOf(key, expected)
}

function checkFaults (text: string): FaultSet[] {
  const given = text.split(',').map(name => name.trim())
  if (!given.every(isFaultSet)) throw failureOf('faults', `some of ${faultSets.join(', ')}`)
  return given
}

function isFaultSet (name: string): name is FaultSet { return (faultSets as readonly string[]).includes(name) }

function failureOf (key: string, expected: string): DrumdriftError {
  return new DrumdriftError({ type: 'settings-failure', file: 'the command line', section: 'soak', key, expected })
}
