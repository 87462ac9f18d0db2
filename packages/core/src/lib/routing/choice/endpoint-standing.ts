/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What recent connections and requests have shown about an endpoint, and what follows for the choice. */
import type { Reach } from './endpoint-reach.js'

/** What the connections and requests of one entry to an endpoint have shown. */
export interface EndpointStanding {
  readonly reach: Reach
  /** Whether the service has many endpoints, so that one that may be away need not be used. Among few, costs decide. */
  readonly isOneOfMany: boolean
  /** Whether a request may be sent to it: only one at a time to an unreachable one. */
  readonly mayTry: boolean
  /** The number of connections that were lost since one opened; 0 once other endpoints are no longer preferred. */
  readonly lostConnections: number
  /** The share of requests that it fails, 0 to 1. */
  readonly failureShare: number
  /** How much slower it was than is expected of it now, in milliseconds. */
  readonly slowness: number
}

/** The cost of a lost connection to its caller, in milliseconds. */
const LOST_CONNECTION_COST = 100
/** The cost of a failed request to its caller, in objectives. */
const FAILURE_COST = 15

/** The endpoints to choose among, in order of preference; the next are considered if none of the former can take a request. */
export const standingPreferences: readonly ((standing: EndpointStanding) => boolean)[] = [
  ({ reach, isOneOfMany, mayTry }) => reach === 'reachable' || (mayTry && !isOneOfMany),
  ({ reach }) => reach !== 'unreachable',
  ({ mayTry }) => mayTry
]

/**
 * Returns the expected cost of further failures and slow answers, in milliseconds. Failures that all endpoints have in common cost the same at each.
 *
 * @param objective See `comparedObjective`.
 * @example
 * const cost = costOf(candidate, load, view) + standingCost(standing, need.usualObjective)
 */
export function standingCost ({ lostConnections, failureShare, slowness }: EndpointStanding, objective: number): number {
  return slowness + lostConnections * LOST_CONNECTION_COST + failureShare * FAILURE_COST * objective
}
