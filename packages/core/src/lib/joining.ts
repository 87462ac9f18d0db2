/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The join phase between the start of a process and the first document that it adopts. The service or a single peer may
 * be stale, so a few seeds are queried, and documents received meanwhile are held until all seeds have answered or the
 * timeout expires.
 */
import type { Published } from './revision-ledger.js'
import type { Topic } from './spread.js'

/** The number of seeds to query. */
const MAX_JOIN_SEEDS = 3

/** A document received during the join phase. */
export interface HeldDocument {
  readonly topic: Topic
  readonly published: Published
}

/** The join phase of one process. */
export class JoinPhase {
  private _queried = false
  /** Addresses that were queried and have neither answered nor failed. */
  private readonly _pending = new Set<string>()
  /** All received documents, since the newest may turn out to be invalid. */
  private readonly _held: HeldDocument[] = []

  /**
   * @param _deadline The time at which to stop waiting.
   */
  constructor (private readonly _deadline: number) {}

  /**
   * Returns the seeds to query on the first call, and an empty array after that.
   *
   * @param random A random number in [0, 1) that selects the first seed, so that processes do not all query the same ones.
   */
  ask (seeds: readonly string[], random: number): string[] {
    if (this._queried) return []
    this._queried = true
    const start = Math.floor(random * seeds.length)
    const chosen = [...seeds.slice(start), ...seeds.slice(0, start)].slice(0, MAX_JOIN_SEEDS)
    for (const address of chosen) this._pending.add(address)
    return chosen
  }

  /** Holds a document from the service or a peer. */
  hold (topic: Topic, published: Published): void {
    this._held.push({ topic, published })
  }

  /** Records that a queried peer has answered or could not be reached. Other addresses are ignored. */
  peerDone (address: string): void {
    this._pending.delete(address)
  }

  /** Whether all queried seeds have answered or failed, or the timeout has expired. */
  isOver (now: number): boolean {
    return now >= this._deadline || (this._queried && this._pending.size === 0)
  }

  /** The held documents, newest first. */
  newestFirst (): HeldDocument[] {
    return [...this._held].sort((left, right) => right.published.revision - left.published.revision)
  }
}
