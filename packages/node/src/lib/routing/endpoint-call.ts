/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One attempt of a request at one endpoint, over a connection of its own. A connection that is used once can bring no
 * late answer of an earlier request, and a broken one tells nothing about any other; the price of opening it is small
 * (dev-docs/platform.md).
 */
import { request as openRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import { createConnection, type Socket } from 'node:net'
import type { NotRunReason } from '@drumdrift/core'
import { parseAddress } from '../settings/address.js'
import type { AnswerHead, EndpointHead } from './ports.js'

/** How a call ended. */
export type EndpointCallEnd =
  /** `framed`: the answer told its end itself; one that only ended with its connection may have been cut off. */
  | { readonly type: 'whole', readonly framed: boolean }
  | { readonly type: 'not-run', readonly reason: NotRunReason }
  /** No whole answer to this request. `begun` tells whether its head had been taken. */
  | { readonly type: 'broken', readonly begun: boolean, readonly connection: 'lost' | 'open', readonly detail: string }
  /** This side stopped it. */
  | { readonly type: 'stopped' }

/** What to send. */
export interface EndpointRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  /** Name, value, name, value. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** An open connection that has not been used; nothing to open one. */
  readonly socket?: Socket | undefined
  /** Milliseconds for a connection to open. */
  readonly connectPatience: number
}

/** What happens during a call. */
export interface EndpointCallListener {
  /** Reads the head of the answer. */
  readHead (response: IncomingMessage): EndpointHead
  head (head: AnswerHead): void
  data (bytes: Buffer): void
}

/**
 * Time to open a connection, as a share of the route's objective, and its bounds in milliseconds: the least is many times
 * the way between regions (some milliseconds), the most under the second after which a lost opening packet is sent again.
 * Nothing has been sent before, so nothing can have run, and the request can still be in time elsewhere.
 */
const CONNECT_SHARE = 0.25
const LEAST_CONNECT_PATIENCE = 45
const MOST_CONNECT_PATIENCE = 250

/**
 * How long a connection may take to open, in milliseconds.
 *
 * @param objective The route's, in milliseconds.
 * @example
 * connectPatience(400) // 100
 */
export function connectPatience (objective: number): number {
  return Math.min(MOST_CONNECT_PATIENCE, Math.max(LEAST_CONNECT_PATIENCE, CONNECT_SHARE * objective))
}

/** A call under way. */
export class EndpointCall {
  private readonly _request: ClientRequest
  private readonly _connectTimer: NodeJS.Timeout
  private _connected = false
  private _begun = false
  private _finished = false
  private _finish: (end: EndpointCallEnd) => void = () => {}
  /** Resolves when the call has ended, however it ended. */
  readonly ended = new Promise<EndpointCallEnd>(resolve => { this._finish = resolve })

  /**
   * Sends the request.
   *
   * @example
   * const end = await new EndpointCall(request, listener).ended
   */
  constructor ({ address, method, path, headers, body, socket: ready, connectPatience: patience }: EndpointRequest, private readonly _listener: EndpointCallListener) {
    const { host, port } = parseAddress(address)
    this._request = openRequest({ host, port, method, path, headers: headers as unknown as string[], setHost: false, createConnection: () => ready ?? createConnection({ host, port, noDelay: true }) })
    // A process that was held up runs its timers before it sees that connections have opened meanwhile.
    this._connectTimer = setTimeout(() => setImmediate(() => this._connectTimedOut()), patience)
    this._request.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => this._onConnect())
      else this._onConnect()
    })
    this._request.on('error', error => this._lost(error.message))
    this._request.on('response', response => this._onResponse(response))
    this._request.end(body)
  }

  /** Ends the call at once; the endpoint sees its connection close. */
  stop (): void { this._end({ type: 'stopped' }) }

  private _connectTimedOut (): void {
    if (!this._connected) this._end({ type: 'not-run', reason: 'not-connected' })
  }

  private _onConnect (): void {
    this._connected = true
    clearTimeout(this._connectTimer)
  }

  private _onResponse (response: IncomingMessage): void {
    const head = this._listener.readHead(response)
    response.on('error', error => this._lost(error.message))
    response.on('aborted', () => this._lost('the answer was cut off'))
    if (head.type === 'not-run') return this._end({ type: 'not-run', reason: head.reason })
    if (head.type === 'foreign') return this._end({ type: 'broken', begun: false, connection: 'open', detail: head.detail })
    this._begun = true
    this._listener.head(head)
    response.on('data', (bytes: Buffer) => { if (!this._finished) this._listener.data(bytes) })
    response.on('end', () => {
      if (response.complete) this._end({ type: 'whole', framed: isFramed(response) })
      else this._lost('the answer ended early')
    })
  }

  private _lost (detail: string): void {
    if (this._connected) this._end({ type: 'broken', begun: this._begun, connection: 'lost', detail })
    else this._end({ type: 'not-run', reason: 'not-connected' })
  }

  private _end (end: EndpointCallEnd): void {
    if (this._finished) return
    this._finished = true
    clearTimeout(this._connectTimer)
    this._request.destroy()
    this._finish(end)
  }
}

/** Whether an answer tells where it ends (RFC 9112, 6.3), so that the end of its connection is no guess. */
function isFramed ({ headers, statusCode = 0 }: IncomingMessage): boolean {
  const bodiless = statusCode === 204 || statusCode === 304
  return bodiless || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
