/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Exchanges results of requests to plain endpoints between the entries of an availability zone, by way of a relay: such endpoints have no agents that
 * report, and an entry of a large fleet sends each of them a request every few seconds.
 */
import { EvidencePool, MAX_REPORTS, readEvidence, type EvidenceMember, type EvidenceReport } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerConnection, Responder } from '../peer/connection.js'

/** Dependencies of {@link EvidenceExchange}. */
export interface EvidenceExchangeDependencies {
  readonly availabilityZone: string
  /** Whether this process is a relay, which passes reports on. */
  readonly isRelay: boolean
  readonly log: Log
  readonly counters: Counters
  /** Returns what other entries should hear, each result once. */
  readonly take: (now: number) => readonly EvidenceReport[]
  readonly hear: (reports: readonly EvidenceReport[], now: number) => void
  /** Sends reports to the nearest relay. */
  readonly send: (reports: readonly EvidenceReport[]) => void
}

/** An entry that follows this relay. */
interface Follower extends EvidenceMember {
  readonly responder: Responder
}

/** How often a relay passes reports on, in milliseconds, and its increase with each follower, which bounds the messages of a large zone. */
const PASS_INTERVAL = 100
const PASS_INTERVAL_PER_FOLLOWER = 4

/** The exchange of one entry. */
export class EvidenceExchange {
  private readonly _pool = new EvidencePool()
  private readonly _followers = new Map<PeerConnection, Follower>()
  private readonly _self: EvidenceMember
  private _passedAt = -Infinity

  constructor (private readonly _dependencies: EvidenceExchangeDependencies) {
    this._self = { id: this, availabilityZone: _dependencies.availabilityZone }
  }

  /** Adds an entry that follows this relay. Followers that name no zone receive no reports. */
  follow (responder: Responder, availabilityZone: string | undefined): void {
    const { connection } = responder
    if (typeof availabilityZone !== 'string') return
    this._followers.set(connection, { id: connection, availabilityZone, responder })
    connection.onEnd(() => { this._followers.delete(connection) })
  }

  /** Sends what this entry has seen, and as a relay what others have. To be called periodically. */
  exchange (now: number): void {
    const { isRelay, take, send, counters } = this._dependencies
    const reports = take(now).slice(0, MAX_REPORTS)
    if (reports.length > 0) counters.add('evidence_sent', reports.length)
    if (reports.length > 0 && isRelay) this._pool.add(this._self, reports, now)
    else if (reports.length > 0) send(reports)
    this._passOn(now)
  }

  /** Receives the reports of an entry, at a relay. */
  receive (input: unknown, availabilityZone: string, { connection }: Pick<Responder, 'connection'>, now: number): void {
    const reports = this._read(input)
    if (reports !== undefined) this._pool.add({ id: connection, availabilityZone }, reports, now)
  }

  /** Receives the reports that a relay passes on. */
  hear (input: unknown, now: number): void {
    const reports = this._read(input)
    if (reports === undefined) return
    const { counters, log, hear } = this._dependencies
    counters.add('evidence_heard', reports.length)
    for (const { start, results, failures, age } of reports) log.debug('evidence-heard', { start, results, failures, age })
    hear(reports, now)
  }

  private _passOn (now: number): void {
    if (this._pool.isEmpty || now - this._passedAt < PASS_INTERVAL + this._followers.size * PASS_INTERVAL_PER_FOLLOWER) return
    this._passedAt = now
    const news = this._pool.take<EvidenceMember | Follower>([this._self, ...this._followers.values()], now)
    for (const [member, reports] of news) {
      const sent = reports.slice(0, MAX_REPORTS)
      if ('responder' in member) member.responder.send({ type: 'endpoint-evidence', reports: sent })
      else this.hear(sent, now)
    }
  }

  private _read (input: unknown): EvidenceReport[] | undefined {
    const reports = readEvidence(input)
    if (reports === undefined) this._dependencies.log.warn('peer-malformed', { type: 'endpoint-evidence', detail: 'malformed reports of endpoints' })
    return reports
  }
}
