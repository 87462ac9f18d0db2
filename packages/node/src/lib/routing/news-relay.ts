/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The telling side of a relay: lets followers know at once how far it knows published state, and gives news to who asks.
 */
import type { PeerRequest, RelayNote } from '@drumdrift/core'
import type { PeerConnection, Responder } from '../peer/connection.js'
import { NewsPacker } from './packed-news.js'
import type { PublishedFeed } from './published-feed.js'

/** Followers hear from a relay this often at least, in milliseconds. */
const SIGN_OF_LIFE = 500
/** Changes come in runs: followers are told of them this often at most, in milliseconds. */
const TELL_PAUSE = 50

/** Tells what one process knows of published state. */
export class NewsRelay {
  private readonly _followers = new Map<PeerConnection, Responder>()
  private readonly _packer: NewsPacker
  /** Runs from the first follower on. */
  private _timer: NodeJS.Timeout | undefined
  private _told = ''
  private _toldAt = -Infinity

  constructor (private readonly _feed: PublishedFeed, private readonly _availabilityZone: string) {
    this._packer = new NewsPacker(_feed.state)
  }

  close (): void { clearInterval(this._timer) }

  /** Adds a follower, and tells it the present state. */
  follow (responder: Responder): void {
    const { connection } = responder
    this._followers.set(connection, responder)
    this._timer ??= setInterval(() => this._tick(), TELL_PAUSE)
    connection.onEnd(() => { this._followers.delete(connection) })
    responder.send({ type: 'news-note', note: this._note() })
  }

  /** Answers who asks for news. */
  answer ({ note, topics }: Extract<PeerRequest, { type: 'news' }>, responder: Responder): void {
    responder.send({ type: 'news' }, this._packer.since(note, topics, performance.now()))
  }

  private _tick (): void {
    if (this._followers.size === 0) return
    const now = performance.now()
    const note = this._note()
    // That it has followed further without news is told with the next sign of life.
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
