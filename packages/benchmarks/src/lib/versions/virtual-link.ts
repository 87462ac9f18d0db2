/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A link in virtual time that sends one message after the other. */
import type { VirtualTime } from '../policy/virtual-time.js'

interface Queued {
  readonly bytes: number
  readonly isWanted: () => boolean
  readonly done: () => void
  readonly dropped: () => void
}

/** A link of a fixed rate. */
export class VirtualLink {
  private readonly _queue: Queued[] = []
  private _busy = false

  /**
   * @param _rate Bytes per millisecond.
   */
  constructor (private readonly _time: VirtualTime, private readonly _rate: number) {}

  /**
   * Queues a message.
   *
   * @param isWanted Whether it is still to be sent, asked when its turn comes.
   */
  send (bytes: number, isWanted: () => boolean, done: () => void, dropped: () => void = () => {}): void {
    this._queue.push({ bytes, isWanted, done, dropped })
    if (!this._busy) this._sendNext()
  }

  private _sendNext (): void {
    for (let next = this._queue.shift(); next !== undefined; next = this._queue.shift()) {
      const { bytes, isWanted, done, dropped } = next
      if (!isWanted()) {
        dropped()
        continue
      }
      this._busy = true
      this._time.after(bytes / this._rate, () => {
        this._busy = false
        done()
        if (!this._busy) this._sendNext()
      })
      return
    }
  }
}
