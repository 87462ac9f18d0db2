/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Draws series of versions, with faults of the agents and the staging memories that receive them. */
import { drawBetween, drawPause, drawWeighted } from './draws.js'
import type { PlannedFault, PlanOptions } from './fault-plan.js'

/** Faults of the staging memory of an engine and of the orders that it takes. */
export type StagingFaultKind = 'orders-held' | 'writes-held' | 'piece-corrupted' | 'corrupted-after-read' | 'paused-after-read'

type VersionFaultKind = StagingFaultKind | 'agent-paused' | 'agent-killed'

/** Smallest and greatest value that is drawn, in milliseconds. */
type Span = readonly [min: number, max: number]

interface VersionFault {
  readonly weight: number
  readonly targetKind: PlannedFault['targetKind']
  readonly duration: Span
  readonly delay: Span
}

const NONE: Span = [0, 0]
/** Time in which calls are delayed, about as long as a series takes. */
const WINDOW: Span = [3_000, 8_000]
const AGENT_PAUSE: Span = [1_000, 5_000]
/** Most delays of orders and writes are beyond the timeout of an agent. */
const ORDER_DELAY: Span = [2_000, 7_000]
const WRITE_DELAY: Span = [2_300, 6_000]
/** With the delay of each read, all pieces of a version take up to 5 s. */
const READ_DELAY: Span = [200, 650]

const versionFaults: Record<VersionFaultKind, VersionFault> = {
  'orders-held': { weight: 4, targetKind: 'staging', duration: WINDOW, delay: ORDER_DELAY },
  'writes-held': { weight: 3, targetKind: 'staging', duration: WINDOW, delay: WRITE_DELAY },
  'piece-corrupted': { weight: 2, targetKind: 'staging', duration: NONE, delay: NONE },
  'corrupted-after-read': { weight: 2, targetKind: 'staging', duration: WINDOW, delay: READ_DELAY },
  'paused-after-read': { weight: 2, targetKind: 'staging', duration: AGENT_PAUSE, delay: NONE },
  'agent-paused': { weight: 2, targetKind: 'agent', duration: AGENT_PAUSE, delay: NONE },
  'agent-killed': { weight: 1, targetKind: 'agent', duration: NONE, delay: NONE }
}
const weights = Object.fromEntries(Object.entries(versionFaults).map(([kind, { weight }]) => [kind, weight])) as Record<VersionFaultKind, number>

/** Mean time between two series, as a multiple of the mean time between two faults. */
const PAUSES_BETWEEN_SERIES = 4
const VERSIONS_PER_SERIES: Span = [2, 5]
const VERSION_PAUSE: Span = [1_000, 4_000]
const FAULTS_PER_SERIES: Span = [2, 5]
/** The first faults begin at most this long before the first version, in milliseconds. */
const LEAD_MILLISECONDS = 500
/** Greatest number of targets that a fault has at once. */
const MAX_TARGETS = 3

/**
 * Draws the versions of one soak and the faults around them. Series do not overlap.
 *
 * @example
 * const faults = drawVersionFaults(seededRandom(7), { length: 60_000, pause: 1_500, faults: ['versions'] })
 */
export function drawVersionFaults (random: () => number, { length, pause }: PlanOptions): PlannedFault[] {
  const faults: PlannedFault[] = []
  let at = LEAD_MILLISECONDS
  while (at < length) {
    const series = drawSeries(random, at)
    faults.push(...series)
    at = Math.max(...series.map(fault => fault.at)) + drawPause(random, PAUSES_BETWEEN_SERIES * pause)
  }
  return faults
}

function drawSeries (random: () => number, startAt: number): PlannedFault[] {
  const versions: PlannedFault[] = []
  let next = startAt
  for (let count = drawCount(random, VERSIONS_PER_SERIES); count > 0; count -= 1) {
    versions.push({ kind: 'version-named', targetKind: 'versions', at: next, durationMilliseconds: 0, delayMilliseconds: 0, targetPosition: 0 })
    next += drawBetween(random, ...VERSION_PAUSE)
  }
  const count = drawCount(random, FAULTS_PER_SERIES)
  const faults = Array.from({ length: count }, () => drawVersionFault(random, drawBetween(random, startAt - LEAD_MILLISECONDS, next)))
  return [...versions, ...faults.flat()]
}

/** Draws a fault that begins on one or more targets at once. */
function drawVersionFault (random: () => number, at: number): PlannedFault[] {
  const kind = drawWeighted(random, weights)
  const { targetKind, duration, delay } = versionFaults[kind]
  const firstPosition = random()
  const fault = { kind, targetKind, at, durationMilliseconds: drawBetween(random, ...duration), delayMilliseconds: drawBetween(random, ...delay) }
  const targets = drawCount(random, [1, MAX_TARGETS])
  return Array.from({ length: targets }, (_, index) => ({ ...fault, targetPosition: (firstPosition + index / MAX_TARGETS) % 1 }))
}

function drawCount (random: () => number, [min, max]: Span): number { return Math.floor(drawBetween(random, min, max + 1)) }
