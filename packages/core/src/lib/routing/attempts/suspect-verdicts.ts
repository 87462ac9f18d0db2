/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Judges requests by the losses and answers of all their properties. A request as a whole is held back until its losses expire. A
 * property that several requests share is held back only while other requests are answered, so that faulty endpoints are not blamed on
 * what their requests have in common; once its losses expire, a few requests of the whole fleet show whether it is still harmful.
 */
import { dropOldest } from '../../drop-oldest.js'
import { traitRules, type RequestTrait, type SuspectSubject } from './request-traits.js'
import type { AnswerReport } from './suspect-news.js'
import { ANSWERED_LIFETIME, LOSS_LIFETIME, QUARANTINE_LOSSES, type SuspectRequests, type SuspectStatus } from './suspect-requests.js'

/** Dependencies of {@link SuspectVerdicts}. */
export interface SuspectVerdictsDependencies {
  readonly evidence: SuspectRequests
  /** Random numbers in [0, 1). */
  readonly random: () => number
  /** The number of entries of the fleet; `undefined` if it is not known. */
  readonly entries: (now: number) => number | undefined
}

/** Number of unexplained losses from which a trial has failed. */
const TRIAL_LOSSES = 1
/**
 * A process that has received answers of a model for less than the first time may not have seen one with each popular property. It gives
 * other processes the second time to contradict it. In milliseconds.
 */
const EXPERIENCE_TIME = 3_000
const CONTRADICTION_TIME = 200
/** How long a property is on trial before it is considered harmless, in milliseconds. */
const TRIAL_PERIOD = 3_600_000
/** An entry sends at most one request with a property on trial in this time, in milliseconds: its outcome is known everywhere before the next. */
const TRIAL_INTERVAL = 5_000
/** The expected number of requests with a property on trial that the whole fleet sends in one interval. */
const TRIALS_PER_INTERVAL = 0.5
/** Assumed number of entries if it is not known. */
const ASSUMED_ENTRIES = 100
/** How long a caller waits whose request was not chosen for a trial, in milliseconds. */
const TRIAL_RETRY_DELAY = 60_000
/** An answer of a shared property is not recorded again within this time, in milliseconds. */
const ANSWER_RECORD_INTERVAL = 1_000
/** Memory bounds. */
const MAX_VERDICTS = 512
const MAX_SCOPES = 256

/** When the first and the last answer of a model arrived. */
interface ScopeAnswers {
  readonly firstAt: number
  lastAt: number
}

interface Verdict {
  readonly since: number
  heldUntil: number
  onTrial: boolean
  /** Only losses from this time on count, and only if there are this many. */
  countFrom: number
  requiredLosses: number
  /** The interval for which the last draw was made, and whether that allows one more request. */
  trialInterval: number
  trialAllowed: boolean
}

const severity: Record<SuspectStatus, number> = { clear: 0, 'no-further-attempt': 1, 'held-back': 2 }

/** The judgements of one entry. */
export class SuspectVerdicts {
  private readonly _verdicts = new Map<string, Verdict>()
  private readonly _answers = new Map<string, ScopeAnswers>()

  /**
   * @param _startedAt When the process started: what it has not seen yet is no evidence.
   */
  constructor (private readonly _dependencies: SuspectVerdictsDependencies, private readonly _startedAt: number) {}

  /**
   * Returns how a request may be handled now.
   *
   * @example
   * if (verdicts.standing({ scope: 'drafting', traits }, now) === 'held-back') refuse()
   */
  standing ({ scope, traits }: SuspectSubject, now: number): SuspectStatus {
    let status: SuspectStatus = 'clear'
    for (const trait of traits) {
      const standing = this._standingOf(trait, scope, now)
      if (severity[standing] > severity[status]) status = standing
    }
    return status
  }

  /** Whether a request may be started: it is not held back, and if a property is on trial, the request was chosen for the trial. */
  admits (subject: SuspectSubject, now: number): boolean {
    if (this.standing(subject, now) === 'held-back') return false
    return subject.traits.every(({ fingerprint }) => {
      const verdict = this._verdicts.get(fingerprint)
      return verdict?.onTrial !== true || this._takeTrial(verdict, now)
    })
  }

  /** The property because of which a request is held back or on trial; `undefined` if there is none. */
  decisiveTrait ({ scope, traits }: SuspectSubject, now: number): RequestTrait | undefined {
    return traits.find(trait => this._standingOf(trait, scope, now) === 'held-back') ?? traits.find(({ fingerprint }) => this._verdicts.get(fingerprint)?.onTrial === true)
  }

  /** The time until requests with a property may be started again, in milliseconds. */
  heldBackFor ({ kind, fingerprint }: RequestTrait, now: number): number {
    if (!traitRules[kind].shared) return this._dependencies.evidence.heldBackFor(fingerprint, now)
    const verdict = this._verdicts.get(fingerprint)
    if (verdict === undefined) return 0
    return verdict.onTrial ? TRIAL_RETRY_DELAY : Math.max(0, verdict.heldUntil - now)
  }

  /**
   * Records that an endpoint was lost while it ran a request.
   *
   * @param answeredFor How long the endpoint had been answering the request, in milliseconds; 0 if it had not begun.
   */
  lost ({ traits }: SuspectSubject, start: string, answeredFor: number, now: number): void {
    for (const { kind, fingerprint } of traits) {
      if (answeredFor <= traitRules[kind].crashWindow) this._dependencies.evidence.lost(fingerprint, start, now, kind)
    }
  }

  /**
   * Records that an endpoint has been answering a request for longer than a crash takes that a shared property causes.
   *
   * @returns What other processes should be told.
   */
  survived ({ scope, traits }: SuspectSubject, now: number): AnswerReport[] {
    return this.answered({ scope, traits: traits.filter(({ kind }) => traitRules[kind].shared) }, now)
  }

  /** Records that an endpoint answered a request completely. Returns what other processes should be told. */
  answered ({ scope, traits }: SuspectSubject, now: number): AnswerReport[] {
    this._recordAnswer(scope, now)
    return traits.filter(trait => this._recordTrait(trait, now)).map(({ fingerprint }) => ({ fingerprint, age: 0 }))
  }

  /** Popular properties are answered many times a second, of which one record in a while suffices. */
  private _recordTrait ({ kind, fingerprint }: RequestTrait, now: number): boolean {
    const { evidence } = this._dependencies
    const isKnown = traitRules[kind].shared && now - evidence.lastAnswer(fingerprint) < ANSWER_RECORD_INTERVAL && !this._verdicts.has(fingerprint)
    return !isKnown && evidence.answered(fingerprint, now)
  }

  private _recordAnswer (scope: string, now: number): void {
    const answers = this._answers.get(scope)
    if (answers !== undefined) answers.lastAt = now
    else if (this._answers.size < MAX_SCOPES) this._answers.set(scope, { firstAt: now, lastAt: now })
  }

  private _standingOf ({ kind, fingerprint }: RequestTrait, scope: string, now: number): SuspectStatus {
    const { evidence } = this._dependencies
    const verdict = this._verdicts.get(fingerprint)
    if (verdict !== undefined) return this._review(fingerprint, verdict, now)
    const standing = evidence.standing(fingerprint, now)
    if (standing !== 'held-back' || !traitRules[kind].shared) return standing
    if (!this._othersAreAnswered(scope, now) || !this._mayJudge(fingerprint, scope, now)) return 'no-further-attempt'
    this._addVerdict(fingerprint, evidence.counts(fingerprint, now).newest, now)
    return 'held-back'
  }

  private _review (fingerprint: string, verdict: Verdict, now: number): SuspectStatus {
    const { evidence } = this._dependencies
    const { unexplained, explained, newest } = evidence.counts(fingerprint, now, verdict.countFrom)
    const isRefuted = evidence.lastAnswer(fingerprint) > verdict.since || evidence.isCleared(fingerprint, now)
    const isExplained = !verdict.onTrial && explained > 0 && unexplained < verdict.requiredLosses
    const hasPassed = verdict.onTrial && now > verdict.countFrom + TRIAL_PERIOD
    if (isRefuted || isExplained || hasPassed) {
      this._verdicts.delete(fingerprint)
      return evidence.standing(fingerprint, now)
    }
    if (verdict.onTrial && unexplained < TRIAL_LOSSES) return 'no-further-attempt'
    verdict.onTrial = false
    verdict.heldUntil = Math.max(verdict.heldUntil, newest + LOSS_LIFETIME)
    if (now < verdict.heldUntil) return 'held-back'
    Object.assign(verdict, { onTrial: true, countFrom: now, requiredLosses: TRIAL_LOSSES })
    return 'no-further-attempt'
  }

  /** If nothing of a model is answered, what its requests have in common is not the reason. */
  private _othersAreAnswered (scope: string, now: number): boolean {
    return now - (this._answers.get(scope)?.lastAt ?? this._startedAt) <= ANSWERED_LIFETIME
  }

  /** Whether this process has seen enough answers to judge, or others have had the time to contradict it. */
  private _mayJudge (fingerprint: string, scope: string, now: number): boolean {
    if (now - (this._answers.get(scope)?.firstAt ?? Infinity) >= EXPERIENCE_TIME) return true
    return now - this._dependencies.evidence.timeOfLoss(fingerprint, QUARANTINE_LOSSES) >= CONTRADICTION_TIME
  }

  private _addVerdict (fingerprint: string, newestLoss: number, now: number): void {
    this._verdicts.set(fingerprint, { since: now, heldUntil: newestLoss + LOSS_LIFETIME, onTrial: false, countFrom: -Infinity, requiredLosses: QUARANTINE_LOSSES, trialInterval: 0, trialAllowed: false })
    dropOldest(this._verdicts, MAX_VERDICTS)
  }

  /** Entries draw independently of each other, so that the whole fleet sends few requests without an agreement. */
  private _takeTrial (verdict: Verdict, now: number): boolean {
    const interval = Math.floor(now / TRIAL_INTERVAL)
    if (interval !== verdict.trialInterval) {
      verdict.trialInterval = interval
      verdict.trialAllowed = this._dependencies.random() < TRIALS_PER_INTERVAL / Math.max(1, this._dependencies.entries(now) ?? ASSUMED_ENTRIES)
    }
    const isAllowed = verdict.trialAllowed
    verdict.trialAllowed = false
    return isAllowed
  }
}
