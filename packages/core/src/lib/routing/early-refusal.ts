/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Whether a request starts now or is refused at once with a time to come back. What is started late makes the next one late
 * too, so a pool that is asked for more than it can do serves more in time when it refuses the rest.
 */

/** What a decision rests on; times in milliseconds. */
export interface StartOutlook {
  /** When the first event, or the whole answer, is expected from the chosen endpoint, for a request of usual size. */
  readonly expected: number
  /** The route's objective. */
  readonly objective: number
  /** What requests of the service want on average: see `UsualObjective`. */
  readonly usualObjective: number
}

/** The decision. */
export type StartDecision =
  | { readonly type: 'start' }
  | { readonly type: 'refuse' }

/**
 * The share of the objective up to which an expected answer is worth starting. A pool that is asked for more than it can
 * do fills up to this, and estimates err in both directions: at 1.3 half of its answers were late. In the model of a pool
 * (the `policy` benchmark) 0.8 earns most at 100 and 130 requests a second, among 0.65, 0.8, 0.95, 1.1 and 1.3, and 0.003 less
 * than 0.65 at 150.
 */
const LARGEST_SHARE = 0.8
/** Callers do not wait longer than this share of their patience for the time that they are told. */
const LONGEST_RETRY_SHARE = 1 / 3
/**
 * Callers seldom come back twice, so those that a busy pool refused are told the longest time that they will wait, less up
 * to this share of it: those that were refused together come back spread out.
 */
const RETRY_SPREAD = 0.4
/** The same share where nothing takes requests yet, and is to do so only about the longest time from now, or later. */
const LATE_OPENING_SPREAD = 0.1
/**
 * After a restart of everything the agents are heard, and their engines serve, about so much later, in milliseconds: a
 * process starts in 0.3 s, and a staged version is loaded in as much again.
 */
const SILENT_OPENING = 500

/** When a pool is expected to take requests. */
export type Opening =
  /** It does. */
  | { readonly type: 'open' }
  /** In so many milliseconds, as its agents tell. */
  | { readonly type: 'expected', readonly in: number }
  /** Its agents do not know. */
  | { readonly type: 'unknown' }
  /** None of its agents is heard. */
  | { readonly type: 'silent' }

/**
 * Decides on one request.
 *
 * @example
 * const decision = decideStart({ expected: 900, objective: 400, usualObjective: 440 })
 */
export function decideStart ({ expected, objective, usualObjective }: StartOutlook): StartDecision {
  if (expected <= Math.min(objective, LARGEST_SHARE * usualObjective)) return { type: 'start' }
  return { type: 'refuse' }
}

/** Weight of the newest request in the usual objective: it follows a new mix of requests within some tens of them. */
const OBJECTIVE_SMOOTHING = 0.05

/**
 * The mean objective of a service's requests. All are admitted by it: by their own, those with a little more time would
 * fill an overloaded pool up to their limit, and hardly any other would be let in.
 */
export class UsualObjective {
  private _mean: number | undefined

  /**
   * A request came. Returns the mean, in milliseconds.
   *
   * @example
   * const usualObjective = usual.observe(route.objective)
   */
  observe (objective: number): number {
    this._mean = this._mean === undefined ? objective : this._mean + OBJECTIVE_SMOOTHING * (objective - this._mean)
    return this._mean
  }
}

/** The least that a caller is told, in milliseconds, of the longest that it will wait. */
const earliestReturns: { readonly [Type in Opening['type']]: (opening: Extract<Opening, { type: Type }>, longest: number) => number } = {
  open: (_opening, longest) => longest * (1 - RETRY_SPREAD),
  expected: opening => opening.in,
  unknown: (_opening, longest) => longest * (1 - RETRY_SPREAD),
  silent: () => SILENT_OPENING
}

/**
 * When a caller that is refused is to come back, in milliseconds. Where nothing takes requests, callers are spread from the
 * time at which something will up to the longest that they will wait: told the longest time as those of a busy pool are,
 * they left the pool half empty for a second after a loss of power, and a third of them were refused again in the next.
 *
 * @param patience What it will still wait, in milliseconds.
 * @param draw A random number in [0, 1).
 * @example
 * const milliseconds = retryAfter(6_000, Math.random(), { type: 'open' }) // 1_200 to 2_000
 */
export function retryAfter (patience: number, draw: number, opening: Opening): number {
  const longest = patience * LONGEST_RETRY_SHARE
  const earliest = earliestReturns[opening.type](opening as never, longest)
  const spread = longest - Math.min(earliest, longest * (1 - LATE_OPENING_SPREAD))
  return Math.round(longest - spread * draw)
}
