/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Determines which member fetches which chunk from which other member. Every process computes the same assignment from
 * the member list alone, so neither have-maps nor a coordinator are needed.
 *
 * The members of an availability zone form a ring. For each chunk the ring is rotated to a different starting point and
 * read as a complete tree with fan-out k. The starting point advances by 1/k of the ring, so that within every k chunks
 * each member is an inner node once. This balances the load on uplinks by construction rather than on average (see
 * dev-docs/weights.md for a comparison with rendezvous order per chunk).
 */
import { hash32, rendezvousOrder } from './rendezvous.js'

/** A source of a chunk. */
export type ChunkSource =
  | { readonly kind: 'peer', readonly instance: string }
  | { readonly kind: 'store' }
  | { readonly kind: 'origin' }

/** Distribution strategies. `rotation` is the default; the others serve as baselines in benchmarks. */
export type SpreadStrategy = 'rotation' | 'rendezvous' | 'tree' | 'origin'

/** A member of the group that fetches a version. */
export interface ChunkMember {
  readonly instance: string
  readonly availabilityZone: string
}

/** The position of a member in the tree of one chunk. */
export interface ChunkPosition {
  /** Ancestors, nearest first; empty for a member that reads from the origin. */
  readonly ancestors: readonly string[]
  /** Fallback members if all ancestors fail; they read from the origin before this member does. */
  readonly fallbacks: readonly string[]
  /**
   * The number of members before this one in its zone, which determines how long it waits before it reads from the
   * origin.
   */
  readonly rank: number
}

const FAN_OUT = 2
const MAX_FALLBACKS = 2

type MemberOrder = (ring: readonly string[], chunk: number, chunkDigest: string) => readonly string[]

function rotate (ring: readonly string[], start: number): readonly string[] {
  const offset = start % ring.length
  return [...ring.slice(offset), ...ring.slice(0, offset)]
}

const memberOrders: Record<SpreadStrategy, MemberOrder> = {
  rotation: (ring, chunk) => rotate(ring, Math.floor(chunk * ring.length / FAN_OUT) + Math.floor(chunk / FAN_OUT)),
  rendezvous: (ring, _chunk, chunkDigest) => rendezvousOrder(ring, chunkDigest),
  tree: ring => ring,
  origin: ring => ring
}

/** Assigns the chunks of one version to a set of members. */
export class ChunkTree {
  private readonly _rings: readonly (readonly string[])[]
  private readonly _ownRing: number

  /**
   * @param self The local member; it is added to `members` if the list does not contain it yet.
   * @param members The members of the group, in any order.
   * @param originCopies The number of members that read each chunk from the origin.
   */
  constructor (
    readonly self: ChunkMember,
    members: readonly ChunkMember[],
    readonly originCopies: number,
    readonly strategy: SpreadStrategy = 'rotation'
  ) {
    const zones = new Map<string, string[]>([[self.availabilityZone, [self.instance]]])
    for (const member of members) {
      if (member.instance === self.instance) continue
      const ring = zones.get(member.availabilityZone) ?? []
      ring.push(member.instance)
      zones.set(member.availabilityZone, ring)
    }
    const names = rendezvousOrder([...zones.keys()], 'zones')
    this._rings = names.map(zone => rendezvousOrder(zones.get(zone) ?? [], 'ring'))
    this._ownRing = names.indexOf(self.availabilityZone)
  }

  /**
   * Returns the position of the local member in the tree of one chunk.
   *
   * @example
   * tree.position(0, manifest.chunks[0].digest) // { ancestors: ['agent-3', 'agent-1'], fallbacks: [], rank: 4 }
   */
  position (chunk: number, chunkDigest: string): ChunkPosition {
    if (this.strategy === 'origin') return { ancestors: [], fallbacks: [], rank: 0 }
    const ordered = memberOrders[this.strategy](this._rings[this._ownRing] ?? [], chunk, chunkDigest)
    const rank = ordered.indexOf(this.self.instance)
    const zoneRank = this._zoneRank(this._ownRing, chunk)
    const zoneCopies = this._copiesInZone(zoneRank)
    const ancestors: string[] = []
    let at = rank
    while (at >= Math.max(1, zoneCopies)) {
      at = parentOf(at, zoneCopies)
      ancestors.push(ordered[at] ?? '')
    }
    if (zoneCopies === 0) ancestors.push(...this._zoneAncestors(zoneRank, chunk, chunkDigest))
    const next = zoneCopies === 0 ? this._zoneMembers(0, chunk, chunkDigest) : ordered.slice(0, rank)
    const fallbacks = next.slice(1, 1 + MAX_FALLBACKS).filter(instance => !ancestors.includes(instance))
    return { ancestors, fallbacks, rank }
  }

  /** The other members of the local member's zone, used as alternative sources. */
  zonePeers (): readonly string[] {
    return (this._rings[this._ownRing] ?? []).filter(instance => instance !== this.self.instance)
  }

  /** The rank of a zone for one chunk; the first zone rotates from chunk to chunk. */
  private _zoneRank (ring: number, chunk: number): number {
    const count = this._rings.length
    return (ring + count - (this.strategy === 'tree' ? 0 : chunk % count)) % count
  }

  /**
   * The number of origin copies read in a zone: copies are divided evenly, the remainder going to the first zones of a
   * chunk.
   */
  private _copiesInZone (zoneRank: number): number {
    const count = this._rings.length
    const even = Math.floor(this.originCopies / count)
    return even + (zoneRank < this.originCopies % count ? 1 : 0)
  }

  /** The first members of the zones above this one, up to a zone that reads from the origin. */
  private _zoneAncestors (zoneRank: number, chunk: number, chunkDigest: string): string[] {
    const heads: string[] = []
    let at = zoneRank
    while (this._copiesInZone(at) === 0) {
      at = Math.floor((at - 1) / FAN_OUT)
      heads.push(this._firstMember(at, chunk, chunkDigest))
    }
    return heads
  }

  private _firstMember (zoneRank: number, chunk: number, chunkDigest: string): string {
    return this._zoneMembers(zoneRank, chunk, chunkDigest)[0] ?? ''
  }

  /** The members of the zone with the given rank, in the order of one chunk. */
  private _zoneMembers (zoneRank: number, chunk: number, chunkDigest: string): readonly string[] {
    const count = this._rings.length
    const ring = (zoneRank + (this.strategy === 'tree' ? 0 : chunk % count)) % count
    return memberOrders[this.strategy](this._rings[ring] ?? [], chunk, chunkDigest)
  }
}

/** The parent index in a forest of `roots` complete trees in level order. */
function parentOf (rank: number, roots: number): number {
  return Math.floor((rank - Math.max(1, roots)) / FAN_OUT)
}

/**
 * Deterministic jitter: a number in [0, 1) that every process computes alike for a member and subject.
 *
 * @example
 * const delay = 1_000 * jitterOf('agent-3', 'service-read')
 */
export function jitterOf (member: string, subject: string): number {
  return hash32(member, hash32(subject)) / 2 ** 32
}
