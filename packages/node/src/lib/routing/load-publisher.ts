/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Publishes the load of the agent's engine to the entries that follow it: at once if it has changed significantly since a follower's
 * last report, and otherwise with the answers to their pings, as a heartbeat.
 */
import { isLoadNews, type LoadReport, type PeerReply } from '@drumdrift/core'
import type { PeerConnection, Responder } from '../peer/connection.js'

/**
 * A follower that was sent no report for this time is sent one even if the load has not changed, in milliseconds. This is before its
 * last report expires. Followers that ping receive the report with the answer.
 */
const SIGN_OF_LIFE = 900
/**
 * An older report is not sent with the answer to a ping, in milliseconds: the engine has stopped answering, or this process was
 * blocked.
 */
const OLDEST_LOOK = 250

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
  heardAt: number
  /** The last report that was sent to it, and when; `undefined` before the first one. */
  told: LoadReport | undefined
  toldAt: number
}

/**
 * A follower that has not pinged for this time is not counted, in milliseconds: entries ping at least twice in this time. It is
 * partitioned from this agent and sends no requests here, although its connection may stay open for the whole partition.
 */
const FOLLOWER_SILENCE = 1_800

/** The followers of one agent. */
export class LoadPublisher {
  private readonly _followers = new Map<PeerConnection, Follower>()
  private _last: LoadReport | undefined
  private _lastAt = -Infinity

  constructor (private readonly _engine: () => PublishedEngine) {}

  /** Adds a follower and sends it the last report. */
  follow (responder: Responder, now: number): void {
    const { connection } = responder
    const follower = { responder, sentRate: 0, followed: 0, heardAt: now, told: undefined, toldAt: -Infinity }
    this._followers.set(connection, follower)
    connection.onEnd(() => { this._followers.delete(connection) })
    if (this._last !== undefined) tell(follower, { ...this._last, ...this._totals(now) }, now)
  }

  /**
   * Answers a ping of a follower with the load. When heartbeats were sent as separate messages, they made up most of the work of
   * idle agents and entries.
   */
  answerPing (responder: Responder, now: number): void {
    const follower = this._followers.get(responder.connection)
    const age = now - this._lastAt
    if (follower === undefined || this._last === undefined || age > OLDEST_LOOK) return responder.send({ type: 'done' })
    note(follower, this._last, this._lastAt)
    responder.send({ type: 'load', load: { ...this._last, ...this._totals(now), age: Math.round(age) } })
  }

  /** Records how many requests per millisecond a follower sends to the pool, and to how many engines. */
  noteRate (connection: PeerConnection, sentRate: number, followed: number, now: number): void {
    const follower = this._followers.get(connection)
    if (follower === undefined) return
    follower.sentRate = sentRate
    follower.followed = followed
    follower.heardAt = now
  }

  /** Sends a message to one follower. */
  tellOne (reply: PeerReply, connection: PeerConnection): void { this._followers.get(connection)?.responder.send(reply) }

  /** Sends a message to all followers except one. */
  tellOthers (reply: PeerReply, except: PeerConnection): void {
    for (const [connection, { responder }] of this._followers) if (connection !== except) responder.send(reply)
  }

  /** Stores a new report and sends it to the followers for which it is due. */
  publish (load: LoadReport, now: number): void {
    this._last = load
    this._lastAt = now
    const due = [...this._followers.values()].filter(follower => this._isDue(follower, load, now))
    if (due.length === 0) return
    const told = { ...load, ...this._totals(now) }
    for (const follower of due) tell(follower, told, now)
  }

  private _isDue ({ told, toldAt }: Follower, load: LoadReport, now: number): boolean {
    const age = now - toldAt
    if (told === undefined || age >= SIGN_OF_LIFE) return true
    return isLoadNews(load, { told, age, ...this._engine() })
  }

  /** The request rate of all reachable followers to this engine, and the number of entries: see `LoadReport`. */
  private _totals (now: number): Pick<LoadReport, 'sentRate' | 'entries'> {
    let [sent, entries] = [0, 0]
    for (const { sentRate, followed, heardAt } of this._followers.values()) {
      if (followed < 1 || now - heardAt > FOLLOWER_SILENCE) continue
      sent += sentRate / followed
      entries += 1 / followed
    }
    return { sentRate: sent, entries }
  }
}

function tell (follower: Follower, load: LoadReport, now: number): void {
  note(follower, load, now)
  follower.responder.send({ type: 'load', load })
}

function note (follower: Follower, load: LoadReport, at: number): void {
  follower.told = load
  follower.toldAt = at
}
