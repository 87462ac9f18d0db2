/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One entry's share of an endpoint's rate limit, which applies to all entries together. It is designed for overloaded endpoints that
 * accept about one request per second, from 6 to 380 entries that do not see each other's requests.
 *
 * Each entry earns permits at an equal share of the limit. Entries start at a random phase between two permits, so that they are not
 * synchronised and start with no more than they would have earned at any other time. An unused permit lapses soon: if permits were
 * kept, one saved permit per entry would allow 98 simultaneous requests in a fleet of 98.
 */
import { ASSUMED_ENTRIES } from '../attempts/fleet-size.js'

/** What operators allow for a limit, and how the permits for it lapse. Times are in milliseconds. */
export interface ShareTerms {
  /** The operators' window, and the requests allowed in it: a multiple of the limit, and a fixed number beyond that. */
  readonly window: number
  readonly allowedFactor: number
  readonly allowedSlack: number
  /** The least rate of requests from all entries together, in requests per second, also for a lower limit. */
  readonly minRate: number
  /** How much longer one request may take to the endpoint than another: requests sent in a longer time arrive in one window. */
  readonly arrivalSpread: number
  /** How long an unused permit is kept, by the number of entries. */
  readonly permitLifetime: (entries: number) => number
  /** The resolution of the used share of a limit, and its minimum. */
  readonly shareStep: number
  /** Permits of many entries coincide by chance. This many standard deviations above the mean must still be allowed. */
  readonly deviations: number
  /** Added to the allowed number for the comparison with the normal distribution: 0.5 for the continuity correction, or 0. */
  readonly continuity: number
}

/** An unused permit lapses after this time, in milliseconds: one entry receives requests for a small service about this often. */
export const PERMIT_LIFETIME = 1_000
/** The terms of limits that endpoints announce. Without any request, an endpoint could never announce a higher limit, hence the least rate. */
export const announcedLimitTerms: ShareTerms = {
  window: 4_000, allowedFactor: 1.5, allowedSlack: 5, minRate: 0.25, arrivalSpread: 0, permitLifetime: () => PERMIT_LIFETIME, deviations: 5, shareStep: 0.05, continuity: 0
}
/** The most permits that an entry may hold at once at high limits; more than it sends in the lifetime of one. */
const MAX_PERMITS = 64
const MILLISECONDS_PER_SECOND = 1_000

/**
 * The share of a limit that may be used so that coinciding permits stay within the allowed number of requests: all of it for few
 * entries, whose permits cannot all coincide, and less for many.
 *
 * @param limit In requests per second.
 * @example
 * usedShare(1.1, 6) // 1
 */
export function usedShare (limit: number, entries: number, terms: ShareTerms = announcedLimitTerms): number {
  const allowed = terms.allowedFactor * limit * terms.window / MILLISECONDS_PER_SECOND + terms.allowedSlack + terms.continuity
  for (let share = 1; share > terms.shareStep; share -= terms.shareStep) {
    if (likelyMaximum(share * Math.max(terms.minRate, limit), entries, terms) <= allowed) return share
  }
  return terms.shareStep
}

/**
 * An upper bound on the requests in a window that is rarely exceeded. It includes permits earned just before the window, and requests
 * sent just before it that arrive late.
 */
function likelyMaximum (rate: number, entries: number, { window, arrivalSpread, permitLifetime, deviations }: ShareTerms): number {
  const permitsPerEntry = rate / entries * (window + arrivalSpread + permitLifetime(entries)) / MILLISECONDS_PER_SECOND
  const fraction = permitsPerEntry % 1
  return entries * permitsPerEntry + deviations * Math.sqrt(entries * fraction * (1 - fraction))
}

/** The permits of one entry for one endpoint. */
export class LimitShare {
  /** The times at which the remaining permits were earned. */
  private _permits: number[] = []
  /** The earned fraction of the next permit. */
  private _earnedFraction: number
  private _updatedAt: number
  /** Permits earned before this time are void. */
  private _voidUntil = -Infinity
  /** The last computed rate, and what it was computed for: the search for the used share takes longer than all else here. */
  private _computed: { readonly entries: number, readonly limit: number, readonly rate: number } | undefined

  /**
   * @param _limit The endpoint's limit for all entries together, in requests per second.
   * @param _entries Returns the number of entries that share the limit, or `undefined` if it is unknown.
   * @param draw A random number in [0, 1).
   */
  constructor (private _limit: number, private readonly _entries: (now: number) => number | undefined, draw: number, now: number, private readonly _terms: ShareTerms = announcedLimitTerms) {
    this._earnedFraction = draw
    this._updatedAt = now
  }

  /** Changes the limit. The earned permits are kept: with a new random phase after each change, they would be earned twice. */
  change (limit: number, now: number): void {
    this._update(now)
    this._limit = limit
  }

  /** Voids the permits earned until a time, because requests without permits count in the same window. */
  voidPermits (until: number): void { this._voidUntil = Math.max(this._voidUntil, until) }

  /**
   * Whether a request may be sent now.
   *
   * @example
   * if (share.maySend(now)) send()
   */
  maySend (now: number): boolean {
    this._update(now)
    return this._permits.length > 0
  }

  sent (now: number): void {
    this._update(now)
    this._permits.shift()
  }

  /** The time until the next request may be sent, in milliseconds. */
  nextPermitIn (now: number): number {
    this._update(now)
    if (this._permits.length > 0) return 0
    const rate = this.rate(now)
    const next = (1 - this._earnedFraction) / rate
    const voidFor = this._voidUntil - now
    return next >= voidFor ? next : next + Math.ceil((voidFor - next) * rate) / rate
  }

  /** The rate at which this entry may send, in requests per millisecond. */
  rate (now: number): number {
    const entries = Math.max(1, this._entries(now) ?? ASSUMED_ENTRIES)
    const limit = this._limit
    if (this._computed?.entries !== entries || this._computed.limit !== limit) {
      this._computed = { entries, limit, rate: usedShare(limit, entries, this._terms) * Math.max(this._terms.minRate, limit) / entries / MILLISECONDS_PER_SECOND }
    }
    return this._computed.rate
  }

  private _update (now: number): void {
    const rate = this.rate(now)
    const lifetime = this._terms.permitLifetime(Math.max(1, this._entries(now) ?? ASSUMED_ENTRIES))
    const before = this._earnedFraction
    const earned = before + rate * (now - this._updatedAt)
    const wholePermits = Math.floor(earned)
    for (let permit = Math.max(1, wholePermits - MAX_PERMITS + 1); permit <= wholePermits; permit += 1) this._permits.push(this._updatedAt + (permit - before) / rate)
    this._permits = this._permits.filter(at => now - at <= lifetime && at >= this._voidUntil).slice(-MAX_PERMITS)
    this._earnedFraction = earned - wholePermits
    this._updatedAt = now
  }
}
