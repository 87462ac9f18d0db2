/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The transfer of one version to this instance: stores its chunks, follows which peers hold them, and runs the swarm that
 * fetches them.
 */
import { ChunkSwarm, defaultSwarmPolicy, switchPosition, type ChunkMember, type CohortPolicy, type Manifest, type PublishedVersion, type SwarmLimit, type SwitchCohort, type SwitchPosition } from '@drumdrift/core'
import type { ChunkStore } from '../agent/chunk-store.js'
import type { ChunkDigest } from '../agent/digest.js'
import type { ChunkStaging } from '../agent/engine-client.js'
import { WeightsKeeper } from '../agent/weights-keeper.js'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import type { WeightsSource } from '../platform/platform-client.js'
import { HoldingsFollower } from './chunk-holdings.js'

/** Dependencies and settings shared by all transfers of one agent. */
export interface VersionTransferDependencies {
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
  /** The time that the origin takes to send one copy, in milliseconds. */
  readonly originCopyTime: (manifest: Manifest) => number
  /** Called when a version becomes complete. */
  readonly onWhole: () => void
  /** Divides engines between two versions that are published close together; absent if all take the same steps. */
  readonly overlap?: VersionOverlap | undefined
}

/** What the division of engines between two versions depends on. */
export interface VersionOverlap {
  readonly published: (model: string) => readonly PublishedVersion[]
  /** Returns the policy for versions of a size in bytes. */
  readonly policy: (bytes: number) => CohortPolicy
}

/** Number of members that fetch each chunk from the origin. */
const ORIGIN_COPIES = 1
/** Share of a version that must be held before the pace of its transfer tells when it will be complete. */
const MIN_PACE_PROGRESS = 0.2
/** The limit of a transfer that may send no requests. */
const NO_REQUESTS: SwarmLimit = { peers: 0, origin: 0 }

/** Transfers versions, one after the other, to one staging area. */
export class VersionTransfer {
  private readonly _keeper: WeightsKeeper
  private readonly _holdings: HoldingsFollower
  private _swarm: ChunkSwarm | undefined
  private _limit: SwarmLimit | undefined
  private _readers: ReadonlySet<string> | undefined
  private _following = false
  private _namedAt: number | undefined
  /** When the version was first known to be complete at a member of this zone. */
  private _firstWholeInZoneAt: number | undefined

  /**
   * @param _staging The staging area for the chunks.
   * @param store The chunk store on top of that staging area.
   * @param _capacity Capacity of the staging area in bytes; a larger version is not fetched.
   */
  constructor (private readonly _dependencies: VersionTransferDependencies, private readonly _staging: ChunkStaging, readonly store: ChunkStore, private readonly _capacity = Infinity) {
    this._holdings = new HoldingsFollower(_dependencies.self, _dependencies.pool, _dependencies.log, {
      joined: peer => this._swarm?.peerJoined(peer),
      holds: (peer, { held, elsewhere, verified }) => {
        if (verified !== undefined) this._keeper.compareWithVerified(peer, verified)
        this._swarm?.peerHolds(peer, held)
        this._swarm?.peerReports(elsewhere, performance.now())
        this._detectFirstWholeInZone()
      },
      lost: peer => this._swarm?.peerLost(peer)
    })
    this._keeper = this._newKeeper()
  }

  /** The identity of the version in transfer or staged; empty for none. */
  get identity (): string { return this._keeper.wanted }
  /** Whether the version is complete and verified. */
  get whole (): boolean { return this.identity !== '' && this._keeper.completeDigest === this.identity }
  /** See `WeightsKeeper.verifiedManifest`. */
  get verifiedManifest (): string | undefined { return this._keeper.verifiedManifest }
  /** The share of the version's chunks held by this instance, 0 to 1. */
  get progress (): number { return this._keeper.progress }
  /** The share of the version's chunks held by this instance or a peer, 0 to 1; 0 while the manifest is unknown. */
  get known (): number { return this._keeper.currentManifest === undefined ? 0 : this._swarm?.availableShare ?? 0 }
  /** Bytes not yet received; 0 while the manifest is unknown. */
  get missingBytes (): number { return (1 - this.progress) * (this._keeper.currentManifest?.bytes ?? 0) }
  /** When the last chunk was received, on this process's clock; -Infinity for never. */
  get lastChunkAt (): number { return this._swarm?.lastChunkAt ?? -Infinity }

  close (): void {
    this._keeper.close()
    this._holdings.close()
  }

  /**
   * Sets the version to fetch; empty for none.
   *
   * @param namedAt When it was named, on this process's clock; `undefined` if unknown.
   */
  want (identity: string, namedAt?: number): void {
    if (identity === this.identity) return
    this._namedAt = namedAt
    this._swarm = undefined
    this._readers = undefined
    this._firstWholeInZoneAt = undefined
    this._keeper.want(identity, ORIGIN_COPIES)
    if (identity === '') this._follow('')
  }

  /** The version's chunks in order; none while the manifest is unknown. */
  get chunks (): Manifest['chunks'] { return this._keeper.currentManifest?.chunks ?? [] }

  /** The version's size in bytes; 0 while the manifest is unknown. */
  get bytes (): number { return this._keeper.currentManifest?.bytes ?? 0 }

  /** The share of the version's chunks that this instance or, by direct or indirect report, another member holds. */
  get heldByFleet (): number {
    const chunks = this.chunks.length
    return chunks === 0 ? 0 : new Set([...this.held(), ...this.elsewhere()]).size / chunks
  }

  /**
   * Estimates the milliseconds until the version is complete from the rate of the link, or from the pace of the transfer so far while
   * some chunks are not known at any peer. Returns `undefined` while too little has been received.
   *
   * @param bytesPerSecond Bandwidth of the link.
   */
  estimatedTimeToWhole (bytesPerSecond: number): number | undefined {
    if (this.whole) return 0
    const byLink = this.missingBytes / bytesPerSecond * 1000
    if (this.known === 1) return byLink
    if (this._namedAt === undefined || this.progress < MIN_PACE_PROGRESS) return undefined
    return Math.max(byLink, (performance.now() - this._namedAt) * (1 - this.progress) / this.progress)
  }

  /** Returns the position of this instance's engine in the switch order of a cohort. */
  turn ({ members, earliestAt, latestAt }: SwitchCohort): SwitchPosition {
    const firstCompleteAt = Math.max(earliestAt, this._firstWholeInZoneAt ?? performance.now())
    return { ...switchPosition(this._dependencies.self, members, this.identity), firstCompleteAt, latestAt }
  }

  /** Restricts the members that chunks are assigned to; `undefined` for all. */
  setReaders (instances: ReadonlySet<string> | undefined): void {
    this._readers = instances
    this._swarm?.setReaders(instances)
  }

  /** Stops following peers, since the engine serves the version. */
  stopFollowing (): void {
    if (this._following) this._follow('')
  }

  /** Applies a change of the member list. */
  membersChanged (): void {
    this._keeper.updateMembers()
    if (this._following && this._keeper.currentManifest !== undefined) this._follow(this.identity)
  }

  /** Limits the requests in flight in favour of another transfer; `undefined` restores the default limits. */
  limit (limit: SwarmLimit | undefined): void {
    this._limit = limit
    this._applyLimit()
  }

  /** Returns the indexes of the version's chunks that this instance holds. */
  held (): number[] {
    return this.chunks.flatMap(({ digest }, index) => this.store.staged.has(digest) ? [index] : [])
  }

  /** Returns the indexes of chunks known to be held by other members. */
  elsewhere (): number[] { return this._swarm?.elsewhere(performance.now()) ?? [] }

  /** Whether a chunk belongs, or may belong, to the version. */
  expects (digest: string): boolean { return this._keeper.expects(digest) }

  /** See `WeightsKeeper.manifest`. */
  manifest (identity: string, wait: number): Promise<Buffer | undefined> { return this._keeper.manifest(identity, wait) }

  /** See `WeightsKeeper.confirmComplete`. */
  confirmWhole (): Promise<boolean> { return this._keeper.confirmComplete() }

  private _newKeeper (): WeightsKeeper {
    const { self, largestBytes, source, pool, log, counters, members, chunkDigest, manifestMatches } = this._dependencies
    return new WeightsKeeper({
      self,
      newTransfer: ({ members, identity, manifest, held }) => this._newSwarm(members, identity, manifest, held),
      maxBytes: largestBytes,
      platform: source,
      pool,
      engine: this._staging,
      store: this.store,
      log,
      counters,
      members,
      addressOf: instance => instance,
      onComplete: () => {
        this._firstWholeInZoneAt ??= performance.now()
        this._dependencies.onWhole()
      },
      chunkDigest,
      manifestMatches
    })
  }

  private _detectFirstWholeInZone (): void {
    if (this._firstWholeInZoneAt !== undefined) return
    const { self, members } = this._dependencies
    const whole = this._swarm?.completePeers ?? []
    const wholeInZone = members().some(({ instance, availabilityZone }) => availabilityZone === self.availabilityZone && whole.includes(instance))
    if (wholeInZone) this._firstWholeInZoneAt = performance.now()
  }

  private _follow (identity: string): void {
    this._following = identity !== ''
    this._holdings.follow(identity, identity === '' ? [] : this._dependencies.members(), this.chunks.length)
  }

  /**
   * Creates the swarm of a version. Its peers are followed until the engine serves the version, since the available chunks and
   * later the switch order depend on them.
   */
  private _newSwarm (members: readonly ChunkMember[], identity: string, manifest: Manifest, held: ReadonlySet<string>): ChunkSwarm {
    const policy = { ...defaultSwarmPolicy, originCopyTime: this._dependencies.originCopyTime(manifest) }
    const swarm = new ChunkSwarm(this._dependencies.self, members, identity, manifest, held, Math.random, policy)
    this._swarm = swarm
    if (this._namedAt !== undefined) swarm.setPublishedAt(this._namedAt)
    if (this._readers !== undefined) swarm.setReaders(this._readers)
    this._applyLimit()
    // Peers send a follower only changes, so the subscription is renewed to make them send this swarm all held chunks.
    this._follow('')
    this._follow(identity)
    return swarm
  }

  private _applyLimit (): void {
    const tooLarge = (this._keeper.currentManifest?.bytes ?? 0) > this._capacity
    this._swarm?.limit(tooLarge ? NO_REQUESTS : this._limit)
  }
}
