/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The client of the model engine beside the agent: stages chunks, sends fenced load orders and reads the engine's state
 * (docs/PROTOCOLS.md). No other process sends orders to this engine.
 */
import type { EngineReport, LoadResult, Manifest, TakeOverResult } from '@drumdrift/core'
import { requestHttp } from '../platform/http-client.js'

/** The staging memory of an engine, which holds chunks until the engine is ordered to load them. */
export interface ChunkStaging {
  /** Reads which chunks are staged. Returns their digests, or `undefined` if not all could be read. */
  staged (): Promise<ReadonlySet<string> | undefined>
  /**
   * Prepares the staging memory for a version: chunks that it already holds are made part of it. Only chunks of the version can be
   * staged from then on. Returns the digests of the staged chunks.
   *
   * @param chunks The chunks of the version in order.
   */
  arrange (chunks: Manifest['chunks']): Promise<ReadonlySet<string>>
  stage (kind: 'chunks' | 'manifests', digest: string, bytes: Buffer): Promise<boolean>
  readBack (kind: 'chunks' | 'manifests', digest: string): Promise<Buffer | undefined>
  /** Drops a staged chunk. The engine refuses this if the fence is not the newest. */
  drop (digest: string, fence: number): Promise<void>
}

/** A model engine that an agent controls. */
export interface Engine extends ChunkStaging {
  state (): Promise<EngineReport | undefined>
  /** Takes the engine over. The fence must be greater than every earlier one. */
  takeOver (fence: number): Promise<TakeOverResult>
  /** Orders a load. The fence must not be less than any earlier one. */
  load (manifestDigest: string, fence: number): Promise<LoadResult>
}

/** The timeout of requests other than for the state, in milliseconds. */
const TIMEOUT = 5_000
/** The largest answer other than a chunk, in bytes. */
const MAX_ANSWER_BYTES = 1024 * 1024

/** An engine that is controlled over HTTP. */
export class HttpEngine implements Engine {
  constructor (private readonly _address: string) {}

  async state (): Promise<EngineReport | undefined> {
    try {
      const answer = await requestHttp(this._address, { path: '/state', timeout: 1_000, maxBytes: MAX_ANSWER_BYTES })
      const value: unknown = JSON.parse(answer.body.toString('utf8'))
      return isEngineReport(value) ? value : undefined
    } catch {
      return undefined
    }
  }

  async staged (): Promise<ReadonlySet<string> | undefined> {
    try {
      const answer = await requestHttp(this._address, { path: '/staging', timeout: TIMEOUT, maxBytes: MAX_ANSWER_BYTES })
      const value: unknown = JSON.parse(answer.body.toString('utf8'))
      return Array.isArray(value) ? new Set(value.map(String)) : undefined
    } catch {
      return undefined
    }
  }

  /** Reads the staging memory only: this engine stores chunks by digest, so that they have no places. */
  async arrange (): Promise<ReadonlySet<string>> { return await this.staged() ?? new Set() }

  async stage (kind: 'chunks' | 'manifests', digest: string, bytes: Buffer): Promise<boolean> {
    return await this._status({ method: 'PUT', path: `/staging/${kind}/${digest}`, body: bytes }) === 204
  }

  async readBack (kind: 'chunks' | 'manifests', digest: string): Promise<Buffer | undefined> {
    try {
      const answer = await requestHttp(this._address, { path: `/staging/${kind}/${digest}`, timeout: TIMEOUT })
      return answer.status === 200 ? answer.body : undefined
    } catch {
      return undefined
    }
  }

  async drop (digest: string, fence: number): Promise<void> {
    await this._status({ method: 'DELETE', path: `/staging/chunks/${digest}?fence=${fence}` })
  }

  async takeOver (fence: number): Promise<TakeOverResult> {
    const status = await this._status({ method: 'POST', path: '/take-over', body: JSON.stringify({ fence }) })
    if (status === 204) return 'taken'
    return status === undefined ? 'unreachable' : 'stale-fence'
  }

  async load (manifestDigest: string, fence: number): Promise<LoadResult> {
    const status = await this._status({ method: 'POST', path: '/load', body: JSON.stringify({ manifest: manifestDigest, fence }) })
    if (status === 202) return 'ordered'
    if (status === 409) return 'stale-fence'
    return status === undefined ? 'unreachable' : 'refused'
  }

  private async _status (request: { method: string, path: string, body?: Buffer | string }): Promise<number | undefined> {
    try {
      return (await requestHttp(this._address, { ...request, timeout: TIMEOUT, maxBytes: MAX_ANSWER_BYTES })).status
    } catch {
      return undefined
    }
  }
}

function isEngineReport (value: unknown): value is EngineReport {
  if (typeof value !== 'object' || value === null) return false
  const { version, loading, failed, fence, running } = value as Record<string, unknown>
  const texts = [version, loading, failed].every(text => typeof text === 'string')
  return texts && typeof fence === 'number' && typeof running === 'number'
}
