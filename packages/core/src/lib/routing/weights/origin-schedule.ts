/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides when a member may read a chunk from the origin. Chunks are read in ascending order, each by the member assigned to it and a
 * bounded number at a time. An overdue chunk is therefore detectable, and another member can read it. All members compute the
 * same schedule independently.
 */
import type { SwarmPolicy } from './swarm-policy.js'

/**
 * Number of chunks that may be read concurrently, at most one per member. They share the origin's link. With 8, members wait for each
 * other: one of 64 chunks had not left the origin 2.5 s after publication, although one copy takes 1.7 s. Without a bound, the origin
 * rejects some of 47 members.
 */
const CONCURRENT_CHUNKS = 24

/** The state on which a member's decision is based; times by its own clock, in milliseconds. */
export interface OriginView {
  readonly now: number
  /** Time at which the version was published. The schedule starts then, so that it also applies to members that start late. */
  readonly publishedAt: number
  /** Time at which this member started, after which it learns which chunks others hold. */
  readonly startedAt: number
  /** Time of this member's last failed read from the origin; -Infinity if there was none. */
  readonly failedAt: number
  /** Chunks that no member is known to hold, in ascending order. */
  readonly unheld: readonly number[]
}

/** The origin schedule of one version. */
export class OriginSchedule {
  private readonly _chunkTime: number

  constructor (private readonly _chunks: number, private readonly _policy: Pick<SwarmPolicy, 'originCopyTime' | 'takeoverDelay' | 'originStagger'>) {
    this._chunkTime = _policy.originCopyTime / _chunks
  }

  /**
   * Whether a member may read a chunk now.
   *
   * @param rank The member's overall rank for the chunk; 0 is first.
   * @example
   * if (schedule.mayRead(7, places.ranks(7).overall, view)) readFromOrigin(7)
   */
  mayRead (index: number, rank: number, view: OriginView): boolean {
    const position = view.unheld.indexOf(index)
    if (position < 0) return false
    if (rank === 0) return position < CONCURRENT_CHUNKS || view.now >= view.publishedAt + index * this._chunkTime
    const dueAt = Math.max(view.startedAt, this._dueAt(index, view))
    return view.now >= dueAt + this._policy.takeoverDelay + (rank - 1) * this._policy.originStagger
  }

  /**
   * Returns the time by which some member should hold a chunk. A failed read restarts the schedule, since the origin fails for all
   * members, which would otherwise all take over the same chunks as soon as it is back. By then every chunk's scheduled time has passed,
   * so assigned members read all of them at once, and each takes until nearly all have left the origin. If the restarted schedule
   * followed the chunk's position, members would read 2.9 copies instead of 2.2.
   */
  private _dueAt (index: number, view: OriginView): number {
    if (view.failedAt > view.publishedAt) return view.failedAt + view.unheld.length * this._chunkTime
    return view.publishedAt + index * this._chunkTime + this._lag(view)
  }

  /** Returns how far the origin is behind the schedule, in milliseconds. More readers would not speed up a slow origin. */
  private _lag ({ now, publishedAt, unheld }: OriginView): number {
    const due = Math.min(this._chunks, (now - publishedAt) / this._chunkTime)
    const held = this._chunks - unheld.length
    return Math.max(0, due - held) * this._chunkTime
  }
}
