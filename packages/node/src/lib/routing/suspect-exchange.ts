/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What one entry knows of requests that may end endpoints, shared with the other entries by way of the agents that it follows: each
 * passes on what it did not know to all entries that follow it.
 */
import { readSuspectNews, SuspectRequests, type Standing, type SuspectNews } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'

/** What the exchange works with. */
export interface SuspectExchangeParts {
  readonly log: Log
  readonly counters: Counters
  /** Tells some agents. */
  readonly tell: (news: SuspectNews) => void
  /** A request is held back from now on. */
  readonly onHeldBack: (fingerprint: string) => void
}

/** How often it looks what is to be told, in milliseconds: a small part of the time in which an endpoint may show that it lives. */
const TELL_PAUSE = 100

/** The suspect requests of one entry. */
export class SuspectExchange {
  private readonly _suspects = new SuspectRequests()
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: SuspectExchangeParts) {
    this._timer = setInterval(() => this._tell({ losses: this._suspects.takeConfirmed(performance.now()), answers: [] }), TELL_PAUSE)
  }

  close (): void { clearInterval(this._timer) }

  standing (fingerprint: string, now: number): Standing { return this._suspects.standing(fingerprint, now) }

  /** The endpoints that were lost under a request, and how long it is held back, in milliseconds. */
  evidence (fingerprint: string, now: number): { readonly lost: string[], readonly heldBackFor: number } {
    return { lost: this._suspects.lossesOf(fingerprint, now), heldBackFor: this._suspects.heldBackFor(fingerprint, now) }
  }

  /** A connection to an endpoint was lost while a request was there. */
  lost (fingerprint: string, start: string, now: number): void {
    const before = this.standing(fingerprint, now)
    this._suspects.lost(fingerprint, start, now)
    this._noteStanding(fingerprint, before, 'own', now)
  }

  /** An endpoint showed at some time that it lived. */
  lived (start: string, at: number): void { this._suspects.lived(start, at) }

  /** An endpoint ran a request and answered it. Others are told only where that clears it: without this, an entry that has just started would hold back what all others serve. */
  answered (fingerprint: string, now: number): void {
    if (this._suspects.answered(fingerprint, now)) this._tell({ losses: [], answers: [{ fingerprint, age: 0 }] })
  }

  /** An agent passes on what another entry saw; what makes a request suspect, or clears it, is told further, so that it reaches entries that follow other agents. */
  heard (input: unknown, agent: string): void {
    const now = performance.now()
    const told = readSuspectNews(input)
    if (told === undefined) return this._parts.log.warn('peer-malformed', { type: 'suspects', agent, detail: 'it is no news of suspect requests' })
    const before = new Map(told.losses.map(({ fingerprint }) => [fingerprint, this.standing(fingerprint, now)]))
    const { losses, answers } = this._suspects.heard(told, now)
    for (const [fingerprint, standing] of before) this._noteStanding(fingerprint, standing, 'told', now)
    this._tell({ losses: losses.filter(({ fingerprint }) => this.standing(fingerprint, now) !== 'clear'), answers })
  }

  /** What an agent should know that this entry has just reached. */
  known (): SuspectNews { return { losses: this._suspects.known(performance.now()), answers: [] } }

  private _tell (news: SuspectNews): void {
    if (news.losses.length + news.answers.length > 0) this._parts.tell(news)
  }

  private _noteStanding (fingerprint: string, before: Standing, source: 'own' | 'told', now: number): void {
    if (before === 'held-back' || this.standing(fingerprint, now) !== 'held-back') return
    const { lost, heldBackFor } = this.evidence(fingerprint, now)
    this._parts.counters.add('requests_found_fatal')
    this._parts.log.warn('request-held-back', { fingerprint, source, lost: lost.join(','), for: Math.round(heldBackFor) })
    this._parts.onHeldBack(fingerprint)
  }
}
