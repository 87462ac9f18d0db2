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
interface Sharer {
  maySend (now: number): boolean
  sent (now: number): void
}

/** The inputs of a rate limiter. */
interface Terms {
  /** The limit for all entries together, in requests per second. */
  readonly limit: number
  readonly entries: number
  readonly draw: () => number
  /** The start time of the entry, in milliseconds. */
  readonly startedAt: number
}

/** The policies for dividing a limit among entries. */
export type LimitWay = 'whole-for-each' | 'parts-saved' | 'parts-begun-empty' | 'few-holders' | 'parts-that-lapse'

const MILLISECONDS_PER_SECOND = 1_000
/** The expected number of entries that divide the whole limit among them, as hashing of names would select them; each entry is selected independently. */
const EXPECTED_HOLDERS = 3

/** A token bucket with a capacity of one request. */
class Saver implements Sharer {
  private _lookedAt: number

  constructor (private readonly _rate: number, private _saved: number, now: number) { this._lookedAt = now }

  maySend (now: number): boolean {
    this._saved = Math.min(1, this._saved + this._rate * (now - this._lookedAt) / MILLISECONDS_PER_SECOND)
    this._lookedAt = now
    return this._saved >= 1
  }

  sent (): void { this._saved -= 1 }
}

const never: Sharer = { maySend: () => false, sent: () => {} }

const ways: Record<LimitWay, (terms: Terms) => Sharer> = {
  'whole-for-each': ({ limit, startedAt }) => new Saver(limit, 1, startedAt),
  'parts-saved': ({ limit, entries, startedAt }) => new Saver(limit / entries, 1, startedAt),
  'parts-begun-empty': ({ limit, entries, startedAt }) => new Saver(limit / entries, 0, startedAt),
  'few-holders': ({ limit, entries, draw, startedAt }) => draw() < EXPECTED_HOLDERS / entries ? new Saver(limit / EXPECTED_HOLDERS, 0, startedAt) : never,
  'parts-that-lapse': ({ limit, entries, draw, startedAt }) => new LimitShare(limit, () => entries, draw(), startedAt)
}

/** The names of all policies. */
export const limitWays = Object.keys(ways) as LimitWay[]

/** Parameters of one simulation run. */
export interface LimitPlay {
  readonly way: LimitWay
  readonly entries: number
  readonly limit: number
  /** Requests per second that each entry tries to send. */
  readonly wanted: number
  /** How long no entry has requests at the start of every 20 s, in milliseconds; after that all entries have requests at once. */
  readonly silence: number
  /** Seconds between two restarts of an entry; `undefined` for no restarts. */
  readonly restartEvery: number | undefined
  readonly seed: number
}

/** Results of one simulation run. */
export interface LimitFigures {
  /** The maximum number of requests in any 4 s. */
  readonly most: number
  /** The number of requests that may reach the endpoint in 4 s. */
  readonly allowed: number
  /** The share of the limit that was used while entries had requests. */
  readonly used: number
}

const STRETCH = 4_000
const PERIOD = 20_000
const LENGTH = 120_000
const TICK = 20

/**
 * Simulates two minutes.
 *
 * @example
 * const { most, allowed } = playLimit({ way: 'parts-that-lapse', entries: 98, limit: 1.1, wanted: 1, silence: 0, restartEvery: undefined, seed: 7 })
 */
export function playLimit ({ way, entries, limit, wanted, silence, restartEvery, seed }: LimitPlay): LimitFigures {
  const draw = seededRandom(seed)
  const start = (startedAt: number): Sharer => ways[way]({ limit, entries, draw, startedAt })
  const sharers = Array.from({ length: entries }, () => start(0))
  const arrivals: number[] = []
  let restartAt = (restartEvery ?? Infinity) * MILLISECONDS_PER_SECOND
  for (let now = 0; now < LENGTH; now += TICK) {
    if (now >= restartAt) {
      restartAt += (restartEvery ?? Infinity) * MILLISECONDS_PER_SECOND
      sharers[Math.floor(draw() * entries)] = start(now)
    }
    if (now % PERIOD < silence) continue
    for (const sharer of sharers) {
      if (draw() >= wanted * TICK / MILLISECONDS_PER_SECOND || !sharer.maySend(now)) continue
      sharer.sent(now)
      arrivals.push(now)
    }
  }
  const most = Math.max(0, ...arrivals.map((from, index) => countBefore(arrivals, index, from + STRETCH)))
  return { most, allowed: 1.5 * limit * STRETCH / MILLISECONDS_PER_SECOND + 5, used: arrivals.length / (limit * LENGTH / MILLISECONDS_PER_SECOND * (1 - silence / PERIOD)) }
}

function countBefore (times: readonly number[], index: number, until: number): number {
  let last = index
  while (last < times.length && (times[last] ?? 0) < until) last += 1
  return last - index
}
