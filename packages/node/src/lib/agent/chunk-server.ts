/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Serves chunks and manifests to peers, in the order they were asked for, within the link's pace.
 */
import { setTimeout as pause } from 'node:timers/promises'
import type { LinkPacer } from '@drumdrift/core'
import type { Responder } from '../peer/connection.js'
import type { ChunkStore } from './chunk-store.js'

/** Chunks that may wait to be sent; more are refused as busy, so that memory stays bounded. */
const MOST_QUEUED = 256
/** The longest that a peer may wait for a chunk that is on its way here, in milliseconds. */
const LONGEST_WAIT = 2_000

/** The uplink side of an agent's transfers. */
export class ChunkServer {
  private readonly _queue: { readonly digest: string, readonly responder: Responder }[] = []
  private _sending = false
  private _sentBytes = 0

  /**
   * @param _expects Whether a chunk belongs to the version being fetched, so that waiting for it makes sense.
   */
  constructor (private readonly _store: ChunkStore, private readonly _pacer: LinkPacer, private readonly _expects: (digest: string) => boolean) {}

  /** Bytes of chunks sent to peers since the start. */
  get sentBytes (): number { return this._sentBytes }
  /** Chunks that wait to be sent. */
  get queued (): number { return this._queue.length }

  /** Answers a request for a chunk. */
  async serve (digest: string, wait: number, responder: Responder): Promise<void> {
    if (!this._store.has(digest) && !this._expects(digest)) {
      responder.send({ type: 'no-chunk', reason: 'not-held' })
      return
    }
    const held = await this._store.waitFor(digest, Math.min(LONGEST_WAIT, Math.max(0, wait)))
    if (!held) {
      responder.send({ type: 'no-chunk', reason: 'not-yet' })
      return
    }
    if (this._queue.length >= MOST_QUEUED) {
      responder.send({ type: 'no-chunk', reason: 'busy' })
      return
    }
    this._queue.push({ digest, responder })
    if (!this._sending) await this._drain()
  }

  private async _drain (): Promise<void> {
    this._sending = true
    for (;;) {
      const next = this._queue.shift()
      if (next === undefined) break
      if (next.responder.connection.open) await this._send(next.digest, next.responder)
    }
    this._sending = false
  }

  private async _send (digest: string, responder: Responder): Promise<void> {
    const bytes = await this._store.get(digest)
    if (bytes === undefined) {
      responder.send({ type: 'no-chunk', reason: 'not-held' })
      return
    }
    await this._pace(bytes.length)
    this._sentBytes += bytes.length
    responder.send({ type: 'chunk', digest }, bytes)
  }

  private async _pace (bytes: number): Promise<void> {
    for (;;) {
      const wait = this._pacer.upload(bytes, performance.now())
      if (wait === 0) return
      await pause(wait)
    }
  }
}
