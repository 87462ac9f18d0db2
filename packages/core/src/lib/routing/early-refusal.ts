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
}

/** The decision. */
export type StartDecision =
  | { readonly type: 'start' }
  | { readonly type: 'refuse' }

/**
 * The share of the objective up to which an expected answer is worth starting: estimates err, and what is a little late
 * still earns most of its worth at a pool that is not overloaded.
 */
const TOLERANCE = 1.3
/** Callers do not wait longer than this share of their patience for the time that they are told. */
const LONGEST_RETRY_SHARE = 1 / 3
/**
 * Callers seldom come back twice, and what they get counts from when they come back, so they are told the longest time
 * that they will wait, less up to this share of it: those that were refused together come back spread out.
 */
const RETRY_SPREAD = 0.4

/**
 * Decides on one request.
 *
 * @example
 * const decision = decideStart({ expected: 900, objective: 400 })
 */
export function decideStart ({ expected, objective }: StartOutlook): StartDecision {
  if (expected <= objective * TOLERANCE) return { type: 'start' }
  return { type: 'refuse' }
}

/**
 * When a caller that is refused is to come back, in milliseconds.
 *
 * @param patience What it will still wait, in milliseconds.
 * @param draw A random number in [0, 1).
 * @example
 * const milliseconds = retryAfter(6_000, Math.random()) // 1_200 to 2_000
 */
export function retryAfter (patience: number, draw: number): number {
  return Math.round(patience * LONGEST_RETRY_SHARE * (1 - RETRY_SPREAD * draw))
}
