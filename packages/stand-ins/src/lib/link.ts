/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for a link between two processes: a TCP proxy that can corrupt, delay, stall, drop or disconnect the traffic. */
import { createConnection, createServer, type Server, type Socket } from 'node:net'

/**
 * How the link treats the traffic. `deaf` drops the data sent to the target and `mute` the data sent by it; `delay` holds each
 * block of data for a fixed time.
 */
export type LinkMode = 'pass' | 'corrupt' | 'stall' | 'cut' | 'deaf' | 'mute' | 'delay'

/** Least size in bytes of a block that is corrupted, at its middle byte. Blocks of this size carry weights. */
const MIN_CORRUPTED_BYTES = 16_384
/** Delay in the mode `delay` unless the link is given another, in milliseconds. */
const DEFAULT_DELAY_MILLISECONDS = 300

/** Direction of the traffic. */
type Direction = 'to-target' | 'from-target'

const droppedDirections: Partial<Record<LinkMode, Direction>> = { deaf: 'to-target', mute: 'from-target' }

/** A proxy to one address. */
export class Link {
  /** Number of blocks corrupted so far. */
  corruptedBlocks = 0
  /** Delay of each block in the mode `delay`, in milliseconds. */
  delayMilliseconds = DEFAULT_DELAY_MILLISECONDS
  /** The address that clients connect to. */
  readonly address: string
  private _mode: LinkMode = 'pass'
  private _remainingCorruptions = 0
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  /** Sockets from which data was dropped. They are closed at the next change of mode, since the rest of their stream is unusable. */
  private readonly _incomplete = new Set<Socket>()
  /** Sockets whose connection forwards nothing any more, not even that an end has closed it. */
  private readonly _silenced = new WeakSet<Socket>()

  /**
   * @param _host The address of the proxy and of the target.
   */
  constructor (private readonly _port: number, private readonly _target: number, private readonly _host = '127.0.0.1') {
    this.address = `${_host}:${_port}`
    this._server = createServer(socket => this._accept(socket))
  }

  listen (): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this._port, this._host, () => resolve())
    })
  }

  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  /**
   * Sets the mode of the link.
   *
   * @param corruptions How many blocks to corrupt before the link forwards data unchanged again.
   */
  set (mode: LinkMode, corruptions = Infinity): void {
    this._mode = mode
    this._remainingCorruptions = corruptions
    for (const socket of this._sockets) {
      if (mode === 'cut' || this._incomplete.has(socket)) socket.destroy()
      else if (mode === 'stall') socket.pause()
      else socket.resume()
    }
  }

  /** Silences the open connections for good, without closing them. Later connections are not affected. */
  silenceOpenConnections (): void {
    for (const socket of this._sockets) this._silenced.add(socket)
  }

  private _accept (client: Socket): void {
    if (this._mode === 'cut') {
      client.destroy()
      return
    }
    const upstream = createConnection({ host: this._host, port: this._target })
    this._forward(client, upstream, 'to-target')
    this._forward(upstream, client, 'from-target')
  }

  private _forward (from: Socket, to: Socket, direction: Direction): void {
    const delayed: (() => void)[] = []
    let dueAt = 0
    const inOrder = (run: () => void): void => {
      const now = performance.now()
      dueAt = Math.max(dueAt, this._mode === 'delay' ? now + this.delayMilliseconds : now)
      if (this._mode !== 'delay' && delayed.length === 0) return run()
      delayed.push(run)
      setTimeout(() => { delayed.shift()?.() }, dueAt - now)
    }
    this._sockets.add(from)
    from.on('data', bytes => {
      if (this._silenced.has(from)) return
      if (droppedDirections[this._mode] === direction) this._incomplete.add(from)
      else inOrder(() => { if (to.writable && !to.write(this._corruptBlock(bytes)) && this._mode !== 'stall') from.pause() })
    })
    to.on('drain', () => { if (this._mode !== 'stall') from.resume() })
    from.on('error', () => from.destroy())
    from.on('close', () => {
      this._sockets.delete(from)
      this._incomplete.delete(from)
      if (!this._silenced.has(from)) inOrder(() => to.destroySoon())
    })
    if (this._mode === 'stall') from.pause()
  }

  private _corruptBlock (bytes: Buffer): Buffer {
    if (this._mode !== 'corrupt' || bytes.length < MIN_CORRUPTED_BYTES || this._remainingCorruptions <= 0) return bytes
    this._remainingCorruptions -= 1
    this.corruptedBlocks += 1
    const result = Buffer.from(bytes)
    const middle = result.length >> 1
    result[middle] = (result[middle] ?? 0) ^ 0xff
    return result
  }
}
