/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The caller's side of an answer. An answer that does not come to its end never looks whole: an event stream lacks its
 * last event and its connection is destroyed before the end of the chunked body.
 */
import type { ServerResponse } from 'node:http'
import type { AnswerHead, RequestFailure } from '@drumdrift/core'

/** Bytes that a slow caller may leave unread before its answer is cut. */
const LARGEST_BACKLOG = 4 * 1024 * 1024

/** Where an answer goes. */
export interface AnswerSink {
  /** Whether the caller is gone. */
  readonly gone: boolean
  /** Whether anything of an answer has been written. */
  readonly begun: boolean
  onGone (listener: () => void): void
  head (head: AnswerHead, instance: string): void
  /** Returns false when the caller reads too slowly and the answer had to be cut. */
  part (bytes: Buffer): boolean
  end (): void
  fail (failure: RequestFailure): void
}

const statuses: Record<RequestFailure['code'], number> = {
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
  'endpoints-spared': 503
}

/**
 * Answers with a failure, in the shape that chat clients expect, and with the time to come back where there is one.
 *
 * @example
 * writeFailure(response, requestFailure('overloaded', 'not-run', 'the queue is full', 2_000))
 */
export function writeFailure (response: ServerResponse, failure: RequestFailure): void {
  const { code, outcome, detail, retryAfter } = failure
  if (retryAfter > 0) response.setHeader('retry-after', String(Math.ceil(retryAfter / 1000)))
  response.writeHead(statuses[code], { 'content-type': 'application/json', 'x-outcome': outcome })
  response.end(JSON.stringify({ error: { message: detail, type: 'drumdrift', code, outcome, retry_after_milliseconds: retryAfter } }))
}

/** An answer over HTTP. */
export class HttpAnswerSink implements AnswerSink {
  private _gone = false
  private _ended = false

  constructor (private readonly _response: ServerResponse, private readonly _id: string) {
    _response.on('close', () => { this._gone = !this._ended })
  }

  get gone (): boolean { return this._gone }
  get begun (): boolean { return this._response.headersSent }

  onGone (listener: () => void): void {
    this._response.on('close', () => { if (!this._ended) listener() })
  }

  head (head: AnswerHead, instance: string): void {
    if (this.begun || this._gone) return
    const headers: Record<string, string> = { ...head.headers, 'x-request-id': this._id, 'x-answered-by': instance }
    if (head.version !== '') headers['x-model-version'] = head.version
    this._response.writeHead(head.status, headers)
  }

  part (bytes: Buffer): boolean {
    if (this._gone) return false
    this._response.write(bytes)
    if (this._response.writableLength <= LARGEST_BACKLOG) return true
    this._response.destroy()
    return false
  }

  end (): void {
    this._ended = true
    this._response.end()
  }

  fail (failure: RequestFailure): void {
    if (this._gone || this._ended) return
    this._ended = true
    if (this.begun) {
      this._response.destroy()
      return
    }
    this._response.setHeader('x-request-id', this._id)
    writeFailure(this._response, failure)
  }
}
