/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What endpoints say of themselves in their answers, and what follows for those who send to them: whoever wants nothing is not asked
 * what it takes.
 */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'
import { EndpointAbsences, isRest } from './endpoint-absences.js'
import type { EndpointLimits, LimitChange } from './endpoint-limits.js'
import { isLimit } from './limit-book.js'

/** What an endpoint says of itself in an answer of any kind, besides the answer. */
export interface EndpointNotice {
  /**
   * Requests a second that it takes from all entries together; nothing when it names no limit. `unsaid`: that it names none says nothing,
   * since what came is no answer of its own.
   */
  readonly limit: number | 'unreadable' | 'unsaid' | undefined
  /** Whether it will end soon and wants no new work. */
  readonly leaving: boolean
  /** Milliseconds for which it wants nothing from this process, since it turned its request away; nothing when it does not say. */
  readonly rest: number | 'unreadable' | undefined
}

/** What changed by a notice. */
export type NoticeChange =
  | { readonly type: 'limit', readonly change: LimitChange }
  | { readonly type: 'leaving', readonly start: string }
  | { readonly type: 'resting', readonly start: string, readonly rest: number }
  /** It cannot be meant, so what was known holds on. */
  | { readonly type: 'refused', readonly start: string, readonly what: 'limit' | 'rest', readonly value: string }

/** What the endpoints asked of one process. */
export class EndpointNotices implements EndpointGate {
  private readonly _absences = new EndpointAbsences()

  /**
   * @example
   * const gate = new EndpointNotices(new EndpointLimits(entries, Math.random))
   */
  constructor (readonly limits: EndpointLimits) {}

  /**
   * An answer said something of its endpoint.
   *
   * @param askedAt When its request was sent.
   * @returns What changed, to be logged.
   */
  heard (start: string, { limit, leaving, rest }: EndpointNotice, askedAt: number, now: number): NoticeChange[] {
    const changes: (NoticeChange | undefined)[] = [
      leaving && this._absences.leaves(start) ? { type: 'leaving', start } : undefined,
      rest === undefined ? undefined : this._heardRest(start, rest, now),
      this._heardLimit(start, limit, askedAt, now)
    ]
    return changes.filter(change => change !== undefined)
  }

  get quiet (): boolean { return this._absences.quiet && this.limits.quiet }

  sparedFor (start: string, now: number): SparedFor | undefined {
    return this._absences.sparedFor(start, now) ?? this.limits.sparedFor(start, now)
  }

  isDue (start: string, now: number): boolean {
    return this._absences.sparedFor(start, now) === undefined && this.limits.isDue(start, now)
  }

  sent (start: string, now: number): void { this.limits.sent(start, now) }

  opensIn (start: string, now: number): number {
    return Math.max(this._absences.opensIn(start, now), this.limits.opensIn(start, now))
  }

  private _heardRest (start: string, rest: number | 'unreadable', now: number): NoticeChange | undefined {
    if (rest === 'unreadable' || !isRest(rest)) return { type: 'refused', start, what: 'rest', value: String(rest) }
    return rest > 0 && this._absences.rests(start, rest, now) ? { type: 'resting', start, rest } : undefined
  }

  private _heardLimit (start: string, limit: EndpointNotice['limit'], askedAt: number, now: number): NoticeChange | undefined {
    if (limit === 'unsaid') return undefined
    if (limit === 'unreadable' || (limit !== undefined && !isLimit(limit))) return { type: 'refused', start, what: 'limit', value: String(limit) }
    const change = this.limits.heard(start, { limit, askedAt, heardAt: now }, now)
    return change === undefined ? undefined : { type: 'limit', change }
  }
}
