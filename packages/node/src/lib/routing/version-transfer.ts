/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One version on its way to this instance: where its chunks are kept, which peers hold them, and the swarm that pulls
 * them.
 */
import { ChunkSwarm, defaultSwarmPolicy, switchPlace, type ChunkMember, type Manifest, type SwarmLimit, type SwitchTurn } from '@drumdrift/core'
import type { ChunkStore } from '../agent/chunk-store.js'
import type { ChunkDigest } from '../agent/digest.js'
import type { ChunkStaging } from '../agent/engine-client.js'
import { WeightsKeeper } from '../agent/weights-keeper.js'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import type { WeightsSource } from '../platform/platform-client.js'
import { HoldingsFollower } from './chunk-holdings.js'

/** What transfers of one agent share. */
export interface TransferParts {
  readonly self: ChunkMember
  readonly largestBytes: number
  readonly source: WeightsSource
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  /** Agents of the same pool. */
  readonly members: () => readonly ChunkMember[]
  readonly chunkDigest: ChunkDigest
  readonly manifestMatches: (identity: string, bytes: Buffer) => boolean
  /** The time that the origin takes for one copy, in milliseconds. */
  readonly originCopyTime: (manifest: Manifest) => number
  /** A version has just become whole. */
  readonly onWhole: () => void
}

/** Members that read each chunk from the origin. */
const ORIGIN_COPIES = 1
/** A transfer that is to ask for nothing. */
const NOTHING: SwarmLimit = { peers: 0, origin: 0 }

/** The transfer of one version after the other to one place. */
export class VersionTransfer {
  private readonly _weights: WeightsKeeper
  private readonly _holdings: HoldingsFollower
  private _swarm: ChunkSwarm | undefined
  private _limit: SwarmLimit | undefined
  private _following = false
  private _namedAt: number | undefined
  /** When the version was first whole at a member of this zone, as far as is known here. */
  private _zoneWholeAt: number | undefined

  /**
   * @param _staging Where chunks are kept.
   * @param store The same, with what this process remembers of them.
   * @param _capacity Bytes that fit there; a larger version is not fetched.
   */
  constructor (private readonly _parts: TransferParts, private readonly _staging: ChunkStaging, readonly store: ChunkStore, private readonly _capacity = Infinity) {
    this._holdings = new HoldingsFollower(_parts.self, _parts.pool, _parts.log, {
      joined: peer => this._swarm?.peerJoined(peer),
      holds: (peer, { held, elsewhere }) => {
        this._swarm?.peerHolds(peer, held)
        this._swarm?.heardOf(elsewhere, performance.now())
        this._noteZone()
      },
      lost: peer => this._swarm?.peerLost(peer)
    })
    this._weights = this._newWeights()
  }

  /** What is on its way, or staged; empty for nothing. */
  get identity (): string { return this._weights.wanted }
  /** Whether it is complete and verified. */
  get whole (): boolean { return this.identity !== '' && this._weights.wholeDigest === this.identity }
  /** The share of its chunks that are held here, 0 to 1. */
  get progress (): number { return this._weights.progress }
  /** The share of its chunks that are held here or by some peer, 0 to 1; 0 while its manifest is not known. */
  get known (): number { return this._weights.currentManifest === undefined ? 0 : this._swarm?.known ?? 0 }
  /** Bytes that are still to come; 0 while the manifest is not known. */
  get missingBytes (): number { return (1 - this.progress) * (this._weights.currentManifest?.bytes ?? 0) }
  /** When a chunk came last, by this process's clock; -Infinity for never. */
  get arrivedAt (): number { return this._swarm?.arrivedAt ?? -Infinity }

  close (): void {
    this._weights.close()
    this._holdings.close()
  }

  /**
   * Sets the version to be fetched; empty for none.
   *
   * @param namedAt When it was named, by this process's clock; nothing when that is not known.
   */
  want (identity: string, namedAt?: number): void {
    if (identity === this.identity) return
    this._namedAt = namedAt
    this._swarm = undefined
    this._zoneWholeAt = undefined
    this._weights.want(identity, ORIGIN_COPIES)
    if (identity === '') this._follow('')
  }

  /** The turn of this instance's engine among those of its zone that hold the version. */
  get turn (): SwitchTurn {
    const { self, members } = this._parts
    return { ...switchPlace(self, this._swarm?.wholePeers ?? [], members(), this.identity), since: this._zoneWholeAt ?? performance.now() }
  }

  /** The engine serves the version: nothing more need be known of peers. */
  settle (): void {
    if (this._following) this._follow('')
  }

  /** The list of peers has changed. */
  membersChanged (): void {
    this._weights.membersChanged()
    if (this._following && this._weights.currentManifest !== undefined) this._follow(this.identity)
  }

  /** Bounds what is asked for at once, so that another transfer has the links; nothing for the usual bounds. */
  limit (limit: SwarmLimit | undefined): void {
    this._limit = limit
    this._applyLimit()
  }

  /** The indexes of the version's chunks that are held here. */
  held (): number[] {
    return (this._weights.currentManifest?.chunks ?? []).flatMap(({ digest }, index) => this.store.staged.has(digest) ? [index] : [])
  }

  /** The indexes of chunks that other members hold, as far as is known here. */
  elsewhere (): number[] { return this._swarm?.elsewhere(performance.now()) ?? [] }

  /** Whether a chunk belongs to the version, or may. */
  expects (digest: string): boolean { return this._weights.expects(digest) }

  /** See `WeightsKeeper.manifest`. */
  manifest (identity: string, wait: number): Promise<Buffer | undefined> { return this._weights.manifest(identity, wait) }

  /** See `WeightsKeeper.confirmWhole`. */
  confirmWhole (): Promise<boolean> { return this._weights.confirmWhole() }

  private _newWeights (): WeightsKeeper {
    const { self, largestBytes, source, pool, log, counters, members, chunkDigest, manifestMatches } = this._parts
    return new WeightsKeeper({
      self,
      newTransfer: ({ members, identity, manifest, held }) => this._newSwarm(members, identity, manifest, held),
      largestBytes,
      platform: source,
      pool,
      engine: this._staging,
      store: this.store,
      log,
      counters,
      members,
      addressOf: instance => instance,
      onWhole: () => {
        this._zoneWholeAt ??= performance.now()
        this._parts.onWhole()
      },
      chunkDigest,
      manifestMatches
    })
  }

  private _noteZone (): void {
    if (this._zoneWholeAt !== undefined) return
    const { self, members } = this._parts
    const whole = this._swarm?.wholePeers ?? []
    const inZone = members().some(({ instance, availabilityZone }) => availabilityZone === self.availabilityZone && whole.includes(instance))
    if (inZone) this._zoneWholeAt = performance.now()
  }

  private _follow (identity: string): void {
    this._following = identity !== ''
    this._holdings.follow(identity, identity === '' ? [] : this._parts.members(), this._weights.currentManifest?.chunks.length ?? 0)
  }

  /** Peers are followed until the engine serves the version: their chunks, and then whose turn it is to switch, depend on them. */
  private _newSwarm (members: readonly ChunkMember[], identity: string, manifest: Manifest, held: ReadonlySet<string>): ChunkSwarm {
    const policy = { ...defaultSwarmPolicy, originCopyTime: this._parts.originCopyTime(manifest) }
    const swarm = new ChunkSwarm(this._parts.self, members, identity, manifest, held, Math.random, policy)
    this._swarm = swarm
    if (this._namedAt !== undefined) swarm.namedAt(this._namedAt)
    this._applyLimit()
    // Peers tell only what is new to a follower: followed anew, they tell this swarm all that they hold.
    this._follow('')
    this._follow(identity)
    return swarm
  }

  private _applyLimit (): void {
    const tooLarge = (this._weights.currentManifest?.bytes ?? 0) > this._capacity
    this._swarm?.limit(tooLarge ? NOTHING : this._limit)
  }
}
