/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stand-in for a link that many connections share, such as one between two regions: the data of all connections passes
 * through one queue that is drained at a fixed rate. Queued data uses the link even if its receiver has disconnected.
 */
import { createConnection, createServer, type Server, type Socket } from 'node:net'

/** Bytes of one connection that may be queued before its source is paused: a usual TCP window. */
const WINDOW_BYTES = 64 * 1024
const TICK_MILLISECONDS = 5

interface Queued {
  readonly bytes: Buffer
  readonly from: Socket
  readonly to: Socket
}

/** A proxy to one address. Only data from that address is rate limited, since bulk data comes from there. */
export class SharedLink {
  /** Bytes forwarded from the target. */
  forwardedBytes = 0
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private readonly _queue: Queued[] = []
  private readonly _queuedBytes = new Map<Socket, number>()
  private readonly _timer: NodeJS.Timeout
  private _budget = 0
  private _lastTickAt = performance.now()

  /**
   * @param _target The target port on loopback.
   * @param _rate Bytes per millisecond.
   * @example
   * const link = new SharedLink(storePort, 1_000)
   * await link.listen(0)
   */
  constructor (private readonly _target: number, private readonly _rate: number) {
    this._server = createServer(socket => this._accept(socket))
    this._timer = setInterval(() => this._drainQueue(), TICK_MILLISECONDS)
  }

  listen (port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, '127.0.0.1', () => resolve())
    })
  }

  close (): void {
    clearInterval(this._timer)
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _accept (client: Socket): void {
    const upstream = createConnection({ host: '127.0.0.1', port: this._target })
    for (const socket of [client, upstream]) {
      this._sockets.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('close', () => { this._sockets.delete(socket) })
    }
    client.on('data', bytes => { upstream.write(bytes) })
    client.on('close', () => upstream.destroy())
    upstream.on('data', bytes => this._enqueue({ bytes, from: upstream, to: client }))
    upstream.on('close', () => { if (!this._queuedBytes.has(upstream)) client.destroy() })
  }

  private _enqueue (queued: Queued): void {
    const { bytes, from } = queued
    this._queue.push(queued)
    const pendingBytes = (this._queuedBytes.get(from) ?? 0) + bytes.length
    this._queuedBytes.set(from, pendingBytes)
    if (pendingBytes >= WINDOW_BYTES) from.pause()
  }

  private _drainQueue (): void {
    const now = performance.now()
    this._budget += (now - this._lastTickAt) * this._rate
    this._lastTickAt = now
    while (this._budget > 0) {
      const next = this._queue.shift()
      if (next === undefined) {
        this._budget = 0
        return
      }
      this._deliver(next)
    }
  }

  private _deliver ({ bytes, from, to }: Queued): void {
    this._budget -= bytes.length
    this.forwardedBytes += bytes.length
    if (!to.destroyed) to.write(bytes)
    const pendingBytes = (this._queuedBytes.get(from) ?? 0) - bytes.length
    if (pendingBytes > 0) this._queuedBytes.set(from, pendingBytes)
    else this._queuedBytes.delete(from)
    if (pendingBytes < WINDOW_BYTES) from.resume()
    if (from.destroyed && pendingBytes <= 0) to.destroy()
  }
}
