/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Reassembles the answer to one request from numbered frames that may arrive late, duplicated or out of order. The
 * answer is complete only when the explicit end has arrived and every frame before it has been delivered.
 */

/** One numbered part of an answer. */
export interface AnswerPart<Data> {
  readonly sequence: number
  readonly data: Data
}

/** The maximum number of frames buffered behind a missing one. A larger gap is a fault of the sender. */
const MAX_GAP = 1_024

/** The result of adding a frame: the parts that can now be delivered, or a protocol violation. */
export type AnswerProgress<Data> =
  | { readonly type: 'parts', readonly data: readonly Data[], readonly whole: boolean }
  | { readonly type: 'broken', readonly detail: string }

/** Reassembles the answer of one attempt. */
export class AnswerStream<Data> {
  private readonly _buffered = new Map<number, Data>()
  private _nextSequence = 0
  private _totalParts: number | undefined

  /** Whether the complete answer has been delivered. */
  get whole (): boolean { return this._totalParts === this._nextSequence }

  /** Whether any part has been delivered. */
  get started (): boolean { return this._nextSequence > 0 }

  /**
   * Adds a part and returns the parts that are now in sequence.
   *
   * @example
   * const progress = stream.part({ sequence: 0, data: 'Nam' })
   */
  part (part: AnswerPart<Data>): AnswerProgress<Data> {
    const beyond = this._totalParts !== undefined && part.sequence >= this._totalParts
    if (beyond || part.sequence >= this._nextSequence + MAX_GAP) return { type: 'broken', detail: `part ${part.sequence} is out of range` }
    if (part.sequence >= this._nextSequence) this._buffered.set(part.sequence, part.data)
    return this._deliver()
  }

  /** Adds the end frame, which carries the total number of parts. */
  end (count: number): AnswerProgress<Data> {
    const disagrees = this._totalParts !== undefined && this._totalParts !== count
    if (disagrees || count < this._nextSequence) return { type: 'broken', detail: `part count ${count} of the end frame does not match the parts received` }
    this._totalParts = count
    return this._deliver()
  }

  private _deliver (): AnswerProgress<Data> {
    const data: Data[] = []
    for (;;) {
      const part = this._buffered.get(this._nextSequence)
      if (part === undefined) break
      this._buffered.delete(this._nextSequence)
      this._nextSequence += 1
      data.push(part)
    }
    return { type: 'parts', data, whole: this.whole }
  }
}
