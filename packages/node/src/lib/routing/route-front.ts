/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The HTTP server for callers: reads a request within the configured limits, matches it to a route, and starts routing it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { acceptsBeforeStop, BufferBudget, ReadTurns, refusalOfStop, requestFailure, type RequestFailure, type RouteTable } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { CallerLimits } from '../caller-limits.js'
import { HttpConnections, type StopResult } from '../http-connections.js'
import { closeIdleAfterReading } from '../idle-connections.js'
import { listenAt } from '../listen.js'
import { bodyFailures, dropRest, readBody, type ReadBody } from '../read-body.js'
import { settledWithin } from '../settled-within.js'
import { CallerAnswer } from './caller-answer.js'
import type { Dialect } from './ports.js'
import { DEADLINE_GRACE, type ReadRequest, type RoutedRequest } from './routed-request.js'

/** Dependencies and settings of a {@link RouteFront}. */
export interface RouteFrontOptions {
  readonly address: string
  readonly dialect: Dialect
  readonly table: () => RouteTable | undefined
  readonly begin: (request: ReadRequest, answer: CallerAnswer) => RoutedRequest
  /** The largest number of bytes that are buffered for all callers together; infinite for no bound. */
  readonly bufferBound: number
  readonly limits: CallerLimits
  /** Random numbers in [0, 1). */
  readonly random: () => number
  readonly log: Log
  readonly counters: Counters
}

/** What callers wait for, in numbers of requests. */
export interface ExchangeCounts {
  /** Requests that are being routed. */
  readonly requests: number
  /** Requests whose bodies are being read. */
  readonly reading: number
  /** Answers that have ended and whose bytes are not all sent. */
  readonly unsent: number
}

/** A request and its answer, until the last byte of the answer has been handed to the operating system. */
interface Exchange {
  readonly id: string
  readonly request: IncomingMessage
  readonly answer: CallerAnswer
  /** Set once the request has been read. */
  routed?: RoutedRequest
}

/** The largest request head that the server accepts, in bytes; configurations set lower limits. */
const MAX_HEAD_BYTES = 64 * 1024
/** Timeouts that apply until a configuration sets its own, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT = 15_000
const DEFAULT_HEADER_TIMEOUT = 3_000
/** Node accepts these characters in a path, but sends none that has them (RFC 9112, 3.2). */
const UNSENDABLE = /[\t\f]/
/** The time within which a whole request must be read, in milliseconds. Node checks it periodically, so a timeout can come later. */
const READ_TIMEOUT = 30_000
/** How long the last answers of a stop may take to be sent, in milliseconds. */
const LAST_ANSWERS_TIMEOUT = 300
/**
 * Bounds of the random retry delay for a caller that is refused because the process has no configuration yet, in milliseconds.
 * A process reads its configuration within some tens of milliseconds after its start. The jitter spreads the retries: after all
 * processes were killed, 68 callers were refused in this window and would otherwise have retried at the same moment.
 */
const MIN_RETRY_WITHOUT_CONFIGURATION = 100
const MAX_RETRY_WITHOUT_CONFIGURATION = 500

/** The HTTP server for callers. */
export class RouteFront {
  private readonly _server: Server
  private readonly _requests = new Set<RoutedRequest>()
  private readonly _exchanges = new Set<Exchange>()
  private readonly _connections: HttpConnections
  private readonly _buffers: BufferBudget
  private readonly _turns: ReadTurns
  private _leaving = false
  /** When requests in progress will be ended; infinite while connections are accepted. In milliseconds. */
  private _stopAt = Infinity
  private _listening = true

  constructor (private readonly _options: RouteFrontOptions) {
    const { limits, counters } = _options
    this._buffers = new BufferBudget(_options.bufferBound)
    this._turns = new ReadTurns(limits.costlyBodies)
    this._server = createServer({ maxHeaderSize: MAX_HEAD_BYTES, requestTimeout: READ_TIMEOUT, headersTimeout: DEFAULT_HEADER_TIMEOUT, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT }, (request, response) => { this._handle(request, response) })
    this._connections = new HttpConnections(this._server, { ...limits, counters, onFull: () => this._buffers.endStalled(performance.now()) })
    closeIdleAfterReading(this._server)
  }

  listen (): Promise<void> { return listenAt(this._server, this._options.address) }

  get counts (): ExchangeCounts {
    const exchanges = [...this._exchanges]
    const count = (matches: (exchange: Exchange) => boolean): number => exchanges.filter(matches).length
    return {
      requests: count(({ answer, routed }) => routed !== undefined && !answer.ended),
      reading: count(({ answer, routed }) => routed === undefined && !answer.ended),
      unsent: count(({ answer }) => answer.ended)
    }
  }

  /** Applies the timeouts of a new configuration. */
  applyLimits (table: RouteTable): void {
    const { idleTimeout, headerTimeout } = table.configuration.limits
    this._server.keepAliveTimeout = idleTimeout
    this._server.headersTimeout = headerTimeout
  }

  /** Aborts the requests with a fingerprint that are held back from now on and have not begun. */
  holdBack (fingerprint: string): void { for (const request of this._requests) request.holdBack(fingerprint) }

  /** Applies the current bounds of versions, and the current delays of the links, to all requests in progress. */
  rescheduleCancellations (): void { for (const request of this._requests) request.rescheduleCancellation() }

  /** Hedges the requests whose answers are overdue. */
  checkSilence (): void { for (const request of this._requests) request.checkSilence() }

  /**
   * From now on, each answer asks its caller to close the connection, so that its next request opens one to another process.
   *
   * @param stopAt When the requests in progress will be ended, in milliseconds of `performance.now()`. Requests that may not be repeated are
   *     accepted only if they end before; all others until {@link stopListening}, because few of them take as long as they may.
   */
  leave (stopAt = Infinity): void {
    this._leaving = true
    this._stopAt = stopAt
  }

  /**
   * Accepts no new connections, and closes each connection as soon as its answers are sent. An answer whose head was sent before
   * the stop could not carry `Connection: close`, so its caller would otherwise reuse the connection.
   */
  stopListening (): void {
    this._listening = false
    this._connections.close()
  }

  /** Ends all requests in progress: cuts the answers that have begun, and gives the others a final answer. Then cuts what can't be sent soon. */
  async endAll (): Promise<StopResult> {
    const inProgress = [...this._exchanges].filter(({ answer }) => !answer.ended)
    const begun = this._cut(inProgress.filter(({ answer }) => answer.begun))
    const unanswered = inProgress.filter(({ answer }) => !answer.begun)
    for (const exchange of unanswered) {
      const { routed } = exchange
      if (routed === undefined) this._refuse(exchange, refusalOfStop(this._options.random()))
      else routed.endByStop()
    }
    await settledWithin(this._connections.closed, LAST_ANSWERS_TIMEOUT)
    const late = this._cut([...this._exchanges])
    return { cut: begun.cut + late.cut, unsent: begun.unsent + late.unsent, ended: unanswered.length }
  }

  close (): void { this._connections.destroy() }

  /** Waits until all answers are sent and all connections are closed. To be called after {@link stopListening}. */
  async waitUntilIdle (): Promise<void> { await this._connections.closed }

  /** Cuts answers, and logs each of them. */
  private _cut (exchanges: readonly Exchange[]): Pick<StopResult, 'cut' | 'unsent'> {
    let unsent = 0
    for (const { id, answer, routed } of exchanges) {
      unsent += answer.unsent
      this._options.log.warn('answer-cut', { id, unsent: answer.unsent, reason: 'stop-timeout' })
      routed?.endByStop()
      answer.cut()
    }
    return { cut: exchanges.length, unsent }
  }

  private async _handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    // Requests that were read together with one that closed the connection are parsed all the same.
    if (request.socket.destroyed) return
    const receivedAt = performance.now()
    response.on('close', () => { if (answer.reclaimed) this._options.counters.add('answers_reclaimed') })
    const closesConnection = (): boolean => (this._leaving || !request.complete) && this._connections.announceClose(response)
    const answer = new CallerAnswer(response, closesConnection, this._buffers)
    const head = this._options.dialect.readCaller(request.headers, request.rawHeaders)
    const exchange: Exchange = { id: head.id, request, answer }
    if (!this._connections.begin(response, () => this._exchanges.delete(exchange))) return this._drop(request)
    this._exchanges.add(exchange)
    if (!this._connections.isFirst(response) && !await this._connections.untilFirst(response)) return
    if (answer.ended) return
    const { random } = this._options
    const refuse = (failure: RequestFailure): Promise<void> => this._refuseRead(exchange, failure)
    const table = this._options.table()
    if (table === undefined) return await refuse(requestFailure('no-configuration', 'not-run', 'no configuration has been received yet', retryDelayWithoutConfiguration(random())))
    const path = request.url ?? '/'
    const host = (request.headers.host ?? '').toLowerCase()
    const match = table.match(host, path.split('?')[0] ?? path, head.key)
    if (match.type === 'unknown-route') return await refuse(requestFailure('unknown-route', 'not-run', `no route matches ${host}${path.slice(0, 100)}`))
    if (match.type === 'unknown-key') return await refuse(requestFailure('unknown-organisation', 'not-run', 'the key does not belong to any organisation'))
    if (UNSENDABLE.test(path)) return await refuse(requestFailure('bad-request', 'not-run', 'the path holds control characters'))
    const { route, organisation } = match
    const deadline = receivedAt + Math.min(route.timeout, head.patience ?? route.timeout)
    const mustEndBeforeStop = !this._listening || route.kind === 'unsafe'
    if (mustEndBeforeStop && !acceptsBeforeStop(deadline + DEADLINE_GRACE, this._stopAt)) return await refuse(refusalOfStop(random()))
    if (!this._buffers.makeRoom(performance.now())) return await refuse(requestFailure('buffers-full', 'not-run', `${this._buffers.held} bytes are buffered for callers that read or send slowly`, retryDelayWithFullBuffers(random())))
    const { bodyBytes } = table.configuration.limits
    const body = await this._readBody(exchange, bodyBytes, deadline)
    if (answer.ended) return
    if (body.type === 'lost') return this._onRequestLost(body.detail)
    if (body.type !== 'whole') return this._refuse(exchange, bodyFailures[body.type](bodyBytes))
    this._begin({ head, method: request.method ?? 'GET', path, body: body.bytes, receivedAt, route, organisation, configurationVersion: table.configuration.version }, exchange)
  }

  private _readBody ({ request, answer }: Exchange, largest: number, deadline: number): Promise<ReadBody> {
    return readBody(request, {
      largest,
      overheadFactor: this._options.limits.overheadFactor,
      within: deadline - performance.now(),
      turns: this._turns,
      onProgress: (held, complete) => {
        if (!answer.ended) answer.holdRequest(held, complete)
        return !answer.ended
      }
    })
  }

  private _begin (read: ReadRequest, exchange: Exchange): void {
    const routed = this._options.begin(read, exchange.answer)
    exchange.routed = routed
    this._requests.add(routed)
    routed.done.then(() => this._requests.delete(routed))
    routed.start()
  }

  private _onRequestLost (detail: string): void {
    this._options.counters.add('requests_unread')
    this._options.log.debug('request-unread', { detail })
  }

  /** Drops a request on a connection that is about to be closed. Its caller sees the close before an answer. */
  private _drop (request: IncomingMessage): void {
    this._options.counters.add('requests_dropped_at_close')
    if (!request.socket.destroyed) dropRest(request, this._options.limits.restPieces)
  }

  /** Refuses a request once the bytes that arrived with its head are read: only an incomplete request ends its connection. */
  private async _refuseRead (exchange: Exchange, failure: RequestFailure): Promise<void> {
    await Promise.resolve()
    if (!exchange.answer.ended) this._refuse(exchange, failure)
  }

  private _refuse ({ id, request, answer }: Exchange, failure: RequestFailure): void {
    this._options.counters.add(`refused_${failure.code.replaceAll('-', '_')}`)
    this._options.log.request('request-ended', { id, result: 'refused', code: failure.code, detail: failure.detail, retry_after: failure.retryAfter })
    if (!request.complete) dropRest(request, this._options.limits.restPieces)
    answer.fail(this._options.dialect.writeFailure(id, failure))
  }
}

/**
 * Bounds of the random retry delay for a caller that is refused because buffers are full, in milliseconds. Buffers become free as soon
 * as slow callers are disconnected, and the caller's next connection usually reaches another entry.
 */
const MIN_RETRY_WITH_FULL_BUFFERS = 50
const MAX_RETRY_WITH_FULL_BUFFERS = 250

function retryDelayWithFullBuffers (draw: number): number {
  return Math.round(MIN_RETRY_WITH_FULL_BUFFERS + draw * (MAX_RETRY_WITH_FULL_BUFFERS - MIN_RETRY_WITH_FULL_BUFFERS))
}

function retryDelayWithoutConfiguration (draw: number): number {
  return Math.round(MIN_RETRY_WITHOUT_CONFIGURATION + draw * (MAX_RETRY_WITHOUT_CONFIGURATION - MIN_RETRY_WITHOUT_CONFIGURATION))
}
