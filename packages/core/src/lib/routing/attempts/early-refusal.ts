/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Admission control: decides whether a request starts now or is rejected at once with a retry delay. A request that starts
 * late delays those behind it, so an overloaded pool meets more objectives when the excess load is shed.
 */
import type { ServiceDescription } from '../published/routing-configuration.js'

/** The input of an admission decision; times in milliseconds. */
export interface AdmissionInput {
  /** The expected time to the first event, or to the complete answer, at the chosen endpoint, for a request of typical size. */
  readonly expected: number
  /** The route's objective. */
  readonly objective: number
  /** See `comparedObjective`. */
  readonly usualObjective: number
  /** The factor on the bound of a request that gives way to others: see `AdmissionOrder`. */
  readonly boundFactor?: number | undefined
}

/** An admission decision. */
export type AdmissionDecision =
  | { readonly type: 'start' }
  | { readonly type: 'refuse' }

/**
 * A request is admitted if its expected time is at most this share of the objective. An overloaded pool fills up to this
 * bound, and estimates err in both directions: at 1.3 half of the answers are late. In the `policy` benchmark, among 0.65, 0.8,
 * 0.95, 1.1 and 1.3, a share of 0.8 scores best at 100 and 130 requests a second, and 0.003 below 0.65 at 150.
 */
const ADMISSION_SHARE = 0.8
/** The longest retry delay, as a share of the time that the caller will still wait. */
const MAX_RETRY_SHARE_OF_PATIENCE = 1 / 3
/**
 * The bounds of the retry delay at a busy pool, as shares of the remaining objective, so that the retry can still be in time.
 * Engines finish a request about every 150 ms, and capacity becomes free as quickly. In the `policy` benchmark of an overloaded pool
 * (84 engines, 98 entries, 450 requests a second), delays of a fifth to a third of the patience gave 0.23 late and 0.07
 * unserved requests; these bounds give 0.10 and 0.10, and 0.14 more are in time.
 */
const MIN_RETRY_SHARE_OF_OBJECTIVE = 0.2
const MAX_RETRY_SHARE_OF_OBJECTIVE = 0.35
/** The least urgent return this much later, as a share of the remaining objective, so that more urgent ones find room before them. */
const RETRY_DELAY_OF_LEAST_URGENT = 0.15
/**
 * The jitter of the longest retry delay, as a share of it, for callers that can no longer meet their objective. It spreads out the
 * retries of callers that were rejected together.
 */
const RETRY_JITTER = 0.4
/** The jitter, as a share of the longest delay, if the pool opens only at about the longest delay from now, or later. */
const LATE_OPENING_JITTER = 0.1
/**
 * The time from a restart of the whole deployment until agents report and engines serve, in milliseconds: a process starts in
 * about 0.3 s, and loading a staged version takes about as long.
 */
const RESTART_MILLISECONDS = 500

/** When a pool is expected to accept requests. */
export type PoolOpening =
  /** It accepts requests now. */
  | { readonly type: 'open' }
  /** It opens in this many milliseconds, according to its agents. */
  | { readonly type: 'expected', readonly in: number }
  /** Its agents report, but not when it opens. */
  | { readonly type: 'unknown' }
  /** None of its agents reports. */
  | { readonly type: 'silent' }

/**
 * Decides whether to admit one request.
 *
 * @example
 * const decision = decideAdmission({ expected: 900, objective: 400, usualObjective: 440 })
 */
export function decideAdmission ({ expected, objective, usualObjective, boundFactor = 1 }: AdmissionInput): AdmissionDecision {
  if (expected <= boundFactor * Math.min(objective, ADMISSION_SHARE * usualObjective)) return { type: 'start' }
  return { type: 'refuse' }
}

/** Weight of the newest request in the moving average: the average adapts to a new mix of requests within a few tens of them. */
const OBJECTIVE_SMOOTHING = 0.05

/**
 * The exponentially weighted moving average of the objectives of a service's requests. Admission uses this average for all
 * requests: if each were admitted by its own objective, those with slightly longer ones would fill an overloaded pool, and hardly
 * any others would be admitted.
 */
export class UsualObjective {
  private _mean: number | undefined

  /**
   * Adds a request's objective and returns the new mean, in milliseconds.
   *
   * @example
   * const usualObjective = usual.observe(route.objective)
   */
  observe (objective: number): number {
    this._mean = this._mean === undefined ? objective : this._mean + OBJECTIVE_SMOOTHING * (objective - this._mean)
    return this._mean
  }
}

/**
 * Returns the objective by which a request's endpoints are compared and it is admitted, in milliseconds. For a pool it is the mean of the service,
 * to which the request's own is added.
 * The endpoints of a plain service are not filled up to a bound, so there each request has its own, or a seldom-used route with a long
 * objective would make slow endpoints count as soon enough for all others.
 *
 * @example
 * const usualObjective = comparedObjective(unit.description, unit.objective, route.objective)
 */
export function comparedObjective ({ pool }: Pick<ServiceDescription, 'pool'>, usual: UsualObjective, objective: number): number {
  return pool === undefined ? objective : usual.observe(objective)
}

/** The time that a rejected caller has left, in milliseconds. */
export interface CallerTime {
  /** Time until the caller's deadline. */
  readonly patience: number
  /** Time left of the objective, counted from the caller's first try; 0 or less if it has passed. */
  readonly objective: number
  /** The position of its request among the urgencies of the service, 0 for the most urgent to 1; 0 by default. */
  readonly position?: number | undefined
}

/** The bounds of a retry delay, in milliseconds. */
interface RetryWindow {
  readonly earliest: number
  readonly latest: number
}

function lateRetryWindow (longest: number): RetryWindow { return { earliest: longest * (1 - RETRY_JITTER), latest: longest } }

/** The bounds of the retry delay by the state of the pool; `longest` is the longest delay that the caller accepts. */
const retryWindows: { readonly [Type in PoolOpening['type']]: (opening: Extract<PoolOpening, { type: Type }>, longest: number, objective: number, position: number) => RetryWindow } = {
  open: (_opening, longest, objective, position) => {
    if (objective <= 0) return lateRetryWindow(longest)
    const later = position * RETRY_DELAY_OF_LEAST_URGENT
    return { earliest: (MIN_RETRY_SHARE_OF_OBJECTIVE + later) * objective, latest: (MAX_RETRY_SHARE_OF_OBJECTIVE + later) * objective }
  },
  expected: (opening, longest) => ({ earliest: opening.in, latest: longest }),
  unknown: (_opening, longest) => lateRetryWindow(longest),
  silent: (_opening, longest) => ({ earliest: RESTART_MILLISECONDS, latest: longest })
}

/**
 * The retry delay of a rejected caller, in milliseconds. It is short if the pool is only busy. If the pool is closed, delays are
 * spread from its expected opening up to the longest delay that callers accept: with the longest delay for all, the pool stayed
 * half empty for a second after a power loss, and a third of the callers were rejected again in the next second.
 *
 * @param draw A random number in [0, 1).
 * @example
 * const milliseconds = retryAfter({ patience: 6_000, objective: 600 }, Math.random(), { type: 'open' }) // 120 to 210
 */
export function retryAfter ({ patience, objective, position = 0 }: CallerTime, draw: number, opening: PoolOpening): number {
  const longest = patience * MAX_RETRY_SHARE_OF_PATIENCE
  const { earliest, latest } = retryWindows[opening.type](opening as never, longest, objective, position)
  const last = Math.min(latest, longest)
  const spread = last - Math.min(earliest, last * (1 - LATE_OPENING_JITTER))
  return Math.round(last - spread * draw)
}

/** The decay of a route's longest patience with each request, so that it adapts when callers set shorter deadlines. */
const PATIENCE_DECAY = 0.001

/**
 * Distinguishes retries by callers from first tries: a caller's deadline counts from its first try, so a retry has less patience
 * left than other requests of its route.
 */
export class FirstTryEstimator {
  private readonly _longestPatience = new Map<string, number>()

  /**
   * Estimates the milliseconds since the first try of a request from its patience.
   *
   * @example
   * const elapsed = firstTries.elapsed(route.name, head.patience)
   */
  elapsed (route: string, patience: number): number {
    const longestPatience = Math.max(patience, (this._longestPatience.get(route) ?? 0) * (1 - PATIENCE_DECAY))
    this._longestPatience.set(route, longestPatience)
    return longestPatience - patience
  }
}
