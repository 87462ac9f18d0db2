/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Applies the rate limits that endpoints announce: tracks the limit of each incarnation of an endpoint, and this entry's share of it. */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'
import { LimitStatements, type LimitNews, type LimitStatement } from './limit-statements.js'
import { LimitShare } from './limit-share.js'

/** A rate limit that started, changed or ended. */
export interface LimitChange {
  readonly start: string
  /** The limit in requests per second; `undefined` if it ended. */
  readonly limit: number | undefined
  /** This entry's share of the limit, in requests per second; `undefined` if it ended. */
  readonly share: number | undefined
}

const MILLISECONDS_PER_SECOND = 1_000

/** The rate limits of all endpoints. */
export class EndpointLimits implements EndpointGate {
  private readonly _book = new LimitStatements()
  private readonly _shares = new Map<string, LimitShare>()

  /**
   * @param _entries Returns the number of entries that share the limits, or `undefined` if it is unknown.
   * @param _random Returns random numbers in [0, 1).
   */
  constructor (private readonly _entries: (now: number) => number | undefined, private readonly _random: () => number) {}

  /**
   * Records the limit announced in an answer to this entry.
   *
   * @returns The change, to log and to share with other processes; `undefined` if there is none.
   * @example
   * const change = limits.heard(start, { limit: 1.1, askedAt: sentAt, heardAt: now }, now)
   */
  heard (start: string, statement: LimitStatement, now: number): LimitChange | undefined {
    return this._book.heard(start, statement, now) ? this._applyChange(start, now) : undefined
  }

  /** Adds the limits that another process reports and returns the changes. */
  told (news: LimitNews, now: number): LimitChange[] {
    return this._book.told(news, now).map(({ start }) => this._applyChange(start, now))
  }

  /** Returns this process's statements about endpoints whose reported limit differs from the one here, to send back to the reporter. */
  corrections (news: LimitNews, now: number): LimitNews { return this._book.corrections(news, now) }
  /** Returns the report on one endpoint, to share when its limit changed. */
  report (start: string, now: number): LimitNews { return this._book.report(start, now) }
  /** Returns the reports on all endpoints, for a process that starts or was partitioned. */
  known (now: number): LimitNews { return this._book.known(now) }

  get quiet (): boolean { return this._shares.size === 0 }

  sparedFor (start: string, now: number): SparedFor | undefined {
    if (this.quiet) return undefined
    return this._shareOf(start, now)?.maySend(now) === false ? 'limited' : undefined
  }

  /** A permit should not lapse: requests use the endpoint's capacity, and only their answers can announce a higher limit. */
  isDue (start: string, now: number): boolean {
    return !this.quiet && this._shareOf(start, now)?.maySend(now) === true
  }

  /** Limited endpoints that are not followed are used as little as others. */
  isDueUnfollowed (): boolean { return false }

  sent (start: string, now: number): void {
    if (!this.quiet) this._shareOf(start, now)?.sent(now)
  }

  opensIn (start: string, now: number): number { return this._shareOf(start, now)?.nextPermitIn(now) ?? 0 }

  /** This entry's share of a limit; `undefined` if there is no limit or it has expired. */
  private _shareOf (start: string, now: number): LimitShare | undefined {
    if (this._book.limitOf(start, now) === undefined) this._shares.delete(start)
    return this._shares.get(start)
  }

  /** Drops the shares of expired limits, such as those of endpoints that are gone and no longer looked up. */
  private _dropExpired (now: number): void {
    for (const start of this._shares.keys()) this._shareOf(start, now)
  }

  private _applyChange (start: string, now: number): LimitChange {
    this._dropExpired(now)
    const limit = this._book.limitOf(start, now)
    if (limit === undefined) return { start, limit, share: undefined }
    const share = this._shares.get(start) ?? new LimitShare(limit, this._entries, this._random(), now)
    share.change(limit, now)
    this._shares.set(start, share)
    return { start, limit, share: share.rate(now) * MILLISECONDS_PER_SECOND }
  }
}
