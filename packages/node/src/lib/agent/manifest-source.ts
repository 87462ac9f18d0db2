/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Where an agent gets the manifest of a version: from the member before it in a tree over all members, or the platform. */
import { failureOf, rendezvousOrder, type ChunkMember, type WeightsFailure } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerPool } from '../peer/pool.js'
import type { WeightsSource } from '../platform/platform-client.js'

/** What the source works with. */
export interface ManifestSourceParts {
  readonly self: ChunkMember
  /** Members of the same pool. */
  readonly members: () => readonly ChunkMember[]
  readonly addressOf: (instance: string) => string | undefined
  readonly pool: PeerPool
  readonly platform: WeightsSource
  readonly log: Log
  /** Whether bytes are the manifest of that identity. */
  readonly matches: (identity: string, bytes: Buffer) => boolean
  /** The platform gave none, or a wrong one. */
  readonly onProblem: (problem: WeightsFailure) => void
}

/** Members that take a manifest from one. */
const FAN_OUT = 8
/**
 * How long a peer may wait for a manifest itself before it says that it has none, and how long it may take to say so, in
 * milliseconds. A member whose parent cannot be reached asks the platform after that.
 */
const PEER_WAIT = 400
const PEER_TIMEOUT = 700
/** How long the platform may wait for a manifest itself, in milliseconds. */
const PLATFORM_WAIT = 1_000
/**
 * Added wait, for each rank, before the platform is asked for a manifest that peers did not have, and the longest, in
 * milliseconds.
 */
const STAGGER = 20
const LONGEST_STAGGER = 5_000

/** The sources of manifests for one member. */
export class ManifestSource {
  constructor (private readonly _parts: ManifestSourceParts) {}

  /**
   * Asks the member's parent, then, staggered by rank, the platform.
   *
   * @param waited Milliseconds since the manifest was first looked for.
   * @returns Nothing when none of them gave it; it may be asked for again.
   * @example
   * const bytes = await source.fetch('drafting@2', 0)
   */
  async fetch (identity: string, waited: number): Promise<Buffer | undefined> {
    const { self, members } = this._parts
    const names = [...new Set([self.instance, ...members().map(({ instance }) => instance)])]
    const order = rendezvousOrder(names, identity)
    const rank = order.indexOf(self.instance)
    const parent = rank > 0 ? order[Math.floor((rank - 1) / FAN_OUT)] : undefined
    const fromPeer = parent === undefined ? undefined : await this._fromPeer(parent, identity)
    if (fromPeer !== undefined) return fromPeer
    if (waited < Math.min(LONGEST_STAGGER, rank * STAGGER)) return undefined
    return await this._fromPlatform(identity)
  }

  private async _fromPeer (instance: string, identity: string): Promise<Buffer | undefined> {
    const address = this._parts.addressOf(instance)
    if (address === undefined) return undefined
    try {
      const { reply, payload } = await this._parts.pool.call(address, { type: 'manifest', digest: identity, wait: PEER_WAIT }, { timeout: PEER_TIMEOUT })
      return reply.type === 'manifest' && this._parts.matches(identity, payload) ? payload : undefined
    } catch (error) {
      this._parts.log.debug('peer-silent', { address, reason: failureOf(error).type })
      return undefined
    }
  }

  private async _fromPlatform (identity: string): Promise<Buffer | undefined> {
    for (const upstream of ['origin', 'store'] as const) {
      const bytes = await this._parts.platform.weights(upstream, 'manifests', identity, PLATFORM_WAIT)
      if (bytes !== undefined && this._parts.matches(identity, bytes)) return bytes
      if (bytes !== undefined) this._parts.onProblem({ type: 'weights-failure', reason: 'digest-mismatch', detail: `manifest from ${upstream}` })
    }
    this._parts.onProblem({ type: 'weights-failure', reason: 'unavailable', detail: `no one has manifest ${identity.slice(0, 12)}` })
    return undefined
  }
}
