/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for clients that send whatever bytes they like and keep their connections open. */
import { connect, type Socket } from 'node:net'

/** What each of the clients does on its connection. */
export interface RawClientOptions {
  readonly address: string
  readonly count: number
  /** Returns what the client with an index sends, which may have no end. */
  readonly blocks: (index: number) => Iterable<Buffer>
  /** The number of blocks, from the first on, that are sent as fast as they are taken; by default all. The others follow one at each interval. */
  readonly burst?: number | undefined
  /** The time between two blocks after the burst, in milliseconds. */
  readonly interval?: number | undefined
  /** Whether it reads what it is sent; by default it does. */
  readonly reads?: boolean | undefined
}

interface Client {
  readonly socket: Socket
  readonly blocks: Iterator<Buffer>
  blocksSent: number
  /** Whether all its blocks are written. */
  done: boolean
}

const DEFAULT_INTERVAL_MILLISECONDS = 5

/** A number of clients on raw connections. They close none of them by themselves, also once the other side has ended its answers. */
export class RawClients {
  private readonly _clients: Client[]
  private readonly _timer: NodeJS.Timeout

  /**
   * @example
   * const clients = new RawClients({ address: entry.address, count: 20, blocks: () => [Buffer.from('GET / HTTP/1.1\r\n')] })
   */
  constructor (private readonly _options: RawClientOptions) {
    this._clients = Array.from({ length: _options.count }, (_, index) => this._connect(index))
    this._timer = setInterval(() => this._tick(), _options.interval ?? DEFAULT_INTERVAL_MILLISECONDS)
  }

  /** The number of connections that the other side has not closed. */
  get open (): number { return this._clients.filter(({ socket }) => !socket.destroyed).length }

  /** Whether each client has sent all its blocks, or a number of bytes, or has lost its connection. */
  haveSent (bytes: number): boolean {
    return this._clients.every(({ socket, done }) => socket.destroyed || (done && socket.writableLength === 0) || socket.bytesWritten - socket.writableLength >= bytes)
  }

  /** Closes all connections. */
  close (): void {
    clearInterval(this._timer)
    for (const { socket } of this._clients) socket.destroy()
  }

  private _connect (index: number): Client {
    const { address, blocks, reads = true } = this._options
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
    const client: Client = { socket, blocks: blocks(index)[Symbol.iterator](), blocksSent: 0, done: false }
    socket.on('error', () => {})
    socket.on('drain', () => this._sendBurst(client))
    socket.on('connect', () => this._sendBurst(client))
    if (reads) socket.resume()
    else socket.pause()
    return client
  }

  private _sendBurst (client: Client): void {
    const { burst = Infinity } = this._options
    while (client.blocksSent < burst && this._sendNext(client));
  }

  private _tick (): void {
    const { burst = Infinity } = this._options
    for (const client of this._clients) if (client.blocksSent >= burst && !client.socket.connecting && !client.socket.writableNeedDrain) this._sendNext(client)
  }

  /** Sends the next block. Returns whether another one may follow at once. */
  private _sendNext (client: Client): boolean {
    if (client.socket.destroyed || client.done) return false
    const { done = false, value } = client.blocks.next()
    client.done = done
    if (done) return false
    client.blocksSent += 1
    return client.socket.write(value as Buffer)
  }
}

/** How long the callers of raw requests wait, in milliseconds. */
const PATIENCE_MILLISECONDS = 2_000

/**
 * Returns the head of a request, without the fields that describe its body and the line that ends it.
 *
 * @example
 * `${rawRequestHead('attempt-1', 'key-1', '/safe/')}Content-Length: 0\r\n\r\n`
 */
export function rawRequestHead (id: string, key: string, path: string): string {
  return `POST ${path}${id} HTTP/1.1\r\nHost: halls.example\r\nX-Attempt-Id: ${id}\r\nX-Credential: ${key}\r\nX-Deadline-Ms: ${PATIENCE_MILLISECONDS}\r\n`
}
