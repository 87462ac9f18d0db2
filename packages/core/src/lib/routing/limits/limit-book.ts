/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What endpoints said of the requests that they take: the newest of each start of one, by whichever entry heard it. Statements overtake
 * each other, on connections of one entry and on the ways between processes, so a limit is only raised or lifted by an answer to a
 * request that was sent after the limit was heard.
 */

/** What an answer said of its endpoint's limit. */
export interface LimitStatement {
  /** Requests a second that it takes from all entries together; nothing when it named no limit. */
  readonly limit: number | undefined
  /** When the request was sent, and when its answer was heard, by this process's clock. The endpoint said it in between. */
  readonly askedAt: number
  readonly heardAt: number
}

/** A statement as a process tells it to another; ages in milliseconds, since clocks differ. */
export interface LimitReport {
  /** The start of the endpoint: see `startOf`. */
  readonly start: string
  /** Nothing when no limit holds any more. */
  readonly limit: number | null
  readonly askedAge: number
  readonly heardAge: number
}

/** What processes tell each other of limits. */
export type LimitNews = readonly LimitReport[]

/** A limit above this names nothing that any fleet could exceed, in requests a second: it was misread, or made up. */
const GREATEST_LIMIT = 100_000
/** How long what was said is remembered, in milliseconds: longer than an entry of the largest fleet goes without a turn. */
const STATEMENT_LIFETIME = 600_000
/**
 * What is told is on its way for so long at most, in milliseconds, and was said so much earlier than its age tells. Without that a
 * statement grew younger with each process that passed it on, and two of them replaced each other without end.
 */
const LONGEST_WAY = 1_000
/** Bounds of memory and of one message: more endpoints than any pool has. */
const MOST_STATEMENTS = 1_024
const LONGEST_START = 200

/**
 * Whether an endpoint can mean a limit; what makes no sense is not heeded, and what it said before holds on.
 *
 * @example
 * isLimit(1.1) // true
 */
export function isLimit (limit: number): boolean { return limit >= 0 && limit <= GREATEST_LIMIT }

/** The statements that one process knows. */
export class LimitBook {
  private readonly _statements = new Map<string, LimitStatement>()

  /** The limit of an endpoint, in requests a second; nothing when none is known. */
  limitOf (start: string, now: number): number | undefined {
    const { limit, heardAt = -Infinity } = this._statements.get(start) ?? {}
    return limit === undefined || now - heardAt > STATEMENT_LIFETIME ? undefined : limit
  }

  /**
   * Takes a statement.
   *
   * @returns Whether the limit is another one now.
   * @example
   * if (book.heard(start, { limit: 1.1, askedAt, heardAt: now }, now)) tellOthers()
   */
  heard (start: string, statement: LimitStatement, now: number): boolean {
    const known = this._statements.get(start)
    const before = this.limitOf(start, now)
    // Most endpoints never name a limit, and nothing is kept of them.
    if (known === undefined && statement.limit === undefined) return false
    const held = known === undefined ? statement : newer(known, statement)
    if (held === known) return false
    this._statements.delete(start)
    this._statements.set(start, held)
    for (const oldest of this._statements.keys()) {
      if (this._statements.size <= MOST_STATEMENTS) break
      this._statements.delete(oldest)
    }
    return this.limitOf(start, now) !== before
  }

  /**
   * Takes what another process tells.
   *
   * @returns What changed a limit here.
   */
  told (news: LimitNews, now: number): LimitNews {
    return news.filter(({ start, limit, askedAge, heardAge }) => {
      return this.heard(start, { limit: limit ?? undefined, askedAt: now - askedAge - LONGEST_WAY, heardAt: now - heardAge }, now)
    })
  }

  /**
   * What a process that told something should know, since it holds otherwise here. Of two statements that may have been made in either
   * order it keeps the lower limit, and would keep it until its next turn; a later statement settles it.
   */
  corrections (news: LimitNews, now: number): LimitNews {
    return news.filter(({ start, limit }) => this.limitOf(start, now) !== (limit ?? undefined)).flatMap(({ start }) => this.report(start, now))
  }

  /** What is known of one endpoint, to be told. */
  report (start: string, now: number): LimitNews {
    const statement = this._statements.get(start)
    return statement === undefined ? [] : [{ start, limit: statement.limit ?? null, askedAge: Math.max(0, now - statement.askedAt), heardAge: Math.max(0, now - statement.heardAt) }]
  }

  /** All that holds, for a process that starts, or was cut off: also that limits ended, which it may have missed. */
  known (now: number): LimitNews {
    return [...this._statements].filter(([, { heardAt }]) => now - heardAt <= STATEMENT_LIFETIME).flatMap(([start]) => this.report(start, now))
  }
}

/** Of two statements the one that the endpoint made later; where nobody can tell, the one that asks for more care. */
function newer (known: LimitStatement, told: LimitStatement): LimitStatement {
  if (told.askedAt >= known.heardAt) return told
  if (told.heardAt <= known.askedAt) return known
  return (told.limit ?? Infinity) < (known.limit ?? Infinity) ? told : known
}

/**
 * Reads what a process tells.
 *
 * @returns Nothing when it cannot be read.
 * @example
 * const news = readLimitNews([{ start: 'engine-7', limit: 1.1, askedAge: 130, heardAge: 20 }])
 */
export function readLimitNews (input: unknown): LimitNews | undefined {
  return Array.isArray(input) && input.length <= MOST_STATEMENTS && input.every(isLimitReport) ? input : undefined
}

function isLimitReport (input: unknown): input is LimitReport {
  if (typeof input !== 'object' || input === null) return false
  const { start, limit, askedAge, heardAge } = input as Partial<Record<keyof LimitReport, unknown>>
  if (typeof start !== 'string' || start.length > LONGEST_START) return false
  if (limit !== null && !(typeof limit === 'number' && isLimit(limit))) return false
  return typeof askedAge === 'number' && typeof heardAge === 'number' && heardAge >= 0 && askedAge >= heardAge && Number.isFinite(askedAge)
}
