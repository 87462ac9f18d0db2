/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Keeps one open, unused connection to each endpoint that receives requests, so that a request does not wait for a connection to
 * open over a busy link. Like connections that are opened on demand, each carries only one request.
 */
import { createConnection, type Socket } from 'node:net'
import { parseAddress } from '../settings/address.js'

/**
 * An unused connection is closed after this time, in milliseconds. Endpoints also close idle connections, after seconds; if that
 * happens while a request is in flight, the request is lost.
 */
const LONGEST_REST = 1_500
/** Bounds the number of file descriptors. */
const MOST_HELD = 256

/** Events that make an unused connection unusable. Bytes that arrive before any request belong to none. */
const watched = ['error', 'end', 'close', 'readable'] as const

interface Held {
  /** The start of the endpoint to which the connection was opened. */
  readonly start: string
  readonly socket: Socket
  readonly timer: NodeJS.Timeout
}

/** The open, unused connections of one entry. */
export class ConnectionReserve {
  private readonly _held = new Map<string, Held>()

  /**
   * Returns an open connection, or `undefined` if there is none, and opens the next one.
   *
   * @param start The expected start of the endpoint: a connection to an earlier start is not usable.
   * @example
   * const socket = reserve.take('10.0.0.7:8080', startOf(record)) ?? connect('10.0.0.7:8080')
   */
  take (address: string, start: string): Socket | undefined {
    const held = this._held.get(address)
    if (held !== undefined && held.start !== start) this._drop(address, held)
    return this._take(address, start, this._held.get(address))
  }

  private _take (address: string, start: string, held: Held | undefined): Socket | undefined {
    const ready = held !== undefined && !held.socket.connecting && !held.socket.destroyed
    if (ready) this._release(address, held)
    if (!this._held.has(address)) this._open(address, start)
    return ready ? held.socket : undefined
  }

  close (): void {
    for (const [address, held] of this._held) {
      this._release(address, held)
      held.socket.destroy()
    }
  }

  private _open (address: string, start: string): void {
    if (this._held.size >= MOST_HELD) return
    const { host, port } = parseAddress(address)
    const socket = createConnection({ host, port, noDelay: true })
    const held: Held = { start, socket, timer: setTimeout(() => this._drop(address, held), LONGEST_REST) }
    this._held.set(address, held)
    for (const event of watched) socket.on(event, () => this._drop(address, held))
  }

  private _drop (address: string, held: Held): void {
    if (this._held.get(address) !== held) return
    this._release(address, held)
    held.socket.on('error', () => {})
    held.socket.destroy()
  }

  private _release (address: string, { socket, timer }: Held): void {
    clearTimeout(timer)
    this._held.delete(address)
    for (const event of watched) socket.removeAllListeners(event)
  }
}
