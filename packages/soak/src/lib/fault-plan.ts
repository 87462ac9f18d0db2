/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Draws the times, kinds and targets of faults from a seed. */
import { drawCrowds } from './crowd-plan.js'
import type { CrowdKind } from './crowds.js'
import { drawBetween, drawPause, drawWeighted } from './draws.js'
import { drawOverlaps } from './overlap-plan.js'
import type { FaultSet } from './soak-options.js'
import { drawVersionFaults, type StagingFaultKind } from './version-plan.js'

/** Faults of entry processes and of their links to the store. */
const entryFaults = ['entry-stops', 'entry-killed', 'entry-paused', 'entry-reloads', 'store-way-cut', 'store-way-stalls', 'store-way-deaf', 'store-way-mute', 'store-way-slow', 'store-way-silent'] as const
/** Faults of the links to a seed, and of all links to the seeds and to the store together. */
const linksFaults = ['peers-way-slow', 'peers-way-silent', 'all-way-slow'] as const
const storeFaults = ['store-down', 'store-silent', 'store-turns-away', 'store-slow', 'store-forgets', 'store-restored'] as const
const endpointFaults = ['endpoint-drains', 'endpoint-crashes', 'endpoint-sheds', 'endpoint-mute', 'endpoint-way-cut', 'endpoint-way-stalls', 'endpoint-way-slow'] as const
const agentFaults = ['agent-stops', 'agent-killed', 'agent-paused'] as const
const operatorActions = ['route-moves', 'key-revoked', 'configuration-written'] as const
const versionActions = ['version-named'] as const
const originFaults = ['origin-down', 'origin-slow'] as const
/** Faults of endpoints that have a queue. */
const engineFaults = ['engine-queues'] as const
/** Pauses between events: of one engine, and of all at once. */
type SilenceKind = 'engine-silent' | 'engines-silent'

/** Kinds of faults and of acts of the operator. */
export type FaultKind = SilenceKind | CrowdKind | StagingFaultKind | typeof entryFaults[number] | typeof linksFaults[number] | typeof versionActions[number] | typeof originFaults[number] | typeof engineFaults[number] | typeof storeFaults[number] | typeof endpointFaults[number] | typeof agentFaults[number] | typeof operatorActions[number]

/** Kinds of targets. */
export type TargetKind = 'engines' | 'staging' | 'crowd' | DrawnTargetKind

/** Kinds of targets whose faults are drawn one by one. */
type DrawnTargetKind = 'entry' | 'links' | 'store' | 'endpoint' | 'engine' | 'agent' | 'operator' | 'versions' | 'origin'

const faultsByTarget: Record<DrawnTargetKind, readonly FaultKind[]> = {
  entry: entryFaults, links: linksFaults, store: storeFaults, endpoint: endpointFaults, engine: engineFaults, agent: agentFaults, operator: operatorActions, versions: versionActions, origin: originFaults
}
/** Relative frequency of each kind of target. There are many entries and endpoints but one store. */
const weights: Record<DrawnTargetKind, number> = { entry: 4, links: 3, store: 1, endpoint: 3, engine: 2, agent: 1, operator: 2, versions: 2, origin: 2 }

/** A fault to inject. */
export interface PlannedFault {
  readonly kind: FaultKind
  readonly targetKind: TargetKind
  /** Milliseconds after the start. */
  readonly at: number
  /** Duration in milliseconds. Faults without a duration ignore it. */
  readonly durationMilliseconds: number
  /** Delay in milliseconds, for faults that delay. */
  readonly delayMilliseconds: number
  /** Number of connections, for crowds. */
  readonly connections?: number
  /** Position of the target among those of its kind, as a share of their number. */
  readonly targetPosition: number
}

/** Parameters of a plan. */
export interface PlanOptions {
  /** Length of the plan in milliseconds. */
  readonly length: number
  /** Mean time between two faults, in milliseconds. */
  readonly pause: number
  readonly faults: readonly FaultSet[]
}

/** Draws some faults, in any order. */
type PlanPart = (random: () => number, options: PlanOptions) => PlannedFault[]

const partsBySet: Record<FaultSet, readonly PlanPart[]> = {
  usual: [drawSingles, drawOverlaps],
  versions: [drawVersionFaults],
  crowds: [drawCrowds]
}

const MIN_FAULT_MILLISECONDS = 200
const MAX_FAULT_MILLISECONDS = 3_000
const MIN_DELAY_MILLISECONDS = 300
const MAX_DELAY_MILLISECONDS = 1_500
/** Share of faults that start a series. */
const SERIES_SHARE = 0.2
/** Number of faults that follow the first of a series. */
const SERIES_LENGTH = 3
/** Shortest and longest time between two faults of a series, in milliseconds. */
const MIN_SERIES_PAUSE_MILLISECONDS = 100
const MAX_SERIES_PAUSE_MILLISECONDS = 1_500

/**
 * Draws the faults of one soak.
 *
 * @example
 * const faults = drawPlan(seededRandom(7), { length: 60_000, pause: 1_500, faults: ['usual'] })
 */
export function drawPlan (random: () => number, options: PlanOptions): PlannedFault[] {
  const faults = options.faults.flatMap(set => partsBySet[set]).flatMap(draw => draw(random, options))
  return faults.filter(({ at }) => at < options.length).sort((left, right) => left.at - right.at)
}

/** Draws faults of all targets one by one. The faults of a series have one kind and go through the targets in turn. Others are meant to overlap. */
function drawSingles (random: () => number, { length, pause }: PlanOptions): PlannedFault[] {
  const faults: PlannedFault[] = []
  for (let at = drawPause(random, pause); at < length; at += drawPause(random, pause)) {
    const first = drawFault(random, at)
    faults.push(first)
    if (random() >= SERIES_SHARE) continue
    let next = at
    for (let count = 1; count <= SERIES_LENGTH; count += 1) {
      next += drawBetween(random, MIN_SERIES_PAUSE_MILLISECONDS, MAX_SERIES_PAUSE_MILLISECONDS)
      faults.push({ ...first, at: next, targetPosition: (first.targetPosition + count / (SERIES_LENGTH + 1)) % 1 })
    }
  }
  return faults
}

function drawFault (random: () => number, at: number): PlannedFault {
  const targetKind = drawWeighted(random, weights)
  const kinds = faultsByTarget[targetKind]
  const kind = kinds[Math.floor(random() * kinds.length)] as FaultKind
  return {
    kind,
    targetKind,
    at,
    durationMilliseconds: drawBetween(random, MIN_FAULT_MILLISECONDS, MAX_FAULT_MILLISECONDS),
    delayMilliseconds: drawBetween(random, MIN_DELAY_MILLISECONDS, MAX_DELAY_MILLISECONDS),
    targetPosition: random()
  }
}
