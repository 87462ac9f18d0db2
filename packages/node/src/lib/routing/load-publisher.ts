/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Publishes the load of the agent's engine to the entries that follow it: at once if it has changed significantly since a follower's
 * last report, and otherwise with the answers to their pings and as a heartbeat.
 */
import { shouldSendReport, type LoadReport, type NamedVersion, type PeerReply } from '@drumdrift/core'
import type { PeerConnection, Responder } from '../peer/connection.js'

/**
 * A follower that was sent no report for this time is sent one even if the load has not changed, in milliseconds. Reports are sent
 * after polls of the engine, so this leaves time for one poll before the last report expires. A heartbeat costs a process less than
 * the answer to a ping, for which it has to wake.
 */
const HEARTBEAT_INTERVAL = 750
/**
 * An older report is not sent with the answer to a ping, in milliseconds: the engine has stopped answering, or this process was
 * blocked.
 */
const MAX_PING_REPORT_AGE = 250

/** The engine that the reports are about. */
export interface PublishedEngine {
  /** The rate at which it processes prompts, in tokens per millisecond. */
  readonly readRate: number
  /** The number of requests that it runs concurrently. */
  readonly slots: number
}

interface Follower {
  readonly responder: Responder
  /** The rate at which it sends requests to the pool, per millisecond, and the number of engines that it follows there. */
  sentRate: number
  followed: number
  lastPingAt: number
  /** The last report that was sent to it, and when; `undefined` before the first one. */
  lastSent: LoadReport | undefined
  lastSentAt: number
}

/**
 * A follower that has not pinged for this time is not counted, in milliseconds: the longest pause between pings and the time of a
 * retransmission. It is partitioned from this agent and sends no requests here, although its connection may stay open for the whole
 * partition.
 */
const FOLLOWER_TIMEOUT = 2_000

/** The followers of one agent. */
export class LoadPublisher {
  private readonly _followers = new Map<PeerConnection, Follower>()
  private _latest: LoadReport | undefined
  private _latestAt = -Infinity

  constructor (private readonly _engine: () => PublishedEngine) {}

  /** Adds a follower and sends it the last report. */
  follow (responder: Responder, now: number): void {
    const { connection } = responder
    const follower = { responder, sentRate: 0, followed: 0, lastPingAt: now, lastSent: undefined, lastSentAt: -Infinity }
    this._followers.set(connection, follower)
    connection.onEnd(() => { this._followers.delete(connection) })
    if (this._latest !== undefined) sendReport(follower, { ...this._latest, ...this._totals(now) }, now)
  }

  /**
   * Answers a ping of a follower with the load, so that its next heartbeat is due later.
   *
   * @param named The wanted version, for followers that have not received it or were suspended since.
   */
  answerPing (responder: Responder, now: number, named?: NamedVersion): void {
    const follower = this._followers.get(responder.connection)
    const age = now - this._latestAt
    const optionalNamed = named === undefined ? {} : { named }
    if (follower === undefined || this._latest === undefined || age > MAX_PING_REPORT_AGE) return responder.send({ type: 'done', ...optionalNamed })
    recordSent(follower, this._latest, this._latestAt)
    responder.send({ type: 'load', load: { ...this._latest, ...this._totals(now), age: Math.round(age) }, ...optionalNamed })
  }

  /** Records how many requests per millisecond a follower sends to the pool, and to how many engines. */
  recordRate (connection: PeerConnection, sentRate: number, followed: number, now: number): void {
    const follower = this._followers.get(connection)
    if (follower === undefined) return
    follower.sentRate = sentRate
    follower.followed = followed
    follower.lastPingAt = now
  }

  /** Sends a message to one follower. */
  sendTo (reply: PeerReply, connection: PeerConnection): void { this._followers.get(connection)?.responder.send(reply) }

  /** Sends a message to all followers except one. */
  sendToOthers (reply: PeerReply, except: PeerConnection): void {
    for (const [connection, { responder }] of this._followers) if (connection !== except) responder.send(reply)
  }

  /** Stores a new report and sends it to the followers for which it is due. */
  publish (load: LoadReport, now: number): void {
    this._latest = load
    this._latestAt = now
    // One reply for all followers, which is encoded once.
    let reply: { readonly type: 'load', readonly load: LoadReport } | undefined
    for (const follower of this._followers.values()) {
      if (!this._isDue(follower, load, now)) continue
      reply ??= { type: 'load', load: { ...load, ...this._totals(now) } }
      recordSent(follower, reply.load, now)
      follower.responder.send(reply)
    }
  }

  private _isDue ({ lastSent, lastSentAt }: Follower, load: LoadReport, now: number): boolean {
    const age = now - lastSentAt
    if (lastSent === undefined || age >= HEARTBEAT_INTERVAL) return true
    return shouldSendReport(load, { told: lastSent, age, ...this._engine() })
  }

  /** The request rate of all reachable followers to this engine, and the number of entries: see `LoadReport`. */
  private _totals (now: number): Pick<LoadReport, 'sentRate' | 'entries'> {
    let [rate, entries] = [0, 0]
    for (const { sentRate, followed, lastPingAt } of this._followers.values()) {
      if (followed < 1 || now - lastPingAt > FOLLOWER_TIMEOUT) continue
      rate += sentRate / followed
      entries += 1 / followed
    }
    return { sentRate: rate, entries }
  }
}

function sendReport (follower: Follower, load: LoadReport, now: number): void {
  recordSent(follower, load, now)
  follower.responder.send({ type: 'load', load })
}

function recordSent (follower: Follower, load: LoadReport, at: number): void {
  follower.lastSent = load
  follower.lastSentAt = at
}
