/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * When a member may read a chunk from the origin. Chunks leave it in their order, each read by the member whose turn it is, a
 * bounded number at a time, and one that is overdue shows, so that another member can read it. All members work the same schedule out by themselves.
 */
import type { SwarmPolicy } from './swarm-policy.js'

/**
 * Chunks whose turn comes at once: so many share the origin's link at a time, at most one for each member. With eight one of
 * 64 chunks had not left it 2.5 s after the version was named, though one copy takes 1.7 s, as members waited for each other;
 * without a bound the origin turned some of 47 members away.
 */
const HEAD_START = 24

/** What a member sees when it decides; times by its own clock, in milliseconds. */
export interface OriginView {
  readonly now: number
  /** When the version was named: the schedule counts from then, so that members that begin late keep to it too. */
  readonly namedAt: number
  /** When this member began; it learns what others hold after that. */
  readonly startedAt: number
  /** When the origin last gave nothing to this member; -Infinity for never. */
  readonly failedAt: number
  /** Chunks that no member is known to hold, in their order. */
  readonly unheld: readonly number[]
}

/** The schedule of one version. */
export class OriginSchedule {
  private readonly _chunkTime: number

  constructor (private readonly _chunks: number, private readonly _policy: Pick<SwarmPolicy, 'originCopyTime' | 'stepInPatience' | 'originStagger'>) {
    this._chunkTime = _policy.originCopyTime / _chunks
  }

  /**
   * Whether a member may read a chunk now.
   *
   * @param turn The member's turn for the chunk; 0 is first.
   * @example
   * if (schedule.mayRead(7, places.turn(7).overall, view)) readFromOrigin(7)
   */
  mayRead (index: number, turn: number, view: OriginView): boolean {
    const position = view.unheld.indexOf(index)
    if (position < 0) return false
    if (turn === 0) return position < HEAD_START || view.now >= view.namedAt + index * this._chunkTime
    const dueAt = Math.max(view.startedAt, this._dueAt(index, view))
    return view.now >= dueAt + this._policy.stepInPatience + (turn - 1) * this._policy.originStagger
  }

  /**
   * When a chunk should be held by somebody. After the origin failed, its time begins anew: it fails all alike, and all of them
   * would read the same chunks as soon as it is back. Their turns have come by then, so they all read at once, and each chunk
   * takes until nearly all have left the origin: stepping in by its place, members read 2.9 copies in place of 2.2.
   */
  private _dueAt (index: number, view: OriginView): number {
    if (view.failedAt > view.namedAt) return view.failedAt + view.unheld.length * this._chunkTime
    return view.namedAt + index * this._chunkTime + this._delay(view)
  }

  /** How far the origin is behind the schedule, in milliseconds: a slow one is not helped by more readers. */
  private _delay ({ now, namedAt, unheld }: OriginView): number {
    const due = Math.min(this._chunks, (now - namedAt) / this._chunkTime)
    const held = this._chunks - unheld.length
    return Math.max(0, due - held) * this._chunkTime
  }
}
