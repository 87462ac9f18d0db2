/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Parses and validates callers' HTTP requests. docs/PROTOCOLS.md describes the accepted routes and headers.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { requestFailure, type Configuration, type RequestClass, type RequestFailure } from '@drumdrift/core'
import { randomUUID } from 'node:crypto'
import { digestOfText } from '../agent/digest.js'

/** A validated request of a caller. */
export interface CallerRequest {
  readonly id: string
  readonly organisation: string
  readonly requestClass: RequestClass
  /** The name of the pool or service that answers. */
  readonly group: string
  readonly kind: 'pool' | 'service'
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly bodyDigest: string
  readonly neverRepeat: boolean
  /** Whether the answer is an event stream, which can be resumed. */
  readonly streamed: boolean
  /** The start of the prompt, used for affinity; empty for services. */
  readonly prefix: string
  /** Monotonic time of this process, in milliseconds, as is `deadline`. */
  readonly receivedAt: number
  readonly deadline: number
}

/** The raw parts of an HTTP request. */
export interface RawRequest {
  readonly method: string
  readonly url: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

const CHAT_PATH = '/v1/chat/completions'
const SERVICE_PATH = /^\/services\/([^/?]+)(\/.*)?$/
const ID_PATTERN = /^[\x21-\x7e]{1,512}$/
const PREFIX_CHARACTERS = 256
const RETRY_WITHOUT_CONFIGURATION_MILLISECONDS = 1_000

type ParseResult = CallerRequest | RequestFailure

/** Narrows a parse result to a failure. */
export function isFailure (parsed: ParseResult): parsed is RequestFailure {
  return 'type' in parsed && parsed.type === 'request-failure'
}

/**
 * Parses a caller's request and validates it against the current configuration.
 *
 * @param organisations Organisations by the digest of their callers' keys.
 * @param maxMilliseconds The default and maximum time to the deadline, in milliseconds.
 *
 * @example
 * const parsed = parseCallerRequest(raw, configuration, organisations, 120_000, performance.now())
 * if (isFailure(parsed)) refuse(parsed)
 */
export function parseCallerRequest (
  raw: RawRequest, configuration: Configuration | undefined, organisations: ReadonlyMap<string, string>, maxMilliseconds: number, now: number
): ParseResult {
  if (configuration === undefined) return requestFailure('no-configuration', 'not-run', 'no configuration has been received yet', RETRY_WITHOUT_CONFIGURATION_MILLISECONDS)
  const organisation = organisations.get(digestOfText(bearerToken(raw.headers)))
  if (organisation === undefined) return requestFailure('unknown-organisation', 'not-run', 'the key belongs to no organisation')
  const common = parseCommonFields(raw, maxMilliseconds, now)
  if ('type' in common) return common
  if (raw.url === CHAT_PATH) return parseChat(raw, configuration, { ...common, organisation })
  const service = SERVICE_PATH.exec(raw.url)
  if (service !== null) return parseService(raw, configuration, { ...common, organisation }, service[1] ?? '', service[2] ?? '/')
  return requestFailure('bad-request', 'not-run', `no route matches ${raw.url.slice(0, 100)}`)
}

interface CommonFields {
  readonly id: string
  readonly requestClass: RequestClass
  readonly deadline: number
  readonly receivedAt: number
  readonly callerForbidsRepeat: boolean
  readonly organisation?: string
}

function parseCommonFields (raw: RawRequest, maxMilliseconds: number, now: number): CommonFields | RequestFailure {
  const id = header(raw, 'x-request-id') ?? header(raw, 'idempotency-key') ?? randomUUID()
  if (!ID_PATTERN.test(id)) return requestFailure('bad-request', 'not-run', 'x-request-id must have 1 to 512 printable characters')
  const requestClass = header(raw, 'x-request-class') ?? 'interactive'
  if (requestClass !== 'interactive' && requestClass !== 'batch') return requestFailure('bad-request', 'not-run', 'x-request-class must be interactive or batch')
  const deadlineHeader = header(raw, 'x-deadline-milliseconds')
  const remaining = deadlineHeader === undefined ? maxMilliseconds : Number(deadlineHeader)
  if (!Number.isFinite(remaining)) return requestFailure('bad-request', 'not-run', 'x-deadline-milliseconds must be a number')
  if (remaining <= 0) return requestFailure('deadline-passed', 'not-run', 'the deadline has already passed')
  const repeat = header(raw, 'x-repeat') ?? 'allowed'
  if (repeat !== 'allowed' && repeat !== 'never') return requestFailure('bad-request', 'not-run', 'x-repeat must be allowed or never')
  return { id, requestClass, deadline: now + Math.min(remaining, maxMilliseconds), receivedAt: now, callerForbidsRepeat: repeat === 'never' }
}

function parseChat (raw: RawRequest, configuration: Configuration, common: CommonFields & { organisation: string }): ParseResult {
  if (raw.method !== 'POST') return requestFailure('bad-request', 'not-run', 'chat completions require POST')
  const body = parseChatBody(raw.body)
  if (body === undefined) return requestFailure('bad-request', 'not-run', 'the body must be a JSON object with model and messages')
  if (!Object.hasOwn(configuration.pools, body.model)) return requestFailure('unknown-model', 'not-run', `no pool is named ${body.model.slice(0, 64)}`)
  return {
    ...common,
    group: body.model,
    kind: 'pool',
    method: 'POST',
    path: CHAT_PATH,
    headers: forwardedHeaders(raw),
    body: raw.body,
    bodyDigest: digestOfText(raw.body),
    neverRepeat: common.callerForbidsRepeat,
    streamed: body.stream,
    prefix: body.prefix
  }
}

function parseService (raw: RawRequest, configuration: Configuration, common: CommonFields & { organisation: string }, service: string, path: string): ParseResult {
  if (!Object.hasOwn(configuration.services, service)) return requestFailure('unknown-service', 'not-run', `no service is named ${service.slice(0, 64)}`)
  const patterns = configuration.services[service]?.neverRepeat ?? []
  const declaredNeverRepeat = patterns.some(pattern => pattern.method === raw.method && path.startsWith(pattern.pathPrefix))
  return {
    ...common,
    group: service,
    kind: 'service',
    method: raw.method,
    path,
    headers: forwardedHeaders(raw),
    body: raw.body,
    bodyDigest: digestOfText(Buffer.concat([Buffer.from(`${raw.method} ${path}\n`), raw.body])),
    neverRepeat: declaredNeverRepeat || common.callerForbidsRepeat,
    streamed: false,
    prefix: ''
  }
}

function parseChatBody (body: Buffer): { model: string, stream: boolean, prefix: string } | undefined {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
  if (typeof value !== 'object' || value === null) return undefined
  const { model, messages, stream } = value as Record<string, unknown>
  if (typeof model !== 'string' || !Array.isArray(messages) || messages.length === 0) return undefined
  return { model, stream: stream === true, prefix: JSON.stringify(messages).slice(0, PREFIX_CHARACTERS) }
}

function bearerToken (headers: IncomingHttpHeaders): string {
  return /^Bearer (.+)$/i.exec(headers.authorization ?? '')?.[1] ?? ''
}

function header (raw: RawRequest, name: string): string | undefined {
  const value = raw.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Selects the headers that are forwarded to the endpoint. The caller's key and hop-by-hop headers are not. */
function forwardedHeaders (raw: RawRequest): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const name of ['content-type', 'accept', 'accept-language', 'user-agent']) {
    const value = header(raw, name)
    if (value !== undefined) headers[name] = value
  }
  return headers
}
