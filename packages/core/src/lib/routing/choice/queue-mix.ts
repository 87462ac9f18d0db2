/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Estimates how many requests in the queues of a pool's engines let a more urgent one go first. Reports count all requests in a queue
 * alike, and one entry knows only its own; the others are assumed to have the same mix, in proportion to the requests that they send,
 * since all entries decide by the same rules. Without this, requests in time are refused because of late ones that would let them pass.
 */
import { decay } from '../decay.js'
import type { EndpointLoad } from './endpoint-load.js'
import { firstTokenTime } from './engine-model.js'
import type { PoolDescription } from '../published/routing-configuration.js'

/** The half-life of the mean mix, in milliseconds: an entry with few requests has none of a kind waiting at many moments. */
const HALF_LIFE = 300

/** Weight of the newest request in the shares of this entry's requests. */
const SENT_SMOOTHING = 0.03

/** The order of a request in the queues of engines. */
export interface QueuePlace {
  /** The least goes first; in order of arrival among equals. */
  readonly urgency: number
  /** Whether it goes behind all that are in time. */
  readonly late: boolean
}

/** The place of requests of a service whose requests do not differ. */
export const COMMON_PLACE: QueuePlace = { urgency: 5, late: false }

/** The mix of the waiting requests of one pool, as estimated by one entry. */
export class QueueMix {
  /** The mean numbers of own requests that wait, by urgency. */
  private readonly _inTime = new Map<number, number>()
  private readonly _late = new Map<number, number>()
  /** The shares of this entry's recent requests, by urgency. */
  private readonly _sent = new Map<number, number>()
  private _ownLate = 0
  private _ownShare = 1
  private _engines = 0
  private _updatedAt = -Infinity

  /** The late requests of this entry that wait at all engines. */
  get ownLate (): number { return this._ownLate }
  /** The part of the pool's requests that this entry sends, 0 to 1; 1 if agents report no rates. */
  get ownShare (): number { return this._ownShare }
  /** The number of engines that report. */
  get engines (): number { return this._engines }

  /** Records the place of a request of this entry. */
  sent ({ urgency }: QueuePlace): void {
    for (const [other, share] of this._sent) this._sent.set(other, share * (1 - SENT_SMOOTHING))
    this._sent.set(urgency, (this._sent.get(urgency) ?? 0) + SENT_SMOOTHING)
  }

  /** The share of recent requests that go at least as early as a new one; 1 if there are none. */
  shareUntil ({ urgency }: QueuePlace): number { return 1 - shareAfter(this._sent, urgency) }

  /**
   * Applies the present loads of all engines.
   *
   * @param pool The description of the engines.
   * @param sentRate The rate of this entry's requests to the pool, per millisecond.
   */
  update (loads: Iterable<{ readonly load: EndpointLoad }>, pool: PoolDescription, sentRate: number, now: number): void {
    const kept = decay(now - this._updatedAt, HALF_LIFE)
    for (const mix of [this._inTime, this._late]) for (const [urgency, count] of mix) mix.set(urgency, kept * count)
    // A request leaves the queue this long before its first event, so the ones that were sent later count as no part of it.
    const promptTime = firstTokenTime(pool, { running: pool.slots - 1, waiting: 0, waitingTokens: 0 }, pool.usualPromptTokens)
    let [all, engines, ownLate] = [0, 0, 0]
    for (const { load } of loads) {
      const report = load.report(now)
      all += report?.sentRate ?? 0
      if (report !== undefined) engines += 1
      ownLate += load.waitingLate
      for (const { urgency, late } of load.notBegun(now - promptTime)) {
        const mix = late ? this._late : this._inTime
        mix.set(urgency, (mix.get(urgency) ?? 0) + 1 - kept)
      }
    }
    this._ownLate = ownLate
    this._ownShare = all > sentRate && sentRate > 0 ? sentRate / all : 1
    this._engines = engines
    this._updatedAt = now
  }

  /**
   * The number of requests in an engine's queue that let a request go first. Late ones are counted as this entry's own there and an even
   * part of the others'.
   *
   * @example
   * const expected = load.expectedFirstEvent(pool, 1_290, now, { place, yielding: mix.yieldingAt(load, place, now) })
   */
  yieldingAt (load: EndpointLoad, { urgency, late }: QueuePlace, now: number): number {
    const waiting = load.report(now)?.waiting ?? 0
    if (waiting === 0) return 0
    const others = sumOf(this._late) * (1 / this._ownShare - 1) / Math.max(1, this._engines)
    const lateHere = Math.min(waiting, load.waitingLate + others)
    const yieldingLate = late ? lateHere * shareAfter(this._late, urgency) : lateHere
    return yieldingLate + (late ? 0 : (waiting - lateHere) * shareAfter(this._inTime, urgency))
  }
}

function sumOf (mix: ReadonlyMap<number, number>): number {
  let sum = 0
  for (const count of mix.values()) sum += count
  return sum
}

/** The share of a mix that is less urgent. */
function shareAfter (mix: ReadonlyMap<number, number>, urgency: number): number {
  let after = 0
  for (const [other, count] of mix) if (other > urgency) after += count
  return after === 0 ? 0 : after / sumOf(mix)
}
