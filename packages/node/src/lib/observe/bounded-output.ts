/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Writes lines to a file descriptor without blocking the process. Node writes to a pipe synchronously, so a stalled reader
 * would block the process. Here lines are kept in a bounded buffer; lines that do not fit are dropped and counted.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Maximum number of buffered bytes: the output of a busy process over a few seconds. */
const LARGEST_BACKLOG = 256 * 1024
/** Delay before a write is retried if the descriptor accepts no data, in milliseconds. */
const RETRY_PAUSE = 20
/**
 * Lines within this time are written together, in milliseconds. Each write costs a thread switch: with one write per line,
 * writes took an eighth of an entry's processor time at 8 requests per second. A killed process loses this much of its log.
 */
export const WRITE_PAUSE = 100
/** Once this many bytes are buffered, they are written without further delay. */
const FULL_BATCH = 16 * 1024

/** Writes bytes to a file descriptor; compatible with `fs.write`. */
export type DescriptorWrite = (descriptor: number, bytes: Buffer, callback: (error: NodeJS.ErrnoException | null, written: number) => void) => void

/** A stream that writes lines to a file descriptor. */
export class BoundedOutput extends Writable {
  private _lines: Buffer[] = []
  private _waiting = 0
  private _writing = false
  private _dropped = 0
  private _wroteAt = -Infinity
  private _timer: NodeJS.Timeout | undefined
  private readonly _flushed = new Set<() => void>()

  /**
   * @param _pause Minimum time between writes while little is buffered, in milliseconds.
   * @example
   * const output = new BoundedOutput(1)
   * output.write('event=started\n')
   */
  constructor (private readonly _descriptor: number, private readonly _limit = LARGEST_BACKLOG, private readonly _writeTo: DescriptorWrite = write, private readonly _pause = 0) {
    super({ decodeStrings: true })
  }

  /** Returns the number of lines dropped since the last call. */
  takeDropped (): number {
    const dropped = this._dropped
    this._dropped = 0
    return dropped
  }

  /** Waits until all lines are written, for at most `patience` milliseconds. */
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
      // After any other error the bytes are discarded: the reader is gone, so the error cannot be logged either.
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
