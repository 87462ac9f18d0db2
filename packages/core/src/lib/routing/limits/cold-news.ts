/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Cold times that endpoints named in their answers, as entries tell each other by way of agents. In a large fleet, an endpoint is asked
 * by many entries of which each sends it a request now and then, so most would learn from their own answers too late.
 */

/** The remaining cold time of one start of an endpoint. */
export interface ColdReport {
  /** The incarnation of the endpoint: see `startKeyOf`. */
  readonly start: string
  /** Milliseconds from the receipt of the report. */
  readonly remaining: number
}

/** The cold times that processes share. */
export type ColdNews = readonly ColdReport[]

/** The longest plausible cold time that an endpoint may name, in milliseconds. */
export const MAX_COLD_TIME = 3_600_000
/** A cold time that lasts longer than known by this many milliseconds is news; less is the delay of messages. */
export const COLD_TIME_EXTENSION = 1_000
/** Bound of memory and of the reports in one message: more endpoints than any pool has. */
const MAX_REPORTS = 1_024
const MAX_START_LENGTH = 200

/**
 * Whether a remaining cold time that an endpoint names, in milliseconds, is plausible; others are ignored.
 *
 * @example
 * isPlausibleColdTime(4_200) // true
 */
export function isPlausibleColdTime (milliseconds: number): boolean { return milliseconds >= 0 && milliseconds <= MAX_COLD_TIME }

/**
 * Whether a reported cold time is news to a process that knows another end. The rest of a cold time that is shorter than messages may
 * take is never news: reports of it would go round among processes whose cold time has just ended.
 *
 * @param remaining In milliseconds from now.
 * @example
 * if (isColdNews(4_200, knownUntil, now)) sendOn()
 */
export function isColdNews (remaining: number, knownUntil: number, now: number): boolean {
  return remaining >= COLD_TIME_EXTENSION && now + remaining >= knownUntil + COLD_TIME_EXTENSION
}

/** The cold times that an agent has been told, which it forwards. */
export class ColdTimes {
  private readonly _until = new Map<string, number>()

  /**
   * Adds reports.
   *
   * @returns Those that are new here, to forward.
   * @example
   * const news = coldTimes.told(readColdNews(message.cold) ?? [], now)
   */
  told (news: ColdNews, now: number): ColdNews {
    for (const [start, until] of this._until) if (until <= now) this._until.delete(start)
    return news.filter(({ start, remaining }) => {
      const until = now + remaining
      if (!isColdNews(remaining, this._until.get(start) ?? -Infinity, now)) return false
      if (!this._until.has(start) && this._until.size >= MAX_REPORTS) return false
      this._until.set(start, until)
      return true
    })
  }

  /** Returns all current cold times, for an entry that starts. */
  known (now: number): ColdNews {
    return [...this._until].flatMap(([start, until]) => until > now ? [{ start, remaining: until - now }] : [])
  }
}

/**
 * Validates reports received from another process; returns `undefined` if they are malformed. A process of an earlier release sends none.
 *
 * @example
 * const news = readColdNews([{ start: 'engine-7', remaining: 4_200 }])
 */
export function readColdNews (input: unknown): ColdNews | undefined {
  if (input === undefined) return []
  return Array.isArray(input) && input.length <= MAX_REPORTS && input.every(isColdReport) ? input : undefined
}

function isColdReport (input: unknown): input is ColdReport {
  if (typeof input !== 'object' || input === null) return false
  const { start, remaining } = input as Partial<Record<keyof ColdReport, unknown>>
  return typeof start === 'string' && start.length <= MAX_START_LENGTH && typeof remaining === 'number' && isPlausibleColdTime(remaining)
}
