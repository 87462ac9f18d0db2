/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Sends requests to the platform and to endpoints with Node's `http`, with bounds on silence, on the whole duration and on
 * the size of the answer. Every failure is typed.
 */
import { request, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { DrumdriftError } from '@drumdrift/core'
import { headFault } from '../answer-head.js'
import { limitInformationalResponses } from '../informational-responses.js'
import { ConnectionAgent } from '../outgoing-connection.js'
import type { ReadPacer } from '../peer/connection.js'
import { parseAddress } from '../settings/address.js'
import { ExchangeDuration } from './exchange-duration.js'

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
}

/** A request and its limits. */
export interface HttpRequestOptions {
  readonly method?: string
  readonly path: string
  readonly headers?: OutgoingHttpHeaders
  readonly body?: Buffer | string
  /** Milliseconds without activity on the connection after which the request fails. */
  readonly timeout?: number
  /**
   * Milliseconds after which a complete exchange fails, in addition to the time that its bytes justify: see `ExchangeDuration`. Twice the
   * timeout by default.
   */
  readonly duration?: number
  /** The largest body of the answer in bytes. */
  readonly maxBytes?: number
  readonly signal?: AbortSignal
  /** Whether the connection is kept open for further requests; `true` by default. */
  readonly keepAlive?: boolean
  /** Delays reading, so that the process does not exceed its share of the link. */
  readonly pacer?: ReadPacer
}

const MAX_ANSWER_BYTES = 64 * 1024 * 1024
/** The default timeout, in milliseconds. */
const DEFAULT_TIMEOUT = 2_000
/** The default of the whole duration, as a multiple of the timeout. */
const DURATION_FACTOR = 2
const keptConnections = new ConnectionAgent({ keepAlive: true, maxFreeSockets: 16 })
const singleConnections = new ConnectionAgent()

/**
 * Sends a request and reads the complete answer.
 *
 * @throws DrumdriftError with a peer failure: `connection-lost`, `timed-out`, `oversized`, or `malformed` for a status that is no final one.
 * @example
 * const answer = await requestHttp('10.0.0.1:8500', { path: '/configuration' })
 */
export function requestHttp (address: string, options: HttpRequestOptions): Promise<HttpAnswer> {
  const { timeout = DEFAULT_TIMEOUT, duration: allowance = DURATION_FACTOR * timeout, method = 'GET', path, body } = options
  return new Promise((resolve, reject) => {
    const finish = (settle: () => void): void => {
      duration.end()
      settle()
    }
    const fail = (error: Error): void => finish(() => reject(typedError(error)))
    // The listeners are attached in the turn in which the head arrives: an error may follow in the same turn.
    const outgoing = send(address, options, response => {
      collect(response, options, duration).then(bytes => finish(() => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: bytes })), fail)
    }, fail)
    const duration = new ExchangeDuration(allowance, taken => outgoing.destroy(httpError('timed-out', `${method} ${path}: no complete answer within ${taken} ms`)))
    duration.transferred(body === undefined ? 0 : Buffer.byteLength(body))
  })
}

/**
 * Sends a request and resolves as soon as the head of the answer is received.
 *
 * @throws DrumdriftError with a peer failure.
 */
export function openHttp (address: string, options: HttpRequestOptions): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => { send(address, options, resolve, error => reject(typedError(error))) })
}

function send (address: string, options: HttpRequestOptions, onResponse: (response: IncomingMessage) => void, onError: (error: Error) => void): ClientRequest {
  const { host, port } = parseAddress(address)
  const { method = 'GET', path, headers = {}, body, timeout = DEFAULT_TIMEOUT, signal, keepAlive: keepConnection = true } = options
  const outgoing = request({ host, port, method, path, headers, agent: keepConnection ? keptConnections : singleConnections, signal })
  onSilence(outgoing, timeout, () => outgoing.destroy(httpError('timed-out', `${method} ${path}: no answer within ${timeout} ms`)))
  limitInformationalResponses(outgoing, detail => outgoing.destroy(httpError('oversized', detail)))
  outgoing.on('error', onError)
  // Without a listener, Node closes the connection of such an answer, and the request has no end.
  outgoing.on('upgrade', (_response, socket) => {
    socket.destroy()
    onError(httpError('malformed', `${method} ${path}: the answer switches protocols`))
  })
  outgoing.on('response', response => {
    const fault = headFault(response.statusCode ?? 0, response.rawHeaders)
    if (fault !== undefined) return outgoing.destroy(httpError('malformed', `${method} ${path}: ${fault}`))
    // Node ends an answer without a length as if it were complete when its connection is reset. Bytes after a whole answer are no part of it.
    outgoing.on('error', error => { if (!response.complete) response.destroy(error) })
    outgoing.off('error', onError)
    onResponse(response)
  })
  outgoing.end(body)
  return outgoing
}

/** Calls a function if nothing happens on the connection of a request for a while, including what waits to be read at that time. */
function onSilence (outgoing: ClientRequest, timeout: number, silent: () => void): void {
  outgoing.on('socket', socket => {
    let ended = false
    const check = (): void => {
      const activity = activityOf(socket)
      setImmediate(() => { if (!ended && activityOf(socket) === activity) silent() })
    }
    socket.setTimeout(timeout)
    socket.on('timeout', check)
    outgoing.on('close', () => {
      ended = true
      socket.off('timeout', check)
    })
  })
}

/** Changes whenever the connection opens, or transfers bytes. */
function activityOf ({ connecting, bytesRead, bytesWritten }: Socket): string { return `${connecting} ${bytesRead} ${bytesWritten}` }

function collect (response: IncomingMessage, { maxBytes = MAX_ANSWER_BYTES, pacer }: HttpRequestOptions, duration: ExchangeDuration): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const buffers: Buffer[] = []
    let length = 0
    response.on('data', (data: Buffer) => {
      length += data.length
      if (length > maxBytes) return response.destroy(httpError('oversized', `answer exceeds ${maxBytes} bytes`))
      buffers.push(data)
      duration.transferred(data.length)
      const wait = pacer?.received(data.length) ?? 0
      if (wait > 0) pauseReading(response, wait, duration)
    })
    response.on('end', () => resolve(Buffer.concat(buffers, length)))
    response.on('error', reject)
    response.on('close', () => { if (!response.complete) reject(httpError('connection-lost', 'connection closed before the end of the answer')) })
  })
}

function pauseReading (response: IncomingMessage, wait: number, duration: ExchangeDuration): void {
  duration.paused(wait)
  response.pause()
  setTimeout(() => response.resume(), wait)
}

function typedError (error: Error): DrumdriftError { return error instanceof DrumdriftError ? error : httpError('connection-lost', error.message) }

function httpError (reason: 'connection-lost' | 'timed-out' | 'oversized' | 'malformed', detail: string): DrumdriftError {
  return new DrumdriftError({ type: 'peer-failure', reason, detail })
}
