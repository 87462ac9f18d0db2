/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The entry's HTTP interface: callers' requests, health, metrics and the operators' routes.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { endingAtStop, ReadTurns, requestFailure, type Configuration } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Histograms } from '../observe/histograms.js'
import { metricsText, type Counters } from '../observe/metrics.js'
import type { CallerLimits } from '../caller-limits.js'
import { HttpConnections, type StopResult } from '../http-connections.js'
import { closeIdleAfterReading } from '../idle-connections.js'
import { listenAt } from '../listen.js'
import { bodyFailures, dropRest, readBody, type ReadBody } from '../read-body.js'
import { settledWithin } from '../settled-within.js'
import { HttpAnswerSink, writeFailure } from './answer-sink.js'
import { isFailure, parseCallerRequest } from './caller-request.js'
import type { Dispatcher } from './dispatcher.js'

/** Handles a request of an operator. */
export type OperatorHandler = (request: IncomingMessage, body: Buffer) => Promise<{ readonly status: number, readonly type: string, readonly body: string }>

/** Dependencies and limits of the HTTP server. */
export interface EntryHttpServerOptions {
  readonly address: string
  readonly maxBodyBytes: number
  readonly limits: CallerLimits
  /** The default and maximum time to a deadline, in milliseconds. */
  readonly maxDeadline: number
  readonly dispatcher: Dispatcher
  readonly configuration: () => Configuration | undefined
  /** Organisations by the digest of their callers' keys. */
  readonly organisations: () => ReadonlyMap<string, string>
  readonly operator: OperatorHandler
  /** Issues a request id. Resolves to `undefined` if too few keepers are reachable. */
  readonly issueId: () => Promise<string | undefined>
  readonly log: Log
  readonly counters: Counters
  readonly histograms: Histograms
}

type Route = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>

const MAX_HEADER_BYTES = 16 * 1024
const REQUEST_TIMEOUT_MILLISECONDS = 30_000
const UNAVAILABLE_RETRY_MILLISECONDS = 1_000
/** How long the last answers of a stop may take to be sent. */
const LAST_ANSWERS_MILLISECONDS = 300

/** The HTTP server of one entry. */
export class EntryHttpServer {
  private readonly _server: Server
  private readonly _connections: HttpConnections
  /** The responses to requests that have been read and are not answered. */
  private readonly _submitted = new WeakSet<ServerResponse>()
  private readonly _turns: ReadTurns
  private _draining = false

  constructor (private readonly _options: EntryHttpServerOptions) {
    this._server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MILLISECONDS }, (request, response) => {
      this._begin(request, response)
    })
    const { limits, counters } = _options
    this._connections = new HttpConnections(this._server, { ...limits, counters, onFull: () => false })
    this._turns = new ReadTurns(limits.costlyBodies)
    closeIdleAfterReading(this._server)
  }

  listen (): Promise<void> { return listenAt(this._server, this._options.address) }

  /** Starts to drain: new requests are refused as not run, and accepted requests continue. */
  leave (): void {
    this._draining = true
  }

  /**
   * Closes all connections once their answers are sent. After some time, gives the requests in progress a final answer, and cuts the
   * answers that can't be sent soon.
   *
   * @param milliseconds How long the answers may take.
   */
  async stop (milliseconds: number): Promise<StopResult> {
    this._connections.close()
    await settledWithin(this._connections.closed, milliseconds)
    const unanswered = this._connections.unsent.filter(response => !response.headersSent)
    for (const response of unanswered) this._endByStop(response)
    await settledWithin(this._connections.closed, LAST_ANSWERS_MILLISECONDS)
    const cut = this._connections.unsent
    for (const { req, writableLength } of cut) this._options.log.warn('answer-cut', { id: String(req.headers['x-request-id'] ?? ''), unsent: writableLength, reason: 'stop-timeout' })
    this._connections.destroy()
    return { cut: cut.length, unsent: cut.reduce((sum, { writableLength }) => sum + writableLength, 0), ended: unanswered.length }
  }

  private _endByStop (response: ServerResponse): void {
    if (this._connections.announceClose(response)) response.setHeader('connection', 'close')
    writeFailure(response, endingAtStop(this._submitted.has(response) ? 'may-have-run' : 'not-run', Math.random()))
  }

  private readonly _routes: Readonly<Record<string, Route>> = {
    '/health': (_request, response) => { response.writeHead(this._draining ? 503 : 200).end() },
    '/metrics': async (_request, response) => { response.end(await metricsText(this._options.counters, this._options.histograms)) },
    '/v1/models': (_request, response) => { this._listModels(response) },
    '/v1/request-ids': async (_request, response) => { await this._issueId(response) },
    '/operator/ask': async (request, response) => { await this._handleOperator(request, response) },
    '/operator/histograms': async (request, response) => { await this._handleOperator(request, response) }
  }

  private async _begin (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.socket.destroyed) return
    if (!this._connections.begin(response, () => {})) return dropRest(request, this._options.limits.restPieces)
    if (this._connections.isFirst(response) || await this._connections.untilFirst(response)) await this._route(request, response)
  }

  private _readBody (request: IncomingMessage, isWanted: () => boolean): Promise<ReadBody> {
    const { maxBodyBytes, maxDeadline, limits } = this._options
    return readBody(request, { largest: maxBodyBytes, overheadFactor: limits.overheadFactor, within: maxDeadline, turns: this._turns, onProgress: isWanted })
  }

  private async _route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0] ?? '/'
    const route = Object.hasOwn(this._routes, path) ? this._routes[path] : undefined
    try {
      if (route === undefined) await this._handleCaller(request, response)
      else await route(request, response)
    } catch (error) {
      this._options.log.error('request-failed', { path: path.slice(0, 100), detail: error instanceof Error ? error.message : '' })
      if (!response.headersSent) writeFailure(response, requestFailure('bad-request', 'not-run', 'the request could not be read'))
    }
  }

  private async _handleCaller (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const now = performance.now()
    if (this._draining) {
      if (this._connections.announceClose(response)) response.setHeader('connection', 'close')
      writeFailure(response, requestFailure('leaving', 'not-run', 'this entry is draining', UNAVAILABLE_RETRY_MILLISECONDS))
      return
    }
    const body = await this._readBody(request, () => !response.headersSent)
    if (response.headersSent) return
    if (body.type === 'lost') return this._options.log.debug('request-unread', { detail: body.detail })
    if (body.type !== 'whole') {
      if (this._connections.announceClose(response)) response.setHeader('connection', 'close')
      dropRest(request, this._options.limits.restPieces)
      writeFailure(response, bodyFailures[body.type](this._options.maxBodyBytes))
      return
    }
    const raw = { method: request.method ?? 'GET', url: request.url ?? '/', headers: request.headers, body: body.bytes }
    const parsed = parseCallerRequest(raw, this._options.configuration(), this._options.organisations(), this._options.maxDeadline, now)
    if (isFailure(parsed)) {
      this._options.counters.add(`answers_${parsed.code.replaceAll('-', '_')}`)
      writeFailure(response, parsed)
      return
    }
    this._submitted.add(response)
    this._options.dispatcher.submit({ request: parsed, sink: new HttpAnswerSink(response, parsed.id) })
  }

  private _listModels (response: ServerResponse): void {
    const pools = Object.keys(this._options.configuration()?.pools ?? {})
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ object: 'list', data: pools.map(id => ({ id, object: 'model', owned_by: 'drumdrift' })) }))
  }

  private async _issueId (response: ServerResponse): Promise<void> {
    const id = await this._options.issueId()
    if (id === undefined) {
      writeFailure(response, requestFailure('no-endpoint', 'not-run', 'too few keepers are reachable', UNAVAILABLE_RETRY_MILLISECONDS))
      return
    }
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ id }))
  }

  private async _handleOperator (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await this._readBody(request, () => true)
    const answer = await this._options.operator(request, body.type === 'whole' ? body.bytes : Buffer.alloc(0))
    response.writeHead(answer.status, { 'content-type': answer.type }).end(answer.body)
  }
}
