/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A timeout for something that is awaited from a socket. After the process did not run for a while, timers expire before the bytes that
 * have arrived in the meantime are read; this timeout expires after they have been read, unless they cancel or refresh it.
 */

/** The longest delay of a timer, in milliseconds: Node lets timers with a longer one expire at once. */
const MAX_DELAY = 2 ** 31 - 1

/** A timeout that has been started. */
export class IoTimeout {
  private readonly _timer: NodeJS.Timeout
  private _expiry: NodeJS.Immediate | undefined
  private _active = true

  /**
   * Starts the timeout.
   *
   * @param delay In milliseconds; at most about 25 days apply.
   * @example
   * const timeout = new IoTimeout(() => socket.destroy(), 500)
   * socket.on('data', () => timeout.refresh())
   */
  constructor (private readonly _onExpired: () => void, delay: number) {
    this._timer = setTimeout(() => { this._expiry = setImmediate(() => this._expire()) }, Math.min(MAX_DELAY, delay))
  }

  /** Starts the delay again. Has no effect after the timeout has expired or been cancelled. */
  refresh (): void {
    if (!this._active) return
    clearImmediate(this._expiry)
    this._timer.refresh()
  }

  cancel (): void {
    this._active = false
    clearTimeout(this._timer)
    clearImmediate(this._expiry)
  }

  private _expire (): void {
    this._active = false
    this._onExpired()
  }
}
