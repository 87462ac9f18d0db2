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
import { NewsPacker } from './packed-news.js'
import type { PublishedFeed } from './published-feed.js'

/** Maximum interval between messages to a follower, in milliseconds. */
const SIGN_OF_LIFE = 500
/** Minimum interval between announcements, in milliseconds, since changes come in bursts. */
const TELL_PAUSE = 50

/** Announces the published state that one process holds, and serves it to peers. */
export class NewsRelay {
  private readonly _followers = new Map<PeerConnection, Responder>()
  private readonly _packer: NewsPacker
  /** Set once there is a first follower. */
  private _timer: NodeJS.Timeout | undefined
  private _told = ''
  private _toldAt = -Infinity

  constructor (private readonly _feed: PublishedFeed, private readonly _availabilityZone: string) {
    this._packer = new NewsPacker(_feed.state)
  }

  close (): void { clearInterval(this._timer) }

  /** Adds a follower, and sends it the current revisions. */
  follow (responder: Responder): void {
    const { connection } = responder
    this._followers.set(connection, responder)
    this._timer ??= setInterval(() => this._tick(), TELL_PAUSE)
    connection.onEnd(() => { this._followers.delete(connection) })
    responder.send({ type: 'news-note', note: this._note() })
  }

  /** Sends a peer the changes that it requested. */
  answer ({ note, topics }: Extract<PeerRequest, { type: 'news' }>, responder: Responder): void {
    responder.send({ type: 'news' }, this._packer.since(note, topics, performance.now()))
  }

  private _tick (): void {
    if (this._followers.size === 0) return
    const now = performance.now()
    const note = this._note()
    // Progress of the followed revisions without changes is sent with the next heartbeat.
    const news = JSON.stringify([note.held, note.fresh])
    if (news === this._told && now - this._toldAt < SIGN_OF_LIFE) return
    this._told = news
    this._toldAt = now
    for (const responder of this._followers.values()) responder.send({ type: 'news-note', note })
  }

  private _note (): RelayNote {
    const { state } = this._feed
    return { availabilityZone: this._availabilityZone, followed: state.note, held: state.held, fresh: this._feed.readsStore }
  }
}
