/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * How many entries there are, as far as one of them can tell. Entries do not know each other, and each follows some agents only. An
 * agent counts its followers, each by the share of its following that falls on one agent: added up over all agents, each entry counts
 * once. Wrong beliefs err to the greater number: what is shared out by it is then shared too thinly.
 */

/** More entries than any deployment has; a count beyond it is taken for a mistake of whoever tells it. */
export const MOST_ENTRIES = 10_000
/** While no agent was heard, there may be as many entries as the largest deployment that is planned for has, and a few more. */
export const ASSUMED_ENTRIES = 400
/**
 * A count holds for this long at least, and twice this at most, in milliseconds: longer than zones are usually cut off, so that an
 * entry that loses sight of others does not take their part.
 */
const MEMORY = 60_000

/** The agents of one availability zone, as an entry sees them. */
export interface ZoneOfAgents {
  readonly availabilityZone: string
  /** Agents that are listed. */
  readonly listed: number
  /** Those that this entry follows. */
  readonly followed: number
}

/** What one agent told: the largest count in this stretch of memory and in the one before. */
interface Told {
  readonly availabilityZone: string
  now: number
  before: number
}

/** The entries of a deployment, counted. */
export class FleetSize {
  private readonly _told = new Map<string, Told>()
  private _since: number | undefined

  /**
   * @param _zones Availability zones that have agents.
   */
  constructor (private readonly _zones: () => readonly ZoneOfAgents[]) {}

  /**
   * An agent told how many entries it counts.
   *
   * @returns Whether the count can be true.
   * @example
   * if (!fleet.heard('hall-1', '10.0.0.7:7700', 0.8, now)) log.warn('entries-miscounted')
   */
  heard (availabilityZone: string, agent: string, count: number, now: number): boolean {
    if (!(count > 0 && count <= MOST_ENTRIES)) return false
    this._turn(now)
    const told = this._told.get(agent) ?? { availabilityZone, now: 0, before: 0 }
    told.now = Math.max(told.now, count)
    this._told.set(agent, told)
    return true
  }

  /**
   * The number of entries; nothing while no agent was heard. An entry that hears the agents of some zones only may be cut off with
   * those, and then so are the entries that they count: those follow agents of the other zones too, which do not tell, and the other
   * zones are taken for as large.
   */
  estimate (now: number): number | undefined {
    this._turn(now)
    const zones = this._zones()
    const heard = zones.flatMap(zone => {
      const mean = this._meanOf(zone.availabilityZone)
      return mean === undefined ? [] : [{ ...zone, mean }]
    })
    const counted = heard.reduce((sum, { mean, listed }) => sum + mean * listed, 0)
    const shareHeard = followedOf(heard) / Math.max(1, followedOf(zones))
    return shareHeard === 0 ? undefined : Math.ceil(counted / shareHeard * zones.length / heard.length - ROUNDING)
  }

  private _meanOf (availabilityZone: string): number | undefined {
    const counts = [...this._told.values()].flatMap(told => told.availabilityZone === availabilityZone ? [Math.max(told.now, told.before)] : [])
    return counts.length === 0 ? undefined : counts.reduce((sum, count) => sum + count, 0) / counts.length
  }

  private _turn (now: number): void {
    this._since ??= now
    if (now - this._since < MEMORY) return
    const all = now - this._since >= 2 * MEMORY
    for (const [agent, told] of this._told) {
      told.before = all ? 0 : told.now
      told.now = 0
      if (told.before === 0) this._told.delete(agent)
    }
    this._since = now
  }
}

function followedOf (zones: readonly ZoneOfAgents[]): number { return zones.reduce((sum, { followed }) => sum + followed, 0) }

/** Sums of shares are not exact. */
const ROUNDING = 1e-6
