/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Writes lines to a descriptor without ever blocking the process. Node writes to a pipe synchronously, so a reader that
 * stalls would stall the process; here lines wait in a bounded buffer, and what does not fit is dropped and counted.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Bytes that may wait for a reader: some seconds of a busy process. */
const LARGEST_BACKLOG = 256 * 1024
/** Before a descriptor that takes nothing is tried again, in milliseconds. */
const RETRY_PAUSE = 20
/**
 * Lines that come within this time are written together, in milliseconds: each write costs a change of threads, and a line for
 * each was an eighth of what an entry's processor did at 8 requests a second. A process that is killed loses as much of its log.
 */
export const WRITE_PAUSE = 100
/** So many bytes are written at once, without waiting for more. */
const FULL_BATCH = 16 * 1024

/** Writes bytes to a descriptor; the same shape as `fs.write`. */
export type DescriptorWrite = (descriptor: number, bytes: Buffer, callback: (error: NodeJS.ErrnoException | null, written: number) => void) => void

/** A stream of lines into a descriptor. */
export class BoundedOutput extends Writable {
  private _lines: Buffer[] = []
  private _waiting = 0
  private _writing = false
  private _dropped = 0
  private _wroteAt = -Infinity
  private _timer: NodeJS.Timeout | undefined
  private readonly _flushed = new Set<() => void>()

  /**
   * @param _pause Milliseconds between writes, while little waits.
   * @example
   * const output = new BoundedOutput(1)
   * output.write('event=started\n')
   */
  constructor (private readonly _descriptor: number, private readonly _limit = LARGEST_BACKLOG, private readonly _writeTo: DescriptorWrite = write, private readonly _pause = 0) {
    super({ decodeStrings: true })
  }

  /** Lines dropped since the last call. */
  takeDropped (): number {
    const dropped = this._dropped
    this._dropped = 0
    return dropped
  }

  /** Waits until everything is written, for `patience` milliseconds at most. */
  async flush (patience: number): Promise<void> {
    if (this._waiting === 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, patience)
      this._flushed.add(() => {
        clearTimeout(timer)
        resolve()
      })
      this._pump()
    })
  }

  override _write (line: Buffer, _encoding: BufferEncoding, callback: () => void): void {
    if (this._waiting + line.length > this._limit) this._dropped += 1
    else {
      this._lines.push(line)
      this._waiting += line.length
      this._pump()
    }
    callback()
  }

  private _pump (): void {
    const wait = this._wroteAt + this._pause - performance.now()
    if (wait > 0 && this._waiting < FULL_BATCH && this._flushed.size === 0) this._writeIn(wait)
    else this._writeWaiting()
  }

  private _writeIn (milliseconds: number): void {
    this._timer ??= setTimeout(() => {
      this._timer = undefined
      this._writeWaiting()
    }, milliseconds).unref()
  }

  private _writeWaiting (): void {
    if (this._writing || this._lines.length === 0) return
    const bytes = this._lines.length === 1 ? this._lines[0] as Buffer : Buffer.concat(this._lines)
    this._lines = []
    this._send(bytes)
  }

  private _send (bytes: Buffer): void {
    this._writing = true
    this._wroteAt = performance.now()
    this._writeTo(this._descriptor, bytes, (error, written) => {
      if (error !== null && error.code === 'EAGAIN') {
        setTimeout(() => this._send(bytes), RETRY_PAUSE).unref()
        return
      }
      // Nobody reads any more: there is nowhere to say so.
      const done = error === null ? written : bytes.length
      this._waiting -= done
      if (done < bytes.length) return this._send(bytes.subarray(done))
      this._writing = false
      this._pump()
      if (this._waiting === 0) this._tellFlushed()
    })
  }

  private _tellFlushed (): void {
    for (const listener of this._flushed) listener()
    this._flushed.clear()
  }
}
