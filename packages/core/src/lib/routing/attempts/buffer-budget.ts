/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Bounds the memory in which one process buffers requests and answers, for callers that send or read slowly. When the bound is
 * exceeded, exchanges whose callers made no progress for the longest time are ended, so that other callers are not affected. Buffers
 * of requests that are being answered are counted, but never reclaimed.
 */

/** The share of the bound above which new requests are refused: what is already accepted still has to be answered. */
const ADMISSION_SHARE = 0.75

/** The buffered bytes of one exchange with a caller. */
export interface BufferedBytes {
  /** Bytes of a request that is being answered. */
  readonly request: number
  /** Bytes that wait for the caller: of an answer that it has not read, or of a request that it has not sent completely. */
  readonly awaitingCaller: number
}

/** The account of one exchange with a caller. */
export interface BufferAccount {
  set (bytes: BufferedBytes): void
  /** Records that the caller sent or took some bytes. */
  progressed (now: number): void
  close (): void
}

interface Exchange {
  bytes: BufferedBytes
  progressAt: number
  readonly end: () => void
}

const NOTHING: BufferedBytes = { request: 0, awaitingCaller: 0 }

/** The buffered bytes of all exchanges of a process. */
export class BufferBudget {
  /** Exchanges that wait for their callers. */
  private readonly _waiting = new Set<Exchange>()
  private _held = 0

  /**
   * @param _bound The largest number of bytes to buffer; infinite for no bound.
   */
  constructor (private readonly _bound: number) {}

  /** The number of bytes that are buffered now. */
  get held (): number { return this._held }

  /** Whether a new request may be accepted. */
  get accepts (): boolean { return this._held <= ADMISSION_SHARE * this._bound }

  /**
   * Opens the account of an exchange.
   *
   * @param end Ends the exchange. Called when the bound is exceeded and its caller made no progress for the longest time.
   * @example
   * const account = budget.open(() => response.destroy(), performance.now())
   */
  open (end: () => void, now: number): BufferAccount {
    const exchange: Exchange = { bytes: NOTHING, progressAt: now, end }
    return {
      set: bytes => this._set(exchange, bytes),
      progressed: at => { exchange.progressAt = at },
      close: () => this._set(exchange, NOTHING)
    }
  }

  private _set (exchange: Exchange, bytes: BufferedBytes): void {
    this._count(exchange, bytes)
    if (this._held > this._bound) this._reclaim()
  }

  private _count (exchange: Exchange, bytes: BufferedBytes): void {
    this._held += bytes.request + bytes.awaitingCaller - exchange.bytes.request - exchange.bytes.awaitingCaller
    exchange.bytes = bytes
    if (bytes.awaitingCaller > 0) this._waiting.add(exchange)
    else this._waiting.delete(exchange)
  }

  private _reclaim (): void {
    const oldestFirst = [...this._waiting].sort((left, right) => left.progressAt - right.progressAt)
    for (const exchange of oldestFirst) {
      if (this._held <= this._bound) return
      this._count(exchange, NOTHING)
      exchange.end()
    }
  }
}
