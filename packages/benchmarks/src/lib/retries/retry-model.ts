/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates a fleet whose endpoints refuse a share of the attempts while its entries restart repeatedly. Measures the load that retries
 * add to the service, against the bound that its operators set, and the share of requests that are served.
 */
import { FleetSize, RetryAllowance, RetryBudget, type RetryLimits } from '@drumdrift/core'
import { seededRandom } from '@drumdrift/stand-ins'

/** The time window for which the bound holds, in milliseconds. */
const WINDOW_MILLISECONDS = 10_000

/** Entries, their traffic and the retry limits that their operators set. */
export interface RetryFleet {
  readonly entries: number
  readonly perSecond: number
  readonly limits: RetryLimits
}

/** Fleets of three sizes, with retry limits as operators set them for such sizes. */
export const retryFleets: readonly RetryFleet[] = [
  { entries: 6, perSecond: 120, limits: { ratio: 0.2, slack: 102, window: WINDOW_MILLISECONDS } },
  { entries: 24, perSecond: 240, limits: { ratio: 0.2, slack: 180, window: WINDOW_MILLISECONDS } },
  { entries: 98, perSecond: 628, limits: { ratio: 0.2, slack: 454, window: WINDOW_MILLISECONDS } }
]

/** Parameters of one simulation run. */
export interface RetryRun extends RetryFleet {
  readonly policy: RetryPolicyName
  readonly seed: number
  /** The share of attempts that endpoints refuse. */
  readonly refused: number
  /** Seconds between restarts of nine in ten entries; `undefined` for no restarts. */
  readonly restartEvery: number | undefined
  readonly seconds: number
}

/** Results of one simulation run. */
export interface RetryFigures {
  /** The maximum ratio of retries to allowed retries in any window. */
  readonly worstRatio: number
  /** The share of requests that were served. */
  readonly served: number
}

/** The retry policy of one entry. */
interface RetryPolicy {
  recordRequest (now: number): void
  trySpend (now: number): boolean
}

/** The state of the fleet that policies can use. */
interface Fleet {
  readonly run: RetryRun
  readonly requests: readonly number[]
  readonly retries: readonly number[]
}

/** The bound uses the requests of the window itself, or of the window shifted back by half its length or its full length, whichever has the most. */
const WINDOW_OFFSETS = [0, WINDOW_MILLISECONDS / 2, WINDOW_MILLISECONDS]
/** The time from a request to its retry, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 20
const RESTARTED_SHARE = 0.9
/** The ratio of the busiest entry's traffic to that of the least busy one. */
const TRAFFIC_RATIO = 5

const policies = {
  none: () => ({ recordRequest () {}, trySpend: () => false }),
  'reserve-of-each-entry': ({ run }: Fleet) => {
    const budget = new RetryBudget(run.limits.ratio)
    return { recordRequest: () => budget.attempted(), trySpend: () => budget.trySpend() }
  },
  'part-of-the-fleet': ({ run }: Fleet, now: number) => {
    const fleet = new FleetSize(() => [{ availabilityZone: 'hall', listed: 1, followed: 1 }])
    const allowance = new RetryAllowance(run.limits, now => fleet.estimate(now), now)
    return {
      recordRequest: (now: number) => {
        fleet.heard('hall', 'agent', run.entries, now)
        allowance.requested(now)
      },
      trySpend: (now: number) => allowance.trySpend('begin', now)
    }
  },
  oracle: (fleet: Fleet) => ({ recordRequest () {}, trySpend: (now: number) => retryRatio(fleet, now, 1) <= 1 })
} satisfies Record<string, (fleet: Fleet, now: number) => RetryPolicy>

/** The name of a policy. The oracle sees all entries and retries as often as the bound allows. */
export type RetryPolicyName = keyof typeof policies
export const retryPolicyNames = Object.keys(policies) as RetryPolicyName[]

/**
 * Runs the simulation once.
 *
 * @example
 * const { worstRatio, served } = simulateRetries({ ...retryFleets[0], policy: 'part-of-the-fleet', seed: 7, refused: 0.45, restartEvery: 3, seconds: 60 })
 */
export function simulateRetries (run: RetryRun): RetryFigures {
  const random = seededRandom(run.seed)
  const fleet = { run, requests: [] as number[], retries: [] as number[] }
  const createPolicy = (now: number): RetryPolicy => policies[run.policy](fleet, now)
  const entries = Array.from({ length: run.entries }, () => createPolicy(0))
  const pick = unevenPicker(run.entries, random)
  let restartAt = run.restartEvery === undefined ? Infinity : run.restartEvery * 1_000
  let served = 0
  let worstRatio = 0
  for (let now = nextInterval(run, random); now < run.seconds * 1_000; now += nextInterval(run, random)) {
    if (now >= restartAt) {
      restartAt += (run.restartEvery ?? Infinity) * 1_000
      for (const index of entries.keys()) if (random() < RESTARTED_SHARE) entries[index] = createPolicy(now)
    }
    const entry = entries[pick()] as RetryPolicy
    fleet.requests.push(now)
    entry.recordRequest(now)
    if (random() >= run.refused) {
      served += 1
      continue
    }
    if (!entry.trySpend(now)) continue
    fleet.retries.push(now + RETRY_DELAY_MILLISECONDS)
    worstRatio = Math.max(worstRatio, retryRatio(fleet, now + RETRY_DELAY_MILLISECONDS, 0))
    if (random() >= run.refused) served += 1
  }
  return { worstRatio, served: served / fleet.requests.length }
}

function nextInterval ({ perSecond }: RetryRun, random: () => number): number { return -Math.log(1 - random()) / perSecond * 1_000 }

/** Returns a function that draws the index of an entry, weighted by uneven traffic. */
function unevenPicker (entries: number, random: () => number): () => number {
  const weights = Array.from({ length: entries }, (_, index) => 1 + (TRAFFIC_RATIO - 1) * index / Math.max(1, entries - 1))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return () => {
    let remaining = random() * total
    return Math.max(0, weights.findIndex(weight => (remaining -= weight) < 0))
  }
}

/** Returns the ratio of retries in the window that ends now, plus `additional`, to the allowed retries. */
function retryRatio ({ run: { limits }, requests, retries }: Fleet, now: number, additional: number): number {
  const requestCount = Math.max(...WINDOW_OFFSETS.map(offset => countBetween(requests, now - offset - WINDOW_MILLISECONDS, now - offset)))
  return (countBetween(retries, now - WINDOW_MILLISECONDS, now) + additional) / (limits.ratio * requestCount + limits.slack)
}

/** Counts the sorted times that lie after `from` and not after `to`. */
function countBetween (times: readonly number[], from: number, to: number): number { return countUpTo(times, to) - countUpTo(times, from) }

function countUpTo (times: readonly number[], to: number): number {
  let low = 0
  let high = times.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((times[middle] as number) <= to) low = middle + 1
    else high = middle
  }
  return low
}
