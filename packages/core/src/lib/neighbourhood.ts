/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A view of the instance list from one process: the peers in its own zone and in other zones, the order of the zone's
 * watchers, and peers that recently did not respond. It is computed once per list, since scanning 2,780 instances every
 * second is expensive.
 */
import type { InstanceRecord } from './documents.js'
import { rendezvousOrder } from './rendezvous.js'

/** The configuration of a process that is known before it has an instance list. */
export interface NeighbourhoodSelf {
  readonly instance: string
  readonly availabilityZone: string
  readonly address: string
  readonly seeds: readonly string[]
}

/** The peers of one process, for one instance list. */
export class Neighbourhood {
  /** The instances in the zone, with its watchers first. */
  readonly order: readonly string[]
  private readonly _near: readonly string[]
  private readonly _abroad: readonly string[]
  private readonly _seeds: readonly string[]
  /** Addresses that did not respond, with the time until which they are skipped. */
  private readonly _silent = new Map<string, number>()

  constructor (self: NeighbourhoodSelf, instances: readonly InstanceRecord[]) {
    const zone = instances.filter(record => record.availabilityZone === self.availabilityZone)
    const others = instances.filter(record => record.availabilityZone !== self.availabilityZone)
    this.order = rendezvousOrder(zone.map(record => record.instance), 'watchers')
    this._near = zone.filter(record => record.instance !== self.instance).map(record => record.address)
    this._abroad = others.map(record => record.address)
    this._seeds = self.seeds.filter(seed => seed !== self.address)
  }

  /** Records that an address did not respond, and skips it until the given time. */
  silent (address: string, until: number): void { this._silent.set(address, until) }

  /**
   * Picks the address of a peer, preferring peers that are not marked as unresponsive.
   *
   * @param abroad Whether to prefer a peer in another zone to one in the own zone. Falls back to the other group if empty.
   * @param draw A random number in [0, 1).
   * @returns An address, or a seed if the list contains no peers; `undefined` if there are no seeds either.
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
