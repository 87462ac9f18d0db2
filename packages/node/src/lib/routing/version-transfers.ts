/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The versions in transfer to one engine: one in the engine's staging memory, and a newer one that is buffered in this process
 * until it replaces the first. Without the second, naming a version while the previous one was in transfer, or not yet loaded
 * by all engines, would discard the previous one; if the origin was unavailable then, nothing could be served for seconds.
 */
import {
  directInstances, overlapStep, shouldFinish, switchCohort, type ModelVersion, type PublishedVersion, type StagedVersion, type SwitchCohort, type SwitchPosition
} from '@drumdrift/core'
import { ChunkStore } from '../agent/chunk-store.js'
import type { ChunkSource } from '../agent/chunk-server.js'
import type { ChunkStaging } from '../agent/engine-client.js'
import type { Log } from '../observe/log.js'
import type { OwnChunks } from './chunk-holdings.js'
import { MemoryStaging } from './memory-staging.js'
import { identityOf } from './ports.js'
import { VersionTransfer, type VersionTransferDependencies } from './version-transfer.js'

/** A wanted version. */
export interface NewestVersion extends ModelVersion {
  /** When some process first received it, by this process's clock; `undefined` if unknown. */
  readonly heardAt?: number | undefined
}

/** The engine's state, as used to decide which version is staged. */
export interface EngineView {
  /** The version that the engine serves; 0 for none. */
  readonly served: number
  /** Whether the engine is executing an order, or may take one, so that the staging memory must not change. */
  readonly ordering: boolean
  /** Whether new requests may still start on a version. */
  readonly mayBegin: (version: number) => boolean
}

/**
 * While the staged version makes progress, the next version has at most one chunk request in flight to peers, and one to the
 * origin once every chunk of the staged version is held by this instance or a peer.
 */
const NEXT_VERSION_PEER_REQUESTS = 1
/**
 * Share of the older version's chunks that must have left the origin for an engine to load it although a newer one is published.
 * Otherwise the origin, which is as slow as all agents together, would serve both versions at once.
 */
const MIN_HELD_BY_FLEET = 0.9
/** A transfer that receives no chunk for this time does not need the links to itself, in milliseconds: the time of several chunks. */
const STALL_TIMEOUT = 500

/** Manages the versions in transfer to one engine. */
export class VersionTransfers implements ChunkSource {
  private readonly _stagedTransfer: VersionTransfer
  private readonly _nextTransfer: VersionTransfer
  private readonly _memory: MemoryStaging
  private readonly _log: Log
  private _stagedVersion: NewestVersion | undefined
  private _nextVersion: NewestVersion | undefined
  private _replacing = false
  /** The version that the engine served when transfers were last evaluated. */
  private _served = 0
  /** The newest version named while another was moved to the staging memory. */
  private _pendingVersion: NewestVersion | undefined

  /**
   * @param engine The engine's staging memory.
   * @param memoryBytes Memory limit in bytes for chunks in this process, applied to the staged and the next version each.
   */
  constructor (private readonly _parts: VersionTransferDependencies, engine: ChunkStaging, memoryBytes: number) {
    this._log = _parts.log
    this._stagedTransfer = new VersionTransfer(_parts, engine, new ChunkStore(engine, memoryBytes))
    this._memory = new MemoryStaging(engine, memoryBytes)
    this._nextTransfer = new VersionTransfer(_parts, this._memory, new ChunkStore(this._memory, 0), memoryBytes)
  }

  /** The version in the staging memory, which the engine is to load next. */
  get target (): ModelVersion | undefined { return this._stagedVersion }
  /** The identity of the target if it is complete; empty otherwise. */
  get whole (): string { return this._stagedTransfer.whole ? this._stagedTransfer.identity : '' }
  /**
   * Estimates the milliseconds until the target is complete. Returns `undefined` unless every missing chunk is held by a peer.
   *
   * @param bytesPerSecond Bandwidth of the link.
   */
  timeToWhole (bytesPerSecond: number): number | undefined {
    if (this._stagedTransfer.whole) return 0
    return this._stagedTransfer.known < 1 ? undefined : this._stagedTransfer.missingBytes / bytesPerSecond * 1000
  }

  /** See `VersionTransfer.estimatedTimeToWhole`. */
  estimatedTimeToWhole (bytesPerSecond: number): number | undefined { return this._stagedTransfer.estimatedTimeToWhole(bytesPerSecond) }

  /** Whether a version is still incomplete. */
  get transferring (): boolean { return (this._stagedVersion !== undefined && !this._stagedTransfer.whole) || (this._nextVersion !== undefined && !this._nextTransfer.whole) }
  /** The engine's position in the order in which its zone switches to the target. */
  get turn (): SwitchPosition { return this._stagedTransfer.turn(this._cohort()) }
  /** Number of chunks in the engine's staging memory. */
  get stagedCount (): number { return this._stagedTransfer.store.staged.size }

  close (): void {
    this._stagedTransfer.close()
    this._nextTransfer.close()
  }

  /** Reads which chunks are already staged, for example by an earlier run of this process. */
  recover (): Promise<boolean> { return this._stagedTransfer.store.recover() }

  membersChanged (): void {
    this._stagedTransfer.membersChanged()
    this._nextTransfer.membersChanged()
    this._assignReaders()
  }

  /**
   * Sets the newest wanted version.
   *
   * @param served The version that the engine serves; 0 for none.
   * @param ordering See `EngineView`.
   */
  want (newest: NewestVersion, served: number, ordering: boolean): void {
    if (this._replacing) {
      this._pendingVersion = newest
      return
    }
    const identity = identityOf(newest)
    if (identity === this._stagedTransfer.identity || identity === this._nextTransfer.identity) return
    const staged = this._stagedView()
    const stepwise = staged !== undefined && this._isStepwise(staged, newest)
    const beside = staged !== undefined && (ordering || (served < staged.version && (shouldFinish(staged) || stepwise)))
    this._log.info('version-wanted', { model: newest.model, version: newest.version, staging: staged?.version, staged_progress: staged?.progress, staged_known: staged?.availableShare, beside, stepwise })
    if (stepwise) this._parts.counters.add('versions_stepwise')
    if (beside) {
      this._nextVersion = newest
      this._clearMemory()
      this._nextTransfer.want(identity, newest.heardAt)
    } else this._stage(newest)
    this._assignReaders()
  }

  /** Replaces the staged version by the next one if due, and divides the links between both. Must be called periodically. */
  async step ({ served, ordering, mayBegin }: EngineView, now: number): Promise<void> {
    this._served = served
    const [staged, next] = [this._stagedView(), this._nextVersion]
    if (staged !== undefined && staged.whole && served >= staged.version) this._stagedTransfer.stopFollowing()
    if (staged === undefined || next === undefined || this._replacing) return
    const progressing = !staged.whole && now - this._stagedTransfer.lastChunkAt < STALL_TIMEOUT
    this._nextTransfer.limit(progressing ? { peers: NEXT_VERSION_PEER_REQUESTS, origin: staged.availableShare < 1 || this._overlap() !== undefined ? 0 : 1 } : undefined)
    const step = overlapStep({ staged, newer: { version: next.version, whole: this._nextTransfer.whole }, served, ordering, mayBegin: mayBegin(staged.version) })
    if (step.type === 'wait') return
    this._log.info('version-takes-over', { model: next.model, version: next.version, before: staged.version, why: step.why, whole: this._nextTransfer.whole, served })
    await this._replaceStaged(next)
    this._assignReaders()
    const pending = this._pendingVersion
    this._pendingVersion = undefined
    if (pending !== undefined) this.want(pending, served, ordering)
  }

  /** Returns the indexes of a version's chunks that this instance holds. */
  held (identity: string): number[] {
    return this._transferOf(identity)?.held() ?? []
  }

  /** Returns which chunks of a version this instance and other members hold. */
  known (identity: string): OwnChunks {
    const transfer = this._transferOf(identity)
    return { held: this.held(identity), elsewhere: transfer?.elsewhere() ?? [], settled: transfer?.whole ?? true, verified: transfer?.verifiedManifest }
  }

  /** Returns a manifest for a peer, and waits for it if it is still in transfer. */
  manifest (identity: string, wait: number): Promise<Buffer | undefined> {
    return (this._transferOf(identity) ?? this._stagedTransfer).manifest(identity, wait)
  }

  /** Whether a chunk belongs, or may belong, to one of the versions. */
  expects (digest: string): boolean { return this._stagedTransfer.expects(digest) || this._nextTransfer.expects(digest) }

  has (digest: string): boolean { return this._stagedTransfer.store.has(digest) || this._nextTransfer.store.has(digest) }

  async get (digest: string): Promise<Buffer | undefined> {
    return await this._stagedTransfer.store.get(digest) ?? await this._nextTransfer.store.get(digest)
  }

  async waitFor (digest: string, wait: number): Promise<boolean> {
    return await Promise.race([this._stagedTransfer.store.waitFor(digest, wait), this._nextTransfer.store.waitFor(digest, wait)])
  }

  /** Verifies again that the staging memory holds the complete target. */
  confirmWhole (): Promise<boolean> { return this._stagedTransfer.confirmWhole() }

  private _stagedView (): StagedVersion | undefined {
    if (this._stagedVersion === undefined) return undefined
    return { version: this._stagedVersion.version, whole: this._stagedTransfer.whole, progress: this._stagedTransfer.progress, availableShare: this._stagedTransfer.known }
  }

  /** The last two versions and the instances that skip the older one, if some engines skip it and others do not. */
  private _overlap (): { readonly older: PublishedVersion, readonly newer: PublishedVersion, readonly direct: ReadonlySet<string>, readonly stepwise: ReadonlySet<string> } | undefined {
    const { overlap, members, self } = this._parts
    const [older, newer] = overlap?.published(this._stagedVersion?.model ?? '').slice(-2) ?? []
    if (overlap === undefined || older === undefined || newer === undefined || this._stagedTransfer.bytes === 0) return undefined
    const all = [self, ...members().filter(({ instance }) => instance !== self.instance)]
    const direct = directInstances(all, this._stagedVersion?.model ?? '', older, newer, overlap.policy(this._stagedTransfer.bytes))
    const stepwise = new Set(all.map(({ instance }) => instance).filter(instance => !direct.has(instance)))
    return direct.size === 0 || stepwise.size === 0 ? undefined : { older, newer, direct, stepwise }
  }

  /** Whether this engine loads the staged version although a newer one is published. */
  private _isStepwise (staged: StagedVersion, newest: ModelVersion): boolean {
    const overlap = this._overlap()
    if (overlap === undefined || overlap.older.version !== staged.version || overlap.newer.version !== newest.version) return false
    return overlap.stepwise.has(this._parts.self.instance) && this._stagedTransfer.heldByFleet >= MIN_HELD_BY_FLEET
  }

  /** Assigns the chunks of each of two overlapping versions to the members that transfer it first. */
  private _assignReaders (): void {
    const overlap = this._overlap()
    for (const [transfer, version] of [[this._stagedTransfer, this._stagedVersion], [this._nextTransfer, this._nextVersion]] as const) {
      if (version?.version === overlap?.newer.version) transfer.setReaders(overlap?.direct)
      else transfer.setReaders(version?.version === overlap?.older.version ? overlap?.stepwise : undefined)
    }
  }

  private _cohort (): SwitchCohort {
    const { overlap, members, self } = this._parts
    const target = this._stagedVersion
    if (overlap === undefined || target === undefined) return { members: members(), earliestAt: -Infinity, latestAt: undefined }
    const view = { target: target.version, served: this._served, published: overlap.published(target.model) }
    return switchCohort(self, members(), target.model, view, overlap.policy(this._stagedTransfer.bytes))
  }

  private _transferOf (identity: string): VersionTransfer | undefined {
    return [this._stagedTransfer, this._nextTransfer].find(transfer => transfer.identity === identity)
  }

  /** Transfers a version into the staging memory, and discards the next version. */
  private _stage (version: NewestVersion): void {
    this._stagedVersion = version
    this._nextVersion = undefined
    this._stagedTransfer.want(identityOf(version), version.heardAt)
    this._nextTransfer.want('')
    this._clearMemory()
  }

  /**
   * Copies the chunks of the next version into the staging memory, over those of the older one. Meanwhile no version counts as
   * complete, so that the engine is not ordered to load either.
   */
  private async _replaceStaged (version: NewestVersion): Promise<void> {
    this._replacing = true
    try {
      this._stagedTransfer.want('')
      await this._stagedTransfer.store.arrange(this._nextTransfer.chunks)
      for (const digest of await this._memory.staged()) {
        const bytes = await this._memory.readBack('chunks', digest)
        if (bytes !== undefined) await this._stagedTransfer.store.keep(digest, bytes)
      }
      this._stage(version)
    } finally {
      this._replacing = false
    }
  }

  private async _clearMemory (): Promise<void> {
    await this._nextTransfer.store.dropExcept(new Set(), 0)
  }
}
