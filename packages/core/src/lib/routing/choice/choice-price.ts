/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What an endpoint costs beyond the time until its answer: the distance to it, work that would hold up a switch which is planned
 * there, and that nothing is known of it. All in milliseconds, so that they add up with the expected time.
 */
import type { ServiceDescription } from '../published/routing-configuration.js'
import type { EndpointCandidate, Need, Place } from './endpoint-choice.js'
import { REPORT_LIFETIME, type EndpointLoad } from './endpoint-load.js'
import { stepTime } from './engine-model.js'

/**
 * Milliseconds that an answer must be expected sooner elsewhere to leave the zone, and the region. Bytes between regions
 * cost about five times those between zones; an event stream is 4 KB.
 */
const ZONE_PRICE = 10
const REGION_PRICE = 20
/**
 * Up to this share of the usual objective it matters little when an answer begins: of those expected at 100 to 150 ms none
 * was late, at 150 to 200 1%, at 200 to 250 4 to 9%, with an objective of 300 to 400. While the own zone has an engine that is
 * expected sooner, leaving it costs so many times the usual price: a sixth of the bytes between regions less.
 */
export const COMFORT_SHARE = 0.47
const COMFORT_FACTOR = 3
/**
 * What it costs, in milliseconds, to leave an engine with a millisecond of work when it wants to switch to another
 * version: that long it takes nothing new, though it still works on what it has.
 */
const CLOSING_PRICE = 1.5
/**
 * What an engine of a pool that tells nothing of itself is taken to be slower, in milliseconds: about two prompts of usual
 * size that nobody knows of. Its agent may just not be reached yet, and all entries would think it idle.
 */
const UNSEEN_PRICE = 100
/**
 * A request is taken to begin within so many times the expected time, and so many times the way there and back: engines
 * and links may just be getting slower, and the queue of a link that was narrowed grows by its own length in a moment.
 */
const BEGIN_FACTOR = 2
const BEGIN_LINK_FACTOR = 6

/** What a price rests on, besides the candidate. */
export interface PriceView {
  readonly place: Place
  readonly service: ServiceDescription
  readonly need: Need
  /** What the distance counts, see `distanceFactor`. */
  readonly distanceFactor: number
  readonly now: number
}

/**
 * What a choice costs in all, in milliseconds.
 *
 * @example
 * const costs = candidates.map(candidate => costOf(candidate, loadOf(candidate), view))
 */
export function costOf (candidate: EndpointCandidate, load: EndpointLoad, { place, service, need, distanceFactor, now }: PriceView): number {
  const unseen = service.pool !== undefined && load.report(now) === undefined
  const distance = distanceFactor * distancePrice(candidate, place)
  return candidate.expected + distance + closingPrice(candidate, load, service, need, now) + (unseen ? UNSEEN_PRICE : 0)
}

/**
 * How many times the price of distance counts: more while an answer from the own zone is expected so soon that nothing is gained by a
 * sooner one.
 *
 * @example
 * const factor = distanceFactor(candidates, place, need)
 */
export function distanceFactor (candidates: readonly EndpointCandidate[], place: Place, { usualObjective }: Need): number {
  const comfortable = candidates.some(({ record, expected }) => record.availabilityZone === place.availabilityZone && expected < COMFORT_SHARE * usualObjective)
  return comfortable ? COMFORT_FACTOR : 1
}

/**
 * Whether a request could begin on an old version after it must no longer. Where the agent is not heard the way is not
 * known, and may be a link with seconds of queue: then it could.
 *
 * @example
 * const candidates = expected.filter(candidate => !tooLate(candidate, need, now))
 */
export function tooLate ({ expected, version, roundTrip, reportAge }: EndpointCandidate, { mustBeginBy }: Need, now: number): boolean {
  const bound = mustBeginBy(version)
  if (bound === undefined) return false
  return reportAge > REPORT_LIFETIME || now + BEGIN_FACTOR * expected + BEGIN_LINK_FACTOR * roundTrip > bound
}

function distancePrice ({ record: { availabilityZone } }: EndpointCandidate, place: Place): number {
  if (availabilityZone === place.availabilityZone) return 0
  return place.regionOf(availabilityZone) === place.regionOf(place.availabilityZone) ? ZONE_PRICE : REGION_PRICE
}

/** The price of work that would hold up a planned switch. */
function closingPrice ({ expected }: EndpointCandidate, load: EndpointLoad, { pool }: ServiceDescription, { answerTokens }: Need, now: number): number {
  const closesAt = load.closesAt(now)
  if (closesAt === undefined || pool === undefined) return 0
  const tokens = answerTokens > 0 ? answerTokens : pool.usualAnswerTokens
  const ends = now + expected + tokens * stepTime(pool, load.report(now)?.running ?? 0)
  return Math.max(0, ends - closesAt) * CLOSING_PRICE
}
