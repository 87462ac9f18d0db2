/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Keeps requests from beginning on an old version after its bound: whether one may still be sent to an engine, and when one that has
 * not begun there is cancelled. Times are in milliseconds.
 */
import type { EndpointCandidate, EndpointRequirements } from './endpoint-choice.js'
import { REPORT_LIFETIME } from './endpoint-load.js'

/** What is known of the link to an engine. */
export type EngineLink = Pick<EndpointCandidate, 'roundTrip' | 'reportAge'>

/**
 * The least time from a cancellation to the bound: a cancellation closes a connection, and the close and a first event that it
 * crosses need time even on an idle link.
 */
const MIN_CANCEL_MARGIN = 200
/** The time for a close to arrive, in round trips: the queue of a link can double while the close waits in it. */
const CLOSE_ROUND_TRIPS = 2
/**
 * The least time from a cancellation to the bound while the agent of the engine is not heard, so that the delay of the link is
 * unknown: as long as an unanswered ping may take before its connection counts as lost.
 */
const UNHEARD_CANCEL_MARGIN = 3_000
/**
 * Safety factors on the expected time and on the round trip time for the latest start of a request: engines and links may be slowing
 * down, and the queue of a link whose bandwidth has dropped can double within a moment.
 */
const EXPECTED_TIME_FACTOR = 2
const ROUND_TRIP_FACTOR = 6

/**
 * Returns when a request that has not begun on an old version is cancelled, so that the close of its connection reaches the engine
 * before the bound.
 *
 * @param bound When an engine of that version must have begun the request.
 * @example
 * cancellationTime(8_000, { roundTrip: 300, reportAge: 50 }) // 7400
 */
export function cancellationTime (bound: number, { roundTrip, reportAge }: EngineLink): number {
  const leastMargin = reportAge > REPORT_LIFETIME ? UNHEARD_CANCEL_MARGIN : MIN_CANCEL_MARGIN
  return bound - Math.max(leastMargin, CLOSE_ROUND_TRIPS * roundTrip)
}

/**
 * Whether a request could start on an old version after the bound for that version. Returns `true` if the agent's last report is too
 * old: the round trip time is then unknown, and the link may have seconds of queue.
 *
 * @example
 * const candidates = expected.filter(candidate => !mayStartTooLate(candidate, need, now))
 */
export function mayStartTooLate ({ expected, version, roundTrip, reportAge }: EndpointCandidate, { mustBeginBy }: EndpointRequirements, now: number): boolean {
  const bound = mustBeginBy(version)
  if (bound === undefined) return false
  return reportAge > REPORT_LIFETIME || now + EXPECTED_TIME_FACTOR * expected + ROUND_TRIP_FACTOR * roundTrip > bound - MIN_CANCEL_MARGIN
}
