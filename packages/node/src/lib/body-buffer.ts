/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Collects the pieces of a body in one buffer. Pieces that are kept one by one occupy some hundred bytes each beside their own, which a body
 * in chunks of one byte multiplies.
 */

const MIN_CAPACITY = 1_024
const GROWTH_FACTOR = 1.5

/** The bytes of one body. */
export class BodyBuffer {
  private _bytes: Buffer = Buffer.alloc(0)
  private _length = 0

  /**
   * @param _largest The largest length that can be expected, in bytes; no room is kept beyond it.
   */
  constructor (private readonly _largest: number) {}

  /** The number of bytes collected. */
  get length (): number { return this._length }
  /** The number of bytes that are occupied. */
  get capacity (): number { return this._bytes.length }

  /**
   * Appends a piece, which must not change afterwards.
   *
   * @example
   * request.on('data', piece => body.append(piece))
   */
  append (piece: Buffer): void {
    const length = this._length + piece.length
    // Most bodies arrive in one piece, which is not copied.
    if (this._length === 0) this._bytes = piece
    else {
      if (length > this._bytes.length) this._grow(length)
      piece.copy(this._bytes, this._length)
    }
    this._length = length
  }

  /** Returns the collected bytes, without the room for further ones, and forgets them. */
  take (): Buffer {
    const bytes = this._length === this._bytes.length ? this._bytes : Buffer.from(this._bytes.subarray(0, this._length))
    this.clear()
    return bytes
  }

  clear (): void {
    this._bytes = Buffer.alloc(0)
    this._length = 0
  }

  private _grow (length: number): void {
    const larger = Buffer.allocUnsafeSlow(Math.max(length, Math.min(this._largest, MIN_CAPACITY + Math.ceil(GROWTH_FACTOR * length))))
    this._bytes.copy(larger, 0, 0, this._length)
    this._bytes = larger
  }
}
