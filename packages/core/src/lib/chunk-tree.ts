/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Who fetches which chunk from whom. Every process computes the same answer from the member list alone, so no
 * have-maps are exchanged and nobody coordinates.
 *
 * Members of an availability zone stand on a ring. For each chunk the ring is read from another starting point and
 * taken as a complete tree of fan-out k. Starting points step by 1/k of the ring, so that over every k chunks each
 * member is an inner node once: uplinks are loaded evenly by construction, not only on average (see
 * dev-docs/weights.md for the figures against rendezvous order per chunk).
 */
import { hash32, rendezvousOrder } from './rendezvous.js'

/** Where a chunk can come from. */
export type ChunkSource =
  | { readonly kind: 'peer', readonly instance: string }
  | { readonly kind: 'store' }
  | { readonly kind: 'origin' }

/** Ways of spreading chunks; `rotation` is the product's, the others are for measuring against. */
export type SpreadStrategy = 'rotation' | 'rendezvous' | 'tree' | 'origin'

/** One member of the group that fetches a version. */
export interface ChunkMember {
  readonly instance: string
  readonly availabilityZone: string
}

/** A member's place for one chunk. */
export interface ChunkPlace {
  /** Ancestors, nearest first; empty for a member that reads from the origin. */
  readonly ancestors: readonly string[]
  /** The members next in line when all ancestors fail: they turn to the origin before this one does. */
  readonly substitutes: readonly string[]
  /** How many members stand before this one in its zone: decides how long it waits before it may use the origin. */
  readonly rank: number
}

const FAN_OUT = 2
const SUBSTITUTES = 2

type Orderer = (ring: readonly string[], chunk: number, chunkDigest: string) => readonly string[]

function rotate (ring: readonly string[], start: number): readonly string[] {
  const offset = start % ring.length
  return [...ring.slice(offset), ...ring.slice(0, offset)]
}

const orderers: Record<SpreadStrategy, Orderer> = {
  rotation: (ring, chunk) => rotate(ring, Math.floor(chunk * ring.length / FAN_OUT) + Math.floor(chunk / FAN_OUT)),
  rendezvous: (ring, _chunk, chunkDigest) => rendezvousOrder(ring, chunkDigest),
  tree: ring => ring,
  origin: ring => ring
}

/** The placement of one version's chunks over a set of members. */
export class ChunkTree {
  private readonly _rings: readonly (readonly string[])[]
  private readonly _ownRing: number

  /**
   * @param self The asking member; it is added to `members` when the list does not show it yet.
   * @param members Members of the group, in any order.
   * @param originCopies How many members read each chunk from the origin.
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
   * The place of the asking member for one chunk.
   *
   * @example
   * tree.place(0, manifest.chunks[0].digest) // { ancestors: ['agent-3', 'agent-1'], rank: 4 }
   */
  place (chunk: number, chunkDigest: string): ChunkPlace {
    if (this.strategy === 'origin') return { ancestors: [], substitutes: [], rank: 0 }
    const ordered = orderers[this.strategy](this._rings[this._ownRing] ?? [], chunk, chunkDigest)
    const rank = ordered.indexOf(this.self.instance)
    const zoneRank = this._zoneRank(this._ownRing, chunk)
    const copiesHere = this._copiesInZone(zoneRank)
    const ancestors: string[] = []
    let at = rank
    while (at >= Math.max(1, copiesHere)) {
      at = parentOf(at, copiesHere)
      ancestors.push(ordered[at] ?? '')
    }
    if (copiesHere === 0) ancestors.push(...this._headAncestors(zoneRank, chunk, chunkDigest))
    const next = copiesHere === 0 ? this._ordered(0, chunk, chunkDigest) : ordered.slice(0, rank)
    const substitutes = next.slice(1, 1 + SUBSTITUTES).filter(instance => !ancestors.includes(instance))
    return { ancestors, substitutes, rank }
  }

  /** The members of the asking member's own zone other than itself, for detours. */
  neighbours (): readonly string[] {
    return (this._rings[this._ownRing] ?? []).filter(instance => instance !== this.self.instance)
  }

  /** Zones take turns in being the first, chunk by chunk. */
  private _zoneRank (ring: number, chunk: number): number {
    const count = this._rings.length
    return (ring + count - (this.strategy === 'tree' ? 0 : chunk % count)) % count
  }

  /** Origin copies are dealt to the zones in turn, the first zones of a chunk first. */
  private _copiesInZone (zoneRank: number): number {
    const count = this._rings.length
    const even = Math.floor(this.originCopies / count)
    return even + (zoneRank < this.originCopies % count ? 1 : 0)
  }

  /** The heads of the zones before this one, up to a zone that reads from the origin. */
  private _headAncestors (zoneRank: number, chunk: number, chunkDigest: string): string[] {
    const heads: string[] = []
    let at = zoneRank
    while (this._copiesInZone(at) === 0) {
      at = Math.floor((at - 1) / FAN_OUT)
      heads.push(this._head(at, chunk, chunkDigest))
    }
    return heads
  }

  private _head (zoneRank: number, chunk: number, chunkDigest: string): string {
    return this._ordered(zoneRank, chunk, chunkDigest)[0] ?? ''
  }

  /** The members of the zone that has a rank among the zones, in the order of one chunk. */
  private _ordered (zoneRank: number, chunk: number, chunkDigest: string): readonly string[] {
    const count = this._rings.length
    const ring = (zoneRank + (this.strategy === 'tree' ? 0 : chunk % count)) % count
    return orderers[this.strategy](this._rings[ring] ?? [], chunk, chunkDigest)
  }
}

/** The parent in a forest of `roots` complete trees laid out level by level. */
function parentOf (rank: number, roots: number): number {
  return Math.floor((rank - Math.max(1, roots)) / FAN_OUT)
}

/**
 * A number in [0, 1) that is the same for one member and subject everywhere: deterministic jitter.
 *
 * @example
 * const delay = 1_000 * jitterOf('agent-3', 'service-read')
 */
export function jitterOf (member: string, subject: string): number {
  return hash32(member, hash32(subject)) / 2 ** 32
}
