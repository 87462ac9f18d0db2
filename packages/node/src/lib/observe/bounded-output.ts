/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Writes lines to a file descriptor without blocking the process. Node writes to a pipe synchronously, so a stalled reader
 * would block the process. Here lines are kept in a bounded buffer; lines that do not fit are dropped and counted.
 */
import { fstatSync, write, writeSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'

/** Maximum number of buffered bytes: the output of a busy process over a few seconds. */
const MAX_BUFFERED_BYTES = 256 * 1024
/** Delay before a write is retried if the descriptor accepts no data, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 20
/**
 * Lines within this time are written together, in milliseconds. Each write costs a thread switch: with one write per line,
 * writes took an eighth of an entry's processor time at 8 requests per second. A killed process loses this much of its log.
 */
export const WRITE_INTERVAL_MILLISECONDS = 100
/** Once this many bytes are buffered, they are written without further delay. */
const FULL_BATCH_BYTES = 16 * 1024

/** Writes bytes to a file descriptor; compatible with `fs.write`. */
export type DescriptorWrite = (descriptor: number, bytes: Buffer, callback: (error: NodeJS.ErrnoException | null, written: number) => void) => void

/**
 * Returns the cheapest way to write to a descriptor without waiting for a reader. `fs.write` hands each write to another thread and
 * wakes this one again; a file needs neither, and the event loop writes to a pipe or a socket without blocking.
 *
 * @example
 * const write = descriptorWrite(1)
 */
export function descriptorWrite (descriptor: number): DescriptorWrite {
  const stats = fstatSync(descriptor)
  if (stats.isFile()) return writeToFile
  if (!stats.isFIFO() && !stats.isSocket()) return write
  const socket = new Socket({ fd: descriptor, readable: false, writable: true })
  // The callback of the write reports the error.
  socket.on('error', () => {})
  return (_descriptor, bytes, callback) => { socket.write(bytes, error => callback(error ?? null, error === undefined || error === null ? bytes.length : 0)) }
}

const writeToFile: DescriptorWrite = (descriptor, bytes, callback) => {
  let written: number
  try {
    written = writeSync(descriptor, bytes)
  } catch (error) {
    return callback(error as NodeJS.ErrnoException, 0)
  }
  callback(null, written)
}

/** A stream that writes lines to a file descriptor. */
export class BoundedOutput extends Writable {
  private _lines: Buffer[] = []
  private _bufferedBytes = 0
  private _writing = false
  private _dropped = 0
  private _lastWriteAt = -Infinity
  private _timer: NodeJS.Timeout | undefined
  private readonly _flushListeners = new Set<() => void>()

  /**
   * @param _writeIntervalMilliseconds Minimum time between writes while little is buffered, in milliseconds.
   * @example
   * const output = new BoundedOutput(1)
   * output.write('event=started\n')
   */
  constructor (private readonly _descriptor: number, private readonly _maxBufferedBytes = MAX_BUFFERED_BYTES, private readonly _writeTo: DescriptorWrite = descriptorWrite(_descriptor), private readonly _writeIntervalMilliseconds = 0) {
    super({ decodeStrings: true })
  }

  /** Returns the number of lines dropped since the last call. */
  takeDropped (): number {
    const dropped = this._dropped
    this._dropped = 0
    return dropped
  }

  /** Waits until all lines are written, for at most `timeout` milliseconds. */
  async flush (timeout: number): Promise<void> {
    if (this._bufferedBytes === 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, timeout)
      this._flushListeners.add(() => {
        clearTimeout(timer)
        resolve()
      })
      this._scheduleWrite()
    })
  }

  override _write (line: Buffer, _encoding: BufferEncoding, callback: () => void): void {
    if (this._bufferedBytes + line.length > this._maxBufferedBytes) this._dropped += 1
    else {
      this._lines.push(line)
      this._bufferedBytes += line.length
      this._scheduleWrite()
    }
    callback()
  }

  private _scheduleWrite (): void {
    const delay = this._lastWriteAt + this._writeIntervalMilliseconds - performance.now()
    if (delay > 0 && this._bufferedBytes < FULL_BATCH_BYTES && this._flushListeners.size === 0) this._writeAfter(delay)
    else this._writeBuffered()
  }

  private _writeAfter (milliseconds: number): void {
    this._timer ??= setTimeout(() => {
      this._timer = undefined
      this._writeBuffered()
    }, milliseconds).unref()
  }

  private _writeBuffered (): void {
    if (this._writing || this._lines.length === 0) return
    const bytes = this._lines.length === 1 ? this._lines[0] as Buffer : Buffer.concat(this._lines)
    this._lines = []
    this._writeBytes(bytes)
  }

  private _writeBytes (bytes: Buffer): void {
    this._writing = true
    this._lastWriteAt = performance.now()
    this._writeTo(this._descriptor, bytes, (error, written) => {
      if (error !== null && error.code === 'EAGAIN') {
        setTimeout(() => this._writeBytes(bytes), RETRY_DELAY_MILLISECONDS).unref()
        return
      }
      // After any other error the bytes are discarded: the reader is gone, so the error cannot be logged either.
      const settledBytes = error === null ? written : bytes.length
      this._bufferedBytes -= settledBytes
      if (settledBytes < bytes.length) return this._writeBytes(bytes.subarray(settledBytes))
      this._writing = false
      this._scheduleWrite()
      if (this._bufferedBytes === 0) this._notifyFlushed()
    })
  }

  private _notifyFlushed (): void {
    for (const listener of this._flushListeners) listener()
    this._flushListeners.clear()
  }
}
