/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One HTTP call to one endpoint, over a connection of its own. A connection that is used once can't carry a late answer to an
 * earlier request, and its loss affects no other request; opening one is cheap (dev-docs/platform.md).
 */
import { request as openRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionFailure, NotRunReason } from '@drumdrift/core'
import { isFramed } from '../answer-framing.js'
import { headFault } from '../answer-head.js'
import { limitInformationalResponses } from '../informational-responses.js'
import { IoTimeout } from '../io-timeout.js'
import { openConnection } from '../outgoing-connection.js'
import { parseAddress } from '../settings/address.js'
import type { AnswerHead, EndpointHead } from './ports.js'

/** How a call ended. */
export type EndpointCallEnd =
  /** `framed`: the answer declared its end. One that ended only because its connection closed may be truncated. */
  | { readonly type: 'whole', readonly framed: boolean }
  | { readonly type: 'not-run', readonly reason: NotRunReason }
  /** There was no complete answer to this request. `begun`: whether its head had been accepted. */
  | { readonly type: 'broken', readonly begun: boolean, readonly connection: 'lost' | 'open', readonly detail: string }
  /** The entry ended the call. */
  | { readonly type: 'stopped' }

/** The request to send. */
export interface EndpointRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** An open, unused connection, from `openConnection`; if `undefined`, one is opened. */
  readonly socket?: Socket | undefined
  /** How long the connection may take to open, in milliseconds. */
  readonly connectTimeout: number
}

/** Callbacks of a call. */
export interface EndpointCallListener {
  /** A new connection has opened. */
  connected (): void
  /** Parses the head of the answer. */
  readHead (response: IncomingMessage): EndpointHead
  /** @param framed Whether the answer declares its end: see `EndpointCallEnd`. */
  head (head: AnswerHead, framed: boolean): void
  data (bytes: Buffer): void
}

/**
 * The timeout for opening a connection, as a share of the route's objective, and its bounds in milliseconds. The minimum is many
 * times the latency between regions (some milliseconds); the maximum is below the second after which TCP retransmits a lost SYN.
 * Nothing has been sent before the connection opens, so the request can't have run and can still meet its objective elsewhere.
 */
const CONNECT_SHARE = 0.25
const MIN_CONNECT_TIMEOUT = 45
const MAX_CONNECT_TIMEOUT = 250

/**
 * Returns how long a connection may take to open, in milliseconds.
 *
 * @param objective The objective of the route, in milliseconds.
 * @example
 * connectTimeout(400) // 100
 */
export function connectTimeout (objective: number): number {
  return Math.min(MAX_CONNECT_TIMEOUT, Math.max(MIN_CONNECT_TIMEOUT, CONNECT_SHARE * objective))
}

/** The start of the codes of errors of Node's HTTP parser: the endpoint sent something that is not HTTP, or exceeds the parser's limits. */
const PARSE_ERROR_PREFIX = 'HPE_'

const failuresByErrorCode: Readonly<Record<string, ConnectionFailure>> = { ECONNREFUSED: 'connection-refused', ETIMEDOUT: 'connection-timed-out' }

/**
 * Returns why a connection did not open.
 *
 * @example
 * socket.on('error', error => log.info('connection-ended', { reason: connectionFailureOf(error) }))
 */
export function connectionFailureOf (error: NodeJS.ErrnoException): ConnectionFailure { return failuresByErrorCode[error.code ?? ''] ?? 'connection-failed' }

/** A call in progress. */
export class EndpointCall {
  /** `undefined` if the request cannot be sent. */
  private readonly _request: ClientRequest | undefined
  private readonly _connectTimeout: IoTimeout | undefined
  private _connected = false
  private _begun = false
  private _finished = false
  private _response: IncomingMessage | undefined
  private _finish: (end: EndpointCallEnd) => void = () => {}
  /** Resolves when the call has ended, whatever its outcome. */
  readonly ended = new Promise<EndpointCallEnd>(resolve => { this._finish = resolve })

  /**
   * Sends the request.
   *
   * @example
   * const end = await new EndpointCall(request, listener).ended
   */
  constructor ({ address, method, path, headers, body, socket: reserved, connectTimeout: timeout }: EndpointRequest, private readonly _listener: EndpointCallListener) {
    const { host, port } = parseAddress(address)
    try {
      this._request = openRequest({ host, port, method, path, headers: headers as unknown as string[], setHost: false, createConnection: () => reserved ?? openConnection({ host, port, noDelay: true }) })
    } catch {
      // Node rejects bytes in the path or in a header that HTTP does not allow there.
      reserved?.destroy()
      this._end({ type: 'not-run', reason: 'unsendable' })
      return
    }
    this._connectTimeout = new IoTimeout(() => this._end({ type: 'not-run', reason: 'connection-timed-out' }), timeout)
    this._request.on('socket', socket => {
      if (!socket.connecting) return this._onConnect()
      socket.once('connect', () => {
        this._onConnect()
        this._listener.connected()
      })
    })
    this._request.on('error', error => this._onRequestError(error))
    limitInformationalResponses(this._request, detail => this._end({ type: 'broken', begun: false, connection: 'open', detail }))
    this._request.on('response', response => this._guard(() => this._onResponse(response)))
    // Without a listener, Node closes the connection of such an answer, and the call has no end.
    this._request.on('upgrade', (_response, socket) => {
      socket.destroy()
      this._end({ type: 'broken', begun: false, connection: 'open', detail: 'the endpoint switches protocols' })
    })
    this._request.end(body)
  }

  /** Closes the connection at once. */
  stop (): void { this._end({ type: 'stopped' }) }

  /** Stops reading the answer, so that the endpoint stops sending it once the buffers of the connection are full. */
  pause (): void { this._response?.pause() }

  /** Reads the answer again. */
  resume (): void { this._response?.resume() }

  private _onConnect (): void {
    this._connected = true
    this._connectTimeout?.cancel()
  }

  /** Ends the call if its listener throws, so that the request goes on elsewhere or fails. */
  private _guard (action: () => void): void {
    try {
      action()
    } catch (error) {
      this._end({ type: 'broken', begun: this._begun, connection: 'open', detail: `the answer cannot be passed on: ${error instanceof Error ? error.message : 'unknown error'}` })
    }
  }

  private _onResponse (response: IncomingMessage): void {
    const fault = headFault(response.statusCode ?? 0, response.rawHeaders)
    if (fault !== undefined) return this._end({ type: 'broken', begun: false, connection: 'open', detail: fault })
    const head = this._listener.readHead(response)
    response.on('error', error => this._onConnectionLost(error))
    response.on('aborted', () => this._onConnectionLost(new Error('the answer was cut off')))
    if (head.type === 'not-run') return this._end({ type: 'not-run', reason: head.reason })
    if (head.type === 'foreign') return this._end({ type: 'broken', begun: false, connection: 'open', detail: head.detail })
    this._begun = true
    this._response = response
    this._listener.head(head, isFramed(response))
    response.on('data', (bytes: Buffer) => { if (!this._finished) this._guard(() => this._listener.data(bytes)) })
    response.on('end', () => {
      if (response.complete) this._end({ type: 'whole', framed: isFramed(response) })
      else this._onConnectionLost(new Error('the answer is incomplete'))
    })
  }

  private _onRequestError (error: NodeJS.ErrnoException): void {
    // Bytes after a whole answer are no part of it; its end follows.
    if (this._response?.complete === true && isFramed(this._response)) return
    if (error.code?.startsWith(PARSE_ERROR_PREFIX) === true) this._end({ type: 'broken', begun: this._begun, connection: 'open', detail: error.message })
    else this._onConnectionLost(error)
  }

  private _onConnectionLost (error: NodeJS.ErrnoException): void {
    if (this._connected) this._end({ type: 'broken', begun: this._begun, connection: 'lost', detail: error.message })
    else this._end({ type: 'not-run', reason: connectionFailureOf(error) })
  }

  private _end (end: EndpointCallEnd): void {
    if (this._finished) return
    this._finished = true
    this._connectTimeout?.cancel()
    this._request?.destroy()
    this._finish(end)
  }
}
