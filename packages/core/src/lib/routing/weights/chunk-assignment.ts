/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Assigns each chunk to the member that reads it from the origin, and to the member that pulls it into each availability zone. Every
 * process computes the same assignment from the member list alone, so each chunk is read from the origin once and crosses into each
 * zone once, without coordination.
 */
import type { ChunkMember } from '../../chunk-tree.js'
import { rendezvousOrder } from '../../rendezvous.js'

/** A member's ranks for one chunk; 0 is first. */
export interface ChunkRanks {
  /** Rank among the members of its zone. */
  readonly inZone: number
  /** Rank of its zone among all zones. */
  readonly ofZone: number
  /** Rank among all members. */
  readonly overall: number
}

/** The ranks of one member for all chunks, over a member list. */
export class ChunkAssignment {
  /** The members of each zone, in rendezvous order. */
  private readonly _rings: readonly (readonly string[])[]
  private readonly _zoneIndex: number
  private readonly _position: number
  /**
   * The member before this one in the ring of its zone; this member itself if it is the only one. Each member is the predecessor of
   * one other, so members that pull from their predecessors do not compete for the same peer.
   */
  readonly predecessor: string

  /**
   * @param self Added to `members` if the list does not contain it yet.
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
   * Returns the member's ranks for a chunk. Zones and members rotate from chunk to chunk, so that all get an equal share.
   *
   * @example
   * if (places.ranks(7).overall === 0) readFromOrigin(7)
   */
  ranks (chunk: number): ChunkRanks {
    const zoneCount = this._rings.length
    const zoneSize = this._rings[this._zoneIndex]?.length ?? 1
    const ofZone = (this._zoneIndex + chunk) % zoneCount
    const inZone = (this._position + Math.floor(chunk / zoneCount)) % zoneSize
    return { inZone, ofZone, overall: ofZone + inZone * zoneCount }
  }

  /** Returns the member that reads a chunk from the origin: the one with overall rank 0. */
  originReader (chunk: number): string {
    const zoneCount = this._rings.length
    const ring = this._rings[(zoneCount - chunk % zoneCount) % zoneCount] ?? []
    return ring[(ring.length - Math.floor(chunk / zoneCount) % ring.length) % ring.length] ?? ''
  }
}
