/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tells the entries that follow it how loaded the engine beside this agent is: at once when that is news to them, and now
 * and then as a sign of life.
 */
import { isLoadNews, type LoadReport } from '@drumdrift/core'
import type { Responder } from '../peer/connection.js'

/** Followers hear this often though nothing changes, in milliseconds; they take silence of three times that for loss. */
const SIGN_OF_LIFE = 500

/** The engine that the reports are about. */
export interface PublishedEngine {
  /** Prompt tokens that it reads in a millisecond. */
  readonly readRate: number
  /** Requests that it runs at once. */
  readonly slots: number
}

/** The followers of one agent. */
export class LoadPublisher {
  private readonly _followers = new Set<Responder>()
  private _last: LoadReport | undefined
  private _toldAt = -Infinity

  constructor (private readonly _engine: () => PublishedEngine) {}

  /** Adds a follower and tells it the last report. */
  follow (responder: Responder): void {
    this._followers.add(responder)
    responder.connection.onEnd(() => { this._followers.delete(responder) })
    if (this._last !== undefined) this._tell(responder, this._last)
  }

  /** Takes a new report. */
  publish (load: LoadReport, now: number): void {
    const age = now - this._toldAt
    if (this._last !== undefined && age < SIGN_OF_LIFE && !isLoadNews(load, { told: this._last, age, ...this._engine() })) return
    this._last = load
    this._toldAt = now
    for (const follower of this._followers) this._tell(follower, load)
  }

  private _tell (follower: Responder, load: LoadReport): void {
    follower.send({ type: 'load', load: { ...load, entries: this._followers.size } })
  }
}
