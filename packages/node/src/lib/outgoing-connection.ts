/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Opens the connections on which HTTP requests are sent. Answers may end with their connection, so that its end has to be told from its reset. */
import { Agent } from 'node:http'
import { Socket, type TcpNetConnectOpts } from 'node:net'

type WriteCallback = (error?: Error | null) => void

/** To write no bytes sends nothing, and fails if the connection was reset. */
const NOTHING = Buffer.alloc(0)
/** The error of a write on a connection that the other side has ended before it reset it. */
const RESET_AFTER_END = 'EPIPE'

/**
 * A socket that reports each reset of its connection. If bytes and a reset are received in one turn of the event loop, libuv reports the end of
 * the connection after these bytes, and the error only to writes.
 */
class ResetAwareSocket extends Socket {
  private _endReceived = false

  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.writable) return super.push(chunk, encoding)
    this._endReceived = true
    const isSending = this.writableLength > 0
    this.write(NOTHING)
    // After a reset, the write in progress fails in this turn.
    if (isSending) setImmediate(() => this._pushEnd())
    else this._pushEnd()
    return false
  }

  override _write (chunk: unknown, encoding: BufferEncoding, callback: WriteCallback): void {
    super._write(chunk, encoding, error => this._written(error, callback))
  }

  override _writev (chunks: { chunk: unknown, encoding: BufferEncoding }[], callback: WriteCallback): void {
    super._writev?.(chunks, error => this._written(error, callback))
  }

  /** The other side may end its answer, and then the connection, without reading the rest of the request. */
  private _written (error: NodeJS.ErrnoException | null | undefined, callback: WriteCallback): void {
    callback(this._endReceived && error?.code === RESET_AFTER_END ? null : error)
  }

  private _pushEnd (): void {
    if (this.errored === null && !this.destroyed) super.push(null)
  }
}

/**
 * Opens a connection. Its errors reach the request that uses it at that time, also a reset directly after the last bytes.
 *
 * @example
 * const socket = openConnection({ host: '10.0.0.7', port: 8000, noDelay: true })
 */
export function openConnection (options: TcpNetConnectOpts): Socket {
  const socket = new ResetAwareSocket(options)
  // Node listens for no errors from the failure of a request's body, if its answer is whole, until the connection is released.
  socket.on('error', () => {})
  return socket.connect(options)
}

/**
 * An agent of Node's HTTP client that opens its connections by {@link openConnection}.
 *
 * @example
 * const connections = new ConnectionAgent({ keepAlive: true })
 */
export class ConnectionAgent extends Agent {
  override createConnection (options: object): Socket { return openConnection(options as TcpNetConnectOpts) }
}
