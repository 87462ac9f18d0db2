/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Draws when which fault happens to whom, from a seed. */

/** Faults of entries' processes and of their ways to the store. */
const entryFaults = ['entry-stops', 'entry-killed', 'entry-paused', 'entry-reloads', 'store-way-cut', 'store-way-stalls', 'store-way-deaf', 'store-way-mute', 'store-way-slow'] as const
const storeFaults = ['store-down', 'store-silent', 'store-turns-away', 'store-slow', 'store-forgets', 'store-restored'] as const
const endpointFaults = ['endpoint-drains', 'endpoint-crashes', 'endpoint-sheds', 'endpoint-mute', 'endpoint-way-cut', 'endpoint-way-stalls', 'endpoint-way-slow'] as const
const agentFaults = ['agent-stops', 'agent-killed', 'agent-paused'] as const
const operatorActs = ['route-moves', 'key-revoked', 'configuration-written', 'version-named'] as const

/** What the soak does from outside. */
export type FaultKind = typeof entryFaults[number] | typeof storeFaults[number] | typeof endpointFaults[number] | typeof agentFaults[number] | typeof operatorActs[number]

/** What a fault is aimed at. */
export type FaultAim = 'entry' | 'store' | 'endpoint' | 'agent' | 'operator'

const kindsOf: Record<FaultAim, readonly FaultKind[]> = { entry: entryFaults, store: storeFaults, endpoint: endpointFaults, agent: agentFaults, operator: operatorActs }
/** How often each is aimed at; the store has one place, entries and endpoints many. */
const weights: Record<FaultAim, number> = { entry: 4, store: 1, endpoint: 3, agent: 1, operator: 2 }

/** One fault to come. */
export interface PlannedFault {
  readonly kind: FaultKind
  readonly aim: FaultAim
  /** Milliseconds after the begin. */
  readonly at: number
  /** How long, in milliseconds; what has no length of its own takes no heed of it. */
  readonly lasts: number
  /** Which of those that it may be aimed at, as a share of their number. */
  readonly which: number
}

/** What a plan is drawn for. */
export interface PlanOptions {
  /** Faults are drawn for so many milliseconds. */
  readonly length: number
  /** Mean pause between two faults, in milliseconds. */
  readonly pause: number
}

const SHORTEST_FAULT = 200
const LONGEST_FAULT = 3_000
/** The share of faults that come in a series, how many follow, and the longest pause between them in milliseconds. */
const SERIES_SHARE = 0.2
const SERIES_LENGTH = 3
const LONGEST_SERIES_PAUSE = 1_200

/**
 * Draws the faults of one soak; those of a series have one kind and go through their targets one after the other.
 *
 * @example
 * const faults = drawPlan(seededRandom(7), { length: 60_000, pause: 1_500 })
 */
export function drawPlan (random: () => number, { length, pause }: PlanOptions): PlannedFault[] {
  const faults: PlannedFault[] = []
  for (let at = drawPause(random, pause); at < length; at += drawPause(random, pause)) {
    const first = drawFault(random, at)
    faults.push(first)
    if (random() >= SERIES_SHARE) continue
    let next = at
    for (let count = 1; count <= SERIES_LENGTH; count += 1) {
      next += random() * LONGEST_SERIES_PAUSE
      faults.push({ ...first, at: next, which: (first.which + count / (SERIES_LENGTH + 1)) % 1 })
    }
  }
  return faults.filter(fault => fault.at < length).sort((left, right) => left.at - right.at)
}

function drawPause (random: () => number, mean: number): number { return -Math.log(1 - random()) * mean }

function drawFault (random: () => number, at: number): PlannedFault {
  const aim = drawAim(random)
  const kinds = kindsOf[aim]
  const kind = kinds[Math.floor(random() * kinds.length)] as FaultKind
  return { kind, aim, at, lasts: SHORTEST_FAULT + random() * (LONGEST_FAULT - SHORTEST_FAULT), which: random() }
}

function drawAim (random: () => number): FaultAim {
  const aims = Object.keys(weights) as FaultAim[]
  let left = random() * aims.reduce((sum, aim) => sum + weights[aim], 0)
  for (const aim of aims) {
    left -= weights[aim]
    if (left < 0) return aim
  }
  return 'operator'
}
