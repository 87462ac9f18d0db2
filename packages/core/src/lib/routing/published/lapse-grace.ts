/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides whether an endpoint whose entry is missing has left, or whether the entry only expired while the platform's store was
 * unavailable. In the second case the endpoint soon writes its entry again, and is kept until then.
 */

/**
 * How long endpoints with missing entries are kept after an outage of the store, in milliseconds. According to the platform's
 * operators, endpoints write expired entries again within about two seconds; half a second is added for propagation.
 */
const LAPSE_GRACE = 2_500
/** Time in which endpoints that a restored store lacks write their entries again, with their next heartbeat, in milliseconds. */
const REWRITE_TIME = 1_500
/**
 * Grace period of a service that misses few endpoints, if few are missing in all, in milliseconds. In an outage of the store itself most
 * entries expire, so a few missing endpoints have left.
 */
const SHORT_GRACE = 500
/**
 * The shortest outage after which entries may have expired, in milliseconds. An entry expires after several heartbeats of silence, so one
 * that goes while a call fails, or while connections are cut, has been removed.
 */
const MIN_LAPSE_TIME = 1_000
/** Missing endpoints count as few below this share of all endpoints, and of those of their service. */
const FEW_SHARE = 0.5

/** The grace period of one process after it lost its connection to the store. */
export class LapseGrace {
  /** Since when the store cannot be reached; `undefined` while it answers. */
  private _lostSince: number | undefined
  /** When the grace period after the last outage ends. */
  private _graceEndsAt = 0
  /** The services for which the grace period goes on after it was decided; `undefined` for all. */
  private _keptServices: Set<string> | undefined
  /** Time from which it is decided whether few or most endpoints are missing. */
  private _decideAt = 0
  /** Removals up to this revision may be expired entries. */
  private _lapsedUpTo = 0
  /** Time until which the store may lack endpoints that it listed before it was restored from an older copy. */
  private _rewrittenBy = 0
  /** Removals up to this revision may be due to the restored copy. */
  private _restoredUpTo = 0
  /** Endpoints whose entries were missing since the store was lost, including those that are listed again, with their services. */
  private readonly _missing = new Map<string, string>()

  /**
   * Records that the store cannot be reached: entries that disappear from now on may only have expired.
   *
   * @param since Since when it may not have answered: when a call that got no answer was sent, or when a connection was lost.
   */
  storeLost (since: number): void {
    if (this._lostSince === undefined && since >= this._graceEndsAt) this._missing.clear()
    this._lostSince = Math.min(since, this._lostSince ?? Infinity)
  }

  /**
   * Records that the store answers again. After a short outage, an earlier grace period goes on as if there had been none.
   *
   * @param upTo The store's current revision: removals up to it may be expired entries, later ones are real.
   */
  storeRegained (now: number, upTo: number): void {
    const since = this._lostSince
    this._lostSince = undefined
    if (since === undefined || now - since < MIN_LAPSE_TIME) return
    this._graceEndsAt = now + LAPSE_GRACE
    this._keptServices = undefined
    this._decideAt = now + SHORT_GRACE
    this._lapsedUpTo = upTo
  }

  /** Records that the store was restored from an older copy, which lacks endpoints that started since, even if these are few. */
  storeRestored (now: number): void {
    this._rewrittenBy = now + REWRITE_TIME
    this._restoredUpTo = Infinity
  }

  /** Records that all endpoints were read up to a revision: later removals are not due to the restored copy. */
  snapshotRead (revision: number): void { this._restoredUpTo = Math.min(this._restoredUpTo, revision) }

  /**
   * Returns the time until which an endpoint of a service is kept whose entry is missing since a revision, or `undefined` if it has left.
   *
   * @example
   * const lapsesAt = grace.keptUntil(service, revision, now)
   */
  keptUntil (service: string, revision: number, now: number): number | undefined {
    const endsAt = this._endOfService(service)
    if (now < this._rewrittenBy && revision <= this._restoredUpTo) return Math.max(this._rewrittenBy, endsAt)
    return now < endsAt && (this._isLost || revision <= this._lapsedUpTo) ? endsAt : undefined
  }

  /**
   * Extends the grace period, or begins one, because a peer keeps an endpoint whose entry is missing. A process that follows the store through
   * relays may not notice an outage itself.
   *
   * @param keptFor How long the peer keeps the endpoint, in milliseconds.
   * @returns The time until which the endpoint is kept here.
   * @example
   * held.lapsesAt = grace.keepLikePeer(service, keptFor, now)
   */
  keepLikePeer (service: string, keptFor: number, now: number): number {
    if (!this._isLost && now >= this._graceEndsAt) {
      this._decideAt = now + SHORT_GRACE
      this._missing.clear()
      this._keptServices = undefined
    }
    this._keptServices?.add(service)
    this._graceEndsAt = Math.max(this._graceEndsAt, now + Math.min(keptFor, LAPSE_GRACE))
    return this._isLost ? Infinity : this._graceEndsAt
  }

  /**
   * Returns how long an endpoint of a service that is kept until `lapsesAt` is still kept, in milliseconds, or the whole grace period while the
   * store cannot be reached; `undefined` if its grace period is over.
   */
  remaining (service: string, lapsesAt: number, now: number): number | undefined {
    return this.isExpired(service, lapsesAt, now) ? undefined : Math.min(LAPSE_GRACE, this._endOf(service, lapsesAt) - now)
  }

  /** Whether the grace period of an endpoint of a service that is kept until `lapsesAt` is over. */
  isExpired (service: string, lapsesAt: number, now: number): boolean { return now >= this._endOf(service, lapsesAt) }

  private _endOf (service: string, lapsesAt: number): number { return Math.max(this._rewrittenBy, Math.min(lapsesAt, this._endOfService(service))) }

  /** Records that an endpoint of a service is kept although its entry is missing. */
  recordMissing (id: string, service: string): void { this._missing.set(id, service) }

  /**
   * Decides once per outage whether few or most endpoints were missing. If they were few, the grace period ends, except for services that
   * missed most of theirs.
   *
   * @param listServices Returns the service of each endpoint; called only if it is to be decided.
   * @example
   * grace.endIfFewMissing(() => state.endpoints().map(({ service }) => service), now)
   */
  endIfFewMissing (listServices: () => readonly string[], now: number): void {
    if (this._isLost || now < this._decideAt) return
    this._decideAt = Infinity
    const all = listServices()
    const missing = [...this._missing.values()]
    if (!isFew(missing, all)) return
    const ofService = (services: readonly string[], service: string): readonly string[] => services.filter(other => other === service)
    this._keptServices = new Set([...new Set(missing)].filter(service => !isFew(ofService(missing, service), ofService(all, service))))
    if (this._keptServices.size === 0) this._graceEndsAt = now
  }

  private get _isLost (): boolean { return this._lostSince !== undefined }

  private _endOfService (service: string): number {
    if (this._isLost) return Infinity
    return this._keptServices?.has(service) === false ? 0 : this._graceEndsAt
  }
}

function isFew (missing: readonly string[], all: readonly string[]): boolean { return missing.length < FEW_SHARE * all.length }
