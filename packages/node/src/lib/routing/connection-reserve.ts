/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Keeps one open, unused connection to each endpoint that receives requests, so that a request does not wait for a connection to
 * open over a busy link. Like connections that are opened on demand, each carries only one request.
 */
import type { Socket } from 'node:net'
import { openConnection } from '../outgoing-connection.js'
import { parseAddress } from '../settings/address.js'

/**
 * An unused connection is closed after this time, in milliseconds. Endpoints also close idle connections, after seconds; if that
 * happens while a request is in flight, the request is lost.
 */
const MAX_IDLE_TIME = 1_500
/** Bounds the number of file descriptors. */
const MAX_CONNECTIONS = 256

/** Events that make an unused connection unusable. Bytes that arrive before any request belong to none. */
const invalidatingEvents = ['error', 'end', 'close', 'readable'] as const

interface ReservedConnection {
  /** The start of the endpoint to which the connection was opened. */
  readonly start: string
  readonly socket: Socket
  readonly timer: NodeJS.Timeout
}

/** The open, unused connections of one entry. */
export class ConnectionReserve {
  private readonly _connections = new Map<string, ReservedConnection>()

  /**
   * Returns an open connection, or `undefined` if there is none, and opens the next one.
   *
   * @param start The expected start of the endpoint: a connection to an earlier start is not usable.
   * @example
   * const socket = reserve.take('10.0.0.7:8080', startKeyOf(record)) ?? connect('10.0.0.7:8080')
   */
  take (address: string, start: string): Socket | undefined {
    const held = this._connections.get(address)
    if (held !== undefined && held.start !== start) this._drop(address, held)
    return this._take(address, start, this._connections.get(address))
  }

  private _take (address: string, start: string, held: ReservedConnection | undefined): Socket | undefined {
    const ready = held !== undefined && !held.socket.connecting && !held.socket.destroyed
    if (ready) this._release(address, held)
    if (!this._connections.has(address)) this._open(address, start)
    return ready ? held.socket : undefined
  }

  /** Closes the connections to some addresses. */
  closeTo (addresses: ReadonlySet<string>): void {
    for (const [address, held] of this._connections) if (addresses.has(address)) this._drop(address, held)
  }

  close (): void {
    for (const [address, held] of this._connections) {
      this._release(address, held)
      held.socket.destroy()
    }
  }

  private _open (address: string, start: string): void {
    if (this._connections.size >= MAX_CONNECTIONS) return
    const { host, port } = parseAddress(address)
    const socket = openConnection({ host, port, noDelay: true })
    const held: ReservedConnection = { start, socket, timer: setTimeout(() => this._drop(address, held), MAX_IDLE_TIME) }
    this._connections.set(address, held)
    for (const event of invalidatingEvents) socket.on(event, () => this._drop(address, held))
  }

  private _drop (address: string, held: ReservedConnection): void {
    if (this._connections.get(address) !== held) return
    this._release(address, held)
    held.socket.on('error', () => {})
    held.socket.destroy()
  }

  private _release (address: string, { socket, timer }: ReservedConnection): void {
    clearTimeout(timer)
    this._connections.delete(address)
    for (const event of invalidatingEvents) socket.removeAllListeners(event)
  }
}
