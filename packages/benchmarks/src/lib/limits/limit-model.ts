/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates an endpoint with a low request rate limit for all entries together, for fleets of several sizes, and compares policies that
 * divide the limit among entries. No entry sees what another one sends.
 */
import { LimitShare } from '@drumdrift/core'
import { seededRandom } from '@drumdrift/stand-ins'

/** The rate limiter of one entry. */
interface RateLimiter {
  maySend (now: number): boolean
  sent (now: number): void
}

/** The inputs of a rate limiter. */
interface LimiterInputs {
  /** The limit for all entries together, in requests per second. */
  readonly limit: number
  readonly entries: number
  readonly draw: () => number
  /** The start time of the entry, in milliseconds. */
  readonly startedAt: number
}

/** The policies for dividing a limit among entries. */
export type LimitPolicy = 'whole-for-each' | 'parts-saved' | 'parts-begun-empty' | 'few-holders' | 'parts-that-lapse'

const MILLISECONDS_PER_SECOND = 1_000
/** The expected number of entries that divide the whole limit among them, as hashing of names would select them; each entry is selected independently. */
const EXPECTED_HOLDERS = 3

/** A token bucket with a capacity of one request. */
class TokenBucket implements RateLimiter {
  private _updatedAt: number

  constructor (private readonly _rate: number, private _tokens: number, now: number) { this._updatedAt = now }

  maySend (now: number): boolean {
    this._tokens = Math.min(1, this._tokens + this._rate * (now - this._updatedAt) / MILLISECONDS_PER_SECOND)
    this._updatedAt = now
    return this._tokens >= 1
  }

  sent (): void { this._tokens -= 1 }
}

const neverSend: RateLimiter = { maySend: () => false, sent: () => {} }

const policies: Record<LimitPolicy, (inputs: LimiterInputs) => RateLimiter> = {
  'whole-for-each': ({ limit, startedAt }) => new TokenBucket(limit, 1, startedAt),
  'parts-saved': ({ limit, entries, startedAt }) => new TokenBucket(limit / entries, 1, startedAt),
  'parts-begun-empty': ({ limit, entries, startedAt }) => new TokenBucket(limit / entries, 0, startedAt),
  'few-holders': ({ limit, entries, draw, startedAt }) => draw() < EXPECTED_HOLDERS / entries ? new TokenBucket(limit / EXPECTED_HOLDERS, 0, startedAt) : neverSend,
  'parts-that-lapse': ({ limit, entries, draw, startedAt }) => new LimitShare(limit, () => entries, draw(), startedAt)
}

/** The names of all policies. */
export const limitPolicies = Object.keys(policies) as LimitPolicy[]

/** Parameters of one simulation run. */
export interface LimitRun {
  readonly policy: LimitPolicy
  readonly entries: number
  readonly limit: number
  /** Requests per second that each entry tries to send. */
  readonly requestsPerSecond: number
  /** How long no entry has requests at the start of every 20 s, in milliseconds; after that all entries have requests at once. */
  readonly idleMilliseconds: number
  /** Seconds between two restarts of an entry; `undefined` for no restarts. */
  readonly restartEvery: number | undefined
  readonly seed: number
}

/** Results of one simulation run. */
export interface LimitFigures {
  /** The maximum number of requests in any 4 s. */
  readonly maximum: number
  /** The number of requests that may reach the endpoint in 4 s. */
  readonly allowed: number
  /** The share of the limit that was used while entries had requests. */
  readonly usedShare: number
}

const WINDOW_MILLISECONDS = 4_000
const PERIOD_MILLISECONDS = 20_000
const DURATION_MILLISECONDS = 120_000
const TICK_MILLISECONDS = 20

/**
 * Simulates two minutes.
 *
 * @example
 * const { maximum, allowed } = simulateLimit({ policy: 'parts-that-lapse', entries: 98, limit: 1.1, requestsPerSecond: 1, idleMilliseconds: 0, restartEvery: undefined, seed: 7 })
 */
export function simulateLimit ({ policy, entries, limit, requestsPerSecond, idleMilliseconds, restartEvery, seed }: LimitRun): LimitFigures {
  const draw = seededRandom(seed)
  const createLimiter = (startedAt: number): RateLimiter => policies[policy]({ limit, entries, draw, startedAt })
  const limiters = Array.from({ length: entries }, () => createLimiter(0))
  const arrivals: number[] = []
  let restartAt = (restartEvery ?? Infinity) * MILLISECONDS_PER_SECOND
  for (let now = 0; now < DURATION_MILLISECONDS; now += TICK_MILLISECONDS) {
    if (now >= restartAt) {
      restartAt += (restartEvery ?? Infinity) * MILLISECONDS_PER_SECOND
      limiters[Math.floor(draw() * entries)] = createLimiter(now)
    }
    if (now % PERIOD_MILLISECONDS < idleMilliseconds) continue
    for (const limiter of limiters) {
      if (draw() >= requestsPerSecond * TICK_MILLISECONDS / MILLISECONDS_PER_SECOND || !limiter.maySend(now)) continue
      limiter.sent(now)
      arrivals.push(now)
    }
  }
  const maximum = Math.max(0, ...arrivals.map((from, index) => countBefore(arrivals, index, from + WINDOW_MILLISECONDS)))
  return { maximum, allowed: 1.5 * limit * WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND + 5, usedShare: arrivals.length / (limit * DURATION_MILLISECONDS / MILLISECONDS_PER_SECOND * (1 - idleMilliseconds / PERIOD_MILLISECONDS)) }
}

function countBefore (times: readonly number[], index: number, until: number): number {
  let last = index
  while (last < times.length && (times[last] ?? 0) < until) last += 1
  return last - index
}
