/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Detects requests that may crash the endpoints that run them. It guards against one request that crashes every endpoint that starts
 * it and is resent repeatedly with new ids through any entry, and against requests that crash endpoints because of a property that
 * they share, while each crash interrupts about 15 others.
 *
 * A request is identified by fingerprints: of the whole request, and of properties that it shares with others (`request-traits.ts`). Each
 * incarnation of an endpoint that was lost while it ran the request counts against each of them, and so against every other request
 * that ran there. Harmless ones are cleared: they are not lost repeatedly, their endpoint is heard again if only the connection was
 * lost, and sooner or later they are answered. The losses of a shared property do not count if another fingerprint explains them.
 * Processes share their observations, so that the whole fleet loses no more endpoints than a single entry would.
 */
import { dropOldest } from '../../drop-oldest.js'
import { traitRules, type TraitKind } from './request-traits.js'
import { MAX_SUSPECT_REPORTS, type AnswerReport, type LossReport, type SuspectNews } from './suspect-news.js'

/** How a request may be handled: without restriction, with a single attempt and no retry, or not at all. */
export type SuspectStatus = 'clear' | 'no-further-attempt' | 'held-back'

/**
 * The number of lost endpoints from which a request is no longer retried, and from which it is no longer started. A single loss proves
 * nothing: of 77 requests interrupted by the loss of an endpoint, one had crashed it. Two losses in a row happened to 12 of them, so
 * their callers may send the request once more.
 */
const NO_RETRY_LOSSES = 2
export const QUARANTINE_LOSSES = 3
/** The most losses stored for a fingerprint; more would not change how it is handled. */
const MAX_LOSSES = 16
/**
 * How long a loss counts, in milliseconds. Quarantining a harmless request rejects a body that its caller sends for the fourth time;
 * releasing a harmful one too early costs three more endpoints.
 */
export const LOSS_LIFETIME = 600_000
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
export const ANSWERED_LIFETIME = 30_000
/** An answer that changes nothing but the time of the last one is shared at most once in this time, in milliseconds. */
const ANSWER_NEWS_INTERVAL = 1_000
/** Memory bounds: the fingerprints of half a minute at an entry of the largest supported fleet, and those with losses. */
const MAX_ANSWERED = 8_192
const MAX_SUSPECTS = 512

/** The loss of an endpoint under a request. */
interface Loss {
  readonly at: number
  /** Whether the endpoint can no longer prove to be alive. */
  confirmed: boolean
}

/** A loss that this process observed itself and has not shared yet. */
interface OwnLoss {
  readonly fingerprint: string
  readonly kind: TraitKind
  readonly start: string
  readonly loss: Loss
  /** Until when the endpoint may show that it is alive. */
  awaitedUntil: number
}

/** The losses that count against a fingerprint, by the incarnation of the endpoint. */
interface Losses {
  readonly kind: TraitKind
  readonly starts: Map<string, Loss>
}

/**
 * The numbers of losses that count against a fingerprint now. One reset of all connections of an entry looks like the loss of all endpoints
 * to what many requests share, so the losses of a shared property count only once they are confirmed.
 */
export interface LossCounts {
  readonly unexplained: number
  /** Losses of a shared property for which another fingerprint is the more likely cause. */
  readonly explained: number
  /** When the last one happened; `-Infinity` if there is none. */
  readonly newest: number
}

/** Tracks requests that may crash endpoints, in one process. */
export class SuspectRequests {
  private readonly _losses = new Map<string, Losses>()
  private readonly _answeredAt = new Map<string, number>()
  private _unshared: OwnLoss[] = []

  /** Records that the connection to an endpoint was lost while it ran a request. */
  lost (fingerprint: string, start: string, now: number, kind: TraitKind = 'request'): void {
    const loss: Loss = { at: now, confirmed: false }
    if (this._add(fingerprint, kind, start, loss)) this._unshared.push({ fingerprint, kind, start, loss, awaitedUntil: now + LIVENESS_TIMEOUT })
  }

  /** Records that an endpoint has crashed, so that its losses need not be awaited any longer. */
  confirm (start: string): void {
    for (const own of this._unshared) if (own.start === start) own.loss.confirmed = true
  }

  /** Records that an endpoint was alive at a time, so that only the connection was lost before; retracts the losses. */
  lived (start: string, at: number): void {
    if (this._unshared.length === 0) return
    const retracted = this._unshared.filter(own => own.start === start && !own.loss.confirmed && own.loss.at + MAX_IN_FLIGHT_TIME <= at)
    for (const { fingerprint } of retracted) this._remove(fingerprint, start)
  }

  /**
   * Records that an endpoint answered a request completely.
   *
   * @returns Whether other processes may suspect the request, so that they should be notified.
   */
  answered (fingerprint: string, now: number): boolean {
    const isSuspect = (this._losses.get(fingerprint)?.starts.size ?? 0) >= NO_RETRY_LOSSES
    const known = this.lastAnswer(fingerprint)
    const at = Math.max(known, now)
    this._answeredAt.delete(fingerprint)
    this._answeredAt.set(fingerprint, at)
    dropOldest(this._answeredAt, MAX_ANSWERED)
    return this._dropRefuted(fingerprint) >= NO_RETRY_LOSSES || (isSuspect && at - known > ANSWER_NEWS_INTERVAL)
  }

  /** When an endpoint last answered a request; `-Infinity` if that is not known. */
  lastAnswer (fingerprint: string): number { return this._answeredAt.get(fingerprint) ?? -Infinity }

  /** Whether a request was answered so recently that it is not restricted. */
  isCleared (fingerprint: string, now: number): boolean { return now - this.lastAnswer(fingerprint) <= ANSWERED_LIFETIME }

  /**
   * Returns how a request may be handled now.
   *
   * @example
   * if (suspects.standing(fingerprint, now) === 'held-back') refuse()
   */
  standing (fingerprint: string, now: number): SuspectStatus {
    if ((this._losses.get(fingerprint)?.starts.size ?? 0) < NO_RETRY_LOSSES || this.isCleared(fingerprint, now)) return 'clear'
    const { unexplained } = this.counts(fingerprint, now)
    if (unexplained < NO_RETRY_LOSSES) return 'clear'
    return unexplained < QUARANTINE_LOSSES ? 'no-further-attempt' : 'held-back'
  }

  /**
   * Returns the numbers of losses of a request that count now.
   *
   * @param from Losses before this time are left out.
   * @example
   * const { unexplained } = suspects.counts(fingerprint, now)
   */
  counts (fingerprint: string, now: number, from = -Infinity): LossCounts {
    const losses = this._losses.get(fingerprint)
    if (losses === undefined) return { unexplained: 0, explained: 0, newest: -Infinity }
    const { shared } = traitRules[losses.kind]
    const live = [...losses.starts].filter(([, { at, confirmed }]) => now - at <= LOSS_LIFETIME && at >= from && (confirmed || !shared))
    const causes = this._likelierCauses(fingerprint, losses, now)
    const explained = live.filter(([start]) => causes.some(({ starts }) => starts.has(start))).length
    return { unexplained: live.length - explained, explained, newest: Math.max(...live.map(([, { at }]) => at)) }
  }

  /** The fingerprints that explain losses of a shared property: those with more losses, and narrower ones with as many. */
  private _likelierCauses (fingerprint: string, { kind, starts }: Losses, now: number): Losses[] {
    const { shared, breadth } = traitRules[kind]
    const causes: Losses[] = []
    if (!shared) return causes
    for (const [other, losses] of this._losses) {
      const isStrong = losses.starts.size >= Math.max(QUARANTINE_LOSSES, starts.size)
      if (!isStrong || other === fingerprint || (losses.starts.size === starts.size && traitRules[losses.kind].breadth >= breadth)) continue
      if (!this.isCleared(other, now)) causes.push(losses)
    }
    return causes
  }

  /** The incarnations of endpoints that were lost while they ran a request. */
  lossesOf (fingerprint: string, now: number): string[] {
    const losses = this._losses.get(fingerprint)
    return losses === undefined ? [] : [...losses.starts].flatMap(([start, { at }]) => now - at <= LOSS_LIFETIME ? [start] : [])
  }

  /** When the number of losses of a request reached a count; `Infinity` if it has not. */
  timeOfLoss (fingerprint: string, count: number): number {
    return this._timesOf(fingerprint)[count - 1] ?? Infinity
  }

  /** The time until a request may be started again, in milliseconds. */
  heldBackFor (fingerprint: string, now: number): number {
    const decidingLoss = this._timesOf(fingerprint).at(-QUARANTINE_LOSSES)
    return decidingLoss === undefined ? 0 : Math.max(0, decidingLoss + LOSS_LIFETIME - now)
  }

  /** When losses of a request happened, in ascending order. */
  private _timesOf (fingerprint: string): number[] {
    return [...this._losses.get(fingerprint)?.starts.values() ?? []].map(({ at }) => at).sort((left, right) => left - right)
  }

  /** Awaits signs of life for longer, by a time in which this process did not run, in milliseconds. */
  extendWaits (milliseconds: number): void {
    for (const own of this._unshared) own.awaitedUntil += milliseconds
  }

  /** Returns the losses that this process observed and that were not retracted in time, each once, to share them. */
  takeConfirmed (now: number): LossReport[] {
    if (this._unshared.length === 0) return []
    for (const { loss, awaitedUntil } of this._unshared) if (now >= awaitedUntil) loss.confirmed = true
    const confirmed = this._unshared.filter(({ loss }) => loss.confirmed)
    this._unshared = this._unshared.filter(({ loss }) => !loss.confirmed)
    return confirmed.slice(0, MAX_SUSPECT_REPORTS).map(({ fingerprint, kind, start, loss }) => reportOf(fingerprint, kind, start, now - loss.at))
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
      losses: losses.filter(({ fingerprint, start, age, kind }) => age <= LOSS_LIFETIME && this._add(fingerprint, kind ?? 'request', start, { at: now - age, confirmed: true }))
    }
  }

  /**
   * Adds the observations that another process sent to an entry.
   *
   * @returns What the entry sends on: losses that restrict a request, answers that clear one, and contradictions.
   * @example
   * send(suspects.relay(news, now))
   */
  relay (news: SuspectNews, now: number): SuspectNews {
    const { losses, answers } = this.heard(news, now)
    return { losses: losses.filter(({ fingerprint }) => this.standing(fingerprint, now) !== 'clear'), answers: [...answers, ...this.contradictions(news.losses, now)] }
  }

  /**
   * Returns the answers that refute what another process suspects. One refuted loss suffices: the process may know others that it has not
   * reported, for example because a single request explained them.
   *
   * @param losses What the other process reported.
   * @example
   * send({ losses: [], answers: suspects.contradictions(news.losses, now) })
   */
  contradictions (losses: readonly LossReport[], now: number): AnswerReport[] {
    const refuted = losses.filter(({ fingerprint, age, kind = 'request' }) => traitRules[kind].shared && this._isRefuted(fingerprint, now - age, kind))
    return [...new Set(refuted.map(({ fingerprint }) => fingerprint))].map(fingerprint => ({ fingerprint, age: Math.max(0, now - this.lastAnswer(fingerprint)) }))
  }

  /**
   * Whether an answer shows that a loss had another cause. What is shared by many requests is still harmless some time after an answer; a
   * whole request is not, because all endpoints that run its copies may fail at once.
   */
  private _isRefuted (fingerprint: string, lostAt: number, kind: TraitKind): boolean {
    return traitRules[kind].shared ? this.isCleared(fingerprint, lostAt) : lostAt <= this.lastAnswer(fingerprint)
  }

  /**
   * Returns the losses to share with all other processes: those of requests that are restricted and were not answered lately.
   *
   * @param least The least number of losses of a request.
   */
  known (now: number, least = NO_RETRY_LOSSES): LossReport[] {
    const reports: LossReport[] = []
    for (const [fingerprint, { kind, starts }] of this._losses) {
      if (this.isCleared(fingerprint, now)) continue
      const held = [...starts].filter(([, { at, confirmed }]) => now - at <= LOSS_LIFETIME && confirmed)
      if (held.length >= least) reports.push(...held.map(([start, { at }]) => reportOf(fingerprint, kind, start, now - at)))
    }
    return reports.slice(0, MAX_SUSPECT_REPORTS)
  }

  private _add (fingerprint: string, kind: TraitKind, start: string, loss: Loss): boolean {
    if (this._isRefuted(fingerprint, loss.at, kind)) return false
    const { starts } = this._losses.get(fingerprint) ?? this._newLosses(fingerprint, loss.at, kind)
    if (starts.has(start) || starts.size >= MAX_LOSSES) return false
    starts.set(start, loss)
    return true
  }

  private _newLosses (fingerprint: string, now: number, kind: TraitKind): Losses {
    if (this._losses.size >= MAX_SUSPECTS) this._evictOne(now)
    const losses: Losses = { kind, starts: new Map() }
    this._losses.set(fingerprint, losses)
    return losses
  }

  /** Drops expired losses, then the request with the fewest losses, the oldest of these. */
  private _evictOne (now: number): void {
    let [least, fewest] = ['', Infinity]
    for (const [fingerprint, { starts }] of this._losses) {
      for (const [start, { at }] of starts) if (now - at > LOSS_LIFETIME) starts.delete(start)
      if (starts.size >= fewest) continue
      least = fingerprint
      fewest = starts.size
    }
    this._losses.delete(least)
  }

  /** Drops the losses that the last answer refutes and returns their number. */
  private _dropRefuted (fingerprint: string): number {
    const { starts, kind = 'request' } = this._losses.get(fingerprint) ?? {}
    const refuted = [...starts ?? []].filter(([, { at }]) => this._isRefuted(fingerprint, at, kind))
    for (const [start] of refuted) this._remove(fingerprint, start)
    return refuted.length
  }

  private _remove (fingerprint: string, start: string): void {
    const starts = this._losses.get(fingerprint)?.starts
    starts?.delete(start)
    this._unshared = this._unshared.filter(own => own.fingerprint !== fingerprint || own.start !== start)
    if (starts?.size === 0) this._losses.delete(fingerprint)
  }
}

/** A report without a kind is one of a whole request, as in earlier releases. */
function reportOf (fingerprint: string, kind: TraitKind, start: string, age: number): LossReport {
  return kind === 'request' ? { fingerprint, start, age } : { fingerprint, start, age, kind }
}
