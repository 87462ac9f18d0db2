/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Whose turn it is to bring a chunk into the fleet, and into an availability zone. Every process computes the same
 * answer from the member list alone, so each chunk is read from the origin once and crosses to each zone once, and
 * nobody coordinates.
 */
import type { ChunkMember } from '../../chunk-tree.js'
import { rendezvousOrder } from '../../rendezvous.js'

/** A member's turns for one chunk; 0 is first. */
export interface ChunkTurn {
  /** Among the members of its zone. */
  readonly inZone: number
  /** Of its zone among all zones. */
  readonly ofZone: number
  /** Among all members. */
  readonly overall: number
}

/** The turns of one member over a member list. */
export class ChunkPlaces {
  /** The members of each zone, in the order in which they take turns. */
  private readonly _rings: readonly (readonly string[])[]
  private readonly _zoneIndex: number
  private readonly _position: number
  /**
   * The member before this one in the ring of its zone; this one itself when it is alone. Each member is that of one other, so
   * members that pull from theirs do not meet at the same one.
   */
  readonly predecessor: string

  /**
   * @param self Added to `members` when the list does not show it yet.
   */
  constructor (self: ChunkMember, members: readonly ChunkMember[]) {
    const zones = new Map<string, Set<string>>([[self.availabilityZone, new Set([self.instance])]])
    for (const { instance, availabilityZone } of members) {
      if (instance === self.instance) continue
      const zone = zones.get(availabilityZone) ?? new Set()
      zones.set(availabilityZone, zone.add(instance))
    }
    const names = rendezvousOrder([...zones.keys()], 'zones')
    this._rings = names.map(name => rendezvousOrder([...zones.get(name) ?? []], 'ring'))
    this._zoneIndex = names.indexOf(self.availabilityZone)
    const ring = this._rings[this._zoneIndex] ?? []
    this._position = ring.indexOf(self.instance)
    this.predecessor = ring.at(this._position - 1) ?? self.instance
  }

  /**
   * The member's turns for a chunk. Zones and members rotate from chunk to chunk, so that all carry the same share.
   *
   * @example
   * if (places.turn(7).overall === 0) readFromOrigin(7)
   */
  turn (chunk: number): ChunkTurn {
    const zoneCount = this._rings.length
    const zoneSize = this._rings[this._zoneIndex]?.length ?? 1
    const ofZone = (this._zoneIndex + chunk) % zoneCount
    const inZone = (this._position + Math.floor(chunk / zoneCount)) % zoneSize
    return { inZone, ofZone, overall: ofZone + inZone * zoneCount }
  }

  /** The member that reads a chunk from the origin: the one whose turn is the first of all. */
  reader (chunk: number): string {
    const zoneCount = this._rings.length
    const ring = this._rings[(zoneCount - chunk % zoneCount) % zoneCount] ?? []
    return ring[(ring.length - Math.floor(chunk / zoneCount) % ring.length) % ring.length] ?? ''
  }
}
