/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Cuts an event stream into whole events and reads their ids, so that only whole events reach the caller and a broken
 * stream can go on elsewhere after the last of them.
 */

/** A run of whole events. */
export interface WholeEvents {
  readonly bytes: Uint8Array
  /** The id of the last event with one; nothing when none has. */
  readonly lastId: string | undefined
  readonly count: number
}

const NEWLINE = 10
const CARRIAGE_RETURN = 13

/** The state of one stream. */
export class EventSplitter {
  private _rest: Uint8Array = new Uint8Array(0)

  /** Bytes of an event that is not whole yet. */
  get pending (): number { return this._rest.length }

  /**
   * Takes bytes and returns the events that they complete.
   *
   * @returns Nothing when no event is complete yet.
   * @example
   * const events = splitter.push(bytes)
   * if (events !== undefined) response.write(events.bytes)
   */
  push (bytes: Uint8Array): WholeEvents | undefined {
    const all = this._rest.length === 0 ? bytes : joined(this._rest, bytes)
    const end = endOfLastEvent(all)
    this._rest = all.subarray(end)
    if (end === 0) return undefined
    const whole = all.subarray(0, end)
    return { bytes: whole, ...describe(whole) }
  }
}

function joined (left: Uint8Array, right: Uint8Array): Uint8Array {
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

function describe (bytes: Uint8Array): { lastId: string | undefined, count: number } {
  let lastId: string | undefined
  let count = 0
  for (const event of textOf(bytes).split(/\r?\n\r?\n/)) {
    if (event === '') continue
    count += 1
    const id = /^id: ?(.*)$/m.exec(event)?.[1]
    if (id !== undefined) lastId = id.trimEnd()
  }
  return { lastId, count }
}

/** Ids are ASCII; other bytes only need to keep their places. */
function textOf (bytes: Uint8Array): string {
  let text = ''
  for (const byte of bytes) text += String.fromCharCode(byte)
  return text
}
