/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import { IoTimeout } from '../io-timeout.js'

/** An exchange that transfers fewer bytes than this, on average, beyond its allowance, takes too long. */
const MIN_BYTES_PER_MILLISECOND = 8

/**
 * Bounds the whole duration of an exchange. A timeout for silence does not end an answer that drips; a fixed duration would end a large
 * one on a narrow link. So an exchange may take its allowance, and the time in which its bytes are transferred at a low rate.
 */
export class ExchangeDuration {
  private readonly _startedAt = performance.now()
  private _extension = 0
  private _timeout: IoTimeout

  /**
   * @param _allowance In milliseconds.
   * @example
   * const duration = new ExchangeDuration(2_000, taken => request.destroy(new Error(`no answer within ${taken} ms`)))
   * response.on('data', bytes => duration.transferred(bytes.length))
   */
  constructor (private readonly _allowance: number, private readonly _onExceeded: (taken: number) => void) {
    this._timeout = this._startTimeout(_allowance)
  }

  /** Records bytes of the exchange, in either direction. */
  transferred (bytes: number): void { this._extension += bytes / MIN_BYTES_PER_MILLISECOND }

  /** Records that this process did not read for a while, in milliseconds. */
  paused (milliseconds: number): void { this._extension += milliseconds }

  end (): void { this._timeout.cancel() }

  private _startTimeout (delay: number): IoTimeout { return new IoTimeout(() => this._check(), delay) }

  private _check (): void {
    const taken = performance.now() - this._startedAt
    const remaining = this._allowance + this._extension - taken
    if (remaining > 0) this._timeout = this._startTimeout(remaining)
    else this._onExceeded(Math.round(taken))
  }
}
