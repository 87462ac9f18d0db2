/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Draws pauses of engines and entries, most of them around stops of entries. */
import { drawBetween, drawPause, drawWeighted } from './draws.js'
import type { PlannedFault, PlanOptions } from './fault-plan.js'

type OverlapKind = 'engines-silent' | 'engine-silent' | 'entry-paused'

/** What pauses, by kind of overlap, and with which position the stops around it begin. */
interface Overlap {
  readonly targetKind: PlannedFault['targetKind']
  /** Whether the entry that pauses is the first to stop. */
  readonly stopsItself: boolean
}

const overlaps: Record<OverlapKind, Overlap> = {
  'engines-silent': { targetKind: 'engines', stopsItself: false },
  'engine-silent': { targetKind: 'engine', stopsItself: false },
  'entry-paused': { targetKind: 'entry', stopsItself: true }
}
const weights: Record<OverlapKind, number> = { 'engines-silent': 2, 'engine-silent': 1, 'entry-paused': 2 }

/** Mean time between two overlaps, as a multiple of the mean time between two faults. */
const PAUSES_BETWEEN_OVERLAPS = 5
const MIN_PAUSE_MILLISECONDS = 500
const MAX_PAUSE_MILLISECONDS = 2_000
/** Share of the pauses around which entries stop. */
const STOP_SHARE = 0.7
/** Greatest number of entries that stop in a row. */
const MAX_STOPS = 3
/** The first stop comes at most this long before a pause begins or after it has ended, in milliseconds. */
const MAX_STOP_DISTANCE_MILLISECONDS = 800
const MIN_STOP_PAUSE_MILLISECONDS = 100
const MAX_STOP_PAUSE_MILLISECONDS = 1_000

/**
 * Draws the overlaps of one soak.
 *
 * @example
 * const faults = drawOverlaps(seededRandom(7), { length: 60_000, pause: 1_500, faults: ['usual'] })
 */
export function drawOverlaps (random: () => number, { length, pause }: PlanOptions): PlannedFault[] {
  const mean = PAUSES_BETWEEN_OVERLAPS * pause
  const faults: PlannedFault[] = []
  for (let at = drawPause(random, mean); at < length; at += drawPause(random, mean)) faults.push(...drawOverlap(random, at))
  return faults
}

function drawOverlap (random: () => number, at: number): PlannedFault[] {
  const kind = drawWeighted(random, weights)
  const { targetKind, stopsItself } = overlaps[kind]
  const durationMilliseconds = drawBetween(random, MIN_PAUSE_MILLISECONDS, MAX_PAUSE_MILLISECONDS)
  const paused: PlannedFault = { kind, targetKind, at, durationMilliseconds, delayMilliseconds: 0, targetPosition: random() }
  const firstStopAt = at + drawBetween(random, -MAX_STOP_DISTANCE_MILLISECONDS, durationMilliseconds + MAX_STOP_DISTANCE_MILLISECONDS)
  const firstPosition = stopsItself ? paused.targetPosition : random()
  return random() < STOP_SHARE ? [paused, ...drawStops(random, Math.max(0, firstStopAt), firstPosition)] : [paused]
}

/** Draws stops of some entries in a row. */
function drawStops (random: () => number, firstAt: number, firstPosition: number): PlannedFault[] {
  const count = 1 + Math.floor(random() * MAX_STOPS)
  let next = firstAt
  return Array.from({ length: count }, (_, index) => {
    const stop: PlannedFault = { kind: 'entry-stops', targetKind: 'entry', at: next, durationMilliseconds: 0, delayMilliseconds: 0, targetPosition: (firstPosition + index / (MAX_STOPS + 1)) % 1 }
    next += drawBetween(random, MIN_STOP_PAUSE_MILLISECONDS, MAX_STOP_PAUSE_MILLISECONDS)
    return stop
  })
}
