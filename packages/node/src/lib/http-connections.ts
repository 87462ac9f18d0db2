/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Closes the connections of an HTTP server without losing bytes. Node takes a connection for idle as soon as `end()` was called on its
 * response, although bytes may still wait in the process, and it closes connections while bytes of the other side may be unread, which
 * resets them and can discard the end of an answer on its way.
 */
import type { Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import { cutAnswer } from './cut-answer.js'
import { IoTimeout } from './io-timeout.js'
import type { Counters } from './observe/metrics.js'
import { sliceReads } from './sliced-reads.js'

/** How long a connection is read after its last byte was sent, until the other side closes it, in milliseconds. */
const LINGER_TIMEOUT = 1_000

/** What a stop did not wait for. */
export interface StopResult {
  /** Answers that were not sent completely. */
  readonly cut: number
  /** The bytes of these answers that waited in this process. */
  readonly unsent: number
  /** Requests that were ended with an answer of this process. */
  readonly ended: number
}

/** Bounds what the clients of one server may hold. */
export interface ConnectionLimits {
  /** The largest number of open connections. Beyond it, the one that is at rest for the longest time is closed. */
  readonly connections: number
  /** The largest number of requests that wait on one connection until those before them are answered. Beyond it, the connection is closed. */
  readonly pipelined: number
  /** Called if no connection is at rest. Closes one, and returns whether it did. */
  readonly onFull: () => boolean
  readonly counters: Counters
}

interface Connection {
  /** The responses that are not completely sent, oldest first, with the listeners for their end. */
  readonly responses: Map<ServerResponse, () => void>
  /** The listeners of responses that wait for those before them. */
  readonly turns: Map<ServerResponse, (first: boolean) => void>
  /** Whether a response has announced that the connection will be closed after it. */
  closeAnnounced: boolean
  /** Whether the writing side has been ended. */
  ending: boolean
  /** The number of bytes that had been read when the last response was sent. */
  readBytes: number
}

/** The connections of one HTTP server. */
export class HttpConnections {
  /** In order of their last answer, or of their start. */
  private readonly _connections = new Map<Socket, Connection>()
  /** The connections of responses: a request that was not read to its end no longer names its socket. */
  private readonly _connectionOf = new WeakMap<ServerResponse, Connection>()
  private _closing = false
  private _resolveClosed: () => void = () => {}
  private readonly _closed = new Promise<void>(resolve => { this._resolveClosed = resolve })

  /**
   * @param _server Its requests have to be passed to {@link begin}.
   */
  constructor (private readonly _server: Server, private readonly _limits: ConnectionLimits) {
    sliceReads(_server)
    _server.on('connection', socket => this._onConnection(socket))
  }

  /**
   * Registers a request. Returns false if its connection is about to be closed: it can't be answered, so it must not be processed. That is
   * also so if too many requests wait on the connection.
   *
   * @param onSent Called once the last byte of the response has been handed to the operating system, or the connection is lost.
   * @example
   * createServer((request, response) => { if (connections.begin(response, () => {})) handle(request, response) })
   */
  begin (response: ServerResponse, onSent: () => void): boolean {
    const { socket } = response.req
    const connection = this._connections.get(socket)
    if (connection === undefined || connection.closeAnnounced || connection.ending || socket.destroyed) return false
    if (connection.responses.size > this._limits.pipelined) {
      this._limits.counters.add('connections_closed_pipelined')
      socket.destroy()
      return false
    }
    connection.responses.set(response, onSent)
    this._connectionOf.set(response, connection)
    response.on('close', () => this._onSent(socket, connection, response))
    return true
  }

  /** Whether a response is the first of its connection that is not completely sent. */
  isFirst (response: ServerResponse): boolean {
    const [first] = this._connectionOf.get(response)?.responses.keys() ?? []
    return first === response
  }

  /** Waits until a response is the first of its connection. Resolves to false if the connection is lost before. */
  untilFirst (response: ServerResponse): Promise<boolean> {
    return new Promise(resolve => { this._connectionOf.get(response)?.turns.set(response, resolve) })
  }

  /** The responses that are not completely sent. */
  get unsent (): readonly ServerResponse[] { return [...this._connections.values()].flatMap(({ responses }) => [...responses.keys()]) }

  /** Whether a response may announce that its connection will be closed after it: only if no other request follows. */
  announceClose (response: ServerResponse): boolean {
    const connection = this._connectionOf.get(response)
    if (connection === undefined || [...connection.responses.keys()].at(-1) !== response) return false
    connection.closeAnnounced = true
    return true
  }

  /** Accepts no more connections. Each connection is closed as soon as nothing on it is read or unsent. */
  close (): void {
    this._closing = true
    // The method of the HTTP server destroys connections that it takes for idle.
    NetServer.prototype.close.call(this._server)
    for (const [socket, connection] of this._connections) this._endIfIdle(socket, connection)
    this._resolveIfClosed()
  }

  /** Resolves once all connections are closed after {@link close}. */
  get closed (): Promise<void> { return this._closed }

  /** Closes all connections at once. */
  destroy (): void {
    this._server.close()
    for (const response of this.unsent) cutAnswer(response)
    this._server.closeAllConnections()
  }

  private _onConnection (socket: Socket): void {
    if (this._connections.size >= this._limits.connections && !this._closeOne()) {
      this._limits.counters.add('connections_refused')
      socket.destroy()
      return
    }
    const connection: Connection = { responses: new Map(), turns: new Map(), closeAnnounced: false, ending: false, readBytes: 0 }
    this._connections.set(socket, connection)
    // The HTTP server calls this after a response that closes its connection.
    socket.destroySoon = () => this._end(socket, connection)
    socket.on('close', () => {
      this._connections.delete(socket)
      for (const end of connection.turns.values()) end(false)
      // Responses that wait for one before them on the same connection have no event of their own.
      for (const response of [...connection.responses.keys()]) this._onSent(socket, connection, response)
      this._resolveIfClosed()
    })
  }

  private _onSent (socket: Socket, connection: Connection, response: ServerResponse): void {
    const onSent = connection.responses.get(response)
    if (onSent === undefined) return
    connection.responses.delete(response)
    onSent()
    this._startNext(connection)
    connection.readBytes = socket.bytesRead
    if (this._connections.delete(socket)) this._connections.set(socket, connection)
    if (this._closing) this._endIfIdle(socket, connection)
  }

  private _startNext ({ responses, turns }: Connection): void {
    const [next] = responses.keys()
    if (next === undefined) return
    turns.get(next)?.(true)
    turns.delete(next)
  }

  /** Closes the connection that is at rest for the longest time, or lets the owner of the server choose one if none is. */
  private _closeOne (): boolean {
    for (const [socket, { responses }] of this._connections) {
      if (responses.size > 0) continue
      this._limits.counters.add('connections_closed_at_rest')
      this._connections.delete(socket)
      socket.destroy()
      return true
    }
    return this._limits.onFull()
  }

  /** A connection on which a part of a request has arrived is not idle. */
  private _endIfIdle (socket: Socket, connection: Connection): void {
    if (connection.responses.size === 0 && socket.bytesRead === connection.readBytes) this._end(socket, connection)
  }

  /** Ends the writing side, and reads what arrives until the other side closes the connection. */
  private _end (socket: Socket, connection: Connection): void {
    if (connection.ending) return
    connection.ending = true
    socket.end(() => {
      const timeout = new IoTimeout(() => socket.destroy(), LINGER_TIMEOUT)
      socket.once('close', () => timeout.cancel())
    })
  }

  private _resolveIfClosed (): void { if (this._closing && this._connections.size === 0) this._resolveClosed() }
}
