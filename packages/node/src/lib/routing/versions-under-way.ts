/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The versions that are on their way to one engine: one in the engine's staging memory, and a newer one that is collected
 * in this process until it takes over. Without the second, naming a version while the last was still on its way, or not
 * yet taken by all engines, threw the last away; with the origin away just then, nothing could be served for seconds.
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

/** A version that is wanted, and when it was named, by this process's clock; nothing when that is not known. */
export interface NewestVersion extends ModelVersion {
  readonly heardAt?: number | undefined
}

/** What is known of the engine when it is decided which version goes on. */
export interface EngineView {
  /** The version that it serves; 0 for none. */
  readonly served: number
  /** Whether it carries out an order, or is being given one. */
  readonly ordering: boolean
  /** Whether requests may still begin on a version. */
  readonly mayBegin: (version: number) => boolean
}

/**
 * While the staged version advances, the version ahead asks for one chunk at a time of peers, and of the origin once the
 * staged one has left it.
 */
const BESIDE_AT_PEERS = 1
/** A transfer without a new chunk for this long does not need the links for itself, in milliseconds: several chunks' time. */
const STANDSTILL = 500

/** The versions on their way to one engine. */
export class VersionsUnderWay implements ChunkSource {
  private readonly _staging: VersionTransfer
  private readonly _ahead: VersionTransfer
  private readonly _memory: MemoryStaging
  private readonly _log: Log
  private _stagedVersion: NewestVersion | undefined
  private _aheadVersion: NewestVersion | undefined
  private _takingOver = false
  /** Named while another version was taking over. */
  private _namedMeanwhile: NewestVersion | undefined

  /**
   * @param engine The engine's staging memory.
   * @param memoryBytes Bytes of chunks kept in this process: of the staged version, and as many of the one ahead.
   */
  constructor (parts: TransferParts, engine: ChunkStaging, memoryBytes: number) {
    this._log = parts.log
    this._staging = new VersionTransfer(parts, engine, new ChunkStore(engine, memoryBytes))
    this._memory = new MemoryStaging(engine, memoryBytes)
    this._ahead = new VersionTransfer(parts, this._memory, new ChunkStore(this._memory, 0), memoryBytes)
  }

  /** The version that has the staging memory: the next one that the engine is to take. */
  get target (): ModelVersion | undefined { return this._stagedVersion }
  /** The identity of that version if it is whole; empty otherwise. */
  get whole (): string { return this._staging.whole ? this._staging.identity : '' }
  /**
   * Milliseconds until the target is whole, while its chunks come; nothing when it is not known where they are.
   *
   * @param bytesPerSecond What the link carries.
   */
  timeToWhole (bytesPerSecond: number): number | undefined {
    if (this._staging.whole) return 0
    return this._staging.known < 1 ? undefined : this._staging.missingBytes / bytesPerSecond * 1000
  }

  /** Whether anything is still to be fetched. */
  get transferring (): boolean { return (this._stagedVersion !== undefined && !this._staging.whole) || (this._aheadVersion !== undefined && !this._ahead.whole) }
  /** The turn of the engine to take the target. */
  get turn (): SwitchTurn { return this._staging.turn }
  /** Chunks that the engine's staging memory holds. */
  get stagedCount (): number { return this._staging.store.staged.size }

  close (): void {
    this._staging.close()
    this._ahead.close()
  }

  /** Learns what is staged already, from an earlier life of this process. */
  recover (): Promise<void> { return this._staging.store.recover() }

  membersChanged (): void {
    this._staging.membersChanged()
    this._ahead.membersChanged()
  }

  /**
   * Sets the newest version that is named.
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

  /** Looks whether the version ahead is to take over, and shares the links between the two. Call it now and then. */
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

  /** The indexes of a version's chunks that are held here. */
  held (identity: string): number[] {
    return this._transferOf(identity)?.held() ?? []
  }

  /** What is known of a version's chunks. */
  known (identity: string): OwnChunks {
    const transfer = this._transferOf(identity)
    return { held: this.held(identity), elsewhere: transfer?.elsewhere() ?? [], settled: transfer?.whole ?? true }
  }

  /** A manifest for a peer, waiting for one that is on its way. */
  manifest (identity: string, wait: number): Promise<Buffer | undefined> {
    return (this._transferOf(identity) ?? this._staging).manifest(identity, wait)
  }

  /** Whether a chunk belongs to one of the versions, or may. */
  expects (digest: string): boolean { return this._staging.expects(digest) || this._ahead.expects(digest) }

  has (digest: string): boolean { return this._staging.store.has(digest) || this._ahead.store.has(digest) }

  async get (digest: string): Promise<Buffer | undefined> {
    return await this._staging.store.get(digest) ?? await this._ahead.store.get(digest)
  }

  async waitFor (digest: string, wait: number): Promise<boolean> {
    return await Promise.race([this._staging.store.waitFor(digest, wait), this._ahead.store.waitFor(digest, wait)])
  }

  /** Verifies once more that the engine holds the whole of the target. */
  confirmWhole (): Promise<boolean> { return this._staging.confirmWhole() }

  private _stagedView (): StagedVersion | undefined {
    if (this._stagedVersion === undefined) return undefined
    return { version: this._stagedVersion.version, whole: this._staging.whole, progress: this._staging.progress, known: this._staging.known }
  }

  private _transferOf (identity: string): VersionTransfer | undefined {
    return [this._staging, this._ahead].find(transfer => transfer.identity === identity)
  }

  /** Nothing is ahead any more: a version goes into the staging memory. */
  private _stage (version: NewestVersion): void {
    this._stagedVersion = version
    this._aheadVersion = undefined
    this._staging.want(identityOf(version), version.heardAt)
    this._ahead.want('')
    this._dropMemory()
  }

  /**
   * Chunks of the version ahead go into the staging memory over those of the older one. While they do, no version counts
   * as whole, so that the engine is ordered to take neither.
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
