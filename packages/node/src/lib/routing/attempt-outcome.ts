/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Derives from the end of an attempt the health of its endpoint, the reason to avoid the endpoint, and the reason in the log. */
import { MIN_FAILURE_STATUS, type AttemptEnd, type ConnectionFailure, type EndpointHealth, type NotRunReason, type SkipReason } from '@drumdrift/core'

const healthOfOutcome: Record<AttemptEnd['type'], EndpointHealth> = { answered: 'good', 'not-run': 'unclear', broken: 'bad', stalled: 'bad', unread: 'unclear' }

/** Returns what the end of an attempt shows about the health of its endpoint. */
export function healthOf (outcome: AttemptEnd): EndpointHealth {
  if (outcome.type === 'answered' && outcome.status >= MIN_FAILURE_STATUS) return 'bad'
  return healthOfOutcome[outcome.type]
}

/** Returns why an endpoint that did not run a request is avoided for a while. */
export function avoidanceOf (reason: Exclude<NotRunReason, ConnectionFailure>): SkipReason {
  return reason === 'wrong-instance' || reason === 'wrong-version' ? reason : 'refused'
}

/** Returns the status or reason with which an attempt ended, for the log. */
export function reasonOf (outcome: AttemptEnd): string | undefined {
  if (outcome.type === 'answered') return String(outcome.status)
  return outcome.type === 'not-run' ? outcome.reason : outcome.detail
}
