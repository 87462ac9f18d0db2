/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Penalties added to an endpoint's expected time when endpoints are compared: for distance, for work that would delay a planned
 * version switch, and for missing load reports. All are in milliseconds, so that they can be added to the expected time.
 */
import type { ServiceDescription } from '../published/routing-configuration.js'
import type { EndpointCandidate, EndpointRequirements, EntryLocation } from './endpoint-choice.js'
import type { EndpointLoad } from './endpoint-load.js'
import { stepTime } from './engine-model.js'

/**
 * Penalties for leaving the availability zone and the region, in milliseconds. Traffic between regions costs about five times as
 * much as traffic between zones; an event stream has 4 KB.
 */
const ZONE_PENALTY = 10
const REGION_PENALTY = 20
/**
 * Up to this share of the mean objective, a sooner answer gains little: with objectives of 300 to 400 ms, no answer expected at 100
 * to 150 ms was late, 1% of those at 150 to 200 ms, and 4 to 9% of those at 200 to 250 ms. While the entry's own zone has an engine
 * expected within this share, the distance penalty is multiplied by `SOON_ENOUGH_DISTANCE_FACTOR`, which saves a sixth of the
 * traffic between regions.
 */
export const SOON_ENOUGH_SHARE = 0.47
const SOON_ENOUGH_DISTANCE_FACTOR = 3
/**
 * Penalty, in milliseconds, for each millisecond of work that an engine still has at the time of a planned version switch: for that
 * long it accepts no new requests while it finishes the work.
 */
const CLOSING_PENALTY_FACTOR = 1.5
/**
 * Penalty for an engine of a pool without a current load report, in milliseconds: about two prompts of typical size. Its agent may
 * only be unreachable so far, and without the penalty all entries would consider the engine idle.
 */
const NO_REPORT_PENALTY = 100

/** The inputs of a cost, besides the candidate. */
export interface CostInput {
  readonly place: EntryLocation
  readonly service: ServiceDescription
  readonly need: EndpointRequirements
  /** The multiplier of the distance penalty, see `distanceFactor`. */
  readonly distanceFactor: number
  readonly now: number
}

/**
 * The total cost of a candidate, in milliseconds: its expected time and all penalties.
 *
 * @example
 * const costs = candidates.map(candidate => costOf(candidate, loadOf(candidate), input))
 */
export function costOf (candidate: EndpointCandidate, load: EndpointLoad, { place, service, need, distanceFactor, now }: CostInput): number {
  const unseen = service.pool !== undefined && load.report(now) === undefined
  const distance = distanceFactor * distancePenalty(candidate, place)
  return candidate.expected + distance + closingPenalty(candidate, load, service, need, now) + (unseen ? NO_REPORT_PENALTY : 0)
}

/**
 * The multiplier of the distance penalty: higher while an endpoint of the entry's own zone is expected to answer so soon that a sooner
 * answer gains nothing.
 *
 * @example
 * const factor = distanceFactor(candidates, place, need)
 */
export function distanceFactor (candidates: readonly EndpointCandidate[], place: EntryLocation, { usualObjective }: EndpointRequirements): number {
  const soonEnough = candidates.some(({ record, expected }) => record.availabilityZone === place.availabilityZone && expected < SOON_ENOUGH_SHARE * usualObjective)
  return soonEnough ? SOON_ENOUGH_DISTANCE_FACTOR : 1
}

function distancePenalty ({ record: { availabilityZone } }: EndpointCandidate, place: EntryLocation): number {
  if (availabilityZone === place.availabilityZone) return 0
  return place.regionOf(availabilityZone) === place.regionOf(place.availabilityZone) ? ZONE_PENALTY : REGION_PENALTY
}

/** The penalty for work that would delay a planned version switch. */
function closingPenalty ({ expected }: EndpointCandidate, load: EndpointLoad, { pool }: ServiceDescription, { answerTokens }: EndpointRequirements, now: number): number {
  const closesAt = load.closesAt(now)
  if (closesAt === undefined || pool === undefined) return 0
  const tokens = answerTokens > 0 ? answerTokens : pool.usualAnswerTokens
  const ends = now + expected + tokens * stepTime(pool, load.report(now)?.running ?? 0)
  return Math.max(0, ends - closesAt) * CLOSING_PENALTY_FACTOR
}
