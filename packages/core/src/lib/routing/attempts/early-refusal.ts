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
 * A caller that a busy pool refused is told to come back within these shares of what is left of its objective: then it can still be
 * in time. Engines end a request every 150 ms or so, and room comes and goes as fast. In the model of a crowded pool (`policy`
 * benchmark, 84 engines, 98 entries, 450 requests a second, 3 seeds) callers told a fifth to a third of their patience were served
 * late in 0.23 of all cases and not at all in 0.07; so, in 0.10 and 0.10, and 0.14 more were in time.
 */
const SOONEST_RETURN = 0.2
const LATEST_RETURN = 0.35
/**
 * Who cannot be in time any more is told the longest time that it will wait, less up to this share of it: those that were refused
 * together come back spread out.
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

/** What a refused caller has left, in milliseconds. */
export interface CallerTime {
  /** What it will still wait. */
  readonly patience: number
  /** Until its objective is over, counted from its first try; 0 or less when it is. */
  readonly objective: number
}

/** Between what times a caller is to come back, in milliseconds. */
interface Return {
  readonly earliest: number
  readonly latest: number
}

function lateReturn (longest: number): Return { return { earliest: longest * (1 - RETRY_SPREAD), latest: longest } }

/** By when the pool takes requests; `longest` is the most that the caller will wait. */
const returns: { readonly [Type in Opening['type']]: (opening: Extract<Opening, { type: Type }>, longest: number, objective: number) => Return } = {
  open: (_opening, longest, objective) => objective > 0 ? { earliest: SOONEST_RETURN * objective, latest: LATEST_RETURN * objective } : lateReturn(longest),
  expected: (opening, longest) => ({ earliest: opening.in, latest: longest }),
  unknown: (_opening, longest) => lateReturn(longest),
  silent: (_opening, longest) => ({ earliest: SILENT_OPENING, latest: longest })
}

/**
 * When a caller that is refused is to come back, in milliseconds: soon where room may be found in a moment. Where nothing takes requests, callers are spread from the
 * time at which something will up to the longest that they will wait: told the longest time as those of a busy pool are,
 * they left the pool half empty for a second after a loss of power, and a third of them were refused again in the next.
 *
 * @param draw A random number in [0, 1).
 * @example
 * const milliseconds = retryAfter({ patience: 6_000, objective: 600 }, Math.random(), { type: 'open' }) // 120 to 210
 */
export function retryAfter ({ patience, objective }: CallerTime, draw: number, opening: Opening): number {
  const longest = patience * LONGEST_RETRY_SHARE
  const { earliest, latest } = returns[opening.type](opening as never, longest, objective)
  const last = Math.min(latest, longest)
  const spread = last - Math.min(earliest, last * (1 - LATE_OPENING_SPREAD))
  return Math.round(last - spread * draw)
}

/** A route's greatest patience fades by this share with each request, so that it follows callers that wait for less. */
const PATIENCE_FADE = 0.001

/**
 * Tells callers that come back from those that come first: who was refused, or failed, before waits for less than others of its
 * route do, since its deadline counts from its first try.
 */
export class FirstTries {
  private readonly _greatest = new Map<string, number>()

  /**
   * Milliseconds since the first try of a request, as far as its patience tells.
   *
   * @example
   * const elapsed = firstTries.elapsed(route.name, head.patience)
   */
  elapsed (route: string, patience: number): number {
    const greatest = Math.max(patience, (this._greatest.get(route) ?? 0) * (1 - PATIENCE_FADE))
    this._greatest.set(route, greatest)
    return greatest - patience
  }
}
