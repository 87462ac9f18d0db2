/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The server side of connections between the system's processes. The first message of a connection must be a `hello`
 * with the right protocol version and key. Any other first message is refused and the connection closed.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type Server, type Socket } from 'node:net'
import { PROTOCOL_VERSION, type PeerRequest } from '@drumdrift/core'
import { PeerConnection, type RequestHandler, type Responder, type Traffic } from './connection.js'
import { descriptorLimit } from '../descriptor-limit.js'
import { listenAt } from '../listen.js'
import { SilenceTimeout } from '../silence-timeout.js'
import type { Log } from '../observe/log.js'

/** Maximum number of connections that a process accepts. */
const MAX_CONNECTIONS = 4_096
/** Maximum number of connections without a valid hello, and their share of the file descriptors. Beyond it, the oldest one is closed. */
const MAX_UNAUTHENTICATED = 256
const UNAUTHENTICATED_DESCRIPTOR_SHARE = 0.1
/** Time after which a connection without a valid hello is closed, in milliseconds. */
const HELLO_TIMEOUT_MILLISECONDS = 5_000

/** Options of a peer server. */
export interface PeerServerOptions {
  readonly instance: string
  readonly address: string
  readonly key: string
  readonly log: Log
  readonly traffic: Traffic
  readonly onRequest: RequestHandler
}

/** Accepts connections and serves those that authenticate with the key. */
export class PeerServer {
  private readonly _server: Server
  private readonly _connections = new Set<PeerConnection>()
  /** Connections without a valid hello, oldest first. */
  private readonly _unauthenticated = new Set<PeerConnection>()

  constructor (private readonly _options: PeerServerOptions) {
    this._server = createServer(socket => this._accept(socket))
    this._server.maxConnections = MAX_CONNECTIONS
  }

  /** Starts listening. */
  listen (): Promise<void> { return listenAt(this._server, this._options.address) }

  /** The number of bytes that wait to be sent. */
  get backlog (): number { return [...this._connections].reduce((sum, { backlog }) => sum + backlog, 0) }

  /**
   * Stops listening and closes every connection once its messages are sent.
   *
   * @example
   * await settledWithin(server.closeWhenSent(), 1_000)
   */
  async closeWhenSent (): Promise<void> {
    this._server.close()
    await Promise.all([...this._connections].map(connection => connection.closeWhenSent()))
  }

  /** Stops listening and closes every connection at once. */
  close (): void {
    this._server.close()
    for (const connection of this._connections) connection.close()
  }

  private _accept (socket: Socket): void {
    const connection = new PeerConnection(socket, (request, payload, responder) => {
      if (!this._unauthenticated.has(connection)) this._handle(request, payload, responder)
      else if (this._authenticate(request, responder)) this._unauthenticated.delete(connection)
    }, detail => this._options.log.warn('peer-malformed', { detail, remote: remoteOf(socket) }), this._options.traffic)
    this._connections.add(connection)
    this._unauthenticated.add(connection)
    const silence = new SilenceTimeout(() => { if (this._unauthenticated.has(connection)) connection.close() }, HELLO_TIMEOUT_MILLISECONDS)
    connection.onEnd(() => {
      silence.cancel()
      this._connections.delete(connection)
      this._unauthenticated.delete(connection)
    })
    const [oldest] = this._unauthenticated
    if (this._unauthenticated.size > Math.min(MAX_UNAUTHENTICATED, UNAUTHENTICATED_DESCRIPTOR_SHARE * descriptorLimit())) oldest?.close()
  }

  /** Handles a request. A malformed message is refused, and the connection stays open. */
  private _handle (request: PeerRequest, payload: Buffer, responder: Responder): void {
    try {
      this._options.onRequest(request, payload, responder)
    } catch (error) {
      this._options.log.warn('peer-malformed', { type: String(request.type), detail: error instanceof Error ? error.message : '' })
      responder.send({ type: 'refused', reason: 'malformed', detail: 'the message is malformed' })
    }
  }

  private _authenticate (request: PeerRequest, responder: Responder): boolean {
    const refusal = this._helloRefusal(request)
    if (refusal === undefined) {
      responder.connection.authenticated()
      responder.send({ type: 'welcome', instance: this._options.instance })
      return true
    }
    this._options.log.warn('peer-refused', { reason: refusal })
    responder.send({ type: 'refused', reason: refusal, detail: `this process uses protocol version ${PROTOCOL_VERSION}` })
    setImmediate(() => responder.connection.close())
    return false
  }

  private _helloRefusal (request: PeerRequest): 'malformed' | 'protocol-version' | 'wrong-key' | undefined {
    if (request.type !== 'hello') return 'malformed'
    if (request.protocol !== PROTOCOL_VERSION) return 'protocol-version'
    return sameSecret(String(request.key), this._options.key) ? undefined : 'wrong-key'
  }
}

/**
 * Compares two secrets in constant time, so that the duration does not reveal how much of them matches.
 *
 * @example
 * sameSecret(header, key)
 */
export function sameSecret (left: string, right: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(left), digest(right))
}

function remoteOf (socket: Socket): string {
  return `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`
}
