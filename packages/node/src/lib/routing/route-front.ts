/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The HTTP server towards callers of routes: reads a request within the configured limits, matches it, and hands it on.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { requestFailure, type RequestFailure, type RouteTable } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { listenAt } from '../listen.js'
import { CallerAnswer } from './caller-answer.js'
import type { CallerHead, Dialect } from './ports.js'
import type { ReadRequest, RoutedRequest } from './routed-request.js'

/** What the front works with. */
export interface RouteFrontParts {
  readonly address: string
  readonly dialect: Dialect
  readonly table: () => RouteTable | undefined
  readonly begin: (request: ReadRequest, answer: CallerAnswer) => RoutedRequest
  /** Random numbers in [0, 1). */
  readonly draw: () => number
  readonly log: Log
  readonly counters: Counters
}

/** The largest head that the server can be set to read; configurations set less. In bytes. */
const LARGEST_HEAD = 64 * 1024
/** Bounds memory: descriptors are bounded by the machine's limit, which is lower on small ones. */
const MOST_CONNECTIONS = 3_500
/** Used until a configuration names its own, in milliseconds. */
const FIRST_IDLE_TIMEOUT = 15_000
const FIRST_HEAD_TIMEOUT = 3_000
/** A whole request must have been read after this, in milliseconds; Node checks in steps. */
const READ_TIMEOUT = 30_000
/** How often connections that rest are ended once it has stopped to listen, in milliseconds. */
const IDLE_CLOSE_PAUSE = 20
/**
 * Before a caller comes back that met a process without any configuration, in milliseconds: between these, at random. A
 * process reads it within some tens of milliseconds of its start, and 68 callers who came in these after a kill of everything
 * would otherwise come back at one moment.
 */
const EARLIEST_RETRY_WITHOUT_CONFIGURATION = 100
const LATEST_RETRY_WITHOUT_CONFIGURATION = 500

/** The server towards callers. */
export class RouteFront {
  private readonly _server: Server
  private readonly _requests = new Set<RoutedRequest>()
  private readonly _idle = new Set<() => void>()
  private _leaving = false
  private _idleTimer: NodeJS.Timeout | undefined

  constructor (private readonly _parts: RouteFrontParts) {
    this._server = createServer({ maxHeaderSize: LARGEST_HEAD, requestTimeout: READ_TIMEOUT, headersTimeout: FIRST_HEAD_TIMEOUT, keepAliveTimeout: FIRST_IDLE_TIMEOUT }, (request, response) => { this._take(request, response) })
    this._server.maxConnections = MOST_CONNECTIONS
  }

  listen (): Promise<void> { return listenAt(this._server, this._parts.address) }

  /** Requests that have no final answer yet. */
  get inProgress (): number { return this._requests.size }

  /** Takes the limits of a new configuration. */
  applyLimits (table: RouteTable): void {
    const { idleTimeout, headerTimeout } = table.configuration.limits
    this._server.keepAliveTimeout = idleTimeout
    this._server.headersTimeout = headerTimeout
  }

  /** A request is held back from now on, also where it is in progress. */
  holdBack (fingerprint: string): void { for (const request of this._requests) request.holdBack(fingerprint) }

  /** From now on each answer asks its caller to open a new connection, elsewhere if it can. */
  leave (): void { this._leaving = true }

  /**
   * Takes no new connections, and ends those that rest, now and as soon as their answers have ended: an answer whose
   * head was sent before could not tell its caller to open a new connection for the next request.
   */
  stopListening (): void {
    this._server.close()
    this._server.closeIdleConnections()
    this._idleTimer = setInterval(() => this._server.closeIdleConnections(), IDLE_CLOSE_PAUSE)
  }

  close (): void {
    clearInterval(this._idleTimer)
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Waits until no request is in progress. */
  async idle (): Promise<void> {
    if (this._requests.size === 0) return
    await new Promise<void>(resolve => this._idle.add(resolve))
  }

  private async _take (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const receivedAt = performance.now()
    const answer = new CallerAnswer(response, () => this._leaving)
    const head = this._parts.dialect.readCaller(request.headers, request.rawHeaders)
    const table = this._parts.table()
    if (table === undefined) return this._refuse(answer, head, requestFailure('no-configuration', 'not-run', 'no configuration is known yet', retryWithoutConfiguration(this._parts.draw())))
    const path = request.url ?? '/'
    const host = (request.headers.host ?? '').toLowerCase()
    const match = table.match(host, path.split('?')[0] ?? path, head.key)
    if (match.type === 'unknown-route') return this._refuse(answer, head, requestFailure('unknown-route', 'not-run', `no route leads to ${host}${path.slice(0, 100)}`))
    if (match.type === 'unknown-key') return this._refuse(answer, head, requestFailure('unknown-organisation', 'not-run', 'the key belongs to no organisation'))
    const body = await this._body(request, table.configuration.limits.bodyBytes)
    if (body === 'too-large') return this._refuse(answer, head, requestFailure('body-too-large', 'not-run', `a body of ${table.configuration.limits.bodyBytes} bytes at most is taken`))
    if (body === 'lost') return
    const { route, organisation } = match
    this._begin({ head, method: request.method ?? 'GET', path, body, receivedAt, route, organisation, configurationVersion: table.configuration.version }, answer)
  }

  private _begin (read: ReadRequest, answer: CallerAnswer): void {
    const routed = this._parts.begin(read, answer)
    this._requests.add(routed)
    routed.done.then(() => {
      this._requests.delete(routed)
      if (this._requests.size > 0) return
      for (const listener of this._idle) listener()
      this._idle.clear()
    })
    routed.start()
  }

  private async _body (request: IncomingMessage, largest: number): Promise<Buffer | 'too-large' | 'lost'> {
    const pieces: Buffer[] = []
    let length = 0
    try {
      for await (const piece of request) {
        length += (piece as Buffer).length
        if (length > largest) return 'too-large'
        pieces.push(piece as Buffer)
      }
    } catch (error) {
      this._parts.counters.add('requests_unread')
      this._parts.log.debug('request-unread', { detail: error instanceof Error ? error.message : 'unknown error' })
      return 'lost'
    }
    return Buffer.concat(pieces, length)
  }

  private _refuse (answer: CallerAnswer, head: CallerHead, failure: RequestFailure): void {
    this._parts.counters.add(`refused_${failure.code.replaceAll('-', '_')}`)
    this._parts.log.request('request-ended', { id: head.id, result: 'refused', code: failure.code, detail: failure.detail, retry_after: failure.retryAfter })
    answer.fail(this._parts.dialect.writeFailure(head.id, failure))
  }
}

function retryWithoutConfiguration (draw: number): number {
  return Math.round(EARLIEST_RETRY_WITHOUT_CONFIGURATION + draw * (LATEST_RETRY_WITHOUT_CONFIGURATION - EARLIEST_RETRY_WITHOUT_CONFIGURATION))
}
