/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Detects requests that may crash the endpoints that run them, and quarantines them. It guards against one request that crashes
 * every endpoint that starts it and is resent repeatedly with new ids through any entry, while each crash interrupts about 15 others.
 *
 * A request is identified by its fingerprint. Each incarnation of an endpoint that was lost while it ran the request counts against
 * the request, and so against every other request that ran there. Harmless requests are cleared: they are not lost repeatedly, their
 * endpoint is heard again if only the connection was lost, and sooner or later they are answered. Processes share their observations,
 * so that the whole fleet loses no more endpoints than a single entry would.
 */

/** An endpoint that was lost while it ran a request, as sent to other processes. */
export interface LossReport {
  readonly fingerprint: string
  /** The incarnation of the endpoint: see `startKeyOf`. */
  readonly start: string
  /** Milliseconds since the loss. */
  readonly age: number
}

/** A request that an endpoint answered, as sent to other processes: earlier losses under this request had another cause. */
export interface AnswerReport {
  readonly fingerprint: string
  /** Milliseconds since the answer. */
  readonly age: number
}

/** The observations that processes share. */
export interface SuspectNews {
  readonly losses: readonly LossReport[]
  readonly answers: readonly AnswerReport[]
}

/** How a request may be handled: without restriction, with a single attempt and no retry, or not at all. */
export type SuspectStatus = 'clear' | 'no-further-attempt' | 'held-back'

/**
 * The number of lost endpoints from which a request is no longer retried, and from which it is no longer started. A single loss proves
 * nothing: of 77 requests interrupted by the loss of an endpoint, one had crashed it. Two losses in a row happened to 12 of them, so
 * their callers may send the request once more.
 */
const NO_RETRY_LOSSES = 2
const QUARANTINE_LOSSES = 3
/** The most losses stored for a request; more would not change how it is handled. */
const MAX_LOSSES = 8
/**
 * How long a loss counts, in milliseconds. Quarantining a harmless request rejects a body that its caller sends for the fourth time;
 * releasing a harmful one too early costs three more endpoints.
 */
const LOSS_LIFETIME = 600_000
/**
 * A live endpoint is heard within this time, in milliseconds: its other streams send an event about every 75 ms, and its agent reports
 * at least twice a second. A loss is shared with other processes only after this time.
 */
const LIVENESS_TIMEOUT = 700
/** Data received within this time after a loss may have been sent before it, in milliseconds, and does not show that the endpoint lives. */
const MAX_IN_FLIGHT_TIME = 50
/**
 * A request is not restricted for this long after an answer, in milliseconds: many callers may send the same request, and all
 * endpoints that run it may fail together for another reason.
 */
const ANSWERED_LIFETIME = 30_000
/** Memory bounds: the requests of half a minute at an entry of the largest supported fleet, and the requests with losses. */
const MAX_ANSWERED = 4_096
const MAX_SUSPECTS = 512

/** The most losses, and the most answers, in one message: more at a time identify no single request, and a longer message is rejected. */
const MAX_REPORTS = 512

/** A loss that this process observed itself and that is retracted if the endpoint is heard again in time. */
interface UnconfirmedLoss {
  readonly fingerprint: string
  readonly start: string
  readonly at: number
}

/** Tracks requests that may crash endpoints, in one process. */
export class SuspectRequests {
  /** The time at which each incarnation of an endpoint was lost, by fingerprint. */
  private readonly _losses = new Map<string, Map<string, number>>()
  private readonly _answeredAt = new Map<string, number>()
  private _unconfirmed: UnconfirmedLoss[] = []

  /** Records that the connection to an endpoint was lost while it ran a request. */
  lost (fingerprint: string, start: string, now: number): void {
    if (this._add(fingerprint, start, now)) this._unconfirmed.push({ fingerprint, start, at: now })
  }

  /** Records that an endpoint was alive at a time, so that only the connection was lost before; retracts the losses. */
  lived (start: string, at: number): void {
    if (this._unconfirmed.length === 0) return
    const retracted = this._unconfirmed.filter(loss => loss.start === start && loss.at + MAX_IN_FLIGHT_TIME <= at)
    for (const { fingerprint } of retracted) this._remove(fingerprint, start)
  }

  /**
   * Records that an endpoint answered a request completely.
   *
   * @returns Whether the request was suspect before, so that other processes should be notified.
   */
  answered (fingerprint: string, now: number): boolean {
    const known = this._answeredAt.get(fingerprint) ?? -Infinity
    const at = Math.max(known, now)
    this._answeredAt.delete(fingerprint)
    this._answeredAt.set(fingerprint, at)
    for (const oldest of this._answeredAt.keys()) {
      if (this._answeredAt.size <= MAX_ANSWERED) break
      this._answeredAt.delete(oldest)
    }
    return this._dropBefore(fingerprint, at) >= NO_RETRY_LOSSES
  }

  /**
   * Returns how a request may be handled now.
   *
   * @example
   * if (suspects.standing(fingerprint, now) === 'held-back') refuse()
   */
  standing (fingerprint: string, now: number): SuspectStatus {
    const losses = this.lossesOf(fingerprint, now).length
    if (losses < NO_RETRY_LOSSES) return 'clear'
    if (now - (this._answeredAt.get(fingerprint) ?? -Infinity) <= ANSWERED_LIFETIME) return 'clear'
    return losses < QUARANTINE_LOSSES ? 'no-further-attempt' : 'held-back'
  }

  /** The incarnations of endpoints that were lost while they ran a request. */
  lossesOf (fingerprint: string, now: number): string[] {
    const losses = this._losses.get(fingerprint)
    return losses === undefined ? [] : [...losses].flatMap(([start, at]) => now - at <= LOSS_LIFETIME ? [start] : [])
  }

  /** The time until a request may be started again, in milliseconds. */
  heldBackFor (fingerprint: string, now: number): number {
    const times = [...this._losses.get(fingerprint)?.values() ?? []].sort((left, right) => right - left)
    const decidingLoss = times[QUARANTINE_LOSSES - 1]
    return decidingLoss === undefined ? 0 : Math.max(0, decidingLoss + LOSS_LIFETIME - now)
  }

  /** Returns the losses that this process observed and that were not retracted in time, each once, to share them. */
  takeConfirmed (now: number): LossReport[] {
    if (this._unconfirmed.length === 0) return []
    const confirmed = this._unconfirmed.filter(({ at }) => now - at >= LIVENESS_TIMEOUT)
    this._unconfirmed = this._unconfirmed.filter(({ at }) => now - at < LIVENESS_TIMEOUT)
    return confirmed.slice(0, MAX_REPORTS).map(({ fingerprint, start, at }) => ({ fingerprint, start, age: now - at }))
  }

  /**
   * Adds the observations of another process.
   *
   * @returns The observations that were new.
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
   * Returns the losses to share with all other processes: those of requests that are restricted.
   *
   * @param least The least number of losses of a request.
   */
  known (now: number, least = NO_RETRY_LOSSES): LossReport[] {
    const reports: LossReport[] = []
    for (const [fingerprint, losses] of this._losses) {
      const held = [...losses].filter(([start, at]) => now - at <= LOSS_LIFETIME && !this._isUnconfirmed(fingerprint, start))
      if (held.length >= least) reports.push(...held.map(([start, at]) => ({ fingerprint, start, age: now - at })))
    }
    return reports.slice(0, MAX_REPORTS)
  }

  private _isUnconfirmed (fingerprint: string, start: string): boolean {
    return this._unconfirmed.some(loss => loss.fingerprint === fingerprint && loss.start === start)
  }

  private _add (fingerprint: string, start: string, at: number): boolean {
    if (at <= (this._answeredAt.get(fingerprint) ?? -Infinity)) return false
    const losses = this._losses.get(fingerprint) ?? this._newLosses(fingerprint, at)
    if (losses.has(start) || losses.size >= MAX_LOSSES) return false
    losses.set(start, at)
    return true
  }

  private _newLosses (fingerprint: string, now: number): Map<string, number> {
    if (this._losses.size >= MAX_SUSPECTS) this._evictOne(now)
    const losses = new Map<string, number>()
    this._losses.set(fingerprint, losses)
    return losses
  }

  /** Drops expired losses, then the request with the fewest losses, the oldest of these. */
  private _evictOne (now: number): void {
    let [least, fewest] = ['', Infinity]
    for (const [fingerprint, losses] of this._losses) {
      for (const [start, at] of losses) if (now - at > LOSS_LIFETIME) losses.delete(start)
      if (losses.size >= fewest) continue
      least = fingerprint
      fewest = losses.size
    }
    this._losses.delete(least)
  }

  /** Drops the losses of a request up to a time and returns their number. */
  private _dropBefore (fingerprint: string, time: number): number {
    const before = [...this._losses.get(fingerprint) ?? []].filter(([, at]) => at <= time)
    for (const [start] of before) this._remove(fingerprint, start)
    return before.length
  }

  private _remove (fingerprint: string, start: string): void {
    const losses = this._losses.get(fingerprint)
    losses?.delete(start)
    this._unconfirmed = this._unconfirmed.filter(loss => loss.fingerprint !== fingerprint || loss.start !== start)
    if (losses?.size === 0) this._losses.delete(fingerprint)
  }
}

const FINGERPRINT = /^[0-9a-f]{16}$/
const MAX_START_LENGTH = 200

/**
 * Validates the observations received from another process; returns `undefined` if they are malformed.
 *
 * @example
 * const news = readSuspectNews({ losses: [{ fingerprint: '0123456789abcdef', start: 'engine-7', age: 120 }], answers: [] })
 */
export function readSuspectNews (input: unknown): SuspectNews | undefined {
  if (typeof input !== 'object' || input === null) return undefined
  const { losses, answers } = input as Partial<Record<keyof SuspectNews, unknown>>
  return isListOf(losses, isLossReport) && isListOf(answers, isAnswerReport) ? { losses, answers } : undefined
}

function isListOf<Item> (input: unknown, isItem: (item: unknown) => item is Item): input is Item[] {
  return Array.isArray(input) && input.length <= MAX_REPORTS && input.every(isItem)
}

function isAnswerReport (input: unknown): input is AnswerReport {
  if (typeof input !== 'object' || input === null) return false
  const { fingerprint, age } = input as Partial<Record<keyof AnswerReport, unknown>>
  return typeof fingerprint === 'string' && FINGERPRINT.test(fingerprint) && typeof age === 'number' && age >= 0
}

function isLossReport (input: unknown): input is LossReport {
  if (!isAnswerReport(input)) return false
  const { start } = input as Partial<Record<keyof LossReport, unknown>>
  return typeof start === 'string' && start.length <= MAX_START_LENGTH
}
