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

const NEWLINE = 10
const CARRIAGE_RETURN = 13

/** A call takes its arguments on the stack, which bounds their number. */
const MAX_ARGUMENTS = 4_096

/** Splits one stream. */
export class EventSplitter {
  private _incomplete: Uint8Array = new Uint8Array(0)

  /** The number of buffered bytes of an incomplete event. */
  get pending (): number { return this._incomplete.length }

  /**
   * Adds bytes and returns the events that they complete, or `undefined` if no event is complete yet.
   *
   * @example
   * const events = splitter.push(bytes)
   * if (events !== undefined) response.write(events.bytes)
   */
  push (bytes: Uint8Array): WholeEvents | undefined {
    const all = this._incomplete.length === 0 ? bytes : concatenate(this._incomplete, bytes)
    const end = endOfLastEvent(all)
    this._incomplete = all.subarray(end)
    if (end === 0) return undefined
    const whole = all.subarray(0, end)
    return { bytes: whole, ...lastIdAndCount(whole) }
  }
}

function concatenate (left: Uint8Array, right: Uint8Array): Uint8Array {
  const all = new Uint8Array(left.length + right.length)
  all.set(left, 0)
  all.set(right, left.length)
  return all
}

/** The position after the last blank line. */
function endOfLastEvent (bytes: Uint8Array): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== NEWLINE) continue
    const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1
    if (before >= 0 && bytes[before] === NEWLINE) return at + 1
  }
  return 0
}

function lastIdAndCount (bytes: Uint8Array): { lastId: string | undefined, count: number } {
  let lastId: string | undefined
  let count = 0
  for (const event of byteString(bytes).split(/\r?\n\r?\n/)) {
    if (event === '') continue
    count += 1
    const id = /^id: ?(.*)$/m.exec(event)?.[1]
    if (id !== undefined) lastId = id.trimEnd()
  }
  return { lastId, count }
}

/** Maps each byte to one character: ids are ASCII, and other bytes need not be decoded. */
function byteString (bytes: Uint8Array): string {
  if (bytes.length <= MAX_ARGUMENTS) return String.fromCharCode.apply(undefined, bytes as unknown as number[])
  let text = ''
  for (let at = 0; at < bytes.length; at += MAX_ARGUMENTS) text += byteString(bytes.subarray(at, at + MAX_ARGUMENTS))
  return text
}
