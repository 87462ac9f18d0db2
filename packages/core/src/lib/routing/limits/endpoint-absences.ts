/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Endpoints that want nothing, as they said themselves in an answer. The load that it answers: an endpoint that leaves while the store
 * takes no writes, so that the list calls it ready until it has ended; and endpoints that turn requests away faster than entries look
 * for another one, and ask for some seconds of rest.
 */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'

/** A rest beyond this is more than an endpoint in need can mean, in milliseconds: one hour. */
const LONGEST_REST = 3_600_000
/** Bounds of memory: more starts of endpoints than any list has. */
const MOST_REMEMBERED = 1_024

/**
 * Whether an endpoint can mean a rest of so many milliseconds; what makes no sense is not heeded.
 *
 * @example
 * isRest(3_000) // true
 */
export function isRest (milliseconds: number): boolean { return milliseconds >= 0 && milliseconds <= LONGEST_REST }

/** The endpoints that want nothing, as one entry heard it. */
export class EndpointAbsences implements Pick<EndpointGate, 'quiet' | 'sparedFor' | 'opensIn'> {
  private readonly _leaving = new Set<string>()
  /** Until when each endpoint wants nothing from this entry. */
  private readonly _restsUntil = new Map<string, number>()

  get quiet (): boolean { return this._leaving.size === 0 && this._restsUntil.size === 0 }

  /**
   * An endpoint said that it leaves. No list takes that back, nor an answer that was made before: a start that leaves is never sent to
   * again.
   *
   * @returns Whether that is news.
   */
  leaves (start: string): boolean {
    if (this._leaving.has(start)) return false
    this._leaving.add(start)
    dropOldest(this._leaving)
    return true
  }

  /**
   * An endpoint turned a request of this entry away and wants nothing for so long, in milliseconds. What it asked for before holds on:
   * answers overtake each other, and each was meant for this entry.
   *
   * @returns Whether it rested not before.
   */
  rests (start: string, milliseconds: number, now: number): boolean {
    const until = now + milliseconds
    const known = this._restsUntil.get(start) ?? -Infinity
    if (until <= known) return false
    for (const [other, over] of this._restsUntil) if (over <= now) this._restsUntil.delete(other)
    this._restsUntil.set(start, until)
    dropOldest(this._restsUntil)
    return known <= now
  }

  sparedFor (start: string, now: number): SparedFor | undefined {
    if (this._leaving.has(start)) return 'leaving'
    return this._restOf(start, now) > 0 ? 'resting' : undefined
  }

  opensIn (start: string, now: number): number { return this._leaving.has(start) ? Infinity : this._restOf(start, now) }

  /** What is left of an endpoint's rest, in milliseconds. */
  private _restOf (start: string, now: number): number {
    return Math.max(0, (this._restsUntil.get(start) ?? -Infinity) - now)
  }
}

function dropOldest (remembered: Pick<Set<string>, 'size' | 'delete'> & { keys (): Iterable<string> }): void {
  for (const oldest of remembered.keys()) {
    if (remembered.size <= MOST_REMEMBERED) return
    remembered.delete(oldest)
  }
}
