/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * How many entries there are, as far as one of them can tell. Entries do not know each other; each agent counts those that it
 * hears, and tells them. Wrong beliefs err to the greater number: what is shared out by it is then shared too thinly.
 */

/** More entries than any deployment has; a count beyond it is taken for a mistake of whoever tells it. */
export const MOST_ENTRIES = 10_000
/**
 * A count holds for this long at least, and twice this at most, in milliseconds: longer than zones are usually cut off, so that an
 * entry that loses sight of others does not take their part.
 */
const MEMORY = 60_000

/** The counts of one stretch of time. */
interface Generation {
  largest: number
  readonly zones: Set<string>
}

/** The entries of a deployment, counted. */
export class FleetSize {
  private _current = newGeneration()
  private _previous = newGeneration()
  private _since: number | undefined

  /**
   * @param _zones Availability zones that have agents, as they are listed.
   */
  constructor (private readonly _zones: () => number) {}

  /**
   * An agent told how many entries it hears.
   *
   * @returns Whether the count can be true.
   * @example
   * if (!fleet.heard('hall-1', 98, now)) log.warn('entries-miscounted')
   */
  heard (availabilityZone: string, count: number, now: number): boolean {
    if (!Number.isInteger(count) || count < 1 || count > MOST_ENTRIES) return false
    this._turn(now)
    this._current.largest = Math.max(this._current.largest, count)
    this._current.zones.add(availabilityZone)
    return true
  }

  /**
   * The number of entries; nothing while no agent was heard. An entry that hears the agents of some zones only may be cut off with
   * those, and then so are the entries that they count: it takes the other zones for as large.
   */
  estimate (now: number): number | undefined {
    this._turn(now)
    const largest = Math.max(this._current.largest, this._previous.largest)
    if (largest === 0) return undefined
    const heard = new Set([...this._current.zones, ...this._previous.zones]).size
    return Math.ceil(largest * Math.max(1, this._zones() / heard))
  }

  private _turn (now: number): void {
    this._since ??= now
    if (now - this._since < MEMORY) return
    this._previous = now - this._since < 2 * MEMORY ? this._current : newGeneration()
    this._current = newGeneration()
    this._since = now
  }
}

function newGeneration (): Generation { return { largest: 0, zones: new Set() } }
