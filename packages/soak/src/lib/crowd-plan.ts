/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Draws crowds of clients at entries. */
import type { CrowdKind } from './crowds.js'
import { drawBetween, drawPause, drawWeighted } from './draws.js'
import type { PlannedFault, PlanOptions } from './fault-plan.js'

const weights: Record<CrowdKind, number> = { 'crowd-of-open-bodies': 3, 'crowd-of-large-open-bodies': 3, 'crowd-of-unknown-keys': 2, 'crowd-of-unknown-routes': 1, 'crowd-of-pipelines': 2 }
/** Mean time between two crowds, as a multiple of the mean time between two faults. */
const PAUSES_BETWEEN_CROWDS = 4
/** How long the connections stay open. */
const MIN_CROWD_MILLISECONDS = 2_000
const MAX_CROWD_MILLISECONDS = 6_000
const MIN_CONNECTIONS = 20
const MAX_CONNECTIONS = 80

/**
 * Draws the crowds of one soak.
 *
 * @example
 * const faults = drawCrowds(seededRandom(7), { length: 60_000, pause: 1_500, faults: ['crowds'] })
 */
export function drawCrowds (random: () => number, { length, pause }: PlanOptions): PlannedFault[] {
  const mean = PAUSES_BETWEEN_CROWDS * pause
  const faults: PlannedFault[] = []
  for (let at = drawPause(random, mean); at < length; at += drawPause(random, mean)) faults.push(drawCrowd(random, at))
  return faults
}

function drawCrowd (random: () => number, at: number): PlannedFault {
  return {
    kind: drawWeighted(random, weights),
    targetKind: 'crowd',
    at,
    durationMilliseconds: drawBetween(random, MIN_CROWD_MILLISECONDS, MAX_CROWD_MILLISECONDS),
    delayMilliseconds: 0,
    connections: Math.round(drawBetween(random, MIN_CONNECTIONS, MAX_CONNECTIONS)),
    targetPosition: random()
  }
}
