/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for the weight store and the origin: serves weights over a rate-limited link and counts the bytes. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { TokenBucket } from '@drumdrift/core'
import { HttpService } from './http-service.js'
import type { GeneratedVersion } from './weights.js'

const SLICE_BYTES = 65_536
const BURST_SECONDS = 0.02

/** Serves manifests and chunks of weights. */
export class WeightSource extends HttpService {
  /** Bytes of chunks sent. */
  bytes = 0
  private readonly _chunks = new Map<string, Buffer>()
  private readonly _manifests = new Map<string, Buffer>()
  private readonly _link: TokenBucket
  private _lastSend: Promise<void> = Promise.resolve()

  /**
   * @param bytesPerSecond Rate limit of the link, shared by all responses.
   */
  constructor (bytesPerSecond: number, callsPerSecond?: number) {
    super(callsPerSecond)
    this._link = new TokenBucket(bytesPerSecond, Math.max(SLICE_BYTES, bytesPerSecond * BURST_SECONDS), performance.now())
  }

  /** Makes a version available. */
  add (version: GeneratedVersion): void {
    for (const [digest, bytes] of version.chunks) this._chunks.set(digest, bytes)
    this._manifests.set(version.digest, version.manifestBytes)
  }

  protected override async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [, kind, digest = ''] = (request.url ?? '').split('/')
    const bytes = kind === 'manifests' ? this._manifests.get(digest) : kind === 'chunks' ? this._chunks.get(digest) : undefined
    if (bytes === undefined) {
      response.writeHead(404).end()
      return
    }
    response.writeHead(200, { 'content-length': bytes.length })
    if (kind === 'manifests') {
      response.end(bytes)
      return
    }
    await this._send(bytes, response)
  }

  /** Sends one response after the other. */
  private async _send (bytes: Buffer, response: ServerResponse): Promise<void> {
    const previous = this._lastSend
    let done = (): void => {}
    this._lastSend = new Promise(resolve => { done = resolve })
    await previous
    for (let start = 0; start < bytes.length && !response.destroyed; start += SLICE_BYTES) {
      const wait = this._link.wait(performance.now())
      if (wait > 0) await pause(wait)
      const slice = bytes.subarray(start, start + SLICE_BYTES)
      this._link.spend(slice.length, performance.now())
      this.bytes += slice.length
      response.write(slice)
    }
    done()
    response.end()
  }
}
