/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What the end of an attempt says: of the endpoint's health, of how long to pass it over, and to those who read the log. */
import { LEAST_FAILURE_STATUS, type AttemptEnd, type Avoidance, type EndpointHealth } from '@drumdrift/core'

const healthOfOutcome: Record<AttemptEnd['type'], EndpointHealth> = { answered: 'good', 'not-run': 'unclear', broken: 'bad', stalled: 'bad' }

/** What an attempt's end says of the endpoint's health. */
export function healthOf (outcome: AttemptEnd): EndpointHealth {
  if (outcome.type === 'answered' && outcome.status >= LEAST_FAILURE_STATUS) return 'bad'
  if (outcome.type === 'not-run' && outcome.reason === 'not-connected') return 'bad'
  return healthOfOutcome[outcome.type]
}

/** Why an endpoint that did not run a request is passed over for a while. */
export function avoidanceOf (reason: Extract<AttemptEnd, { type: 'not-run' }>['reason']): Avoidance {
  if (reason === 'not-connected') return 'unreachable'
  return reason === 'wrong-instance' || reason === 'wrong-version' ? reason : 'refused'
}

/** The end of an attempt in a word, for the log. */
export function reasonOf (outcome: AttemptEnd): string | undefined {
  if (outcome.type === 'answered') return String(outcome.status)
  return outcome.type === 'not-run' ? outcome.reason : outcome.detail
}
