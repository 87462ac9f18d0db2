/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Sends chunks to peers in the order of their requests, at the rate that the link's pacer allows.
 */
import { setTimeout as pause } from 'node:timers/promises'
import type { LinkPacer } from '@drumdrift/core'
import type { Responder } from '../peer/connection.js'
import { runPeriodically, type PeriodicTask } from '../periodic-tasks.js'
import type { ChunkStore } from './chunk-store.js'

/** The most chunks that may be queued. Further requests are refused as busy, so that memory stays bounded. */
const MAX_QUEUED = 1_024
/** The longest wait of a peer for a chunk that this process is still to receive, in milliseconds. */
const MAX_WAIT = 10_000
/** The interval of keepalives to peers whose request is pending, in milliseconds. */
const KEEPALIVE_INTERVAL = 300

/** The store that chunks are served from. */
export type ChunkSource = Pick<ChunkStore, 'has' | 'get' | 'waitFor'>

interface PendingRequest {
  readonly digest: string
  readonly responder: Responder
}

/** The sending side of an agent's transfers. */
export class ChunkServer {
  private readonly _queue: PendingRequest[] = []
  private readonly _waiting = new Set<PendingRequest>()
  private readonly _keepalives: PeriodicTask
  private _sending = false

  /**
   * @param _isExpected Whether a chunk is, or may be, part of the version being fetched; otherwise a peer does not wait for it.
   */
  constructor (private readonly _store: ChunkSource, private readonly _pacer: Pick<LinkPacer, 'upload'>, private readonly _isExpected: (digest: string) => boolean) {
    this._keepalives = runPeriodically(() => this._sendKeepalives(), KEEPALIVE_INTERVAL)
  }

  close (): void { this._keepalives.close() }

  /** Answers a request for a chunk. */
  async serve (digest: string, wait: number, responder: Responder): Promise<void> {
    const pending: PendingRequest = { digest, responder }
    if (!this._store.has(digest) && !await this._waitForChunk(pending, wait)) return
    if (this._queue.length >= MAX_QUEUED) {
      responder.send({ type: 'no-chunk', reason: 'busy' })
      return
    }
    this._queue.push(pending)
    responder.send({ type: 'chunk-coming' })
    if (!this._sending) await this._drain()
  }

  /** Waits until this process receives the chunk. Refuses the request if the chunk is not expected or does not arrive in time. */
  private async _waitForChunk (pending: PendingRequest, wait: number): Promise<boolean> {
    const { digest, responder } = pending
    if (!this._isExpected(digest)) {
      responder.send({ type: 'no-chunk', reason: 'not-held' })
      return false
    }
    responder.send({ type: 'chunk-coming' })
    this._waiting.add(pending)
    const held = await this._store.waitFor(digest, Math.min(MAX_WAIT, Math.max(0, wait)))
    this._waiting.delete(pending)
    if (!held) responder.send({ type: 'no-chunk', reason: 'not-yet' })
    return held
  }

  private _sendKeepalives (): void {
    for (const { responder } of this._queue) responder.send({ type: 'chunk-coming' })
    for (const { responder } of this._waiting) responder.send({ type: 'chunk-coming' })
  }

  private async _drain (): Promise<void> {
    this._sending = true
    for (let next = this._queue.shift(); next !== undefined; next = this._queue.shift()) {
      if (next.responder.connection.open) await this._send(next)
    }
    this._sending = false
  }

  private async _send ({ digest, responder }: PendingRequest): Promise<void> {
    const bytes = await this._store.get(digest)
    if (bytes === undefined) {
      responder.send({ type: 'no-chunk', reason: 'not-held' })
      return
    }
    await this._waitForPacer(bytes.length)
    responder.send({ type: 'chunk', digest }, bytes)
  }

  private async _waitForPacer (bytes: number): Promise<void> {
    for (;;) {
      const wait = this._pacer.upload(bytes, performance.now())
      if (wait === 0) return
      await pause(wait)
    }
  }
}
