/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Puts one request's answer together from numbered frames that may come late, twice or out of order. The answer is
 * whole only when the explicit end has come and every frame before it has been passed on.
 */

/** One numbered part of an answer. */
export interface AnswerPart<Data> {
  readonly sequence: number
  readonly data: Data
}

/** Frames that may wait for a missing one; more is a fault of the sender. */
const LARGEST_GAP = 1_024

/** What taking a frame led to. */
export type AnswerProgress<Data> =
  | { readonly type: 'parts', readonly data: readonly Data[], readonly whole: boolean }
  | { readonly type: 'broken', readonly detail: string }

/** The reassembly of one answer of one attempt. */
export class AnswerStream<Data> {
  private readonly _early = new Map<number, Data>()
  private _next = 0
  private _count: number | undefined

  /** Whether the whole answer has been passed on. */
  get whole (): boolean { return this._count === this._next }

  /** Whether anything has been passed on. */
  get started (): boolean { return this._next > 0 }

  /**
   * Takes a part.
   *
   * @example
   * const progress = stream.part({ sequence: 0, data: 'Nam' })
   */
  part (part: AnswerPart<Data>): AnswerProgress<Data> {
    const beyond = this._count !== undefined && part.sequence >= this._count
    if (beyond || part.sequence >= this._next + LARGEST_GAP) return { type: 'broken', detail: `part ${part.sequence} is out of range` }
    if (part.sequence >= this._next) this._early.set(part.sequence, part.data)
    return this._pass()
  }

  /** Takes the end, which says how many parts there are. */
  end (count: number): AnswerProgress<Data> {
    const disagrees = this._count !== undefined && this._count !== count
    if (disagrees || count < this._next) return { type: 'broken', detail: `end after ${count} parts does not fit` }
    this._count = count
    return this._pass()
  }

  private _pass (): AnswerProgress<Data> {
    const data: Data[] = []
    for (;;) {
      const part = this._early.get(this._next)
      if (part === undefined) break
      this._early.delete(this._next)
      this._next += 1
      data.push(part)
    }
    return { type: 'parts', data, whole: this.whole }
  }
}
