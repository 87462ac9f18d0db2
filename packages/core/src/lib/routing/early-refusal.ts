/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Whether a request starts now or is refused at once with a time to come back. A refusal costs its caller less than an
 * answer that is late, provided that the caller is served when it comes back.
 */

/** What a decision rests on; times in milliseconds. */
export interface StartOutlook {
  /** When the first event, or the whole answer, is expected from the best endpoint. */
  readonly expected: number
  /** The route's objective. */
  readonly objective: number
  /** What the caller will still wait. */
  readonly patience: number
}

/** The decision. */
export type StartDecision =
  | { readonly type: 'start' }
  | { readonly type: 'refuse', readonly retryAfter: number }

/**
 * The share of the objective up to which an expected answer is worth starting: estimates err, and what is a little late
 * still earns most of its worth at a pool that is not overloaded.
 */
const TOLERANCE = 1.3
/** Callers do not wait longer than a third of their patience for the time that they are told. */
const LONGEST_RETRY_SHARE = 1 / 3
const LEAST_RETRY = 200

/**
 * Decides on one request.
 *
 * @example
 * const decision = decideStart({ expected: 900, objective: 400, patience: 6_000 })
 */
export function decideStart ({ expected, objective, patience }: StartOutlook): StartDecision {
  if (expected <= objective * TOLERANCE) return { type: 'start' }
  const untilRoom = expected - objective
  return { type: 'refuse', retryAfter: Math.max(LEAST_RETRY, Math.min(untilRoom, patience * LONGEST_RETRY_SHARE)) }
}
