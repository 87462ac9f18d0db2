/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stores the newest rate limit statement of each incarnation of an endpoint, as received by any entry. Statements can arrive out of
 * order, both on connections of one entry and between processes, so a limit is raised or lifted only by an answer to a request that
 * was sent after the limit was received.
 */
import { dropOldest } from '../../drop-oldest.js'

/** The rate limit that an answer announced. */
export interface LimitStatement {
  /** The endpoint's limit for all entries together, in requests per second; `undefined` if the answer announced none. */
  readonly limit: number | undefined
  /** When the request was sent, and when its answer was received, by this process's clock. The endpoint made the statement in between. */
  readonly askedAt: number
  readonly heardAt: number
}

/** A statement as sent to other processes; it carries ages in milliseconds, since clocks differ. */
export interface LimitReport {
  /** The incarnation of the endpoint: see `startKeyOf`. */
  readonly start: string
  /** The limit in requests per second; `null` if there is none any more. */
  readonly limit: number | null
  readonly askedAge: number
  readonly heardAge: number
}

/** The limit reports that processes share. */
export type LimitNews = readonly LimitReport[]

/** The highest accepted limit, in requests per second: no fleet could exceed it, so a higher value is an error. */
const MAX_LIMIT = 100_000
/** How long a statement is kept, in milliseconds: longer than the interval between permits of an entry in the largest fleet. */
const STATEMENT_LIFETIME = 600_000
/**
 * The longest delivery time of a report, in milliseconds, which is added to its age. Without it, a statement became younger with each
 * process that forwarded it, and two statements replaced each other endlessly.
 */
const MAX_DELIVERY_TIME = 1_000
/** Bound of memory and of the reports in one message: more endpoints than any pool has. */
const MAX_STATEMENTS = 1_024
const MAX_START_LENGTH = 200

/**
 * Whether an announced limit is plausible; others are ignored, and the previous limit remains in force.
 *
 * @example
 * isPlausibleLimit(1.1) // true
 */
export function isPlausibleLimit (limit: number): boolean { return limit >= 0 && limit <= MAX_LIMIT }

/** The rate limit statements known to one process. */
export class LimitStatements {
  private readonly _statements = new Map<string, LimitStatement>()

  /** The limit of an endpoint, in requests per second; `undefined` if none is known. */
  limitOf (start: string, now: number): number | undefined {
    const { limit, heardAt = -Infinity } = this._statements.get(start) ?? {}
    return limit === undefined || now - heardAt > STATEMENT_LIFETIME ? undefined : limit
  }

  /**
   * Adds a statement.
   *
   * @returns Whether the limit changed.
   * @example
   * if (book.heard(start, { limit: 1.1, askedAt, heardAt: now }, now)) notifyPeers()
   */
  heard (start: string, statement: LimitStatement, now: number): boolean {
    const known = this._statements.get(start)
    const before = this.limitOf(start, now)
    // Most endpoints never announce a limit; no statements of these are stored.
    if (known === undefined && statement.limit === undefined) return false
    const kept = known === undefined ? statement : laterOf(known, statement)
    if (kept === known) return false
    this._statements.delete(start)
    this._statements.set(start, kept)
    dropOldest(this._statements, MAX_STATEMENTS)
    return this.limitOf(start, now) !== before
  }

  /**
   * Adds the reports of another process.
   *
   * @returns The reports that changed a limit here.
   */
  told (news: LimitNews, now: number): LimitNews {
    return news.filter(({ start, limit, askedAge, heardAge }) => {
      return this.heard(start, { limit: limit ?? undefined, askedAt: now - askedAge - MAX_DELIVERY_TIME, heardAt: now - heardAge }, now)
    })
  }

  /**
   * Returns this process's statements about endpoints whose reported limit differs from the one here. If the order of two statements
   * is unknown, the reporter keeps the lower limit until its next request to the endpoint; a later statement from here resolves this
   * sooner.
   */
  corrections (news: LimitNews, now: number): LimitNews {
    return news.filter(({ start, limit }) => this.limitOf(start, now) !== (limit ?? undefined)).flatMap(({ start }) => this.report(start, now))
  }

  /** Returns the report on one endpoint, to share; empty if it has no statement. */
  report (start: string, now: number): LimitNews {
    const statement = this._statements.get(start)
    return statement === undefined ? [] : [{ start, limit: statement.limit ?? null, askedAge: Math.max(0, now - statement.askedAt), heardAge: Math.max(0, now - statement.heardAt) }]
  }

  /** Returns all current statements, for a process that starts or was partitioned; includes ended limits, which it may have missed. */
  known (now: number): LimitNews {
    return [...this._statements].filter(([, { heardAt }]) => now - heardAt <= STATEMENT_LIFETIME).flatMap(([start]) => this.report(start, now))
  }
}

/** Returns the later of two statements, or the lower limit if their order cannot be determined. */
function laterOf (known: LimitStatement, received: LimitStatement): LimitStatement {
  if (received.askedAt >= known.heardAt) return received
  if (received.heardAt <= known.askedAt) return known
  return (received.limit ?? Infinity) < (known.limit ?? Infinity) ? received : known
}

/**
 * Validates limit reports received from another process; returns `undefined` if they are malformed.
 *
 * @example
 * const news = readLimitNews([{ start: 'engine-7', limit: 1.1, askedAge: 130, heardAge: 20 }])
 */
export function readLimitNews (input: unknown): LimitNews | undefined {
  return Array.isArray(input) && input.length <= MAX_STATEMENTS && input.every(isLimitReport) ? input : undefined
}

function isLimitReport (input: unknown): input is LimitReport {
  if (typeof input !== 'object' || input === null) return false
  const { start, limit, askedAge, heardAge } = input as Partial<Record<keyof LimitReport, unknown>>
  if (typeof start !== 'string' || start.length > MAX_START_LENGTH) return false
  if (limit !== null && !(typeof limit === 'number' && isPlausibleLimit(limit))) return false
  return typeof askedAge === 'number' && typeof heardAge === 'number' && heardAge >= 0 && askedAge >= heardAge && Number.isFinite(askedAge)
}
