/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tells the entries that follow it how loaded the engine beside this agent is: at once when that is news to them, and
 * otherwise with the answers to their measurements of the way, as a sign of life.
 */
import { isLoadNews, type LoadReport, type PeerReply } from '@drumdrift/core'
import type { PeerConnection, Responder } from '../peer/connection.js'

/**
 * A follower that neither asked nor was told anything for this long hears the load all the same, in milliseconds: before what it
 * heard last is too old to say anything. Those that measure the way are told with the answer.
 */
const SIGN_OF_LIFE = 900
/** A look at the engine that is older is not told, in milliseconds: the engine does not answer, or this process was held up. */
const OLDEST_LOOK = 250

/** The engine that the reports are about. */
export interface PublishedEngine {
  /** Prompt tokens that it reads in a millisecond. */
  readonly readRate: number
  /** Requests that it runs at once. */
  readonly slots: number
}

interface Follower {
  readonly responder: Responder
  /** Requests in a millisecond that it sends to the pool, and the engines that it follows there, as it told last. */
  sentRate: number
  followed: number
  heardAt: number
  /** What it was told last, and when; nothing before the first report. */
  told: LoadReport | undefined
  toldAt: number
}

/**
 * A follower that was not heard for this long is cut off, and sends nothing here, in milliseconds: entries measure the way
 * twice in this time at least. Its connection may stay open for as long as the cut.
 */
const FOLLOWER_SILENCE = 1_800

/** The followers of one agent. */
export class LoadPublisher {
  private readonly _followers = new Map<PeerConnection, Follower>()
  private _last: LoadReport | undefined
  private _lastAt = -Infinity

  constructor (private readonly _engine: () => PublishedEngine) {}

  /** Adds a follower and tells it the last report. */
  follow (responder: Responder, now: number): void {
    const { connection } = responder
    const follower = { responder, sentRate: 0, followed: 0, heardAt: now, told: undefined, toldAt: -Infinity }
    this._followers.set(connection, follower)
    connection.onEnd(() => { this._followers.delete(connection) })
    if (this._last !== undefined) tell(follower, { ...this._last, ...this._totals(now) }, now)
  }

  /**
   * A follower measures the way, and is told the load with the answer: told by themselves, signs of life were most of what idle
   * agents and entries did.
   */
  answerPing (responder: Responder, now: number): void {
    const follower = this._followers.get(responder.connection)
    const age = now - this._lastAt
    if (follower === undefined || this._last === undefined || age > OLDEST_LOOK) return responder.send({ type: 'done' })
    note(follower, this._last, this._lastAt)
    responder.send({ type: 'load', load: { ...this._last, ...this._totals(now), age: Math.round(age) } })
  }

  /** A follower told how many requests in a millisecond it sends to the pool, among how many engines. */
  noteRate (connection: PeerConnection, sentRate: number, followed: number, now: number): void {
    const follower = this._followers.get(connection)
    if (follower === undefined) return
    follower.sentRate = sentRate
    follower.followed = followed
    follower.heardAt = now
  }

  /** Tells one follower. */
  tellOne (reply: PeerReply, connection: PeerConnection): void { this._followers.get(connection)?.responder.send(reply) }

  /** Tells all followers but one. */
  tellOthers (reply: PeerReply, except: PeerConnection): void {
    for (const [connection, { responder }] of this._followers) if (connection !== except) responder.send(reply)
  }

  /** Takes a new report. */
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

  /** What all followers that can be reached send to this engine, and how many they are: see `LoadReport`. */
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
