/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The instance list as one process sees it: who is near, who is abroad, who watches for its zone, and who was silent
 * lately. Worked out once for each list, since at 2,780 instances looking through it each second is not free.
 */
import type { InstanceRecord } from './documents.js'
import { rendezvousOrder } from './rendezvous.js'

/** What a process knows of itself before any list. */
export interface NeighbourhoodSelf {
  readonly instance: string
  readonly availabilityZone: string
  readonly address: string
  readonly seeds: readonly string[]
}

/** The surroundings of one process, for one list. */
export class Neighbourhood {
  /** Names of the zone's members, the watchers first. */
  readonly order: readonly string[]
  private readonly _near: readonly string[]
  private readonly _abroad: readonly string[]
  private readonly _seeds: readonly string[]
  /** Addresses that did not answer, with the time until which they are passed over. */
  private readonly _silent = new Map<string, number>()

  constructor (self: NeighbourhoodSelf, instances: readonly InstanceRecord[]) {
    const zone = instances.filter(record => record.availabilityZone === self.availabilityZone)
    const others = instances.filter(record => record.availabilityZone !== self.availabilityZone)
    this.order = rendezvousOrder(zone.map(record => record.instance), 'watchers')
    this._near = zone.filter(record => record.instance !== self.instance).map(record => record.address)
    this._abroad = others.map(record => record.address)
    this._seeds = self.seeds.filter(seed => seed !== self.address)
  }

  /** An address did not answer. */
  silent (address: string, until: number): void { this._silent.set(address, until) }

  /**
   * A peer's address, rather one that was not silent lately.
   *
   * @param abroad Whether it should be of another zone; if there is none, one of this zone is taken, and the reverse.
   * @param draw A number in [0, 1).
   * @returns A seed while no list is known; nothing when there is nobody.
   * @example
   * const address = neighbourhood.pick(true, random(), now)
   */
  pick (abroad: boolean, draw: number, now: number): string | undefined {
    const [preferred, others] = abroad ? [this._abroad, this._near] : [this._near, this._abroad]
    const listed = preferred.length > 0 ? preferred : others
    const known = listed.length > 0 ? listed : this._seeds
    const lively = this._silent.size === 0 ? known : known.filter(address => (this._silent.get(address) ?? 0) <= now)
    const choices = lively.length > 0 ? lively : known
    return choices[Math.floor(draw * choices.length)]
  }
}
