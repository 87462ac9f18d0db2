/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** All that endpoints ask of one entry, as the choice among them sees it: whoever wants nothing is not asked what it takes. */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'
import type { EndpointAbsences } from './endpoint-absences.js'
import type { EndpointLimits } from './endpoint-limits.js'

/** The gate of one entry. */
export class EndpointNotices implements EndpointGate {
  /**
   * @example
   * const gate = new EndpointNotices(new EndpointLimits(entries, Math.random), new EndpointAbsences())
   */
  constructor (readonly limits: EndpointLimits, readonly absences: EndpointAbsences) {}

  sparedFor (start: string, now: number): SparedFor | undefined {
    return this.absences.sparedFor(start, now) ?? this.limits.sparedFor(start, now)
  }

  isDue (start: string, now: number): boolean {
    return this.absences.sparedFor(start, now) === undefined && this.limits.isDue(start, now)
  }

  sent (start: string, now: number): void { this.limits.sent(start, now) }

  opensIn (start: string, now: number): number {
    return Math.max(this.absences.opensIn(start, now), this.limits.opensIn(start, now))
  }
}
