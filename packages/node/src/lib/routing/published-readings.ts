/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * When an agent reads which part of what is published. Agents watch nothing: that, with readings that may be old and longer watches of
 * entries, took the calls of the store from 1,013 to 1,260 a day to 517 to 616, with 15 agents and 9 entries. Entries tell them which
 * version is wanted; it is also read now and then. The configuration, which is large, is read until the pool is known; the list of
 * endpoints while there is something to transfer, since only then it matters who the peers are.
 */
import type { PublishedFeed } from './published-feed.js'

/** Until the pool's description and the wanted version are known, they are read this often, in milliseconds. */
const UNKNOWN_PAUSE = 500
/**
 * The wanted version is read this often, in milliseconds, in case no entry tells of a new one: a third of the time in which a
 * version has to be brought.
 */
const VERSIONS_PAUSE = 2_700
/** How often it is looked whether something must be read, in milliseconds. */
const REFRESH_PAUSE = 250
/** The list of endpoints is read this often during a transfer, in milliseconds: members seldom change in its seconds. */
const LIST_PAUSE = 2_000

/** What decides on a reading besides what is known. */
export interface PublishedReadingsParts {
  /** Whether there is something to transfer. */
  readonly wantsMembers: () => boolean
  /** The versions were read for the first time: that none has been named is no news, but it means that the first version is wanted. */
  readonly onFirstVersions: () => void
}

/** The readings of one agent. */
export class PublishedReadings {
  private _timer: NodeJS.Timeout | undefined
  private _listReadAt = -Infinity
  private _configurationReadAt = -Infinity
  private _versionsReadAt = -Infinity

  constructor (private readonly _feed: PublishedFeed, private readonly _parts: PublishedReadingsParts) {}

  start (): void {
    this._timer = setInterval(() => { this._read() }, REFRESH_PAUSE)
    this._read()
  }

  close (): void { clearInterval(this._timer) }

  /** A transfer begins: the list of endpoints is read at the next look. */
  membersMatter (): void { this._listReadAt = -Infinity }

  private async _read (): Promise<void> {
    const now = performance.now()
    await this._readConfiguration(now)
    await this._readVersions(now)
    await this._readMembers(now)
  }

  private async _readConfiguration (now: number): Promise<void> {
    if (this._feed.state.configuration !== undefined || now - this._configurationReadAt < UNKNOWN_PAUSE) return
    this._configurationReadAt = now
    await this._feed.refresh('configuration')
  }

  private async _readVersions (now: number): Promise<void> {
    const known = this._feed.state.knows('versions')
    if (now - this._versionsReadAt < (known ? VERSIONS_PAUSE : UNKNOWN_PAUSE)) return
    this._versionsReadAt = now
    await this._feed.refresh('versions')
    if (!known) this._parts.onFirstVersions()
  }

  private async _readMembers (now: number): Promise<void> {
    const wanting = !this._feed.state.knows('endpoints') || this._parts.wantsMembers()
    if (!wanting || now - this._listReadAt < LIST_PAUSE) return
    this._listReadAt = now
    await this._feed.refresh('endpoints')
  }
}
