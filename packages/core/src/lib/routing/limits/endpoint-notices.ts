/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Handles the notices that endpoints attach to their answers, and restricts requests accordingly. An endpoint that is leaving or paused
 * gets no requests, whatever its rate limit.
 */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'
import type { ColdChange, ColdEndpoints } from './cold-endpoints.js'
import { isPlausibleColdTime } from './cold-news.js'
import { EndpointAbsences, isPlausibleRest } from './endpoint-absences.js'
import type { EndpointLimits, LimitChange } from './endpoint-limits.js'
import { isPlausibleLimit } from './limit-statements.js'

/** The notice that an endpoint attaches to an answer of any kind. */
export interface EndpointNotice {
  /**
   * The endpoint's rate limit for all entries together, in requests per second; `undefined` if the answer announces none. `unsaid`: the
   * answer was not made by the endpoint itself, so a missing limit means nothing.
   */
  readonly limit: number | 'unreadable' | 'unsaid' | undefined
  /** Whether the endpoint will end soon and wants no new requests. */
  readonly leaving: boolean
  /** Milliseconds for which the endpoint wants no requests from this process after it rejected one; `undefined` if it does not say. */
  readonly rest: number | 'unreadable' | undefined
  /** Milliseconds for which the endpoint stays cold; `undefined` if it does not say. */
  readonly cold?: number | 'unreadable' | undefined
}

/** A change caused by a notice. */
export type NoticeChange =
  | { readonly type: 'limit', readonly change: LimitChange }
  | { readonly type: 'leaving', readonly start: string }
  | { readonly type: 'resting', readonly start: string, readonly rest: number }
  | { readonly type: 'cold', readonly change: ColdChange }
  /** The value is implausible; the previous state remains in force. */
  | { readonly type: 'refused', readonly start: string, readonly what: 'limit' | 'rest' | 'cold', readonly value: string }

/** The restrictions that endpoints have announced to one process. */
export class EndpointNotices implements EndpointGate {
  private readonly _absences = new EndpointAbsences()

  /**
   * @example
   * const gate = new EndpointNotices(new EndpointLimits(entries, Math.random))
   */
  constructor (readonly limits: EndpointLimits, readonly cold?: ColdEndpoints) {}

  /**
   * Applies the notice in an answer.
   *
   * @param askedAt The time at which the request was sent.
   * @returns The changes, to log.
   */
  heard (start: string, { limit, leaving, rest, cold }: EndpointNotice, askedAt: number, now: number): NoticeChange[] {
    const changes: (NoticeChange | undefined)[] = [
      leaving && this._absences.recordLeaving(start) ? { type: 'leaving', start } : undefined,
      rest === undefined ? undefined : this._applyRest(start, rest, now),
      this._applyLimit(start, limit, askedAt, now),
      ...(cold === undefined ? [] : this._applyCold(start, cold, askedAt, now))
    ]
    return changes.filter(change => change !== undefined)
  }

  get quiet (): boolean { return this._absences.quiet && this.limits.quiet && (this.cold?.quiet ?? true) }

  sparedFor (start: string, now: number): SparedFor | undefined {
    return this._absences.sparedFor(start, now) ?? this.limits.sparedFor(start, now) ?? this.cold?.sparedFor(start, now)
  }

  isDue (start: string, now: number): boolean {
    return this.sparedFor(start, now) === undefined && (this.limits.isDue(start, now) || this.cold?.isDue(start, now) === true)
  }

  isDueUnfollowed (start: string, now: number): boolean {
    return this.sparedFor(start, now) === undefined && this.cold?.isDueUnfollowed(start, now) === true
  }

  sent (start: string, now: number): void {
    this.limits.sent(start, now)
    this.cold?.sent(start, now)
  }

  opensIn (start: string, now: number): number {
    return Math.max(this._absences.opensIn(start, now), this.limits.opensIn(start, now), this.cold?.opensIn(start, now) ?? 0)
  }

  private _applyRest (start: string, rest: number | 'unreadable', now: number): NoticeChange | undefined {
    if (rest === 'unreadable' || !isPlausibleRest(rest)) return { type: 'refused', start, what: 'rest', value: String(rest) }
    return rest > 0 && this._absences.recordRest(start, rest, now) ? { type: 'resting', start, rest } : undefined
  }

  private _applyCold (start: string, cold: number | 'unreadable', askedAt: number, now: number): NoticeChange[] {
    if (cold === 'unreadable' || !isPlausibleColdTime(cold)) return [{ type: 'refused', start, what: 'cold', value: String(cold) }]
    return this.cold?.heard(start, cold, askedAt, now).map(change => ({ type: 'cold', change })) ?? []
  }

  private _applyLimit (start: string, limit: EndpointNotice['limit'], askedAt: number, now: number): NoticeChange | undefined {
    if (limit === 'unsaid') return undefined
    if (limit === 'unreadable' || (limit !== undefined && !isPlausibleLimit(limit))) return { type: 'refused', start, what: 'limit', value: String(limit) }
    const change = this.limits.heard(start, { limit, askedAt, heardAt: now }, now)
    return change === undefined ? undefined : { type: 'limit', change }
  }
}
