/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for a service that answers a request after its first bytes, and reads no more of it. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** A request, as far as it was read. */
export interface BegunRequest {
  /** The header lines that identify an answer as one of the service to this request. */
  readonly signature: string
  /** The last event that the caller has received; 0 for none. */
  readonly lastEvent: number
}

/** Writes an answer to a connection. */
export type EarlyAnswer = (socket: Socket, request: BegunRequest) => void

/** A service on loopback that answers early. */
export class EarlyAnswerService {
  /** Number of requests that were answered. */
  requests = 0
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  /**
   * @param answer Answers each request.
   * @param id Identifies the service in its signature.
   */
  constructor (public answer: EarlyAnswer, readonly id: string) {
    this._server = createServer({ allowHalfOpen: true }, socket => this._accept(socket))
  }

  /** The address that it listens on. Available after `listen` has resolved. */
  get address (): string { return `127.0.0.1:${(this._server.address() as AddressInfo).port}` }

  async listen (): Promise<void> { await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve)) }

  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _accept (socket: Socket): void {
    this._sockets.add(socket)
    socket.on('close', () => this._sockets.delete(socket))
    socket.on('error', () => {})
    // A connection that is closed without a request checks whether the service is alive.
    socket.on('end', () => socket.end())
    socket.once('data', bytes => {
      socket.pause()
      this.requests += 1
      this.answer(socket, this._begunRequest(bytes.toString('latin1')))
    })
  }

  private _begunRequest (head: string): BegunRequest {
    const id = fieldOf(head, 'x-attempt-id') ?? ''
    return { signature: `x-attempt-id: ${id}\r\nx-server-seal: seal-of-${this.id}\r\n`, lastEvent: Number(fieldOf(head, 'last-event-id') ?? 0) }
  }
}

function fieldOf (head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*?)\r$`, 'im').exec(head)?.[1]
}
