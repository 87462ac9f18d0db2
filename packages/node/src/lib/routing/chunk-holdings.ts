/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Announces the chunks that this agent holds to its followers, and follows the chunks held by peers that it may fetch from.
 */
import { ChunkPlaces, failureOf, hash32, type ChunkMember } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerConnection, Responder } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'

/** Interval between checks for chunks to announce, in milliseconds; chunks received within it are announced together. */
const TELL_PAUSE = 60
/**
 * A follower receives the next announcement after this many new chunks, or after this many milliseconds. With one message per chunk,
 * each of 56 agents sends and receives 570 such messages a second during a transfer, which is three quarters of its work. A peer that
 * knows of a few chunks can fetch those in the meantime.
 */
const ENOUGH_CHUNKS = 4
const LONGEST_TELL_PAUSE = 240
/** Delay before the next attempt to follow an unreachable peer, in milliseconds. */
const RETRY_PAUSE = 400
/**
 * Limits on the peers that one agent follows, in its own zone and in each other zone. They bound the number of messages in a large
 * fleet. In other zones, the members that fetch from the origin the chunks that this agent fetches into its zone are preferred.
 */
const MOST_NEAR = 12
const MOST_READERS_IN_OTHER_ZONE = 6
const LEAST_IN_OTHER_ZONE = 3

interface Follower {
  readonly responder: Responder
  readonly identity: string
  readonly told: Set<number>
  /** Chunks announced as held by another member. */
  readonly toldElsewhere: Set<number>
  toldAt: number
}

/** The indexes of a version's chunks that are held by an agent and by others. */
export interface KnownChunks {
  readonly held: readonly number[]
  /** Known to be held by another member. */
  readonly elsewhere: readonly number[]
}

/** The chunks known to the publishing agent. */
export interface OwnChunks extends KnownChunks {
  /** Whether the information is final; `false` by default. */
  readonly settled?: boolean
}

/** Maximum number of versions followed over one connection: the staged one, the next one, and the one before a change. */
const MOST_FOLLOWED = 3

/**
 * Announces to followers which chunks this agent holds, and which it knows other members to hold. In a large zone an agent
 * follows only some of the others; without the second-hand information, several agents fetch the same chunks from the origin
 * instead of chunks that no member has yet.
 */
export class HoldingsPublisher {
  /** The followers of each connection, oldest first. */
  private readonly _followers = new Map<PeerConnection, readonly Follower[]>()
  /** Set only while there may be chunks to announce, so that agents without a transfer do not wake up 16 times a second. */
  private _timer: NodeJS.Timeout | undefined

  /**
   * @param _known Returns the known chunks of a version.
   */
  constructor (private readonly _known: (identity: string) => OwnChunks) {}

  close (): void { clearInterval(this._timer) }

  /** Adds a follower, and replaces an earlier one of the same version on the same connection. */
  follow (identity: string, responder: Responder): void {
    const { connection } = responder
    const known = this._followers.get(connection)
    const follower = { responder, identity, told: new Set<number>(), toldElsewhere: new Set<number>(), toldAt: -Infinity }
    const others = (known ?? []).filter(other => other.identity !== identity)
    this._followers.set(connection, [...others, follower].slice(-MOST_FOLLOWED))
    if (known === undefined) connection.onEnd(() => { this._left(connection) })
    this.wake()
    this._tell(follower, this._known(identity))
  }

  /** Resumes announcements, since chunks are in transfer. */
  wake (): void {
    if (this._followers.size > 0) this._timer ??= setInterval(() => this._tellAll(), TELL_PAUSE)
  }

  private _left (connection: PeerConnection): void {
    this._followers.delete(connection)
    if (this._followers.size === 0) this._rest()
  }

  private _rest (): void {
    clearInterval(this._timer)
    this._timer = undefined
  }

  /** Announces chunks to all followers; computes the known chunks once per version. */
  private _tellAll (): void {
    const knownOf = new Map<string, OwnChunks>()
    for (const follower of [...this._followers.values()].flat()) {
      const known = knownOf.get(follower.identity) ?? this._known(follower.identity)
      knownOf.set(follower.identity, known)
      this._tell(follower, known)
    }
    if ([...knownOf.values()].every(({ settled }) => settled === true)) this._rest()
  }

  private _tell (follower: Follower, known: OwnChunks): void {
    const { responder, identity, told, toldElsewhere } = follower
    const held = known.held.filter(index => !told.has(index))
    const now = performance.now()
    if (known.settled !== true && held.length < ENOUGH_CHUNKS && now - follower.toldAt < LONGEST_TELL_PAUSE) return
    for (const index of held) told.add(index)
    const elsewhere = known.elsewhere.filter(index => !told.has(index) && !toldElsewhere.has(index))
    for (const index of elsewhere) toldElsewhere.add(index)
    if (held.length + elsewhere.length === 0) return
    follower.toldAt = now
    responder.send({ type: 'chunks', identity, held, elsewhere })
  }
}

/** Receives the events of a {@link HoldingsFollower}. */
export interface HoldingsListener {
  joined (peer: string): void
  holds (peer: string, chunks: KnownChunks): void
  lost (peer: string): void
}

interface Followed {
  identity: string
  asking: boolean
  connection: PeerConnection | undefined
  call: number
  retryAt: number
}

/** Follows which chunks of one version are held by peers. */
export class HoldingsFollower {
  private readonly _followed = new Map<string, Followed>()
  private readonly _timer: NodeJS.Timeout
  private _identity = ''

  constructor (private readonly _self: ChunkMember, private readonly _pool: PeerPool, private readonly _log: Log, private readonly _listener: HoldingsListener) {
    this._timer = setInterval(() => { this._tick() }, RETRY_PAUSE / 2)
  }

  close (): void { clearInterval(this._timer) }

  /**
   * Sets the version to follow, empty for none, and the members to select peers from.
   *
   * @param chunks Number of chunks of the version.
   */
  follow (identity: string, members: readonly ChunkMember[], chunks: number): void {
    this._identity = identity
    const chosen = new Set(identity === '' ? [] : neighboursOf(this._self, members, chunks))
    for (const peer of this._followed.keys()) if (!chosen.has(peer)) this._followed.delete(peer)
    for (const peer of chosen) {
      const known = this._followed.get(peer)
      if (known === undefined) this._followed.set(peer, { identity: '', asking: false, connection: undefined, call: 0, retryAt: 0 })
      else if (known.identity !== identity) known.retryAt = 0
    }
    this._tick()
  }

  private _tick (): void {
    const now = performance.now()
    for (const [peer, followed] of this._followed) {
      const current = followed.connection?.open === true && followed.identity === this._identity
      if (!current && !followed.asking && now >= followed.retryAt) this._ask(peer, followed, this._identity)
    }
  }

  private async _ask (peer: string, followed: Followed, identity: string): Promise<void> {
    followed.asking = true
    try {
      const connection = await this._pool.connection(peer)
      if (followed.connection === connection) connection.forget(followed.call)
      this._listener.joined(peer)
      followed.connection = connection
      followed.identity = identity
      followed.call = connection.ask({ type: 'follow-chunks', identity }, undefined, {
        reply: reply => { if (reply.type === 'chunks' && reply.identity === this._identity) this._listener.holds(peer, reply) },
        lost: () => this._lost(peer, followed)
      })
    } catch (error) {
      this._log.debug('peer-silent', { address: peer, reason: failureOf(error).type })
      this._lost(peer, followed)
    } finally {
      followed.asking = false
    }
  }

  private _lost (peer: string, followed: Followed): void {
    followed.connection = undefined
    followed.retryAt = performance.now() + RETRY_PAUSE
    this._listener.lost(peer)
  }
}

/**
 * Returns the peers that a member fetches from: all of a small fleet, or a bounded sample of a large one.
 *
 * @param chunks Number of chunks of the version.
 * @example
 * const peers = neighboursOf(self, members, 64)
 */
export function neighboursOf (self: ChunkMember, members: readonly ChunkMember[], chunks: number): string[] {
  const places = new ChunkPlaces(self, members)
  const readers = new Set(Array.from({ length: chunks }, (_, chunk) => chunk).filter(chunk => places.turn(chunk).inZone === 0).map(chunk => places.reader(chunk)))
  const zones = new Map<string, string[]>()
  for (const { instance, availabilityZone } of members) {
    if (instance === self.instance) continue
    const zone = zones.get(availabilityZone) ?? []
    zone.push(instance)
    zones.set(availabilityZone, zone)
  }
  return [...zones].flatMap(([zone, instances]) => {
    const ranked = [...instances].sort((left, right) => hash32(`${self.instance} ${left}`) - hash32(`${self.instance} ${right}`))
    return zone === self.availabilityZone ? nearPeers(ranked, places.predecessor) : farPeers(ranked, readers)
  })
}

function nearPeers (ranked: readonly string[], predecessor: string): string[] {
  const others = ranked.filter(instance => instance !== predecessor)
  return [...ranked.filter(instance => instance === predecessor), ...others].slice(0, MOST_NEAR)
}

function farPeers (ranked: readonly string[], readers: ReadonlySet<string>): string[] {
  const first = ranked.filter(instance => readers.has(instance)).slice(0, MOST_READERS_IN_OTHER_ZONE)
  const others = ranked.filter(instance => !readers.has(instance))
  return [...first, ...others.slice(0, Math.max(0, LEAST_IN_OTHER_ZONE - first.length))]
}
