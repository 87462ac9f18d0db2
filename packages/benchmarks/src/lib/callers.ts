/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Callers of a fleet, which check that each answer is complete, belongs to their request and comes from a single model version. */
import { Agent, request } from 'node:http'
import { expectedText, tokenOf } from '@drumdrift/stand-ins'
import { callerKey } from './fleet.js'

/** The caller's verdict on an answer. */
export type CallerResult = 'whole' | 'refused' | 'unknown' | 'cut' | 'wrong' | 'mixed'

/** One call and its result. */
export interface CallRecord {
  readonly id: string
  readonly organisation: string
  readonly kind: 'chat' | 'plain'
  readonly neverRepeat: boolean
  readonly result: CallerResult
  readonly code: string
  readonly outcome: string
  readonly version: string
  /** Milliseconds since the call was due. */
  readonly firstByte: number
  readonly took: number
  readonly retryAfter: number
  readonly at: number
}

/** A request to an entry. */
export interface Call {
  readonly id: string
  readonly organisation: string
  readonly address: string
  /** When the call was due. Latency is measured from this time, even if the call is sent late. */
  readonly due?: number
  readonly requestClass?: 'interactive' | 'batch'
  readonly chat?: { readonly pool: string, readonly prompt: string, readonly tokens: number, readonly streamed: boolean }
  readonly plain?: { readonly service: string, readonly method: string, readonly path: string, readonly body: string }
  readonly neverRepeat?: boolean
  readonly timeout?: number
  /** All versions published so far, to distinguish a mixed answer from a wrong one. */
  readonly versions?: readonly string[]
}

interface RawAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
  readonly complete: boolean
  readonly firstByte: number
}

const connections = new Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: 256 })
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000

/**
 * Makes a call and checks the answer.
 *
 * @example
 * const record = await makeCall({ id: 'r1', organisation: 'hall-1', address, chat: { pool: 'drafting', prompt: 'Plan', tokens: 8, streamed: true } })
 */
export async function makeCall (call: Call): Promise<CallRecord> {
  const due = call.due ?? performance.now()
  const at = Date.now()
  const answer = await send(call, due)
  const verdict = checkAnswer(call, answer)
  return {
    id: call.id,
    organisation: call.organisation,
    kind: call.chat === undefined ? 'plain' : 'chat',
    neverRepeat: call.neverRepeat ?? false,
    version: String(answer.headers['x-model-version'] ?? ''),
    firstByte: answer.firstByte,
    took: performance.now() - due,
    retryAfter: Number(answer.headers['retry-after'] ?? 0) * 1000,
    at,
    ...verdict
  }
}

/** Obtains a request id from an entry, as callers do for requests that must not repeat. Returns `undefined` on failure. */
export async function obtainRequestId (address: string): Promise<string | undefined> {
  const answer = await send({ id: '', organisation: '', address, path: '/v1/request-ids' }, performance.now())
  return answer.status === 200 ? (JSON.parse(answer.text) as { id: string }).id : undefined
}

function send (call: Call & { path?: string }, due: number): Promise<RawAnswer> {
  const { path, method, body } = bodyOf(call)
  const [host, port] = call.address.split(':')
  const headers: Record<string, string> = {
    authorization: `Bearer ${callerKey(call.organisation)}`, 'content-type': 'application/json', 'x-request-id': call.id, 'x-request-class': call.requestClass ?? 'interactive'
  }
  if (call.neverRepeat === true) headers['x-repeat'] = 'never'
  return new Promise(resolve => {
    const noAnswer: RawAnswer = { status: 0, headers: {}, text: '', complete: false, firstByte: 0 }
    const outgoing = request({ host, port, path, method, headers, agent: connections, timeout: call.timeout ?? DEFAULT_TIMEOUT_MILLISECONDS }, response => {
      const pieces: Buffer[] = []
      let firstByte = 0
      const finish = (): void => resolve({ status: response.statusCode ?? 0, headers: response.headers, text: Buffer.concat(pieces).toString('utf8'), complete: response.complete, firstByte })
      response.on('data', (piece: Buffer) => {
        if (pieces.length === 0) firstByte = performance.now() - due
        pieces.push(piece)
      })
      response.on('close', finish)
      response.on('error', () => {})
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(noAnswer))
    outgoing.end(body)
  })
}

function bodyOf (call: Call & { path?: string }): { path: string, method: string, body: string } {
  if (call.path !== undefined) return { path: call.path, method: 'POST', body: '' }
  if (call.plain !== undefined) return { path: `/services/${call.plain.service}${call.plain.path}`, method: call.plain.method, body: call.plain.body }
  const { pool = '', prompt = '', tokens = 0, streamed = false } = call.chat ?? {}
  const body = JSON.stringify({ model: pool, messages: [{ role: 'user', content: prompt }], max_tokens: tokens, stream: streamed })
  return { path: '/v1/chat/completions', method: 'POST', body }
}

type Verdict = Pick<CallRecord, 'result' | 'code' | 'outcome'>

function checkAnswer (call: Call, answer: RawAnswer): Verdict {
  if (answer.status === 0) return { result: 'unknown', code: 'no-connection', outcome: 'unknown' }
  if (answer.status === 200 && !answer.complete) return { result: 'cut', code: 'cut', outcome: 'cut' }
  if (answer.status !== 200) return checkFailure(answer)
  const content = call.chat === undefined ? checkPlain(call, answer) : checkChat(call.chat, answer, call.versions ?? [])
  return { result: content, code: '', outcome: 'whole' }
}

function checkFailure (answer: RawAnswer): Verdict {
  const code = /"code":"([a-z-]+)"/.exec(answer.text)?.[1] ?? `status-${answer.status}`
  const outcome = String(answer.headers['x-outcome'] ?? 'unknown')
  return { result: outcome === 'not-run' ? 'refused' : 'unknown', code, outcome }
}

function checkPlain (call: Call, answer: RawAnswer): CallerResult {
  const body = JSON.parse(answer.text) as { id?: string }
  return body.id === call.id ? 'whole' : 'wrong'
}

function checkChat (chat: NonNullable<Call['chat']>, answer: RawAnswer, versions: readonly string[]): CallerResult {
  const version = String(answer.headers['x-model-version'] ?? '')
  const text = chat.streamed ? streamedText(answer.text) : completeText(answer.text)
  if (text === undefined) return 'cut'
  if (text === expectedText(version, chat.prompt, chat.tokens)) return 'whole'
  const tokens = text.split(/(?<= )/)
  const known = tokens.every((token, index) => versions.some(candidate => tokenOf(candidate, chat.prompt, index) === token))
  return known && tokens.length === chat.tokens ? 'mixed' : 'wrong'
}

/** Returns the text of a stream, or `undefined` if the stream lacks its end marker. */
function streamedText (text: string): string | undefined {
  const events = text.split('\n\n').filter(event => event.startsWith('data: ')).map(event => event.slice('data: '.length))
  if (events.at(-1) !== '[DONE]') return undefined
  return events.slice(0, -1).map(event => (JSON.parse(event) as { choices: { delta: { content?: string } }[] }).choices[0]?.delta.content ?? '').join('')
}

function completeText (text: string): string | undefined {
  return (JSON.parse(text) as { choices: { message: { content: string } }[] }).choices[0]?.message.content
}
