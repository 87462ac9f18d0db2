/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tracks requests that may crash endpoints, and shares what one entry knows of them with the other entries. Agents relay messages
 * that are new to them to all entries that follow them.
 */
import { readSuspectNews, SuspectRequests, SuspectVerdicts, type LossReport, type RequestTrait, type SuspectNews, type SuspectStatus, type SuspectSubject, type TraitKind } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { runPeriodically, stallCounter, type PeriodicTask } from '../periodic-tasks.js'
import type { EndpointStart } from '../endpoint-liveness.js'
import type { ProbeResult } from '../endpoint-probe.js'

/** Dependencies of {@link SuspectExchange}. */
export interface SuspectExchangeDependencies {
  readonly log: Log
  readonly counters: Counters
  /** Sends a message to some agents. */
  readonly send: (news: SuspectNews) => void
  /** Called when requests with a fingerprint may be held back from now on. */
  readonly onHeldBack: (fingerprint: string) => void
  /** Checks whether an endpoint still accepts connections. */
  readonly probe: (address: string) => Promise<ProbeResult>
  /** Random numbers in [0, 1). */
  readonly random: () => number
  /** The number of entries of the fleet; `undefined` if it is not known. */
  readonly entries: (now: number) => number | undefined
}

/** Why a request is held back. */
export interface SuspectEvidence {
  readonly trait: RequestTrait | undefined
  /** The incarnations of endpoints that were lost. */
  readonly lost: readonly string[]
  /** The time until the request may be started, in milliseconds. */
  readonly heldBackFor: number
}

/** How often confirmed losses are sent, in milliseconds: a small part of the time that an endpoint has to show that it is alive. */
const SEND_INTERVAL = 100

/** Bounds memory. */
const MAX_REPORTED = 1_024

/** The counter of what is held back, by kind. */
const counterOf: Record<TraitKind, string> = { request: 'requests_found_fatal', 'prompt-part': 'prompt_parts_found_fatal' }

/** The suspect requests of one entry. */
export class SuspectExchange {
  private readonly _suspects = new SuspectRequests()
  private readonly _verdicts: SuspectVerdicts
  private readonly _sharing: PeriodicTask
  /** The incarnations of endpoints that are being probed. */
  private readonly _probed = new Set<string>()
  /** The fingerprints of what is held back and was reported. */
  private readonly _reported = new Set<string>()
  private readonly _takeStall = stallCounter()
  private _closed = false

  constructor (private readonly _dependencies: SuspectExchangeDependencies) {
    const { random, entries } = _dependencies
    this._verdicts = new SuspectVerdicts({ evidence: this._suspects, random, entries }, performance.now())
    this._sharing = runPeriodically(() => this._sendConfirmed(), SEND_INTERVAL)
  }

  close (): void {
    this._closed = true
    this._sharing.close()
  }

  standing (subject: SuspectSubject, now: number): SuspectStatus { return this._verdicts.standing(subject, now) }

  /** Whether a request may be started. */
  admits (subject: SuspectSubject, now: number): boolean { return this._verdicts.admits(subject, now) }

  /** Returns why a request is held back. */
  evidence (subject: SuspectSubject, now: number): SuspectEvidence {
    const trait = this._verdicts.decisiveTrait(subject, now)
    if (trait === undefined) return { trait, lost: [], heldBackFor: 0 }
    return { trait, lost: this._suspects.lossesOf(trait.fingerprint, now), heldBackFor: this._verdicts.heldBackFor(trait, now) }
  }

  /**
   * Records that the connection to an endpoint was lost while a request was in flight.
   *
   * @param answeredFor How long the endpoint had been answering the request, in milliseconds; 0 if it had not begun.
   */
  lost (subject: SuspectSubject, endpoint: EndpointStart, answeredFor: number, now: number): void {
    this._suspects.extendWaits(this._takeStall())
    this._verdicts.lost(subject, endpoint.start, answeredFor, now)
    this._reportHeldBack(subject.traits, 'own', now)
    this._confirmCrash(endpoint)
  }

  /** Records that an endpoint was alive at a time. */
  recordAlive (start: string, at: number): void { this._suspects.lived(start, at) }

  /** Records that an endpoint has been answering a request for longer than it takes to crash because of a part of its prompt. */
  survived (subject: SuspectSubject, now: number): void { this._send({ losses: [], answers: this._verdicts.survived(subject, now) }) }

  /**
   * Records that an endpoint ran a request and answered it. Shared only if that clears the request: otherwise an entry that has
   * just started would hold back a request that all others serve.
   */
  answered (subject: SuspectSubject, now: number): void { this._send({ losses: [], answers: this._verdicts.answered(subject, now) }) }

  /**
   * Receives what another entry observed, relayed by an agent. Losses and answers that change the standing of a request are sent on,
   * so that they reach entries that follow other agents.
   */
  receive (input: unknown, agent: string): void {
    const now = performance.now()
    const news = readSuspectNews(input)
    if (news === undefined) return this._dependencies.log.warn('peer-malformed', { type: 'suspects', agent, detail: 'the payload is not a valid message about suspect requests' })
    const relayed = this._suspects.relay(news, now)
    this._reportHeldBack(relayed.losses.map(traitOf), 'told', now)
    this._send(relayed)
  }

  /** Returns the losses to send to an agent to which this entry has just connected. */
  snapshot (): SuspectNews { return { losses: this._suspects.known(performance.now()), answers: [] } }

  /** An endpoint that accepts no connections has crashed, so that its loss need not be awaited. */
  private async _confirmCrash ({ start, address }: EndpointStart): Promise<void> {
    if (this._probed.has(start)) return
    this._probed.add(start)
    const result = await this._dependencies.probe(address)
    this._probed.delete(start)
    if (result !== 'refused' || this._closed) return
    this._suspects.confirm(start)
    this._sendConfirmed()
  }

  private _sendConfirmed (): void {
    const now = performance.now()
    this._suspects.extendWaits(this._takeStall())
    const losses = this._suspects.takeConfirmed(now)
    this._reportHeldBack(losses.map(traitOf), 'own', now)
    this._send({ losses, answers: [] })
  }

  private _send (news: SuspectNews): void {
    if (news.losses.length + news.answers.length > 0) this._dependencies.send(news)
  }

  /** Reports each property once when it is held back, and again if it was released in the meantime. */
  private _reportHeldBack (traits: readonly RequestTrait[], source: 'own' | 'told', now: number): void {
    for (const { kind, fingerprint } of traits) {
      const isHeldBack = this._suspects.standing(fingerprint, now) === 'held-back'
      if (!isHeldBack) this._reported.delete(fingerprint)
      if (!isHeldBack || this._reported.has(fingerprint)) continue
      if (this._reported.size >= MAX_REPORTED) this._reported.clear()
      this._reported.add(fingerprint)
      this._dependencies.counters.add(counterOf[kind])
      this._dependencies.log.warn('request-held-back', { kind, fingerprint, source, lost: this._suspects.lossesOf(fingerprint, now).join(','), for: Math.round(this._suspects.heldBackFor(fingerprint, now)) })
      this._dependencies.onHeldBack(fingerprint)
    }
  }
}

function traitOf ({ fingerprint, kind = 'request' }: LossReport): RequestTrait { return { kind, fingerprint } }
