/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks endpoints that announced in an answer that they are leaving or want no requests for some time. This covers an endpoint that
 * shuts down while the store accepts no writes, so that its record remains ready until it has ended, and overloaded endpoints that
 * reject requests faster than entries choose another one, and ask for a pause of some seconds.
 */
import { dropOldest } from '../../drop-oldest.js'
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'

/** The longest accepted pause, in milliseconds: one hour is more than an overloaded endpoint can need. */
const MAX_REST = 3_600_000
/** Memory bound: more incarnations of endpoints than any deployment lists. */
const MAX_ENDPOINTS = 1_024

/**
 * Whether a pause that an endpoint asks for, in milliseconds, is plausible; others are ignored.
 *
 * @example
 * isPlausibleRest(3_000) // true
 */
export function isPlausibleRest (milliseconds: number): boolean { return milliseconds >= 0 && milliseconds <= MAX_REST }

/** The endpoints that are leaving or paused, as announced to one entry. */
export class EndpointAbsences implements Pick<EndpointGate, 'quiet' | 'sparedFor' | 'opensIn'> {
  private readonly _leaving = new Set<string>()
  /** The time until which each endpoint wants no requests from this entry. */
  private readonly _restsUntil = new Map<string, number>()

  get quiet (): boolean { return this._leaving.size === 0 && this._restsUntil.size === 0 }

  /**
   * Records that an endpoint is leaving. This is final: neither its record nor a delayed earlier answer reverts it, and no request is
   * sent to this incarnation again.
   *
   * @returns Whether this was unknown before.
   */
  recordLeaving (start: string): boolean {
    if (this._leaving.has(start)) return false
    this._leaving.add(start)
    dropOldest(this._leaving, MAX_ENDPOINTS)
    return true
  }

  /**
   * Records that an endpoint rejected a request of this entry and asked for a pause, in milliseconds. A longer pause from an earlier
   * answer remains in force, since answers can arrive out of order and each was addressed to this entry.
   *
   * @returns Whether the endpoint was not paused before.
   */
  recordRest (start: string, milliseconds: number, now: number): boolean {
    const until = now + milliseconds
    const known = this._restsUntil.get(start) ?? -Infinity
    if (until <= known) return false
    for (const [other, end] of this._restsUntil) if (end <= now) this._restsUntil.delete(other)
    this._restsUntil.set(start, until)
    dropOldest(this._restsUntil, MAX_ENDPOINTS)
    return known <= now
  }

  sparedFor (start: string, now: number): SparedFor | undefined {
    if (this._leaving.has(start)) return 'leaving'
    return this._remainingRest(start, now) > 0 ? 'resting' : undefined
  }

  opensIn (start: string, now: number): number { return this._leaving.has(start) ? Infinity : this._remainingRest(start, now) }

  /** The remaining pause of an endpoint, in milliseconds. */
  private _remainingRest (start: string, now: number): number {
    return Math.max(0, (this._restsUntil.get(start) ?? -Infinity) - now)
  }
}
