/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Requests that may end the endpoints that run them, and which of them are held back. The load that it answers: one request that ends
 * whatever begins it, sent again and again under new ids through any entry, while each endpoint that ends breaks off some 15 others.
 *
 * A request is known by its fingerprint. What accuses it is each start of an endpoint that was lost while the request was there. All
 * that ran there are accused alike, and those that did nothing are cleared by what tells one from the other: they do not come back
 * again and again, their endpoint shows a sign of life when only their connection was lost, and sooner or later they are answered.
 * Processes tell each other what they have seen, so that the fleet loses as many endpoints as one entry would.
 */

/** One endpoint that was lost while a request was there, as a process tells another. */
export interface LossReport {
  readonly fingerprint: string
  /** The start of the endpoint: see `startOf`. */
  readonly start: string
  /** Milliseconds since then. */
  readonly age: number
}

/** A request that an endpoint answered, as a process tells another: what was lost under it before, ended of something else. */
export interface AnswerReport {
  readonly fingerprint: string
  /** Milliseconds since then. */
  readonly age: number
}

/** What processes tell each other. */
export interface SuspectNews {
  readonly losses: readonly LossReport[]
  readonly answers: readonly AnswerReport[]
}

/** What may be done with a request: anything; this one attempt, but no further one; nothing. */
export type Standing = 'clear' | 'no-further-attempt' | 'held-back'

/**
 * Endpoints lost under a request until it is tried at no other by itself, and until it is not begun any more. One loss says nothing: of
 * 77 requests that broke off with an endpoint, one had ended it. Two in a row happened to 12 of them, so their callers may come once more.
 */
const LOSSES_UNTIL_NO_FURTHER = 2
const LOSSES_UNTIL_HELD_BACK = 3
/** What is remembered of one request: more losses change nothing. */
const MOST_LOSSES = 8
/**
 * How long a loss counts, in milliseconds. A request that is held back in the wrong is a body that its caller sends a fourth time; one
 * that is let go in the wrong ends three endpoints more. Chosen, not tuned.
 */
const LOSS_LIFETIME = 600_000
/**
 * An endpoint that lives shows it within this time, in milliseconds: other streams from it go on every 75 ms or so, and its agent reports
 * twice a second at least. Only then others are told of the loss.
 */
const SIGN_OF_LIFE_WITHIN = 700
/** What comes sooner after the loss may have been on its way before, in milliseconds. */
const ON_ITS_WAY = 50
/**
 * A request that was answered so lately is not held back, in milliseconds: many callers may send the same one, and all endpoints that it is
 * at may end together of something else.
 */
const ANSWERED_LIFETIME = 30_000
/** Bounds of memory: requests of half a minute at an entry of the largest fleet that is planned for, and accused ones. */
const MOST_ANSWERED = 4_096
const MOST_ACCUSED = 512

/** Losses, and answers, in one message: more at a time say nothing of single requests, and a process that tells more is not believed. */
const MOST_TOLD = 512

/** A loss that this process saw itself, and that a sign of life may still take back. */
interface FreshLoss {
  readonly fingerprint: string
  readonly start: string
  readonly at: number
}

/** What one process knows of requests that may end endpoints. */
export class SuspectRequests {
  /** When each start was lost, by fingerprint. */
  private readonly _losses = new Map<string, Map<string, number>>()
  private readonly _answeredAt = new Map<string, number>()
  private _fresh: FreshLoss[] = []

  /** A connection to an endpoint was lost while a request was there. */
  lost (fingerprint: string, start: string, now: number): void {
    if (this._add(fingerprint, start, now)) this._fresh.push({ fingerprint, start, at: now })
  }

  /** An endpoint lived at some time: what was lost to it before was a connection. */
  lived (start: string, at: number): void {
    if (this._fresh.length === 0) return
    const takenBack = this._fresh.filter(loss => loss.start === start && loss.at + ON_ITS_WAY <= at)
    for (const { fingerprint } of takenBack) this._remove(fingerprint, start)
  }

  /**
   * An endpoint ran a request and gave its whole answer.
   *
   * @returns Whether the request had been suspect, so that others should know.
   */
  answered (fingerprint: string, now: number): boolean {
    const known = this._answeredAt.get(fingerprint) ?? -Infinity
    const at = Math.max(known, now)
    this._answeredAt.delete(fingerprint)
    this._answeredAt.set(fingerprint, at)
    for (const oldest of this._answeredAt.keys()) {
      if (this._answeredAt.size <= MOST_ANSWERED) break
      this._answeredAt.delete(oldest)
    }
    return this._forgetBefore(fingerprint, at) >= LOSSES_UNTIL_NO_FURTHER
  }

  /**
   * What may be done with a request now.
   *
   * @example
   * if (suspects.standing(fingerprint, now) === 'held-back') refuse()
   */
  standing (fingerprint: string, now: number): Standing {
    const losses = this.lossesOf(fingerprint, now).length
    if (losses < LOSSES_UNTIL_NO_FURTHER) return 'clear'
    if (now - (this._answeredAt.get(fingerprint) ?? -Infinity) <= ANSWERED_LIFETIME) return 'clear'
    return losses < LOSSES_UNTIL_HELD_BACK ? 'no-further-attempt' : 'held-back'
  }

  /** The starts of endpoints that were lost under a request. */
  lossesOf (fingerprint: string, now: number): string[] {
    const losses = this._losses.get(fingerprint)
    return losses === undefined ? [] : [...losses].flatMap(([start, at]) => now - at <= LOSS_LIFETIME ? [start] : [])
  }

  /** Until a request may be begun again, in milliseconds. */
  heldBackFor (fingerprint: string, now: number): number {
    const times = [...this._losses.get(fingerprint)?.values() ?? []].sort((left, right) => right - left)
    const decisive = times[LOSSES_UNTIL_HELD_BACK - 1]
    return decisive === undefined ? 0 : Math.max(0, decisive + LOSS_LIFETIME - now)
  }

  /** Losses that this process saw and that no sign of life took back in time; each is returned once, to be told. */
  takeConfirmed (now: number): LossReport[] {
    if (this._fresh.length === 0) return []
    const confirmed = this._fresh.filter(({ at }) => now - at >= SIGN_OF_LIFE_WITHIN)
    this._fresh = this._fresh.filter(({ at }) => now - at < SIGN_OF_LIFE_WITHIN)
    return confirmed.slice(0, MOST_TOLD).map(({ fingerprint, start, at }) => ({ fingerprint, start, age: now - at }))
  }

  /**
   * Takes what another process tells.
   *
   * @returns What was not known.
   * @example
   * const news = suspects.heard({ losses, answers: [] }, now)
   */
  heard ({ losses, answers }: SuspectNews, now: number): SuspectNews {
    return {
      answers: answers.filter(({ fingerprint, age }) => age <= LOSS_LIFETIME && this.answered(fingerprint, now - age)),
      losses: losses.filter(({ fingerprint, start, age }) => age <= LOSS_LIFETIME && this._add(fingerprint, start, now - age))
    }
  }

  /**
   * What all others should know: losses of the requests that are not clear any more.
   *
   * @param least Losses that a request must have.
   */
  known (now: number, least = LOSSES_UNTIL_NO_FURTHER): LossReport[] {
    const reports: LossReport[] = []
    for (const [fingerprint, losses] of this._losses) {
      const held = [...losses].filter(([start, at]) => now - at <= LOSS_LIFETIME && !this._isFresh(fingerprint, start))
      if (held.length >= least) reports.push(...held.map(([start, at]) => ({ fingerprint, start, age: now - at })))
    }
    return reports.slice(0, MOST_TOLD)
  }

  private _isFresh (fingerprint: string, start: string): boolean {
    return this._fresh.some(loss => loss.fingerprint === fingerprint && loss.start === start)
  }

  private _add (fingerprint: string, start: string, at: number): boolean {
    if (at <= (this._answeredAt.get(fingerprint) ?? -Infinity)) return false
    const losses = this._losses.get(fingerprint) ?? this._newLosses(fingerprint, at)
    if (losses.has(start) || losses.size >= MOST_LOSSES) return false
    losses.set(start, at)
    return true
  }

  private _newLosses (fingerprint: string, now: number): Map<string, number> {
    if (this._losses.size >= MOST_ACCUSED) this._forgetOne(now)
    const losses = new Map<string, number>()
    this._losses.set(fingerprint, losses)
    return losses
  }

  /** Drops what counts no more, or else the request with the fewest losses, the oldest of them. */
  private _forgetOne (now: number): void {
    let [least, fewest] = ['', Infinity]
    for (const [fingerprint, losses] of this._losses) {
      for (const [start, at] of losses) if (now - at > LOSS_LIFETIME) losses.delete(start)
      if (losses.size >= fewest) continue
      least = fingerprint
      fewest = losses.size
    }
    this._losses.delete(least)
  }

  /** Drops what was lost under a request up to some time; tells how many losses that were. */
  private _forgetBefore (fingerprint: string, time: number): number {
    const before = [...this._losses.get(fingerprint) ?? []].filter(([, at]) => at <= time)
    for (const [start] of before) this._remove(fingerprint, start)
    return before.length
  }

  private _remove (fingerprint: string, start: string): void {
    const losses = this._losses.get(fingerprint)
    losses?.delete(start)
    this._fresh = this._fresh.filter(loss => loss.fingerprint !== fingerprint || loss.start !== start)
    if (losses?.size === 0) this._losses.delete(fingerprint)
  }
}

const FINGERPRINT = /^[0-9a-f]{16}$/
const LONGEST_START = 200

/**
 * Reads what a process tells.
 *
 * @returns Nothing when it cannot be read.
 * @example
 * const news = readSuspectNews({ losses: [{ fingerprint: '0123456789abcdef', start: 'engine-7', age: 120 }], answers: [] })
 */
export function readSuspectNews (input: unknown): SuspectNews | undefined {
  if (typeof input !== 'object' || input === null) return undefined
  const { losses, answers } = input as Partial<Record<keyof SuspectNews, unknown>>
  return isListOf(losses, isLossReport) && isListOf(answers, isAnswerReport) ? { losses, answers } : undefined
}

function isListOf<Item> (input: unknown, isItem: (item: unknown) => item is Item): input is Item[] {
  return Array.isArray(input) && input.length <= MOST_TOLD && input.every(isItem)
}

function isAnswerReport (input: unknown): input is AnswerReport {
  if (typeof input !== 'object' || input === null) return false
  const { fingerprint, age } = input as Partial<Record<keyof AnswerReport, unknown>>
  return typeof fingerprint === 'string' && FINGERPRINT.test(fingerprint) && typeof age === 'number' && age >= 0
}

function isLossReport (input: unknown): input is LossReport {
  if (!isAnswerReport(input)) return false
  const { start } = input as Partial<Record<keyof LossReport, unknown>>
  return typeof start === 'string' && start.length <= LONGEST_START
}
