/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A service on loopback that handles its connections itself. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Base class of stand-ins that write what no HTTP server would. */
export abstract class RawService {
  private readonly _server: Server = createServer({ allowHalfOpen: true }, socket => this._open(socket))
  private readonly _sockets = new Set<Socket>()

  /** @param id Identifies the service in its signature. */
  constructor (readonly id: string) {}

  /** Its open connections. */
  protected get sockets (): ReadonlySet<Socket> { return this._sockets }
  /** The address that it listens on. Available after `listen` has resolved. */
  get address (): string { return `127.0.0.1:${(this._server.address() as AddressInfo).port}` }

  async listen (): Promise<void> { await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve)) }

  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  /** Handles a connection with the first bytes of a request. */
  protected abstract handle (socket: Socket, request: string): void

  /** Returns the header lines that identify an answer as one of the service to the request; none for a request without an id. */
  protected signatureFor (request: string): string {
    const id = fieldOf(request, 'x-attempt-id')
    return id === undefined ? '' : `x-attempt-id: ${id}\r\nx-server-seal: seal-of-${this.id}\r\n`
  }

  private _open (socket: Socket): void {
    this._sockets.add(socket)
    socket.on('close', () => this._sockets.delete(socket))
    socket.on('error', () => {})
    socket.on('end', () => socket.end())
    socket.once('data', bytes => this.handle(socket, bytes.toString('latin1')))
  }
}

/** Returns the value of a header of a request. */
export function fieldOf (request: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*?)\r$`, 'im').exec(request)?.[1]
}
