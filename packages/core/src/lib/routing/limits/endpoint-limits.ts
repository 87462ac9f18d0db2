/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The limits that endpoints name, as one entry heeds them: which one holds for each start of an endpoint, and its part of it. */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'
import { LimitBook, type LimitNews, type LimitStatement } from './limit-book.js'
import { LimitShare } from './limit-share.js'

/** A limit that began, changed or ended. */
export interface LimitChange {
  readonly start: string
  /** Requests a second; nothing when it ended. */
  readonly limit: number | undefined
  /** What this entry may send of it, in requests a second; nothing when it ended. */
  readonly share: number | undefined
}

const MILLISECONDS_PER_SECOND = 1_000

/** The limits of all endpoints. */
export class EndpointLimits implements EndpointGate {
  private readonly _book = new LimitBook()
  private readonly _shares = new Map<string, LimitShare>()

  /**
   * @param _entries How many entries share the limits; nothing while that is not known.
   * @param _draw Random numbers in [0, 1).
   */
  constructor (private readonly _entries: (now: number) => number | undefined, private readonly _draw: () => number) {}

  /**
   * An answer to this entry said something.
   *
   * @returns The change, to be logged and told to others.
   * @example
   * const change = limits.heard(start, { limit: 1.1, askedAt: sentAt, heardAt: now }, now)
   */
  heard (start: string, statement: LimitStatement, now: number): LimitChange | undefined {
    return this._book.heard(start, statement, now) ? this._changed(start, now) : undefined
  }

  /** Other entries heard something. Returns the changes. */
  told (news: LimitNews, now: number): LimitChange[] {
    return this._book.told(news, now).map(({ start }) => this._changed(start, now))
  }

  /** What a process that told something should know, since it holds otherwise here. */
  corrections (news: LimitNews, now: number): LimitNews { return this._book.corrections(news, now) }
  /** What others should know of an endpoint whose limit changed. */
  report (start: string, now: number): LimitNews { return this._book.report(start, now) }
  /** What a process should know that starts, or was cut off. */
  known (now: number): LimitNews { return this._book.known(now) }

  get quiet (): boolean { return this._shares.size === 0 }

  sparedFor (start: string, now: number): SparedFor | undefined {
    if (this.quiet) return undefined
    return this._shareOf(start, now)?.maySend(now) === false ? 'limited' : undefined
  }

  /** Every entry's turn counts: it is how an endpoint gets what it takes, and how its entries hear that it takes more. */
  isDue (start: string, now: number): boolean {
    return !this.quiet && this._shareOf(start, now)?.maySend(now) === true
  }

  sent (start: string, now: number): void {
    if (!this.quiet) this._shareOf(start, now)?.sent(now)
  }

  opensIn (start: string, now: number): number { return this._shareOf(start, now)?.nextIn(now) ?? 0 }

  /** The part of a limit that this entry has, or nothing where the limit is too old to hold. */
  private _shareOf (start: string, now: number): LimitShare | undefined {
    if (this._book.limitOf(start, now) === undefined) this._shares.delete(start)
    return this._shares.get(start)
  }

  /** Endpoints that are gone are asked for no more. */
  private _dropLapsed (now: number): void {
    for (const start of this._shares.keys()) this._shareOf(start, now)
  }

  private _changed (start: string, now: number): LimitChange {
    this._dropLapsed(now)
    const limit = this._book.limitOf(start, now)
    if (limit === undefined) return { start, limit, share: undefined }
    const share = this._shares.get(start) ?? new LimitShare(limit, this._entries, this._draw(), now)
    share.change(limit, now)
    this._shares.set(start, share)
    return { start, limit, share: share.rate(now) * MILLISECONDS_PER_SECOND }
  }
}
