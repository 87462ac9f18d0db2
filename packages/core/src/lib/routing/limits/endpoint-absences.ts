/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Endpoints that want nothing, as they said themselves in an answer. The load that it answers: an endpoint that leaves while the store
 * takes no writes, so that the list calls it ready until it has ended.
 */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'

/** Bounds of memory: more starts of endpoints than any list has. */
const MOST_REMEMBERED = 1_024

/** The endpoints that want nothing, as one entry heard it. */
export class EndpointAbsences implements Pick<EndpointGate, 'sparedFor' | 'opensIn'> {
  private readonly _leaving = new Set<string>()

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

  sparedFor (start: string, _now: number): SparedFor | undefined {
    return this._leaving.has(start) ? 'leaving' : undefined
  }

  opensIn (start: string, _now: number): number { return this._leaving.has(start) ? Infinity : 0 }
}

function dropOldest (remembered: Pick<Set<string>, 'size' | 'delete'> & { keys (): Iterable<string> }): void {
  for (const oldest of remembered.keys()) {
    if (remembered.size <= MOST_REMEMBERED) return
    remembered.delete(oldest)
  }
}
