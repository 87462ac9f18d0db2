/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Announces the chunks that this agent holds to its followers, and follows the chunks held by peers that it may fetch from.
 */
import { ChunkAssignment, failureOf, hash32, type ChunkMember } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerConnection, Responder } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'
import { runPeriodically, type PeriodicTask } from '../periodic-tasks.js'

/** Interval between checks for chunks to announce, in milliseconds; chunks received within it are announced together. */
const ANNOUNCE_INTERVAL = 60
/**
 * A follower receives the next announcement after this many new chunks, or after this many milliseconds. With one message per chunk,
 * each of 56 agents sends and receives 570 such messages a second during a transfer, which is three quarters of its work. A peer that
 * knows of a few chunks can fetch those in the meantime.
 */
const ANNOUNCE_BATCH = 4
const MAX_ANNOUNCE_DELAY = 240
/** Delay before the next attempt to follow an unreachable peer, in milliseconds. */
const RETRY_DELAY = 400
/**
 * Limits on the peers that one agent follows, in its own zone and in each other zone. They bound the number of messages in a large
 * fleet. In other zones, the members that fetch from the origin the chunks that this agent fetches into its zone are preferred.
 */
const MAX_PEERS_IN_OWN_ZONE = 12
const MAX_READERS_PER_OTHER_ZONE = 6
const MIN_PEERS_PER_OTHER_ZONE = 3

interface Follower {
  readonly responder: Responder
  readonly identity: string
  readonly announced: Set<number>
  /** Chunks announced as held by another member. */
  readonly announcedElsewhere: Set<number>
  announcedAt: number
  /** The manifest that was announced as verified. */
  verified: string | undefined
}

/** The indexes of a version's chunks that are held by an agent and by others. */
export interface KnownChunks {
  readonly held: readonly number[]
  /** Known to be held by another member. */
  readonly elsewhere: readonly number[]
  /** The digest of the manifest, if the agent holds all of its chunks; `undefined` if not. */
  readonly verified?: string | undefined
}

/** The chunks known to the publishing agent. */
export interface OwnChunks extends KnownChunks {
  /** Whether the information is final; `false` by default. */
  readonly settled?: boolean
}

/** Maximum number of versions followed over one connection: the staged one, the next one, and one that is being replaced. */
const MAX_VERSIONS_PER_CONNECTION = 3

/**
 * Announces to followers which chunks this agent holds, and which it knows other members to hold. In a large zone an agent
 * follows only some of the others; without the second-hand information, several agents fetch the same chunks from the origin
 * instead of chunks that no member has yet.
 */
export class HoldingsPublisher {
  /** The followers of each connection, oldest first. */
  private readonly _followers = new Map<PeerConnection, readonly Follower[]>()
  /** Set only while there may be chunks to announce, so that agents without a transfer do not wake up 16 times a second. */
  private _announcements: PeriodicTask | undefined

  /**
   * @param _known Returns the known chunks of a version.
   */
  constructor (private readonly _known: (identity: string) => OwnChunks) {}

  close (): void { this._announcements?.close() }

  /** Adds a follower, and replaces an earlier one of the same version on the same connection. */
  follow (identity: string, responder: Responder): void {
    const { connection } = responder
    const known = this._followers.get(connection)
    const follower = { responder, identity, announced: new Set<number>(), announcedElsewhere: new Set<number>(), announcedAt: -Infinity, verified: undefined }
    const others = (known ?? []).filter(other => other.identity !== identity)
    this._followers.set(connection, [...others, follower].slice(-MAX_VERSIONS_PER_CONNECTION))
    if (known === undefined) connection.onEnd(() => { this._removeFollower(connection) })
    this.resume()
    this._announce(follower, this._known(identity))
  }

  /** Resumes announcements, since chunks are in transfer. */
  resume (): void {
    if (this._followers.size > 0) this._announcements ??= runPeriodically(() => this._announceAll(), ANNOUNCE_INTERVAL)
  }

  private _removeFollower (connection: PeerConnection): void {
    this._followers.delete(connection)
    if (this._followers.size === 0) this._stopAnnouncements()
  }

  private _stopAnnouncements (): void {
    this._announcements?.close()
    this._announcements = undefined
  }

  /** Announces chunks to all followers; computes the known chunks once per version. */
  private _announceAll (): void {
    const knownByIdentity = new Map<string, OwnChunks>()
    for (const follower of [...this._followers.values()].flat()) {
      const known = knownByIdentity.get(follower.identity) ?? this._known(follower.identity)
      knownByIdentity.set(follower.identity, known)
      this._announce(follower, known)
    }
    if ([...knownByIdentity.values()].every(({ settled }) => settled === true)) this._stopAnnouncements()
  }

  private _announce (follower: Follower, known: OwnChunks): void {
    const { responder, identity, announced, announcedElsewhere } = follower
    const held = known.held.filter(index => !announced.has(index))
    const now = performance.now()
    if (known.settled !== true && held.length < ANNOUNCE_BATCH && now - follower.announcedAt < MAX_ANNOUNCE_DELAY) return
    for (const index of held) announced.add(index)
    const elsewhere = known.elsewhere.filter(index => !announced.has(index) && !announcedElsewhere.has(index))
    for (const index of elsewhere) announcedElsewhere.add(index)
    const { verified } = known
    if (held.length + elsewhere.length === 0 && verified === follower.verified) return
    follower.announcedAt = now
    follower.verified = verified
    responder.send({ type: 'chunks', identity, held, elsewhere, ...(verified === undefined ? {} : { verified }) })
  }
}

/** Receives the events of a {@link HoldingsFollower}. */
export interface HoldingsListener {
  joined (peer: string): void
  holds (peer: string, chunks: KnownChunks): void
  lost (peer: string): void
}

interface FollowedPeer {
  identity: string
  connecting: boolean
  connection: PeerConnection | undefined
  call: number
  retryAt: number
}

/** Follows which chunks of one version are held by peers. */
export class HoldingsFollower {
  private readonly _followed = new Map<string, FollowedPeer>()
  private readonly _ticks: PeriodicTask
  private _identity = ''

  constructor (private readonly _self: ChunkMember, private readonly _pool: PeerPool, private readonly _log: Log, private readonly _listener: HoldingsListener) {
    this._ticks = runPeriodically(() => { this._tick() }, RETRY_DELAY / 2)
  }

  close (): void { this._ticks.close() }

  /**
   * Sets the version to follow, empty for none, and the members to select peers from.
   *
   * @param chunks Number of chunks of the version.
   */
  follow (identity: string, members: readonly ChunkMember[], chunks: number): void {
    this._identity = identity
    const chosen = new Set(identity === '' ? [] : peersToFollow(this._self, members, chunks))
    for (const peer of this._followed.keys()) if (!chosen.has(peer)) this._followed.delete(peer)
    for (const peer of chosen) {
      const known = this._followed.get(peer)
      if (known === undefined) this._followed.set(peer, { identity: '', connecting: false, connection: undefined, call: 0, retryAt: 0 })
      else if (known.identity !== identity) known.retryAt = 0
    }
    this._tick()
  }

  private _tick (): void {
    const now = performance.now()
    for (const [peer, followed] of this._followed) {
      const current = followed.connection?.open === true && followed.identity === this._identity
      if (!current && !followed.connecting && now >= followed.retryAt) this._subscribe(peer, followed, this._identity)
    }
  }

  private async _subscribe (peer: string, followed: FollowedPeer, identity: string): Promise<void> {
    followed.connecting = true
    try {
      const connection = await this._pool.connection(peer)
      if (followed.connection === connection) connection.forget(followed.call)
      this._listener.joined(peer)
      followed.connection = connection
      followed.identity = identity
      followed.call = connection.ask({ type: 'follow-chunks', identity }, undefined, {
        reply: reply => { if (reply.type === 'chunks' && reply.identity === this._identity) this._listener.holds(peer, reply) },
        lost: () => this._onDisconnected(peer, followed)
      })
    } catch (error) {
      this._log.debug('peer-silent', { address: peer, reason: failureOf(error).type })
      this._onDisconnected(peer, followed)
    } finally {
      followed.connecting = false
    }
  }

  private _onDisconnected (peer: string, followed: FollowedPeer): void {
    followed.connection = undefined
    followed.retryAt = performance.now() + RETRY_DELAY
    this._listener.lost(peer)
  }
}

/**
 * Returns the peers that a member fetches from: all of a small fleet, or a bounded sample of a large one.
 *
 * @param chunks Number of chunks of the version.
 * @example
 * const peers = peersToFollow(self, members, 64)
 */
export function peersToFollow (self: ChunkMember, members: readonly ChunkMember[], chunks: number): string[] {
  const places = new ChunkAssignment(self, members)
  const readers = new Set(Array.from({ length: chunks }, (_, chunk) => chunk).filter(chunk => places.ranks(chunk).inZone === 0).map(chunk => places.originReader(chunk)))
  const zones = new Map<string, string[]>()
  for (const { instance, availabilityZone } of members) {
    if (instance === self.instance) continue
    const zone = zones.get(availabilityZone) ?? []
    zone.push(instance)
    zones.set(availabilityZone, zone)
  }
  return [...zones].flatMap(([zone, instances]) => {
    const ranked = [...instances].sort((left, right) => hash32(`${self.instance} ${left}`) - hash32(`${self.instance} ${right}`))
    return zone === self.availabilityZone ? peersInOwnZone(ranked, places.predecessor) : peersInOtherZone(ranked, readers)
  })
}

function peersInOwnZone (ranked: readonly string[], predecessor: string): string[] {
  const others = ranked.filter(instance => instance !== predecessor)
  return [...ranked.filter(instance => instance === predecessor), ...others].slice(0, MAX_PEERS_IN_OWN_ZONE)
}

function peersInOtherZone (ranked: readonly string[], readers: ReadonlySet<string>): string[] {
  const first = ranked.filter(instance => readers.has(instance)).slice(0, MAX_READERS_PER_OTHER_ZONE)
  const others = ranked.filter(instance => !readers.has(instance))
  return [...first, ...others.slice(0, Math.max(0, MIN_PEERS_PER_OTHER_ZONE - first.length))]
}
