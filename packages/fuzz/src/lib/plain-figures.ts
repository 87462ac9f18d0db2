/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Simulates plain services of several sizes under several troubles, and measures what callers get. */
import { plainClasses, PlainWorld, type EndpointCondition, type PlainFigures, type PlainSize } from './plain-world.js'

/** Names of the troubles: nothing, lost packets, full links between zones, or a condition of two thirds of the endpoints. */
export type PlainTrouble = 'none' | 'loss' | 'much-loss' | 'full-links' | Exclude<EndpointCondition, 'sound'>

/** Times are in milliseconds. */
const CALM_TIME = 5_000
const TROUBLED_TIME = 20_000
const ZONES = 3
const LOSS = 0.1
const MUCH_LOSS = 0.2
/** With it a connection opens after more than the usual timeout. */
const FULL_LINK_DELAY = 30
const TROUBLED_SHARE = 2 / 3

function disturbAllPaths (loss: number, delay: number): (world: PlainWorld) => void {
  return world => { for (let zone = 0; zone < ZONES; zone += 1) world.disturbPaths(zone, loss, delay) }
}

/** At least one endpoint stays sound. */
function disturbEndpoints (condition: EndpointCondition): (world: PlainWorld, endpoints: number) => void {
  return (world, endpoints) => {
    const count = Math.min(endpoints - 1, Math.round(TROUBLED_SHARE * endpoints))
    for (let index = 0; index < count; index += 1) world.setCondition(index, condition)
  }
}

const troubles: Record<PlainTrouble, (world: PlainWorld, endpoints: number) => void> = {
  none: () => {},
  loss: disturbAllPaths(LOSS, 0),
  'much-loss': disturbAllPaths(MUCH_LOSS, 0),
  'full-links': disturbAllPaths(0, FULL_LINK_DELAY),
  silent: disturbEndpoints('silent'),
  refusing: disturbEndpoints('refusing'),
  flapping: disturbEndpoints('flapping'),
  resetting: disturbEndpoints('resetting'),
  failing: disturbEndpoints('failing'),
  hanging: disturbEndpoints('hanging')
}

/** The names of all troubles. */
export const plainTroubles = Object.keys(troubles) as readonly PlainTrouble[]

/** A simulation of one trouble. */
export interface PlainRun extends PlainSize {
  readonly trouble: PlainTrouble
  /** Requests per second of each entry. */
  readonly requestsPerSecond: number
  readonly seed: number
}

/**
 * Plays a calm time and a troubled one.
 *
 * @example
 * const { figures } = playTrouble({ trouble: 'resetting', endpoints: 3, entries: 39, requestsPerSecond: 1, seed: 7 })
 */
export function playTrouble ({ trouble, endpoints, entries, requestsPerSecond, seed }: PlainRun): PlainWorld {
  const world = new PlainWorld(seed, undefined, { endpoints, entries })
  const load = (time: number): void => world.load(entries * requestsPerSecond * time / 1_000, time)
  load(CALM_TIME)
  world.world.advance(CALM_TIME)
  troubles[trouble](world, endpoints)
  load(TROUBLED_TIME)
  world.settle()
  return world
}

const ENDPOINT_COUNTS = [1, 2, 3, 10, 100]
const ENTRY_COUNTS = [6, 24, 98, 380]

/** Measures every trouble at every size and prints a line for each class of requests. */
export function printPlainFigures (seed: number, print: (line: string) => void): void {
  for (const trouble of plainTroubles) {
    for (const endpoints of ENDPOINT_COUNTS) {
      for (const entries of ENTRY_COUNTS) {
        const { figures } = playTrouble({ trouble, endpoints, entries, requestsPerSecond: 1, seed })
        for (const requestClass of plainClasses) print(`event=figures trouble=${trouble} endpoints=${endpoints} entries=${entries} seed=${seed} class=${requestClass} ${formatFigures(figures[requestClass])}`)
      }
    }
  }
}

function formatFigures ({ counted, inTime, late, refused, failed }: PlainFigures): string {
  const share = (count: number): string => (count / Math.max(1, counted)).toFixed(3)
  return `requests=${counted} in_time=${share(inTime)} late=${share(late)} refused=${share(refused)} failed=${share(failed)}`
}
