/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Fetches the manifest of a version from the member's parent in a tree over all members of the pool, or from the platform. */
import { failureOf, rendezvousOrder, type ChunkMember, type WeightsFailure } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerPool } from '../peer/pool.js'
import type { Upstream, WeightsSource } from '../platform/platform-client.js'
import { digestOfText } from './digest.js'

/** What a manifest source uses. */
export interface ManifestSourceDependencies {
  readonly self: ChunkMember
  /** The members of the same pool. */
  readonly members: () => readonly ChunkMember[]
  readonly addressOf: (instance: string) => string | undefined
  readonly pool: PeerPool
  readonly platform: WeightsSource
  readonly log: Log
  /** Returns whether bytes are the manifest of an identity. */
  readonly matches: (identity: string, bytes: Buffer) => boolean
  /** The number of equal copies that the platform has to send: more than one if the identity does not tell whether a copy is corrupted. */
  readonly copies: number
  /** Called if the platform returns no manifest, or one that does not match. */
  readonly onProblem: (problem: WeightsFailure) => void
}

/** The number of members that request a manifest from the same parent. */
const FAN_OUT = 8
/**
 * How long a peer may wait until it receives the manifest itself, and the timeout of the request to it, in milliseconds.
 * After the timeout, a member whose parent is unreachable requests the manifest from the platform.
 */
const PEER_WAIT = 400
const PEER_TIMEOUT = 700
/** Bounds the copies that are remembered. */
const MAX_RECORDED_COPIES = 16
/** The largest number of copies that one call requests from the platform. */
const MAX_COPIES = 3
/** The timeout of a request to the platform, in milliseconds. */
const PLATFORM_TIMEOUT = 1_000
/**
 * The delay per rank before a member requests a manifest that its parent does not have from the platform, and the longest
 * such delay, in milliseconds.
 */
const STAGGER_PER_RANK = 20
const MAX_STAGGER = 5_000

/** Fetches manifests for one member. */
export class ManifestSource {
  /** The digests of the copies that the platform sent for an identity. */
  private _copies: { readonly identity: string, readonly digests: string[] } = { identity: '', digests: [] }

  constructor (private readonly _dependencies: ManifestSourceDependencies) {}

  /**
   * Requests a manifest from the member's parent, then, delayed by rank, from the platform.
   *
   * @param elapsed Milliseconds since the first attempt to fetch this manifest.
   * @returns `undefined` if neither returned it; the caller may retry.
   * @example
   * const bytes = await source.fetch('drafting@2', 0)
   */
  async fetch (identity: string, elapsed: number): Promise<Buffer | undefined> {
    const { self, members } = this._dependencies
    const names = [...new Set([self.instance, ...members().map(({ instance }) => instance)])]
    const order = rendezvousOrder(names, identity)
    const rank = order.indexOf(self.instance)
    const parent = rank > 0 ? order[Math.floor((rank - 1) / FAN_OUT)] : undefined
    const fromPeer = parent === undefined ? undefined : await this.fetchFrom(parent, identity)
    if (fromPeer !== undefined) return fromPeer
    if (elapsed < Math.min(MAX_STAGGER, rank * STAGGER_PER_RANK)) return undefined
    return await this._fromPlatform(identity)
  }

  /** Requests a manifest from one member. Returns `undefined` if it does not return one that matches. */
  async fetchFrom (instance: string, identity: string): Promise<Buffer | undefined> {
    const address = this._dependencies.addressOf(instance)
    if (address === undefined) return undefined
    try {
      const { reply, payload } = await this._dependencies.pool.call(address, { type: 'manifest', digest: identity, wait: PEER_WAIT }, { timeout: PEER_TIMEOUT })
      return reply.type === 'manifest' && this._dependencies.matches(identity, payload) ? payload : undefined
    } catch (error) {
      this._dependencies.log.debug('peer-silent', { address, reason: failureOf(error).type })
      return undefined
    }
  }

  private async _fromPlatform (identity: string): Promise<Buffer | undefined> {
    for (const upstream of ['origin', 'store'] as const) {
      const bytes = await this._confirmedFrom(upstream, identity)
      if (bytes !== undefined) return bytes
    }
    this._dependencies.onProblem({ type: 'weights-failure', reason: 'unavailable', detail: `no source has manifest ${identity.slice(0, 12)}` })
    return undefined
  }

  /** Requests a manifest until enough copies are equal, those of earlier calls included. */
  private async _confirmedFrom (upstream: Upstream, identity: string): Promise<Buffer | undefined> {
    const { platform, matches, copies, onProblem } = this._dependencies
    for (let copy = 0; copy < Math.max(copies, MAX_COPIES); copy += 1) {
      const bytes = await platform.weights(upstream, 'manifests', identity, PLATFORM_TIMEOUT)
      if (bytes === undefined) return undefined
      if (!matches(identity, bytes)) {
        onProblem({ type: 'weights-failure', reason: 'digest-mismatch', detail: `the manifest from the ${upstream} does not match its identity` })
        return undefined
      }
      if (this._recordCopy(identity, bytes) >= copies) return bytes
    }
    onProblem({ type: 'weights-failure', reason: 'digest-mismatch', detail: `the copies of the manifest from the ${upstream} differ` })
    return undefined
  }

  /** Returns how many equal copies have been received, this one included. */
  private _recordCopy (identity: string, bytes: Buffer): number {
    if (this._copies.identity !== identity) this._copies = { identity, digests: [] }
    const digest = digestOfText(bytes)
    const { digests } = this._copies
    digests.push(digest)
    if (digests.length > MAX_RECORDED_COPIES) digests.shift()
    return digests.filter(known => known === digest).length
  }
}
