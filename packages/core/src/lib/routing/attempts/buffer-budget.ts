/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Bounds the memory in which one process buffers requests and answers, for callers that send or read slowly. When the bound is
 * exceeded, exchanges whose callers made no progress for the longest time are ended, so that other callers are not affected. Buffers
 * of requests that are being answered are counted, but never reclaimed.
 *
 * Parts of answers that wait for the rest from their endpoints have a share of the bound. When it is exceeded, the attempts with the
 * largest parts are ended, so that endpoints whose answers never end do not take it from others.
 */

/** The share of the bound above which new requests are refused: what is already accepted still has to be answered. */
const ADMISSION_SHARE = 0.75
/** The share of the bound that incomplete parts of answers may hold. It leaves room below the share at which requests are refused. */
const ATTEMPT_SHARE = 0.5
/** A caller that made no progress for this long gives way to new requests, in milliseconds. */
const STALL_TIME = 500

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

/** The account of one attempt at an endpoint. */
export interface AttemptAccount {
  /** @param bytes How many bytes of the answer wait for the rest of an event or of the answer. */
  set (bytes: number): void
  close (): void
}

interface Attempt {
  bytes: number
  readonly end: () => void
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
  private readonly _attempts = new Set<Attempt>()
  private _held = 0
  private _heldByAttempts = 0

  /**
   * @param _bound The largest number of bytes to buffer; infinite for no bound.
   */
  constructor (private readonly _bound: number) {}

  /** The number of bytes that are buffered now. */
  get held (): number { return this._held }

  /** Whether a new request may be accepted. */
  get accepts (): boolean { return this._held <= ADMISSION_SHARE * this._bound }

  /**
   * Ends exchanges whose callers made no progress for a while, longest first, until a new request may be accepted. Returns whether it may.
   *
   * @example
   * if (!budget.makeRoom(performance.now())) refuse()
   */
  makeRoom (now: number): boolean {
    if (!this.accepts) this._reclaim(ADMISSION_SHARE * this._bound, now - STALL_TIME)
    return this.accepts
  }

  /** Ends the exchange whose caller made no progress for the longest time, if that is a while. Returns whether there was one. */
  endStalled (now: number): boolean {
    const [stalled] = this._stalledSince(now - STALL_TIME)
    if (stalled === undefined) return false
    this._end(stalled)
    return true
  }

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

  /**
   * Opens the account of an attempt.
   *
   * @param end Ends the attempt. Called when the share of attempts is exceeded and this one holds the most.
   * @example
   * const account = budget.openAttempt(() => call.stop())
   */
  openAttempt (end: () => void): AttemptAccount {
    const attempt: Attempt = { bytes: 0, end }
    this._attempts.add(attempt)
    return {
      set: bytes => {
        if (!this._attempts.has(attempt)) return
        this._countAttempt(attempt, bytes)
        if (this._heldByAttempts > ATTEMPT_SHARE * this._bound) this._reclaimFromAttempts()
      },
      close: () => this._closeAttempt(attempt)
    }
  }

  private _countAttempt (attempt: Attempt, bytes: number): void {
    this._held += bytes - attempt.bytes
    this._heldByAttempts += bytes - attempt.bytes
    attempt.bytes = bytes
  }

  private _closeAttempt (attempt: Attempt): void {
    if (this._attempts.delete(attempt)) this._countAttempt(attempt, 0)
  }

  private _reclaimFromAttempts (): void {
    const largestFirst = [...this._attempts].sort((left, right) => right.bytes - left.bytes)
    for (const attempt of largestFirst) {
      if (this._heldByAttempts <= ATTEMPT_SHARE * this._bound) return
      this._closeAttempt(attempt)
      attempt.end()
    }
  }

  private _set (exchange: Exchange, bytes: BufferedBytes): void {
    this._count(exchange, bytes)
    if (this._held > this._bound) this._reclaim(this._bound, Infinity)
  }

  private _count (exchange: Exchange, bytes: BufferedBytes): void {
    this._held += bytes.request + bytes.awaitingCaller - exchange.bytes.request - exchange.bytes.awaitingCaller
    exchange.bytes = bytes
    if (bytes.awaitingCaller > 0) this._waiting.add(exchange)
    else this._waiting.delete(exchange)
  }

  /** Ends exchanges without progress since some time, longest first, until no more than `bytes` are held. */
  private _reclaim (bytes: number, since: number): void {
    for (const exchange of this._stalledSince(since)) {
      if (this._held <= bytes) return
      this._end(exchange)
    }
  }

  private _stalledSince (since: number): Exchange[] {
    return [...this._waiting].filter(({ progressAt }) => progressAt <= since).sort((left, right) => left.progressAt - right.progressAt)
  }

  private _end (exchange: Exchange): void {
    this._count(exchange, NOTHING)
    exchange.end()
  }
}
