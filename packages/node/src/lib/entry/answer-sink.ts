/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Writes an answer to its caller. A truncated answer never looks complete: an event stream lacks its last event, and
 * the connection is destroyed before the end of the chunked body.
 */
import type { ServerResponse } from 'node:http'
import type { AnswerHead, RequestFailure } from '@drumdrift/core'
import { cutAnswer } from '../cut-answer.js'

/** Bytes that a slow caller may leave unread before its answer is cut off. */
const MAX_BACKLOG_BYTES = 4 * 1024 * 1024

/** Receives the answer to one request. */
export interface AnswerSink {
  /** Whether the caller has disconnected. */
  readonly gone: boolean
  /** Whether the head of an answer has been written. */
  readonly begun: boolean
  onDisconnect (listener: () => void): void
  head (head: AnswerHead, instance: string): void
  /** Returns false if the caller has disconnected, or reads too slowly and its answer was cut off. */
  part (bytes: Buffer): boolean
  end (): void
  fail (failure: RequestFailure): void
}

const httpStatuses: Record<RequestFailure['code'], number> = {
  overloaded: 429,
  'deadline-passed': 408,
  'unknown-model': 404,
  'unknown-service': 404,
  'unknown-organisation': 401,
  'bad-request': 400,
  'body-too-large': 413,
  'no-endpoint': 503,
  'already-claimed': 409,
  'history-unknown': 409,
  'id-conflict': 422,
  'unknown-route': 404,
  'timed-out': 504,
  'outcome-unknown': 502,
  'answer-cut': 502,
  leaving: 503,
  'not-allowed': 403,
  'engine-failed': 502,
  'no-configuration': 503,
  'records-full': 429,
  'ends-endpoints': 503,
  'endpoints-spared': 503,
  'region-not-allowed': 503,
  'zones-evacuated': 503,
  'buffers-full': 503,
  'gave-way': 503
}

/**
 * Writes a failure as a JSON error in the format that chat clients expect, with a `retry-after` header if the failure
 * has a retry time.
 *
 * @example
 * writeFailure(response, requestFailure('overloaded', 'not-run', 'the queue is full', 2_000))
 */
export function writeFailure (response: ServerResponse, failure: RequestFailure): void {
  const { code, outcome, detail, retryAfter } = failure
  if (retryAfter > 0) response.setHeader('retry-after', String(Math.ceil(retryAfter / 1000)))
  response.writeHead(httpStatuses[code], { 'content-type': 'application/json', 'x-outcome': outcome })
  response.end(JSON.stringify({ error: { message: detail, type: 'drumdrift', code, outcome, retry_after_milliseconds: retryAfter } }))
}

/** Writes an answer to an HTTP response. */
export class HttpAnswerSink implements AnswerSink {
  private _gone = false
  private _ended = false

  constructor (private readonly _response: ServerResponse, private readonly _id: string) {
    _response.on('close', () => { this._gone = !this._ended })
  }

  get gone (): boolean { return this._gone }
  get begun (): boolean { return this._response.headersSent }

  onDisconnect (listener: () => void): void {
    this._response.on('close', () => { if (!this._ended) listener() })
  }

  head (head: AnswerHead, instance: string): void {
    if (this.begun || this._gone) return
    const headers: Record<string, string> = { ...head.headers, 'x-request-id': this._id, 'x-answered-by': instance }
    if (head.version !== '') headers['x-model-version'] = head.version
    this._response.writeHead(head.status, headers)
  }

  part (bytes: Buffer): boolean {
    if (this._gone || this._response.writableEnded) return false
    this._response.write(bytes)
    if (this._response.writableLength <= MAX_BACKLOG_BYTES) return true
    cutAnswer(this._response)
    return false
  }

  end (): void {
    this._ended = true
    this._response.end()
  }

  fail (failure: RequestFailure): void {
    if (this._gone || this._response.writableEnded) return
    this._ended = true
    if (this.begun) {
      cutAnswer(this._response)
      return
    }
    this._response.setHeader('x-request-id', this._id)
    writeFailure(this._response, failure)
  }
}
