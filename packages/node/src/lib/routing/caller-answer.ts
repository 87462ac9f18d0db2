/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Writes the answer to a caller. A broken answer never looks complete to the caller.
 */
import type { ServerResponse } from 'node:http'
import type { AnswerHead, LocalAnswer } from './ports.js'

/** The answer to one request. */
export class CallerAnswer {
  private _begun = false
  private _ended = false
  private _disconnected = false
  private _onDisconnect: () => void = () => {}

  /**
   * @param _closeConnection Whether the answer asks the caller to close the connection after it.
   */
  constructor (private readonly _response: ServerResponse, private readonly _closeConnection: () => boolean) {
    _response.on('close', () => {
      if (this._ended) return
      this._disconnected = true
      this._onDisconnect()
    })
    _response.on('error', () => { _response.destroy() })
  }

  /** Whether any part of an answer has been passed on. */
  get begun (): boolean { return this._begun }
  /** Whether the caller closed its connection before the answer ended. */
  get gone (): boolean { return this._disconnected }
  /** Whether the answer has ended, complete or not. */
  get ended (): boolean { return this._ended }

  /** Sets the listener for the caller closing its connection before the answer ends. */
  onDisconnect (listener: () => void): void { this._onDisconnect = listener }

  /** Writes the head of an endpoint's answer, which is sent with the first data. A stream that is resumed at another endpoint keeps its first head. */
  head ({ status, headers }: AnswerHead): void {
    if (this._begun || this._isOver()) return
    this._begun = true
    this._writeHead(status, headers)
  }

  data (bytes: Uint8Array): void {
    if (!this._isOver()) this._response.write(bytes)
  }

  /** Ends an answer that is complete. */
  end (): void {
    if (this._isOver()) return
    this._ended = true
    this._response.end()
  }

  /** Writes a complete answer. */
  whole ({ status, headers }: AnswerHead, body: Buffer): void {
    if (this._begun || this._isOver()) return
    this._begun = true
    this._ended = true
    const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length')
    this._writeHead(status, hasLength ? headers : [...headers, 'Content-Length', String(body.length)])
    this._response.end(body)
  }

  /** Writes a failure that the system itself reports. If an answer has begun, closes its connection instead. */
  fail ({ status, headers, body }: LocalAnswer): void {
    if (this._isOver()) return
    this._ended = true
    if (this._begun) {
      this._response.destroy()
      return
    }
    this._writeHead(status, [...headers, 'Content-Length', String(Buffer.byteLength(body))])
    this._response.end(body)
  }

  private _isOver (): boolean { return this._ended || this._disconnected }

  private _writeHead (status: number, headers: readonly string[]): void {
    const all = this._closeConnection() ? [...headers, 'Connection', 'close'] : [...headers]
    this._response.writeHead(status, all as unknown as string[])
  }
}
