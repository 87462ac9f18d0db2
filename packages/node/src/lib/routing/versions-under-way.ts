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
import { overlapStep, worthFinishing, type ModelVersion, type StagedVersion, type SwitchTurn } from '@drumdrift/core'
import { ChunkStore } from '../agent/chunk-store.js'
import type { ChunkSource } from '../agent/chunk-server.js'
import type { ChunkStaging } from '../agent/engine-client.js'
import type { Log } from '../observe/log.js'
import type { OwnChunks } from './chunk-holdings.js'
import { MemoryStaging } from './memory-staging.js'
import { identityOf } from './ports.js'
import { VersionTransfer, type TransferParts } from './version-transfer.js'

/** A wanted version. */
export interface NewestVersion extends ModelVersion {
  /** When it was named, on this process's clock; `undefined` if unknown. */
  readonly heardAt?: number | undefined
}

/** The engine's state, as used to decide which version is staged. */
export interface EngineView {
  /** The version that the engine serves; 0 for none. */
  readonly served: number
  /** Whether the engine is executing an order, or one is being sent to it. */
  readonly ordering: boolean
  /** Whether new requests may still start on a version. */
  readonly mayBegin: (version: number) => boolean
}

/**
 * While the staged version makes progress, the next version has at most one chunk request in flight to peers, and one to the
 * origin once every chunk of the staged version is held by this instance or a peer.
 */
const BESIDE_AT_PEERS = 1
/** A transfer that receives no chunk for this time does not need the links to itself, in milliseconds: the time of several chunks. */
const STANDSTILL = 500

/** Manages the versions in transfer to one engine. */
export class VersionsUnderWay implements ChunkSource {
  private readonly _staging: VersionTransfer
  private readonly _ahead: VersionTransfer
  private readonly _memory: MemoryStaging
  private readonly _log: Log
  private _stagedVersion: NewestVersion | undefined
  private _aheadVersion: NewestVersion | undefined
  private _takingOver = false
  /** The newest version named while another was moved to the staging memory. */
  private _namedMeanwhile: NewestVersion | undefined

  /**
   * @param engine The engine's staging memory.
   * @param memoryBytes Memory limit in bytes for chunks in this process, applied to the staged and the next version each.
   */
  constructor (parts: TransferParts, engine: ChunkStaging, memoryBytes: number) {
    this._log = parts.log
    this._staging = new VersionTransfer(parts, engine, new ChunkStore(engine, memoryBytes))
    this._memory = new MemoryStaging(engine, memoryBytes)
    this._ahead = new VersionTransfer(parts, this._memory, new ChunkStore(this._memory, 0), memoryBytes)
  }

  /** The version in the staging memory, which the engine is to load next. */
  get target (): ModelVersion | undefined { return this._stagedVersion }
  /** The identity of the target if it is complete; empty otherwise. */
  get whole (): string { return this._staging.whole ? this._staging.identity : '' }
  /**
   * Estimates the milliseconds until the target is complete. Returns `undefined` unless every missing chunk is held by a peer.
   *
   * @param bytesPerSecond Bandwidth of the link.
   */
  timeToWhole (bytesPerSecond: number): number | undefined {
    if (this._staging.whole) return 0
    return this._staging.known < 1 ? undefined : this._staging.missingBytes / bytesPerSecond * 1000
  }

  /** Whether a version is still incomplete. */
  get transferring (): boolean { return (this._stagedVersion !== undefined && !this._staging.whole) || (this._aheadVersion !== undefined && !this._ahead.whole) }
  /** The engine's position in the order in which its zone switches to the target. */
  get turn (): SwitchTurn { return this._staging.turn }
  /** Number of chunks in the engine's staging memory. */
  get stagedCount (): number { return this._staging.store.staged.size }

  close (): void {
    this._staging.close()
    this._ahead.close()
  }

  /** Reads which chunks are already staged, for example by an earlier run of this process. */
  recover (): Promise<void> { return this._staging.store.recover() }

  membersChanged (): void {
    this._staging.membersChanged()
    this._ahead.membersChanged()
  }

  /**
   * Sets the newest wanted version.
   *
   * @param served The version that the engine serves; 0 for none.
   */
  want (newest: NewestVersion, served: number): void {
    if (this._takingOver) {
      this._namedMeanwhile = newest
      return
    }
    const identity = identityOf(newest)
    if (identity === this._staging.identity || identity === this._ahead.identity) return
    const staged = this._stagedView()
    const beside = staged !== undefined && served < staged.version && worthFinishing(staged)
    this._log.info('version-wanted', { model: newest.model, version: newest.version, staging: staged?.version, staged_progress: staged?.progress, staged_known: staged?.known, beside })
    if (beside) {
      this._aheadVersion = newest
      this._dropMemory()
      this._ahead.want(identity, newest.heardAt)
    } else this._stage(newest)
  }

  /** Replaces the staged version by the next one if due, and divides the links between both. Must be called periodically. */
  async step ({ served, ordering, mayBegin }: EngineView, now: number): Promise<void> {
    const [staged, ahead] = [this._stagedView(), this._aheadVersion]
    if (staged !== undefined && staged.whole && served >= staged.version) this._staging.settle()
    if (staged === undefined || ahead === undefined || this._takingOver) return
    const advancing = !staged.whole && now - this._staging.arrivedAt < STANDSTILL
    this._ahead.limit(advancing ? { peers: BESIDE_AT_PEERS, origin: staged.known < 1 ? 0 : 1 } : undefined)
    const step = overlapStep({ staged, ahead: { version: ahead.version, whole: this._ahead.whole }, served, ordering, mayBegin: mayBegin(staged.version) })
    if (step.type === 'wait') return
    this._log.info('version-takes-over', { model: ahead.model, version: ahead.version, before: staged.version, why: step.why, whole: this._ahead.whole, served })
    await this._takeOver(ahead)
    const named = this._namedMeanwhile
    this._namedMeanwhile = undefined
    if (named !== undefined) this.want(named, served)
  }

  /** Returns the indexes of a version's chunks that this instance holds. */
  held (identity: string): number[] {
    return this._transferOf(identity)?.held() ?? []
  }

  /** Returns which chunks of a version this instance and other members hold. */
  known (identity: string): OwnChunks {
    const transfer = this._transferOf(identity)
    return { held: this.held(identity), elsewhere: transfer?.elsewhere() ?? [], settled: transfer?.whole ?? true }
  }

  /** Returns a manifest for a peer, and waits for it if it is still in transfer. */
  manifest (identity: string, wait: number): Promise<Buffer | undefined> {
    return (this._transferOf(identity) ?? this._staging).manifest(identity, wait)
  }

  /** Whether a chunk belongs, or may belong, to one of the versions. */
  expects (digest: string): boolean { return this._staging.expects(digest) || this._ahead.expects(digest) }

  has (digest: string): boolean { return this._staging.store.has(digest) || this._ahead.store.has(digest) }

  async get (digest: string): Promise<Buffer | undefined> {
    return await this._staging.store.get(digest) ?? await this._ahead.store.get(digest)
  }

  async waitFor (digest: string, wait: number): Promise<boolean> {
    return await Promise.race([this._staging.store.waitFor(digest, wait), this._ahead.store.waitFor(digest, wait)])
  }

  /** Verifies again that the staging memory holds the complete target. */
  confirmWhole (): Promise<boolean> { return this._staging.confirmWhole() }

  private _stagedView (): StagedVersion | undefined {
    if (this._stagedVersion === undefined) return undefined
    return { version: this._stagedVersion.version, whole: this._staging.whole, progress: this._staging.progress, known: this._staging.known }
  }

  private _transferOf (identity: string): VersionTransfer | undefined {
    return [this._staging, this._ahead].find(transfer => transfer.identity === identity)
  }

  /** Transfers a version into the staging memory, and discards the next version. */
  private _stage (version: NewestVersion): void {
    this._stagedVersion = version
    this._aheadVersion = undefined
    this._staging.want(identityOf(version), version.heardAt)
    this._ahead.want('')
    this._dropMemory()
  }

  /**
   * Copies the chunks of the next version into the staging memory, over those of the older one. Meanwhile no version counts as
   * complete, so that the engine is not ordered to load either.
   */
  private async _takeOver (version: NewestVersion): Promise<void> {
    this._takingOver = true
    try {
      this._staging.want('')
      for (const digest of await this._memory.staged()) {
        const bytes = await this._memory.readBack('chunks', digest)
        if (bytes !== undefined) await this._staging.store.keep(digest, bytes)
      }
      this._stage(version)
    } finally {
      this._takingOver = false
    }
  }

  private async _dropMemory (): Promise<void> {
    await this._ahead.store.dropExcept(new Set(), 0)
  }
}
