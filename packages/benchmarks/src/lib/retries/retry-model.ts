/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates a fleet whose endpoints refuse a share of the attempts while its entries restart repeatedly. Measures the load that retries
 * add to the service, against the bound that its operators set, and the share of requests that are served.
 */
import { FleetSize, RetryAllowance, RetryBudget, type RetryTerms } from '@drumdrift/core'
import { seededRandom } from '@drumdrift/stand-ins'

/** The time window for which the bound holds, in milliseconds. */
const WINDOW = 10_000

/** Entries, their traffic and the retry limits that their operators set. */
export interface RetryFleet {
  readonly entries: number
  readonly perSecond: number
  readonly terms: RetryTerms
}

/** Fleets of three sizes, with retry limits as operators set them for such sizes. */
export const retryFleets: readonly RetryFleet[] = [
  { entries: 6, perSecond: 120, terms: { ratio: 0.2, slack: 102, window: WINDOW } },
  { entries: 24, perSecond: 240, terms: { ratio: 0.2, slack: 180, window: WINDOW } },
  { entries: 98, perSecond: 628, terms: { ratio: 0.2, slack: 454, window: WINDOW } }
]

/** Parameters of one simulation run. */
export interface RetryPlay extends RetryFleet {
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
  readonly worst: number
  /** The share of requests that were served. */
  readonly served: number
}

/** The retry policy of one entry. */
interface RetryPolicy {
  requested (now: number): void
  trySpend (now: number): boolean
}

/** The state of the fleet that policies can use. */
interface Fleet {
  readonly play: RetryPlay
  readonly requests: readonly number[]
  readonly further: readonly number[]
}

/** The bound uses the requests of the window itself, or of the window shifted back by half its length or its full length, whichever has the most. */
const EARLIER = [0, WINDOW / 2, WINDOW]
/** The time from a request to its retry, in milliseconds. */
const RETRY_DELAY = 20
const RESTARTED_SHARE = 0.9
/** The ratio of the busiest entry's traffic to that of the least busy one. */
const UNEVEN = 5

const policies = {
  none: () => ({ requested () {}, trySpend: () => false }),
  'reserve-of-each-entry': ({ play }: Fleet) => {
    const budget = new RetryBudget(play.terms.ratio)
    return { requested: () => budget.attempted(), trySpend: () => budget.trySpend() }
  },
  'part-of-the-fleet': ({ play }: Fleet, now: number) => {
    const fleet = new FleetSize(() => [{ availabilityZone: 'hall', listed: 1, followed: 1 }])
    const allowance = new RetryAllowance(play.terms, now => fleet.estimate(now), now)
    return {
      requested: (now: number) => {
        fleet.heard('hall', 'agent', play.entries, now)
        allowance.requested(now)
      },
      trySpend: (now: number) => allowance.trySpend('begin', now)
    }
  },
  oracle: (fleet: Fleet) => ({ requested () {}, trySpend: (now: number) => excess(fleet, now, 1) <= 1 })
} satisfies Record<string, (fleet: Fleet, now: number) => RetryPolicy>

/** The name of a policy. The oracle sees all entries and retries as often as the bound allows. */
export type RetryPolicyName = keyof typeof policies
export const retryPolicyNames = Object.keys(policies) as RetryPolicyName[]

/**
 * Runs the simulation once.
 *
 * @example
 * const { worst, served } = playRetries({ ...retryFleets[0], policy: 'part-of-the-fleet', seed: 7, refused: 0.45, restartEvery: 3, seconds: 60 })
 */
export function playRetries (play: RetryPlay): RetryFigures {
  const random = seededRandom(play.seed)
  const fleet = { play, requests: [] as number[], further: [] as number[] }
  const begin = (now: number): RetryPolicy => policies[play.policy](fleet, now)
  const entries = Array.from({ length: play.entries }, () => begin(0))
  const pick = unevenPick(play.entries, random)
  let restartAt = play.restartEvery === undefined ? Infinity : play.restartEvery * 1_000
  let served = 0
  let worst = 0
  for (let now = nextRequest(play, random); now < play.seconds * 1_000; now += nextRequest(play, random)) {
    if (now >= restartAt) {
      restartAt += (play.restartEvery ?? Infinity) * 1_000
      for (const index of entries.keys()) if (random() < RESTARTED_SHARE) entries[index] = begin(now)
    }
    const entry = entries[pick()] as RetryPolicy
    fleet.requests.push(now)
    entry.requested(now)
    if (random() >= play.refused) {
      served += 1
      continue
    }
    if (!entry.trySpend(now)) continue
    fleet.further.push(now + RETRY_DELAY)
    worst = Math.max(worst, excess(fleet, now + RETRY_DELAY, 0))
    if (random() >= play.refused) served += 1
  }
  return { worst, served: served / fleet.requests.length }
}

function nextRequest ({ perSecond }: RetryPlay, random: () => number): number { return -Math.log(1 - random()) / perSecond * 1_000 }

/** Returns a function that draws the index of an entry, weighted by uneven traffic. */
function unevenPick (entries: number, random: () => number): () => number {
  const weights = Array.from({ length: entries }, (_, index) => 1 + (UNEVEN - 1) * index / Math.max(1, entries - 1))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return () => {
    let left = random() * total
    return Math.max(0, weights.findIndex(weight => (left -= weight) < 0))
  }
}

/** Returns the ratio of retries in the window that ends now, plus `more`, to the allowed retries. */
function excess ({ play: { terms }, requests, further }: Fleet, now: number, more: number): number {
  const asked = Math.max(...EARLIER.map(earlier => within(requests, now - earlier - WINDOW, now - earlier)))
  return (within(further, now - WINDOW, now) + more) / (terms.ratio * asked + terms.slack)
}

/** Counts the sorted times that lie after `from` and not after `to`. */
function within (times: readonly number[], from: number, to: number): number { return countUpTo(times, to) - countUpTo(times, from) }

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
