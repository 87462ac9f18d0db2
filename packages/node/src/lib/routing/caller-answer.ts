/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The caller's side of one exchange: passes an answer on, and never lets a broken one look whole.
 */
import type { ServerResponse } from 'node:http'
import type { AnswerHead, OwnAnswer } from './ports.js'

/** Where the answer of one request goes. */
export class CallerAnswer {
  private _begun = false
  private _ended = false
  private _gone = false
  private _onGone: () => void = () => {}

  /**
   * @param _leaving Whether the caller is to open a new connection for its next request.
   */
  constructor (private readonly _response: ServerResponse, private readonly _leaving: () => boolean) {
    _response.on('close', () => {
      if (this._ended) return
      this._gone = true
      this._onGone()
    })
    _response.on('error', () => { _response.destroy() })
  }

  /** Whether anything of an answer has been passed on. */
  get begun (): boolean { return this._begun }
  /** Whether the caller has closed its connection before the end. */
  get gone (): boolean { return this._gone }
  /** Whether the answer is over, whole or not. */
  get ended (): boolean { return this._ended }

  /** Calls back once when the caller closes its connection before the end. */
  onGone (listener: () => void): void { this._onGone = listener }

  /** Begins to pass an endpoint's answer on. A stream that goes on elsewhere keeps its first head. */
  head ({ status, headers }: AnswerHead): void {
    if (this._begun || this._over()) return
    this._begun = true
    this._writeHead(status, headers)
    this._response.flushHeaders()
  }

  data (bytes: Uint8Array): void {
    if (!this._over()) this._response.write(bytes)
  }

  /** The answer is whole. */
  end (): void {
    if (this._over()) return
    this._ended = true
    this._response.end()
  }

  /** Passes a whole answer on at once. */
  whole ({ status, headers }: AnswerHead, body: Buffer): void {
    if (this._begun || this._over()) return
    this._begun = true
    this._ended = true
    const named = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length')
    this._writeHead(status, named ? headers : [...headers, 'Content-Length', String(body.length)])
    this._response.end(body)
  }

  /** Answers with a failure of the system's own; an answer that has begun is cut off instead. */
  fail ({ status, headers, body }: OwnAnswer): void {
    if (this._over()) return
    this._ended = true
    if (this._begun) {
      this._response.destroy()
      return
    }
    this._writeHead(status, [...headers, 'Content-Length', String(Buffer.byteLength(body))])
    this._response.end(body)
  }

  private _over (): boolean { return this._ended || this._gone }

  private _writeHead (status: number, headers: readonly string[]): void {
    const all = this._leaving() ? [...headers, 'Connection', 'close'] : [...headers]
    this._response.writeHead(status, all as unknown as string[])
  }
}
