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
  private readonly _ownZone: readonly string[]
  private readonly _otherZones: readonly string[]
  private readonly _seeds: readonly string[]
  /** Addresses that did not respond, with the time until which they are skipped. */
  private readonly _unresponsive = new Map<string, number>()

  constructor (self: NeighbourhoodSelf, instances: readonly InstanceRecord[]) {
    const zone = instances.filter(record => record.availabilityZone === self.availabilityZone)
    const others = instances.filter(record => record.availabilityZone !== self.availabilityZone)
    this.order = rendezvousOrder(zone.map(record => record.instance), 'watchers')
    this._ownZone = zone.filter(record => record.instance !== self.instance).map(record => record.address)
    this._otherZones = others.map(record => record.address)
    this._seeds = self.seeds.filter(seed => seed !== self.address)
  }

  /** Records that an address did not respond, and skips it until the given time. */
  silent (address: string, until: number): void { this._unresponsive.set(address, until) }

  /**
   * Picks the address of a peer, preferring peers that are not marked as unresponsive.
   *
   * @param otherZone Whether to prefer a peer in another zone to one in the own zone. Falls back to the other group if empty.
   * @param random A random number in [0, 1).
   * @returns An address, or a seed if the list contains no peers; `undefined` if there are no seeds either.
   * @example
   * const address = neighbourhood.pick(true, random(), now)
   */
  pick (otherZone: boolean, random: number, now: number): string | undefined {
    const [preferred, others] = otherZone ? [this._otherZones, this._ownZone] : [this._ownZone, this._otherZones]
    const listed = preferred.length > 0 ? preferred : others
    const available = listed.length > 0 ? listed : this._seeds
    const responsive = this._unresponsive.size === 0 ? available : available.filter(address => (this._unresponsive.get(address) ?? 0) <= now)
    const choices = responsive.length > 0 ? responsive : available
    return choices[Math.floor(random * choices.length)]
  }
}
