/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Schedules an agent's reads of published state. Agents do not watch the store: with that, possibly stale reads, and longer watches
 * by entries, 15 agents and 9 entries make 517 to 616 store calls a day instead of 1,013 to 1,260. Entries send agents the wanted
 * version, and agents also poll it at a long interval. The configuration, which is large, is read only until the pool is known. The
 * list of endpoints is read only during transfers, since the agent needs its peers only then.
 */
import { runPeriodically, type PeriodicTask } from '../periodic-tasks.js'
import type { PublishedFeed } from './published-feed.js'

/** Interval between reads of the pool description and the wanted version until they are known, in milliseconds. */
const INITIAL_READ_INTERVAL = 500
/**
 * Interval between reads of the wanted version, in milliseconds, in case no entry reports a new one: a third of the time
 * allowed to transfer a version.
 */
const VERSIONS_READ_INTERVAL = 2_700
/** Interval between checks for due reads, in milliseconds. */
const CHECK_INTERVAL = 250
/** Interval between reads of the endpoint list during a transfer, in milliseconds: members rarely change in its few seconds. */
const ENDPOINTS_READ_INTERVAL = 2_000

/** Callbacks that control an agent's reads. */
export interface PublishedStatePollerDependencies {
  /** Whether a transfer is in progress or due. */
  readonly needsMembers: () => boolean
  /**
   * Called after the first read of the versions. An empty result causes no change event, but means that the first version is
   * wanted.
   */
  readonly onFirstVersionsRead: () => void
}

/** Reads published state for one agent. */
export class PublishedStatePoller {
  private _checks: PeriodicTask | undefined
  private _endpointsReadAt = -Infinity
  private _configurationReadAt = -Infinity
  private _versionsReadAt = -Infinity
  private _evacuationsReadAt = -Infinity

  constructor (private readonly _feed: PublishedFeed, private readonly _dependencies: PublishedStatePollerDependencies) {}

  start (): void {
    this._checks = runPeriodically(() => { this._readDue() }, CHECK_INTERVAL)
    this._readDue()
  }

  close (): void { this._checks?.close() }

  /** Makes the next check read the endpoint list, because a transfer begins. */
  refreshMembers (): void { this._endpointsReadAt = -Infinity }

  private async _readDue (): Promise<void> {
    const now = performance.now()
    await this._readConfiguration(now)
    await this._readVersions(now)
    await this._readMembers(now)
    await this._readEvacuations(now)
  }

  /** Reads the evacuated zones once. Later changes come from relays; the agent needs them only for entries that ask it. */
  private async _readEvacuations (now: number): Promise<void> {
    if (this._feed.state.hasFollowed('evacuations') || now - this._evacuationsReadAt < INITIAL_READ_INTERVAL) return
    this._evacuationsReadAt = now
    await this._feed.refresh('evacuations')
  }

  private async _readConfiguration (now: number): Promise<void> {
    if (this._feed.state.configuration !== undefined || now - this._configurationReadAt < INITIAL_READ_INTERVAL) return
    this._configurationReadAt = now
    await this._feed.refresh('configuration')
  }

  private async _readVersions (now: number): Promise<void> {
    const known = this._feed.state.hasFollowed('versions')
    if (now - this._versionsReadAt < (known ? VERSIONS_READ_INTERVAL : INITIAL_READ_INTERVAL)) return
    this._versionsReadAt = now
    await this._feed.refresh('versions')
    if (!known) this._dependencies.onFirstVersionsRead()
  }

  private async _readMembers (now: number): Promise<void> {
    const needed = !this._feed.state.hasFollowed('endpoints') || this._dependencies.needsMembers()
    if (!needed || now - this._endpointsReadAt < ENDPOINTS_READ_INTERVAL) return
    this._endpointsReadAt = now
    await this._feed.refresh('endpoints')
  }
}
