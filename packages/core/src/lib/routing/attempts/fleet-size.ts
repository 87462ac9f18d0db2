/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Estimates the number of entries in the deployment. Entries do not know each other, and each follows only some agents. An agent
 * counts each of its followers as one divided by the number of agents which that entry follows, so over all agents each entry counts
 * once. When in doubt the estimate is too high: limits divided by it are then too low rather than exceeded.
 */

/** More entries than any deployment has; a higher count is rejected as an error of the reporting agent. */
export const MAX_ENTRIES = 10_000
/** Assumed number of entries until an agent reports: that of the largest supported deployment and a few more. */
export const ASSUMED_ENTRIES = 400
/**
 * A count is kept for at least this long and at most twice as long, in milliseconds: longer than usual network partitions between
 * zones, so that an entry that is partitioned from others does not use their share.
 */
const COUNT_LIFETIME = 60_000

/** The agents of one availability zone, as an entry sees them. */
export interface AgentZone {
  readonly availabilityZone: string
  /** The number of listed agents. */
  readonly listed: number
  /** The number of agents that this entry follows. */
  readonly followed: number
}

/** The counts reported by one agent: the largest of the current period and of the period before. */
interface AgentCounts {
  readonly availabilityZone: string
  current: number
  previous: number
}

/** Estimates the number of entries in a deployment. */
export class FleetSize {
  private readonly _counts = new Map<string, AgentCounts>()
  private _periodStart: number | undefined
  /** The last estimate and the zones it was made for; `undefined` once a count has changed. Every request asks for it. */
  private _last: { readonly zones: readonly AgentZone[], readonly estimate: number | undefined } | undefined

  /**
   * @param _zones Returns the availability zones that have agents. A list must not change once it has been returned.
   */
  constructor (private readonly _zones: () => readonly AgentZone[]) {}

  /**
   * Records the number of entries that an agent counts.
   *
   * @returns Whether the count is plausible.
   * @example
   * if (!fleet.heard('hall-1', '10.0.0.7:7700', 0.8, now)) log.warn('entries-miscounted')
   */
  heard (availabilityZone: string, agent: string, count: number, now: number): boolean {
    if (!(count > 0 && count <= MAX_ENTRIES)) return false
    this._rotate(now)
    const counts = this._counts.get(agent) ?? { availabilityZone, current: 0, previous: 0 }
    if (count > counts.current) {
      counts.current = count
      this._last = undefined
    }
    this._counts.set(agent, counts)
    return true
  }

  /**
   * The estimated number of entries; `undefined` until an agent reports. If only the agents of some zones report, this entry may be
   * partitioned together with those zones and with the entries that their agents count. These entries also follow agents of the
   * other zones, whose reports are missing, so the sum is scaled up; the other zones are assumed to have as many entries.
   */
  estimate (now: number): number | undefined {
    this._rotate(now)
    const zones = this._zones()
    if (this._last?.zones !== zones) this._last = { zones, estimate: this._estimate(zones) }
    return this._last.estimate
  }

  private _estimate (zones: readonly AgentZone[]): number | undefined {
    const reporting = zones.flatMap(zone => {
      const mean = this._meanCountOf(zone.availabilityZone)
      return mean === undefined ? [] : [{ ...zone, mean }]
    })
    const counted = reporting.reduce((sum, { mean, listed }) => sum + mean * listed, 0)
    const reportingShare = followedOf(reporting) / Math.max(1, followedOf(zones))
    return reportingShare === 0 ? undefined : Math.ceil(counted / reportingShare * zones.length / reporting.length - ROUNDING_TOLERANCE)
  }

  private _meanCountOf (availabilityZone: string): number | undefined {
    const counts = [...this._counts.values()].flatMap(agent => agent.availabilityZone === availabilityZone ? [Math.max(agent.current, agent.previous)] : [])
    return counts.length === 0 ? undefined : counts.reduce((sum, count) => sum + count, 0) / counts.length
  }

  private _rotate (now: number): void {
    this._periodStart ??= now
    if (now - this._periodStart < COUNT_LIFETIME) return
    const expired = now - this._periodStart >= 2 * COUNT_LIFETIME
    for (const [agent, counts] of this._counts) {
      counts.previous = expired ? 0 : counts.current
      counts.current = 0
      if (counts.previous === 0) this._counts.delete(agent)
    }
    this._periodStart = now
    this._last = undefined
  }
}

function followedOf (zones: readonly AgentZone[]): number { return zones.reduce((sum, { followed }) => sum + followed, 0) }

/** Tolerance for the floating-point error of the summed shares. */
const ROUNDING_TOLERANCE = 1e-6
