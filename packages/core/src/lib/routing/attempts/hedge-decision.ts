/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides whether a request whose answer is silent is hedged: sent to another endpoint as well, while the silent answer may go on. The
 * attempt that delivers first gives the answer.
 */

/** Why a silent answer is awaited without a hedge. `others-silent`: all other endpoints that could take the request are silent too. */
export type WaitReason = 'not-repeatable' | 'no-time-left' | 'no-attempt-left' | 'suspect' | 'others-silent' | 'no-other-endpoint' | 'no-retry-left'

/** What to do about a silent answer. */
export type HedgeDecision =
  | { readonly type: 'hedge' }
  | { readonly type: 'wait', readonly reason: WaitReason }

/** Whether another endpoint can take a request: some can, only silent ones could, or none can. */
export type Alternative = 'available' | 'silent' | 'none'

/** What a hedge requires. The last two are determined only if all others hold, in this order. */
export interface HedgeConditions {
  /** Whether the request may run twice, and another endpoint can continue what was forwarded to the caller. */
  readonly repeatable: boolean
  readonly timeLeft: boolean
  readonly attemptLeft: boolean
  /** Whether the request is suspected of crashing endpoints. */
  readonly suspect: boolean
  readonly alternative: () => Alternative
  /** Takes one retry from the retry budget; returns `false` if the budget is exhausted. */
  readonly spendRetry: () => boolean
}

type Obstacle = (conditions: HedgeConditions) => WaitReason | undefined

const reasonOfAlternative: Readonly<Record<Alternative, WaitReason | undefined>> = { available: undefined, silent: 'others-silent', none: 'no-other-endpoint' }

const obstacles: readonly Obstacle[] = [
  ({ repeatable }) => repeatable ? undefined : 'not-repeatable',
  ({ timeLeft }) => timeLeft ? undefined : 'no-time-left',
  ({ attemptLeft }) => attemptLeft ? undefined : 'no-attempt-left',
  ({ suspect }) => suspect ? 'suspect' : undefined,
  ({ alternative }) => reasonOfAlternative[alternative()],
  ({ spendRetry }) => spendRetry() ? undefined : 'no-retry-left'
]

/**
 * Decides on a hedge.
 *
 * @example
 * const decision = decideHedge({ repeatable: true, timeLeft: true, attemptLeft: true, suspect: false, alternative: () => 'available', spendRetry: () => true })
 */
export function decideHedge (conditions: HedgeConditions): HedgeDecision {
  for (const reasonToWait of obstacles) {
    const reason = reasonToWait(conditions)
    if (reason !== undefined) return { type: 'wait', reason }
  }
  return { type: 'hedge' }
}
