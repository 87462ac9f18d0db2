/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks requests that may crash endpoints, and shares what one entry knows of them with the other entries. Agents relay messages
 * that are new to them to all entries that follow them.
 */
import { readSuspectNews, SuspectRequests, type SuspectStatus, type SuspectNews } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { runPeriodically, type PeriodicTask } from '../periodic-tasks.js'

/** Dependencies of {@link SuspectExchange}. */
export interface SuspectExchangeDependencies {
  readonly log: Log
  readonly counters: Counters
  /** Sends a message to some agents. */
  readonly send: (news: SuspectNews) => void
  /** Called when a request is held back from now on. */
  readonly onHeldBack: (fingerprint: string) => void
}

/** How often confirmed losses are sent, in milliseconds: a small part of the time that an endpoint has to show that it is alive. */
const SEND_INTERVAL = 100

/** The suspect requests of one entry. */
export class SuspectExchange {
  private readonly _suspects = new SuspectRequests()
  private readonly _sharing: PeriodicTask

  constructor (private readonly _dependencies: SuspectExchangeDependencies) {
    this._sharing = runPeriodically(() => this._send({ losses: this._suspects.takeConfirmed(performance.now()), answers: [] }), SEND_INTERVAL)
  }

  close (): void { this._sharing.close() }

  standing (fingerprint: string, now: number): SuspectStatus { return this._suspects.standing(fingerprint, now) }

  /** Returns the endpoints that were lost while running a request, and how long it is held back, in milliseconds. */
  evidence (fingerprint: string, now: number): { readonly lost: string[], readonly heldBackFor: number } {
    return { lost: this._suspects.lossesOf(fingerprint, now), heldBackFor: this._suspects.heldBackFor(fingerprint, now) }
  }

  /** Records that the connection to an endpoint was lost while a request was in flight. */
  lost (fingerprint: string, start: string, now: number): void {
    const before = this.standing(fingerprint, now)
    this._suspects.lost(fingerprint, start, now)
    this._reportIfHeldBack(fingerprint, before, 'own', now)
  }

  /** Records that an endpoint was alive at a time. */
  recordAlive (start: string, at: number): void { this._suspects.lived(start, at) }

  /**
   * Records that an endpoint ran a request and answered it. Shared only if that clears the request: otherwise an entry that has
   * just started would hold back a request that all others serve.
   */
  answered (fingerprint: string, now: number): void {
    if (this._suspects.answered(fingerprint, now)) this._send({ losses: [], answers: [{ fingerprint, age: 0 }] })
  }

  /**
   * Receives what another entry observed, relayed by an agent. Losses and answers that change the standing of a request are sent on,
   * so that they reach entries that follow other agents.
   */
  receive (input: unknown, agent: string): void {
    const now = performance.now()
    const news = readSuspectNews(input)
    if (news === undefined) return this._dependencies.log.warn('peer-malformed', { type: 'suspects', agent, detail: 'the payload is not a valid message about suspect requests' })
    const before = new Map(news.losses.map(({ fingerprint }) => [fingerprint, this.standing(fingerprint, now)]))
    const { losses, answers } = this._suspects.heard(news, now)
    for (const [fingerprint, standing] of before) this._reportIfHeldBack(fingerprint, standing, 'told', now)
    this._send({ losses: losses.filter(({ fingerprint }) => this.standing(fingerprint, now) !== 'clear'), answers })
  }

  /** Returns the losses to send to an agent to which this entry has just connected. */
  snapshot (): SuspectNews { return { losses: this._suspects.known(performance.now()), answers: [] } }

  private _send (news: SuspectNews): void {
    if (news.losses.length + news.answers.length > 0) this._dependencies.send(news)
  }

  private _reportIfHeldBack (fingerprint: string, before: SuspectStatus, source: 'own' | 'told', now: number): void {
    if (before === 'held-back' || this.standing(fingerprint, now) !== 'held-back') return
    const { lost, heldBackFor } = this.evidence(fingerprint, now)
    this._dependencies.counters.add('requests_found_fatal')
    this._dependencies.log.warn('request-held-back', { fingerprint, source, lost: lost.join(','), for: Math.round(heldBackFor) })
    this._dependencies.onHeldBack(fingerprint)
  }
}
