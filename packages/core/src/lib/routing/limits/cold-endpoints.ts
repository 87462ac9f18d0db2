/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Limits the requests to cold endpoints. An endpoint is cold for some time after a start, and collapses if it receives more requests in
 * a second than its operator allows, from all entries together. Entries do not see each other's requests, so each uses an equal share
 * of the rate, with permits that lapse (`LimitShare`).
 */
import type { EndpointGate, SparedFor } from '../choice/endpoint-gate.js'
import { startKeyOf, writingsBetween, type EndpointRecord } from '../published/endpoint-record.js'
import type { ColdDescription, ServiceDescription } from '../published/routing-configuration.js'
import { COLD_TIME_EXTENSION, isColdNews, isPlausibleColdTime, MAX_COLD_TIME, type ColdNews } from './cold-news.js'
import { LimitShare, type ShareTerms } from './limit-share.js'

/** By how much the requests to a cold endpoint may exceed the rate that it withstands: a factor, and a fixed number in one second. */
export interface ColdBounds {
  readonly factor: number
  readonly slack: number
}

/**
 * What made an endpoint cold, or ended it: its start, its entry in the list, one of its answers to this process (`own`) or to another one
 * that told it (`told`), or the end of an evacuation.
 */
export type ColdSource = 'start' | 'entry' | 'own' | 'told' | 'zone'

/** A cold time that began or was prolonged, or that ended earlier than expected. */
export interface ColdChange {
  readonly start: string
  readonly source: ColdSource
  /** The remaining cold time, in milliseconds; 0 if the endpoint is not cold. */
  readonly remaining: number
  /** The requests per second that this entry may send; 0 if the endpoint is not cold. */
  readonly share: number
}

/** The window in which the requests to a cold endpoint are limited, in milliseconds. */
const WINDOW = 1_000
/**
 * How long a connection to a cold endpoint may take to open, in milliseconds. A request that waits longer would arrive together with
 * later ones, and the rate has to be lower by this share of the window. Some times the latency between regions.
 */
export const COLD_CONNECT_TIMEOUT = 50
/**
 * An unused permit lapses after this time, in milliseconds. Permits that are kept reduce the rate, and permits that lapse are lost. At 40
 * entries with 10 requests a second each, lifetimes of 200, 250 and 300 ms use most. An entry of a larger fleet has fewer requests.
 */
const MIN_PERMIT_LIFETIME = 250
const MAX_PERMIT_LIFETIME = 1_000
const PERMIT_LIFETIME_PER_ENTRY = 6.25
/**
 * Requests that were sent without a permit arrive within this time, in milliseconds, and no permit is used before. The process before this
 * one at the same place may have sent one just before it ended, and an endpoint in use has received requests of all entries until they
 * learned that it is cold.
 */
const PAUSE = WINDOW + COLD_CONNECT_TIMEOUT
/** Bound of memory: the number of starts that are remembered after they have left the list. */
const MAX_UNLISTED = 1_024
/** How long the number of entries is used without being estimated again, in milliseconds. */
const ENTRIES_REFRESH = 250
/**
 * Standard deviations above the mean that must be allowed, for permits that all wait until the window begins. Those that are used as they
 * are earned stay 5 deviations below the bound.
 */
const DEVIATIONS = 4
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Returns the terms under which permits for cold endpoints are earned.
 *
 * @example
 * const share = usedShare(14, 40, coldTerms({ factor: 1.5, slack: 5 }))
 */
export function coldTerms ({ factor, slack }: ColdBounds): ShareTerms {
  return {
    window: WINDOW,
    allowedFactor: factor,
    allowedSlack: slack,
    minRate: 0,
    arrivalSpread: COLD_CONNECT_TIMEOUT,
    permitLifetime: entries => Math.min(MAX_PERMIT_LIFETIME, Math.max(MIN_PERMIT_LIFETIME, PERMIT_LIFETIME_PER_ENTRY * entries)),
    deviations: DEVIATIONS,
    shareStep: 0.005,
    continuity: 0.5
  }
}

interface ColdState {
  record: EndpointRecord
  listed: boolean
  /** When the endpoint started during traffic or its zone was reopened; `-Infinity` for neither. */
  presumedSince: number
  /** The end of the cold time by the endpoint's entry in the list; `undefined` if no entry since `presumedSince` names it. */
  statedUntil: number | undefined
  /** The end of the cold time by the endpoint's answers, and when the last answer that was used was received. */
  answeredUntil: number
  answeredAt: number
  lastSentAt: number
  /** The end of the cold time by all of these, and the one last reported. */
  until: number
  reportedUntil: number
  share: LimitShare | undefined
}

/** The cold endpoints, as one entry knows them. */
export class ColdEndpoints implements EndpointGate {
  private readonly _states = new Map<string, ColdState>()
  /** The starts that were cold when they were last looked at. */
  private readonly _cold = new Set<string>()
  private _services: ReadonlyMap<string, ColdDescription> = new Map()
  private readonly _terms: ShareTerms | undefined
  private _hasFollowedList = false
  private _entriesCount: number | undefined
  private _entriesCountedAt = -Infinity

  /**
   * @param bounds `undefined` if the deployment has no limit for cold endpoints: then none is cold.
   * @param _entries Returns the number of entries that share the limit, or `undefined` if it is unknown.
   * @param _random Returns random numbers in [0, 1).
   * @param _startedAt When this process started.
   * @param termsOf The terms under which permits are earned, from the bounds.
   */
  constructor (bounds: ColdBounds | undefined, private readonly _entries: (now: number) => number | undefined, private readonly _random: () => number, private readonly _startedAt: number, termsOf = coldTerms) {
    this._terms = bounds === undefined ? undefined : termsOf(bounds)
  }

  /**
   * Applies the published services and the list of endpoints.
   *
   * @param hasFollowedList Whether the records are the whole list. An endpoint that is new after the first whole list has started during
   *     traffic.
   * @returns The changes, to log.
   * @example
   * for (const change of cold.update(state.endpoints(), services, state.hasFollowed('endpoints'), now)) log(change)
   */
  update (records: readonly EndpointRecord[], services: readonly ServiceDescription[], hasFollowedList: boolean, now: number): ColdChange[] {
    if (this._terms === undefined) return []
    this._services = new Map(services.flatMap(({ name, cold }) => cold === undefined ? [] : [[name, cold]]))
    const listed = new Set(records.map(startKeyOf))
    for (const [start, state] of this._states) if (!listed.has(start)) state.listed = false
    const changes = records.flatMap(record => this._updateRecord(record, now))
    this._hasFollowedList ||= hasFollowedList
    this._dropOldestUnlisted()
    return changes
  }

  /**
   * Records that the evacuation of a zone has ended: its endpoints count as cold until an entry that they write from then on says
   * otherwise. To be called after `update` for records that were received together with the end of the evacuation, which may be older.
   */
  zoneReopened (availabilityZone: string, now: number): ColdChange[] {
    return [...this._states].flatMap(([start, state]) => {
      if (!state.listed || state.record.availabilityZone !== availabilityZone) return []
      state.presumedSince = now
      state.statedUntil = undefined
      return this._evaluate(start, state, 'zone', now)
    })
  }

  /** Whether an endpoint counts as cold only until it writes its entry again, which is to be looked for in the list. */
  awaitsEntries (now: number): boolean {
    return [...this._cold].some(start => {
      const state = this._states.get(start)
      return state?.statedUntil === undefined && this._isCold(start, now)
    })
  }

  /**
   * Records the remaining cold time that an endpoint named in an answer, in milliseconds. A shorter time is used only if the request was
   * sent after the answer with the longer one was received, since answers arrive out of order.
   *
   * @returns The changes, to log.
   */
  heard (start: string, remaining: number, askedAt: number, now: number): ColdChange[] {
    const state = this._states.get(start)
    if (state === undefined || !isPlausibleColdTime(remaining)) return []
    const until = now + remaining
    if (until < state.answeredUntil && askedAt < state.answeredAt) return []
    state.answeredUntil = until
    state.answeredAt = now
    return this._evaluate(start, state, 'own', now, true)
  }

  /**
   * Adds the cold times that another process reports. A report counts from its receipt, so one that hardly extends what is known is
   * ignored: otherwise each process that sends it on would prolong it.
   *
   * @returns The changes, to log and to send on.
   */
  told (news: ColdNews, now: number): ColdChange[] {
    return news.flatMap(({ start, remaining }) => {
      const state = this._states.get(start)
      if (state === undefined || !isColdNews(remaining, state.until, now)) return []
      state.answeredUntil = now + remaining
      state.answeredAt = now
      return this._evaluate(start, state, 'told', now, true)
    })
  }

  /** Returns the cold times that endpoints named in answers, for a process that starts or was partitioned. */
  known (now: number): ColdNews {
    return [...this._cold].flatMap(start => {
      const remaining = (this._states.get(start)?.answeredUntil ?? -Infinity) - now
      return remaining > 0 ? [{ start, remaining }] : []
    })
  }

  /** Whether an endpoint is cold. */
  isCold (start: string, now: number): boolean { return !this.quiet && this._isCold(start, now) }

  get quiet (): boolean { return this._cold.size === 0 }

  sparedFor (start: string, now: number): SparedFor | undefined {
    return this._shareOf(start, now)?.maySend(now) === false ? 'cold' : undefined
  }

  /** A permit should not lapse: at the allowed rate, a cold endpoint serves as well as others. */
  isDue (start: string, now: number): boolean { return this._shareOf(start, now)?.maySend(now) === true }

  isDueUnfollowed (start: string, now: number): boolean { return this.isDue(start, now) }

  sent (start: string, now: number): void {
    const state = this._states.get(start)
    if (state === undefined) return
    state.lastSentAt = now
    this._shareOf(start, now)?.sent(now)
  }

  opensIn (start: string, now: number): number {
    const share = this._shareOf(start, now)
    const state = this._states.get(start)
    return share === undefined || state === undefined ? 0 : Math.min(share.nextPermitIn(now), state.until - now)
  }

  private _updateRecord (record: EndpointRecord, now: number): ColdChange[] {
    const start = startKeyOf(record)
    const known = this._states.get(start)
    const state = known ?? { record, listed: false, presumedSince: -Infinity, statedUntil: undefined, answeredUntil: -Infinity, answeredAt: -Infinity, lastSentAt: -Infinity, until: -Infinity, reportedUntil: -Infinity, share: undefined }
    const isNew = !state.listed
    const isNewer = isNew || (record !== state.record && (writingsBetween(state.record, record) ?? 1) > 0)
    this._states.set(start, state)
    state.listed = true
    state.record = record
    if (isNew) {
      state.presumedSince = this._hasFollowedList ? now : -Infinity
      state.statedUntil = undefined
    }
    if (isNewer && record.coldRemaining !== undefined) state.statedUntil = now + Math.min(MAX_COLD_TIME, record.coldRemaining)
    return this._evaluate(start, state, state.statedUntil === undefined ? 'start' : 'entry', now, !isNew)
  }

  /**
   * Updates the share of an endpoint after a change, and reports whether its cold time began, became longer or ended early.
   *
   * @param inUse Whether other entries may still send it requests without permits.
   */
  private _evaluate (start: string, state: ColdState, source: ColdSource, now: number, inUse = false): ColdChange[] {
    const description = this._services.get(state.record.service)
    const wasCold = state.until > now
    state.until = this._coldUntil(state, description)
    const { until } = state
    if (description === undefined || this._terms === undefined || until <= now) {
      this._cold.delete(start)
      state.reportedUntil = -Infinity
      return wasCold ? [{ start, source, remaining: 0, share: 0 }] : []
    }
    const share = this._prepareShare(state, description, this._terms, now)
    if (!wasCold) share.voidPermits((inUse ? now : state.lastSentAt) + PAUSE)
    this._cold.add(start)
    if (wasCold && until < state.reportedUntil + COLD_TIME_EXTENSION) return []
    state.reportedUntil = until
    return [{ start, source, remaining: until - now, share: share.rate(now) * MILLISECONDS_PER_SECOND }]
  }

  /** A share is kept while its endpoint is not cold: with a new random phase for each cold time, permits would be earned twice. */
  private _prepareShare (state: ColdState, { requestsPerSecond }: ColdDescription, terms: ShareTerms, now: number): LimitShare {
    if (state.share === undefined) {
      state.share = new LimitShare(requestsPerSecond, at => this._entriesAt(at), this._random(), now, terms)
      state.share.voidPermits(this._startedAt + PAUSE)
    }
    state.share.change(requestsPerSecond, now)
    return state.share
  }

  private _coldUntil ({ presumedSince, statedUntil, answeredUntil }: ColdState, description: ColdDescription | undefined): number {
    return description === undefined ? -Infinity : Math.max(statedUntil ?? presumedSince + description.duration, answeredUntil)
  }

  private _isCold (start: string, now: number): boolean {
    const state = this._states.get(start)
    if (state !== undefined && this._cold.has(start) && now < state.until) return true
    this._cold.delete(start)
    return false
  }

  private _shareOf (start: string, now: number): LimitShare | undefined {
    return this.isCold(start, now) ? this._states.get(start)?.share : undefined
  }

  private _entriesAt (now: number): number | undefined {
    if (now - this._entriesCountedAt >= ENTRIES_REFRESH) {
      this._entriesCount = this._entries(now)
      this._entriesCountedAt = now
    }
    return this._entriesCount
  }

  private _dropOldestUnlisted (): void {
    const unlisted = [...this._states].filter(([, { listed }]) => !listed).map(([start]) => start)
    for (const start of unlisted.slice(0, Math.max(0, unlisted.length - MAX_UNLISTED))) {
      this._states.delete(start)
      this._cold.delete(start)
    }
  }
}
