/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for a caller on the users' platform. */
import { request as openRequest, type Agent, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import { writeShape, type AnswerShape } from './answer-shape.js'
import { LONG_TIMEOUT_MILLISECONDS } from './configuration.js'

const MILLISECONDS_PER_SECOND = 1_000
/** Number of bytes that a slow caller reads between two pauses. */
const READ_BLOCK_BYTES = 500_000

/** A response as received by a caller. */
export interface CallerResponse {
  /** 0 if the connection ended before a response head. */
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** Whether the response was complete. */
  readonly whole: boolean
  /** Whether the connection was used for an earlier request. */
  readonly reused: boolean
}

/** A request of a caller. */
export interface CallerRequest {
  readonly path: string
  readonly method?: string
  readonly body?: string
  readonly headers?: Record<string, string>
  /** Keeps connections alive. Without it, each request opens a connection. */
  readonly agent?: Agent | undefined
  /** Closes the connection when aborted. */
  readonly signal?: AbortSignal
  /** How the answer is read. Without it, the answer is read at once. */
  readonly reading?: Reading | undefined
}

/** How a slow caller reads: in blocks with pauses, at a rate in bytes per second; or one block, and the rest after a pause. */
export type Reading =
  | { readonly type: 'in-blocks', readonly rate: number }
  | { readonly type: 'after-pause', readonly pauseMilliseconds: number }

/** A request of a kind that `movingConfiguration` has a route for. */
export interface Call {
  readonly id: string
  readonly kind: CallKind
  readonly key: string
  readonly agent?: Agent | undefined
  readonly signal: AbortSignal
  /** Shape of the answer; `undefined` for the worker's usual one. */
  readonly shape?: AnswerShape | undefined
  readonly reading?: Reading | undefined
}

/**
 * Kinds of requests: repeatable, not repeatable, streamed (with several attempts, or one), those whose route moves between services, and
 * those whose route leaves time for large answers.
 */
export type CallKind = 'safe' | 'unsafe' | 'stream' | 'waiting-stream' | 'moving' | 'large'

const TOKENS_PER_EVENT = 5
/** Number of tokens of a stream that has the worker's usual shape. */
const USUAL_TOKENS = 30
const longDeadline = { 'x-deadline-ms': String(LONG_TIMEOUT_MILLISECONDS) }

/** Returns the additional headers of a stream. */
function streamHeaders (shape: AnswerShape | undefined): Record<string, string> {
  return { ...longDeadline, 'x-model': 'm', 'x-token-usage': `100,${shape === undefined ? USUAL_TOKENS : TOKENS_PER_EVENT * shape.events}` }
}

/** Additional headers by kind. */
const headersOf: Partial<Record<CallKind, (shape: AnswerShape | undefined) => Record<string, string>>> = { stream: streamHeaders, 'waiting-stream': streamHeaders, large: () => longDeadline }

/** Sends one request of a kind. */
export async function call (address: string, { id, kind, key, agent, signal, shape, reading }: Call): Promise<CallerResponse> {
  const headers = { 'x-attempt-id': id, 'x-credential': key, ...headersOf[kind]?.(shape), ...(shape === undefined ? {} : writeShape(shape)) }
  return await ask(address, { path: `/${kind}/${id}`, agent, signal, reading, headers })
}

/** Checks whether an entry accepts new callers, with the readiness request of the platform. */
export async function isReady (readinessAddress: string, signal: AbortSignal): Promise<boolean> {
  return (await ask(readinessAddress, { path: '/api/ready', method: 'GET', body: '', signal })).status === 200
}

/** Returns the id of the worker that signed a response; `undefined` if it is not signed. */
export function signerOf ({ headers }: CallerResponse): string | undefined { return /^seal-of-(.*)$/.exec(String(headers['x-server-seal']))?.[1] }

/** Sends one request and collects the response. Resolves also if the request fails. */
export function ask (address: string, { path, method = 'POST', body = 'question', headers = {}, agent, signal, reading }: CallerRequest): Promise<CallerResponse> {
  const [host, port] = address.split(':')
  const allHeaders = { host: 'halls.example', 'x-attempt-id': 'attempt-1', 'x-credential': 'key-1', 'x-deadline-ms': '3000', 'content-length': String(Buffer.byteLength(body)), ...headers }
  return new Promise(resolve => {
    const outgoing = openRequest({ host, port, path, method, headers: allHeaders, agent: agent ?? false, signal }, response => { collect(response, outgoing.reusedSocket, reading, resolve) })
    outgoing.on('error', () => resolve({ status: 0, headers: {}, body: '', whole: false, reused: outgoing.reusedSocket }))
    outgoing.end(body)
  })
}

function collect (response: IncomingMessage, reused: boolean, reading: Reading | undefined, resolve: (answer: CallerResponse) => void): void {
  let body = ''
  const finish = (whole: boolean): void => resolve({ status: response.statusCode ?? 0, headers: response.headers, body, whole, reused })
  response.on('data', (bytes: Buffer) => { body += bytes.toString('utf8') })
  response.on('end', () => finish(response.complete))
  response.on('error', () => finish(false))
  response.on('aborted', () => finish(false))
  if (reading !== undefined) readSlowly[reading.type](response, reading as never)
}

/** Handlers that pause a response between its blocks. */
const readSlowly: { readonly [Type in Reading['type']]: (response: IncomingMessage, reading: Extract<Reading, { type: Type }>) => void } = {
  'in-blocks': (response, { rate }) => {
    const startedAt = performance.now()
    let size = 0
    let blockEnd = READ_BLOCK_BYTES
    response.on('data', (bytes: Buffer) => {
      size += bytes.length
      if (size < blockEnd) return
      blockEnd = size + READ_BLOCK_BYTES
      pauseReading(response, startedAt + size / rate * MILLISECONDS_PER_SECOND - performance.now())
    })
  },
  'after-pause': (response, { pauseMilliseconds }) => { response.once('data', () => { pauseReading(response, pauseMilliseconds) }) }
}

function pauseReading (response: IncomingMessage, milliseconds: number): void {
  response.pause()
  setTimeout(() => response.resume(), milliseconds)
}
