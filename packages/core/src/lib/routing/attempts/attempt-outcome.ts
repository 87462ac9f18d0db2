/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Derives from the end of an attempt the health of its endpoint, the reason to avoid the endpoint, and the reason in the log. */
import type { EndpointHealth, SkipReason } from '../choice/endpoint-chooser.js'
import { isConnectionFailure, MIN_FAILURE_STATUS, type AttemptEnd, type ConnectionFailure, type NotRunReason } from './attempt-tracker.js'

const healthOfOutcome: Record<AttemptEnd['type'], EndpointHealth> = { answered: 'good', 'not-run': 'unclear', broken: 'bad', stalled: 'bad', superseded: 'unclear', unread: 'unclear' }

/** Returns what the end of an attempt shows about the health of its endpoint. */
export function healthOf (outcome: AttemptEnd): EndpointHealth {
  if (outcome.type === 'answered' && outcome.status >= MIN_FAILURE_STATUS) return 'error-answer'
  if (outcome.type === 'not-run' && outcome.reason !== 'unsendable' && !isConnectionFailure(outcome.reason)) return 'rejecting'
  return healthOfOutcome[outcome.type]
}

/** The times of a request to a plain endpoint, in milliseconds. */
export interface AnswerTimes {
  /** The expected time to its answer. */
  readonly expected: number
  readonly objective: number
}

/** An answer that takes longer than this multiple of the expected time, and than the objective, will probably not come. */
const OVERDUE_FACTOR = 4

/** Returns after which time without an answer a request to a plain endpoint will probably fail, in milliseconds. */
export function overdueTime ({ expected, objective }: AnswerTimes): number { return Math.max(objective, OVERDUE_FACTOR * expected) }

/**
 * Returns what an attempt without an answer that was stopped, for example at the deadline, shows about the health of its endpoint.
 *
 * @param waited The time since it was sent, in milliseconds.
 * @example
 * healthOfStopped(800, { expected: 20, objective: 120 }) // 'bad'
 */
export function healthOfStopped (waited: number, times: AnswerTimes): EndpointHealth { return waited >= overdueTime(times) ? 'bad' : 'unclear' }

/** Returns why an endpoint that did not run a request is avoided for a while. */
export function avoidanceOf (reason: Exclude<NotRunReason, ConnectionFailure | 'unsendable'>): SkipReason {
  return reason === 'wrong-instance' || reason === 'wrong-version' ? reason : 'refused'
}

/** Returns the status or reason with which an attempt ended, for the log. */
export function reasonOf (outcome: AttemptEnd): string | undefined {
  if (outcome.type === 'answered') return String(outcome.status)
  return outcome.type === 'not-run' ? outcome.reason : outcome.detail
}
