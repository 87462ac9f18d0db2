/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Sends requests to the platform and to endpoints with Node's `http`, with a timeout and a limit on the size of the
 * answer. Every failure is typed.
 */
import { Agent, request, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http'
import { DrumdriftError } from '@drumdrift/core'
import { parseAddress } from '../settings/address.js'
import type { ReadPacer } from '../peer/connection.js'

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
const connections = new Agent({ keepAlive: true, maxFreeSockets: 16 })

/**
 * Sends a request and reads the complete answer.
 *
 * @throws DrumdriftError with a peer failure: `connection-lost`, `timed-out` or `oversized`.
 * @example
 * const answer = await requestHttp('10.0.0.1:8500', { path: '/configuration' })
 */
export async function requestHttp (address: string, options: HttpRequestOptions): Promise<HttpAnswer> {
  const response = await openHttp(address, options)
  const body = await collect(response, options)
  return { status: response.statusCode ?? 0, headers: response.headers, body }
}

/**
 * Sends a request and resolves as soon as the head of the answer is received.
 *
 * @throws DrumdriftError with a peer failure.
 */
export function openHttp (address: string, options: HttpRequestOptions): Promise<IncomingMessage> {
  const { host, port } = parseAddress(address)
  const { method = 'GET', path, headers = {}, body, timeout = DEFAULT_TIMEOUT, signal, keepAlive: keepConnection = true } = options
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, method, path, headers, agent: keepConnection ? connections : false, timeout, signal }, response => {
      // Node ends an answer without a length as if it were complete when its connection is reset.
      outgoing.on('error', error => { response.destroy(error) })
      resolve(response)
    })
    outgoing.on('timeout', () => outgoing.destroy(httpError('timed-out', `${method} ${path}: no answer within ${timeout} ms`)))
    outgoing.on('error', error => reject(error instanceof DrumdriftError ? error : httpError('connection-lost', error.message)))
    outgoing.end(body)
  })
}

function collect (response: IncomingMessage, { maxBytes = MAX_ANSWER_BYTES, pacer }: HttpRequestOptions): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const buffers: Buffer[] = []
    let length = 0
    response.on('data', (data: Buffer) => {
      length += data.length
      if (length > maxBytes) response.destroy(httpError('oversized', `answer exceeds ${maxBytes} bytes`))
      buffers.push(data)
      const wait = pacer?.received(data.length) ?? 0
      if (wait > 0) pauseReading(response, wait)
    })
    response.on('end', () => resolve(Buffer.concat(buffers, length)))
    response.on('error', error => reject(error instanceof DrumdriftError ? error : httpError('connection-lost', error.message)))
    response.on('close', () => { if (!response.complete) reject(httpError('connection-lost', 'connection closed before the end of the answer')) })
  })
}

function pauseReading (response: IncomingMessage, wait: number): void {
  response.pause()
  setTimeout(() => response.resume(), wait)
}

function httpError (reason: 'connection-lost' | 'timed-out' | 'oversized', detail: string): DrumdriftError {
  return new DrumdriftError({ type: 'peer-failure', reason, detail })
}
