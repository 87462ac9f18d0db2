/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Splits an event stream into complete events and reads their ids, so that only complete events are forwarded and a broken
 * stream can be resumed at another endpoint after the last of them.
 */

/** One or more consecutive complete events. */
export interface WholeEvents {
  readonly bytes: Uint8Array
  /** The id of the last event that has one; `undefined` if none has. */
  readonly lastId: string | undefined
  readonly count: number
}

/** The largest event, in bytes. An event may hold a whole answer, so this is many times the size of one with a token. */
export const MAX_EVENT_BYTES = 1024 * 1024

const NEWLINE = 10
const CARRIAGE_RETURN = 13
/** The bytes of a blank line with the end of the line before it. */
const MAX_BLANK_LINE_BYTES = 3
/** The characters of `id:`. */
const [LETTER_I, LETTER_D, COLON] = [105, 100, 58]
const ID_FIELD_LENGTH = 3
const NO_BYTES = new Uint8Array(0)

/** A call takes its arguments on the stack, which bounds their number. */
const MAX_ARGUMENTS = 4_096

/** Splits one stream. */
export class EventSplitter {
  /** Holds the incomplete event. Its capacity doubles as needed, so that an event in many small parts takes linear time. */
  private _buffer: Uint8Array = NO_BYTES
  private _length = 0

  /** The number of buffered bytes of an incomplete event. */
  get pending (): number { return this._length }

  /** Whether the incomplete event is larger than an event may be. */
  get oversized (): boolean { return this._length > MAX_EVENT_BYTES }

  /**
   * Adds bytes and returns the events that they complete, or `undefined` if no event is complete yet.
   *
   * @example
   * const events = splitter.push(bytes)
   * if (events !== undefined) response.write(events.bytes)
   */
  push (bytes: Uint8Array): WholeEvents | undefined {
    const end = this._endOfLastEvent(bytes)
    if (end === 0) {
      this._append(bytes)
      return undefined
    }
    const whole = this._take(bytes.subarray(0, end))
    this._append(bytes.subarray(end))
    return { bytes: whole, ...lastIdAndCount(whole) }
  }

  /** The position after the last blank line that ends in new bytes; 0 if there is none. The line may begin in the buffer. */
  private _endOfLastEvent (bytes: Uint8Array): number {
    for (let at = bytes.length - 1; at >= MAX_BLANK_LINE_BYTES - 1; at -= 1) {
      if (bytes[at] === NEWLINE && bytes[bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1] === NEWLINE) return at + 1
    }
    return this._endOfFirstLine(bytes)
  }

  /** The same for a blank line that ends within the first bytes. */
  private _endOfFirstLine (bytes: Uint8Array): number {
    const byteAt = (at: number): number | undefined => at < 0 ? this._buffer[this._length + at] : bytes[at]
    for (let at = Math.min(bytes.length, MAX_BLANK_LINE_BYTES - 1) - 1; at >= 0; at -= 1) {
      if (byteAt(at) === NEWLINE && byteAt(byteAt(at - 1) === CARRIAGE_RETURN ? at - 2 : at - 1) === NEWLINE) return at + 1
    }
    return 0
  }

  /** Returns the buffer with bytes appended, and empties it. */
  private _take (bytes: Uint8Array): Uint8Array {
    if (this._length === 0) return bytes
    this._append(bytes)
    const whole = this._buffer.subarray(0, this._length)
    this._buffer = NO_BYTES
    this._length = 0
    return whole
  }

  private _append (bytes: Uint8Array): void {
    const length = this._length + bytes.length
    if (length > this._buffer.length) {
      const larger = new Uint8Array(Math.max(length, 2 * this._buffer.length))
      larger.set(this._buffer.subarray(0, this._length))
      this._buffer = larger
    }
    this._buffer.set(bytes, this._length)
    this._length = length
  }
}

/** Reads whole events. An event with several ids counts with its first one. */
function lastIdAndCount (bytes: Uint8Array): { lastId: string | undefined, count: number } {
  let idStart: number | undefined
  let count = 0
  let state: 'between-events' | 'without-id' | 'with-id' = 'between-events'
  for (let start = 0, at = 0; at < bytes.length; at += 1) {
    if (bytes[at] !== NEWLINE) continue
    if (isBlank(bytes, start, at)) state = 'between-events'
    else {
      if (state === 'between-events') {
        state = 'without-id'
        count += 1
      }
      if (state === 'without-id' && startsWithId(bytes, start)) {
        state = 'with-id'
        idStart = start + ID_FIELD_LENGTH
      }
    }
    start = at + 1
  }
  return { lastId: idStart === undefined ? undefined : idAt(bytes, idStart), count }
}

function isBlank (bytes: Uint8Array, start: number, end: number): boolean {
  return start === end || (end === start + 1 && bytes[start] === CARRIAGE_RETURN)
}

function startsWithId (bytes: Uint8Array, start: number): boolean {
  return bytes[start] === LETTER_I && bytes[start + 1] === LETTER_D && bytes[start + 2] === COLON
}

function idAt (bytes: Uint8Array, start: number): string {
  return byteString(bytes.subarray(start, bytes.indexOf(NEWLINE, start))).replace(/^ /, '').trimEnd()
}

/** Maps each byte to one character: ids are ASCII, and other bytes need not be decoded. */
function byteString (bytes: Uint8Array): string {
  if (bytes.length <= MAX_ARGUMENTS) return String.fromCharCode.apply(undefined, bytes as unknown as number[])
  let text = ''
  for (let at = 0; at < bytes.length; at += MAX_ARGUMENTS) text += byteString(bytes.subarray(at, at + MAX_ARGUMENTS))
  return text
}
