/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Which chunks peers hold: tells followers of this agent, and follows those peers that this agent may pull from.
 */
import { ChunkPlaces, failureOf, hash32, type ChunkMember } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerConnection, Responder } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'

/** Chunks that came within this time are told together, in milliseconds. */
const TELL_PAUSE = 60
/**
 * A follower that was told something just now is told again once there are so many new chunks, or after so many milliseconds. Told of
 * each chunk by itself, 56 agents sent and heard 570 such messages a second each while a version came, three quarters of what they did.
 * A peer that knows of a few chunks has enough to ask for until then.
 */
const ENOUGH_CHUNKS = 4
const LONGEST_TELL_PAUSE = 240
/** Before a peer that could not be reached is followed again, in milliseconds. */
const RETRY_PAUSE = 400
/**
 * Peers that one agent follows, of its own zone and of each other one: bounds messages in a large fleet. Of other zones those
 * come first that read from the origin what this agent brings into its zone.
 */
const MOST_NEAR = 12
const MOST_READERS_IN_OTHER_ZONE = 6
const LEAST_IN_OTHER_ZONE = 3

interface Follower {
  readonly responder: Responder
  readonly identity: string
  readonly told: Set<number>
  /** Told as held by another member. */
  readonly toldElsewhere: Set<number>
  toldAt: number
}

/** What an agent knows of the chunks of one version, by their index. */
export interface KnownChunks {
  readonly held: readonly number[]
  /** Held by some other member, as far as is known. */
  readonly elsewhere: readonly number[]
}

/** The same, as the publisher asks for it. */
export interface OwnChunks extends KnownChunks {
  /** Nothing more will become known of the version; it may where this is left out. */
  readonly settled?: boolean
}

/** Versions that one connection follows at once: the staged one, the one ahead, and one that it just leaves. */
const MOST_FOLLOWED = 3

/**
 * Tells followers which chunks this agent holds, and of which it heard. In a large zone an agent follows some of the others
 * only; without hearsay several read the same chunks from the origin, in place of those that nobody had.
 */
export class HoldingsPublisher {
  /** The followers of each connection, the oldest first. */
  private readonly _followers = new Map<PeerConnection, readonly Follower[]>()
  /** Runs while there may be something to tell: agents that served their version woke 16 times a second for nothing. */
  private _timer: NodeJS.Timeout | undefined

  /**
   * @param _known What is known here of a version's chunks.
   */
  constructor (private readonly _known: (identity: string) => OwnChunks) {}

  close (): void { clearInterval(this._timer) }

  /** Adds a follower; it takes the place of an earlier one of the same version over the same connection. */
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

  /** Chunks are on their way again. */
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

  /** What is known of a version is worked out once for all that follow it. */
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

/** What the follower tells. */
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

/** Follows which chunks of one version peers hold. */
export class HoldingsFollower {
  private readonly _followed = new Map<string, Followed>()
  private readonly _timer: NodeJS.Timeout
  private _identity = ''

  constructor (private readonly _self: ChunkMember, private readonly _pool: PeerPool, private readonly _log: Log, private readonly _listener: HoldingsListener) {
    this._timer = setInterval(() => { this._tick() }, RETRY_PAUSE / 2)
  }

  close (): void { clearInterval(this._timer) }

  /**
   * Sets the version to ask for, empty for none, and the peers to ask.
   *
   * @param chunks How many chunks the version has.
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
 * The peers that a member pulls from: all of a small fleet, a bounded sample of a large one.
 *
 * @param chunks How many chunks the version has.
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
