/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A timeout for the silence of the other side of a connection. Time in which this process did not run is no silence: the other side may
 * have been suspended with it, or its bytes wait to be read.
 */
import { IoTimeout } from './io-timeout.js'
import { stalledTime } from './periodic-tasks.js'

/** A timeout that has been started. */
export class SilenceTimeout {
  private _timeout: IoTimeout
  private readonly _stalledBefore = stalledTime()
  private _extended = false

  /**
   * Starts the timeout.
   *
   * @param _delay In milliseconds. It is extended once, by at most as much again, if this process did not run for a while.
   * @example
   * const timeout = new SilenceTimeout(() => connection.close(), 500)
   * connection.onReply(() => timeout.cancel())
   */
  constructor (private readonly _onExpired: () => void, private readonly _delay: number) {
    this._timeout = this._start(_delay)
  }

  cancel (): void { this._timeout.cancel() }

  private _start (delay: number): IoTimeout { return new IoTimeout(() => this._expire(), delay) }

  private _expire (): void {
    const stalled = Math.min(this._delay, stalledTime() - this._stalledBefore)
    if (this._extended || stalled === 0) return this._onExpired()
    this._extended = true
    this._timeout = this._start(stalled)
  }
}
