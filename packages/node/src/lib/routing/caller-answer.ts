/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Writes the answer to a caller. A broken answer never looks complete to the caller. What is written is noted only afterwards: a head that
 * cannot be written leaves the caller waiting for another answer.
 */
import type { ServerResponse } from 'node:http'
import { BufferBudget, type AttemptAccount, type BufferAccount } from '@drumdrift/core'
import { cutAnswer } from '../cut-answer.js'
import type { AnswerHead, LocalAnswer } from './ports.js'

/** The bytes of a request that count as progress of its caller. */
const MIN_PROGRESS_BYTES = 16 * 1024
/** What a request that is being read occupies beside its bytes: its connection, its parser and its head. */
const INCOMPLETE_REQUEST_BYTES = 16 * 1024

/** The answer to one request. */
export class CallerAnswer {
  private _begun = false
  private _ended = false
  private _disconnected = false
  private _reclaimed = false
  private _onDisconnect: () => void = () => {}
  private _onDrain: () => void = () => {}
  private readonly _account: BufferAccount
  private _requestBytes = 0
  /** The bytes of the request when its caller last made progress. */
  private _progressBytes = 0
  private _requestComplete = false
  private _wasCongested = false

  /**
   * @param _closeConnection Whether the answer asks the caller to close the connection after it.
   * @param _budget Counts what is buffered for the caller, the request included.
   */
  constructor (private readonly _response: ServerResponse, private readonly _closeConnection: () => boolean, private readonly _budget = new BufferBudget(Infinity)) {
    this._account = _budget.open(() => this._reclaim(), performance.now())
    _response.on('drain', () => this._drained())
    _response.on('close', () => {
      this._account.close()
      if (this._ended) return
      this._disconnected = true
      this._onDisconnect()
    })
    _response.on('error', () => this.cut())
  }

  /** Whether any part of an answer has been passed on. */
  get begun (): boolean { return this._begun }
  /** Whether the caller closed its connection before the answer ended. */
  get gone (): boolean { return this._disconnected }
  /** Whether its buffers were reclaimed because the caller did not read or send for too long. */
  get reclaimed (): boolean { return this._reclaimed }
  /** The number of bytes that were written and that the operating system has not taken. */
  get unsent (): number { return this._response.writableLength }
  /** Whether the answer has ended, complete or not. Its bytes may still be unsent. */
  get ended (): boolean { return this._ended }

  /** Sets the listener for the caller closing its connection before the answer ends. */
  onDisconnect (listener: () => void): void { this._onDisconnect = listener }

  /** Sets the listener for the caller having read what was written. */
  onDrain (listener: () => void): void { this._onDrain = listener }

  /** Whether the caller has not read what was written, so that nothing more should be written for now. */
  get congested (): boolean { return !this._isOver() && this._response.writableNeedDrain }

  /**
   * Opens the account of an attempt, which counts the incomplete part of its answer.
   *
   * @param end Ends the attempt, if its part is to be reclaimed.
   */
  openAttempt (end: () => void): AttemptAccount { return this._budget.openAttempt(end) }

  /** Records how many bytes of the request are buffered, until the answer ends. */
  holdRequest (bytes: number, complete: boolean): void {
    // A caller that sends single bytes makes no progress.
    if (complete || bytes - this._progressBytes >= MIN_PROGRESS_BYTES) {
      this._progressBytes = bytes
      this._account.progressed(performance.now())
    }
    this._requestBytes = complete ? bytes : bytes + INCOMPLETE_REQUEST_BYTES
    this._requestComplete = complete
    this._count()
  }

  /** Writes the head of an endpoint's answer, which is sent with the first data. A stream that is resumed at another endpoint keeps its first head. */
  head ({ status, headers }: AnswerHead): void {
    if (this._begun || this._isOver()) return
    this._writeHead(status, headers)
    this._begun = true
  }

  data (bytes: Uint8Array): void {
    if (!this._isOver() && !this._orCut(() => this._response.write(bytes))) this._count()
  }

  /** Ends an answer that is complete. */
  end (): void {
    if (this._isOver()) return
    this._orCut(() => this._response.end())
    this._ended = true
    this._requestBytes = 0
    this._count()
  }

  /** Writes a complete answer. */
  whole ({ status, headers }: AnswerHead, body: Buffer): void {
    if (this._begun || this._isOver()) return
    const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length')
    this._writeHead(status, hasLength ? headers : [...headers, 'Content-Length', String(body.length)])
    this._begun = true
    this._orCut(() => this._response.end(body))
    this._ended = true
    this._requestBytes = 0
    this._count()
  }

  /** Writes a failure that the system itself reports. If an answer has begun, closes its connection instead. */
  fail ({ status, headers, body }: LocalAnswer): void {
    if (this._isOver()) return
    if (this._begun) this.cut()
    else {
      this._orCut(() => {
        this._writeHead(status, [...headers, 'Content-Length', String(Buffer.byteLength(body))])
        this._response.end(body)
      })
    }
    this._ended = true
    this._requestBytes = 0
  }

  private _drained (): void {
    this._account.progressed(performance.now())
    this._count()
    this._onDrain()
  }

  /** Counts what waits for the caller. What the operating system has taken no longer occupies memory of this process. */
  private _count (): void {
    const unread = this._response.writableLength
    const congested = unread > 0
    if (congested && !this._wasCongested) this._account.progressed(performance.now())
    this._wasCongested = congested
    const [request, incomplete] = this._requestComplete ? [this._requestBytes, 0] : [0, this._requestBytes]
    this._account.set({ request, awaitingCaller: incomplete + unread })
  }

  /** Closes the connection, so that an answer that has begun does not look complete. */
  cut (): void { cutAnswer(this._response) }

  /** Cuts the answer because its caller made no progress for too long while buffers were full. */
  private _reclaim (): void {
    this._reclaimed = true
    this.cut()
  }

  /** Performs the rest of an answer that has begun. If that throws, the connection is closed, so that the caller does not wait for it. */
  private _orCut<Result> (write: () => Result): Result {
    try {
      return write()
    } catch (error) {
      this.cut()
      throw error
    }
  }

  private _isOver (): boolean { return this._ended || this._disconnected }

  private _writeHead (status: number, headers: readonly string[]): void {
    const all = this._closeConnection() ? [...headers, 'Connection', 'close'] : [...headers]
    this._response.writeHead(status, all as unknown as string[])
  }
}
