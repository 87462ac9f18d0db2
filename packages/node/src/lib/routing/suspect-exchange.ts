/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What one entry knows of requests that may end endpoints, shared with the other entries by way of the agents that it follows: each
 * passes on what it did not know to all entries that follow it.
 */
import { readLossReports, SuspectRequests, type LossReport, type Standing } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'

/** What the exchange works with. */
export interface SuspectExchangeParts {
  readonly log: Log
  readonly counters: Counters
  /** Tells some agents. */
  readonly tell: (losses: readonly LossReport[]) => void
  /** A request is held back from now on. */
  readonly onHeldBack: (fingerprint: string) => void
}

/** How often it looks what is to be told, in milliseconds: a small part of the time in which an endpoint may show that it lives. */
const TELL_PAUSE = 100

/** The suspect requests of one entry. */
export class SuspectExchange {
  private readonly _suspects = new SuspectRequests()
  private readonly _heldBack = new Set<string>()
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: SuspectExchangeParts) {
    this._timer = setInterval(() => this._tellConfirmed(), TELL_PAUSE)
  }

  close (): void { clearInterval(this._timer) }

  standing (fingerprint: string, now: number): Standing {
    const standing = this._suspects.standing(fingerprint, now)
    if (standing !== 'held-back') this._heldBack.delete(fingerprint)
    return standing
  }

  /** The endpoints that were lost under a request, and how long it is held back, in milliseconds. */
  evidence (fingerprint: string, now: number): { readonly lost: string[], readonly heldBackFor: number } {
    return { lost: this._suspects.lossesOf(fingerprint, now), heldBackFor: this._suspects.heldBackFor(fingerprint, now) }
  }

  /** A connection to an endpoint was lost while a request was there. */
  lost (fingerprint: string, start: string, now: number): void {
    this._suspects.lost(fingerprint, start, now)
    this._noteStanding(fingerprint, 'own', now)
  }

  /** An endpoint showed at some time that it lived. */
  lived (start: string, at: number): void { this._suspects.lived(start, at) }

  answered (fingerprint: string, now: number): void { this._suspects.answered(fingerprint, now) }

  /** An agent passes on what another entry saw; what makes a request suspect is told further, so that it reaches entries that follow other agents. */
  heard (input: unknown, agent: string): void {
    const now = performance.now()
    const losses = readLossReports(input)
    if (losses === undefined) return this._parts.log.warn('peer-malformed', { type: 'suspects', agent, detail: 'it is no list of losses' })
    const news = this._suspects.heard(losses, now)
    for (const fingerprint of new Set(news.map(loss => loss.fingerprint))) this._noteStanding(fingerprint, 'told', now)
    this._tell(news.filter(({ fingerprint }) => this._suspects.standing(fingerprint, now) !== 'clear'))
  }

  /** What an agent should know that this entry has just reached. */
  known (): LossReport[] { return this._suspects.known(performance.now()) }

  private _tellConfirmed (): void { this._tell(this._suspects.takeConfirmed(performance.now())) }

  private _tell (losses: readonly LossReport[]): void {
    if (losses.length > 0) this._parts.tell(losses)
  }

  private _noteStanding (fingerprint: string, source: 'own' | 'told', now: number): void {
    if (this._heldBack.has(fingerprint) || this.standing(fingerprint, now) !== 'held-back') return
    this._heldBack.add(fingerprint)
    const { lost, heldBackFor } = this.evidence(fingerprint, now)
    this._parts.counters.add('requests_found_fatal')
    this._parts.log.warn('request-held-back', { fingerprint, source, lost: lost.join(','), for: Math.round(heldBackFor) })
    this._parts.onHeldBack(fingerprint)
  }
}
