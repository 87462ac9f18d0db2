/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tells the entries that follow it how loaded the engine beside this agent is: at once when that is news to them, and now
 * and then as a sign of life.
 */
import { isLoadNews, type LoadReport, type PeerReply } from '@drumdrift/core'
import type { PeerConnection, Responder } from '../peer/connection.js'

/** Followers hear this often though nothing changes, in milliseconds; they take silence of three times that for loss. */
const SIGN_OF_LIFE = 500

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
  private _toldAt = -Infinity

  constructor (private readonly _engine: () => PublishedEngine) {}

  /** Adds a follower and tells it the last report. */
  follow (responder: Responder, now: number): void {
    const { connection } = responder
    const follower = { responder, sentRate: 0, followed: 0, heardAt: now }
    this._followers.set(connection, follower)
    connection.onEnd(() => { this._followers.delete(connection) })
    if (this._last !== undefined) tell(follower, { ...this._last, ...this._totals(now) })
  }

  /** A follower told how many requests in a millisecond it sends to the pool, among how many engines. */
  noteRate (connection: PeerConnection, sentRate: number, followed: number, now: number): void {
    const follower = this._followers.get(connection)
    if (follower === undefined) return
    follower.sentRate = sentRate
    follower.followed = followed
    follower.heardAt = now
  }

  /** Tells all followers but one. */
  tellOthers (reply: PeerReply, except: PeerConnection): void {
    for (const [connection, { responder }] of this._followers) if (connection !== except) responder.send(reply)
  }

  /** Takes a new report. */
  publish (load: LoadReport, now: number): void {
    const age = now - this._toldAt
    if (this._last !== undefined && age < SIGN_OF_LIFE && !isLoadNews(load, { told: this._last, age, ...this._engine() })) return
    this._last = load
    this._toldAt = now
    const told = { ...load, ...this._totals(now) }
    for (const follower of this._followers.values()) tell(follower, told)
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

function tell ({ responder }: Follower, load: LoadReport): void { responder.send({ type: 'load', load }) }
