/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Simulates plain services of several sizes under several faults, and measures what callers get. */
import { plainClasses, PlainWorld, type EndpointCondition, type PlainFigures, type PlainSize } from './plain-world.js'

/** Names of the faults: nothing, lost packets, full links between zones, or a condition of two thirds of the endpoints. */
export type PlainFault = 'none' | 'loss' | 'much-loss' | 'full-links' | Exclude<EndpointCondition, 'healthy'>

/** Times are in milliseconds. */
const CALM_TIME = 5_000
const FAULT_TIME = 20_000
const ZONES = 3
const LOSS = 0.1
const MUCH_LOSS = 0.2
/** With it a connection opens after more than the usual timeout. */
const FULL_LINK_DELAY = 30
const FAULTY_SHARE = 2 / 3

function disturbAllPaths (loss: number, delay: number): (world: PlainWorld) => void {
  return world => { for (let zone = 0; zone < ZONES; zone += 1) world.disturbPaths(zone, loss, delay) }
}

/** At least one endpoint stays healthy. */
function disturbEndpoints (condition: EndpointCondition): (world: PlainWorld, endpoints: number) => void {
  return (world, endpoints) => {
    const count = Math.min(endpoints - 1, Math.round(FAULTY_SHARE * endpoints))
    for (let index = 0; index < count; index += 1) world.setCondition(index, condition)
  }
}

const faults: Record<PlainFault, (world: PlainWorld, endpoints: number) => void> = {
  none: () => {},
  loss: disturbAllPaths(LOSS, 0),
  'much-loss': disturbAllPaths(MUCH_LOSS, 0),
  'full-links': disturbAllPaths(0, FULL_LINK_DELAY),
  silent: disturbEndpoints('silent'),
  refusing: disturbEndpoints('refusing'),
  flapping: disturbEndpoints('flapping'),
  resetting: disturbEndpoints('resetting'),
  failing: disturbEndpoints('failing'),
  hanging: disturbEndpoints('hanging'),
  slow: disturbEndpoints('slow'),
  rejecting: disturbEndpoints('rejecting'),
  shedding: disturbEndpoints('shedding')
}

/** The names of all faults. */
export const plainFaults = Object.keys(faults) as readonly PlainFault[]

/** A simulation of one fault. */
export interface PlainRun extends PlainSize {
  readonly fault: PlainFault
  /** Requests per second of each entry. */
  readonly requestsPerSecond: number
  /** Requests per second of each entry that have a long objective, besides; none by default. */
  readonly patientPerSecond?: number
  readonly seed: number
}

/**
 * Plays a calm time and a faulty one.
 *
 * @example
 * const { figures } = playFault({ fault: 'resetting', endpoints: 3, entries: 39, requestsPerSecond: 1, seed: 7 })
 */
export function playFault ({ fault, endpoints, entries, requestsPerSecond, patientPerSecond = 0, seed }: PlainRun): PlainWorld {
  const world = new PlainWorld(seed, undefined, { endpoints, entries })
  const load = (time: number): void => {
    world.load(entries * requestsPerSecond * time / 1_000, time)
    world.load(entries * patientPerSecond * time / 1_000, time, 'patient')
  }
  load(CALM_TIME)
  world.world.advance(CALM_TIME)
  faults[fault](world, endpoints)
  load(FAULT_TIME)
  world.settle()
  return world
}

const ENDPOINT_COUNTS = [1, 2, 3, 10, 100]
const ENTRY_COUNTS = [6, 24, 98, 380]

/** Measures every fault at every size and prints a line for each class of requests. */
export function printPlainFigures (seed: number, print: (line: string) => void): void {
  for (const fault of plainFaults) {
    for (const endpoints of ENDPOINT_COUNTS) {
      for (const entries of ENTRY_COUNTS) {
        const { figures } = playFault({ fault, endpoints, entries, requestsPerSecond: 1, seed })
        for (const requestClass of plainClasses) print(`event=figures fault=${fault} endpoints=${endpoints} entries=${entries} seed=${seed} class=${requestClass} ${formatFigures(figures[requestClass])}`)
      }
    }
  }
}

function formatFigures ({ counted, inTime, late, refused, failed }: PlainFigures): string {
  const share = (count: number): string => (count / Math.max(1, counted)).toFixed(3)
  return `requests=${counted} in_time=${share(inTime)} late=${share(late)} refused=${share(refused)} failed=${share(failed)}`
}
