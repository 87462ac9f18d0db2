/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The time between a process's start and the first document that it takes. The service, or one peer, may be stale; so
 * a few seeds are asked, and what everyone says meanwhile is held until all have answered or the time is up.
 */
import type { Published } from './revision-ledger.js'
import type { Topic } from './spread.js'

/** Seeds that are asked. */
const JOIN_PEERS = 3

/** A document that was said while joining. */
export interface HeldDocument {
  readonly topic: Topic
  readonly published: Published
}

/** One process's joining. */
export class Joining {
  private _asked = false
  /** Addresses that were asked and have neither answered nor failed. */
  private readonly _pending = new Set<string>()
  /** The newest may turn out to be invalid, so the others are kept too. */
  private readonly _held: HeldDocument[] = []

  /**
   * @param _until When to stop waiting.
   */
  constructor (private readonly _until: number) {}

  /**
   * The seeds to ask, the first time; nothing after that.
   *
   * @param draw A number in [0, 1): where to begin, so that not all ask the same ones.
   */
  ask (seeds: readonly string[], draw: number): string[] {
    if (this._asked) return []
    this._asked = true
    const start = Math.floor(draw * seeds.length)
    const chosen = [...seeds.slice(start), ...seeds.slice(0, start)].slice(0, JOIN_PEERS)
    for (const address of chosen) this._pending.add(address)
    return chosen
  }

  /** Keeps what the service or a peer said. */
  hold (topic: Topic, published: Published): void {
    this._held.push({ topic, published })
  }

  /** A peer has answered, or could not be reached. Others than those asked do not count. */
  heard (address: string): void {
    this._pending.delete(address)
  }

  /** Whether nobody is waited for any more. */
  over (now: number): boolean {
    return now >= this._until || (this._asked && this._pending.size === 0)
  }

  /** What was held, the newest first. */
  newestFirst (): HeldDocument[] {
    return [...this._held].sort((left, right) => right.published.revision - left.published.revision)
  }
}
