/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The server side of a relay: announces the revisions that it holds to its followers, and sends changes of published state to
 * peers that request them.
 */
import type { PeerRequest, RelayNote } from '@drumdrift/core'
import type { PeerConnection, Responder } from '../peer/connection.js'
import { runPeriodically, type PeriodicTask } from '../periodic-tasks.js'
import { DeltaEncoder, sendNews } from './delta-codec.js'
import type { PublishedFeed } from './published-feed.js'

/** Maximum interval between messages to a follower, in milliseconds. */
const HEARTBEAT_INTERVAL = 500
/** Minimum interval between announcements, in milliseconds, since changes come in bursts. */
const ANNOUNCE_INTERVAL = 50

/** Announces the published state that one process holds, and serves it to peers. */
export class PublishedStateRelay {
  private readonly _followers = new Map<PeerConnection, Responder>()
  private readonly _encoder: DeltaEncoder
  /** Set once there is a first follower. */
  private _ticks: PeriodicTask | undefined
  private _announced = ''
  private _announcedAt = -Infinity

  constructor (private readonly _feed: PublishedFeed, private readonly _availabilityZone: string) {
    this._encoder = new DeltaEncoder(_feed.state)
  }

  close (): void { this._ticks?.close() }

  /** Adds a follower, and sends it the current revisions. */
  follow (responder: Responder): void {
    const { connection } = responder
    this._followers.set(connection, responder)
    this._ticks ??= runPeriodically(() => this._tick(), ANNOUNCE_INTERVAL)
    connection.onEnd(() => { this._followers.delete(connection) })
    responder.send({ type: 'news-note', note: this._note() })
  }

  /** Sends a peer the changes that it requested. */
  answer ({ note, topics }: Extract<PeerRequest, { type: 'news' }>, responder: Responder): void {
    sendNews(responder, this._encoder.since(note, topics, performance.now()))
  }

  private _tick (): void {
    if (this._followers.size === 0) return
    const now = performance.now()
    const note = this._note()
    // Progress of the followed revisions without changes is sent with the next heartbeat.
    const announcement = JSON.stringify([note.held, note.fresh])
    if (announcement === this._announced && now - this._announcedAt < HEARTBEAT_INTERVAL) return
    this._announced = announcement
    this._announcedAt = now
    for (const responder of this._followers.values()) responder.send({ type: 'news-note', note })
  }

  private _note (): RelayNote {
    const { state } = this._feed
    const versionsAge = performance.now() - state.versionsCompleteUntil
    return { availabilityZone: this._availabilityZone, followed: state.note, held: state.held, fresh: this._feed.readsStore, versionsAge: Number.isFinite(versionsAge) ? Math.round(versionsAge) : undefined }
  }
}
