/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Holds one open, never used connection to each endpoint that is in demand, so that a request does not wait for its
 * connection to be opened over a busy link. Each is used for one request, as those that are opened on demand.
 */
import { createConnection, type Socket } from 'node:net'
import { parseAddress } from '../settings/address.js'

/**
 * A connection that nobody took after this is closed, in milliseconds. Endpoints close resting connections too, after
 * seconds, and one that is closed while a request is under way would lose that request.
 */
const LONGEST_REST = 1_500
/** Bounds descriptors. */
const MOST_HELD = 256

/** A held connection that does any of this is of no use: bytes before any request belong to no request. */
const watched = ['error', 'end', 'close', 'readable'] as const

interface Held {
  /** The start of the endpoint that it was opened to. */
  readonly start: string
  readonly socket: Socket
  readonly timer: NodeJS.Timeout
}

/** Ready connections of one entry. */
export class ConnectionReserve {
  private readonly _held = new Map<string, Held>()

  /**
   * Takes a ready connection, if there is one, and has the next one opened.
   *
   * @param start The start of the endpoint that is wanted there: a connection to an earlier one leads nowhere.
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
