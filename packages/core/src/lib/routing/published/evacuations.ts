/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The availability zones that operators have evacuated, and those whose evacuation has ended. Evacuations are ordered by the store's
 * revision, like all published state. Their documents contain no counter, so that after a restore of the store only the key tells
 * whether a zone is evacuated.
 */
import type { PublishedChange } from './published-change.js'

interface KnownZone {
  readonly evacuated: boolean
  /** 0 if it was received in an earlier epoch of the store. */
  readonly revision: number
  /** When the evacuation ended; `undefined` while it lasts. */
  readonly endedAt: number | undefined
  /** Since when the state is known from an earlier epoch only; `undefined` if the present epoch has confirmed it. */
  readonly carriedAt: number | undefined
}

/**
 * How long an evacuation that a restored store lacks stays in force, in milliseconds. The operators repeat their writes after a
 * restore; until then, the loss of the key does not show that they ended the evacuation. It equals the time within which an
 * evacuation must be in force, so a key that is written again in that time leaves no gap.
 */
export const EVACUATION_REWRITE_TIME = 5_000
/** Ended evacuations that are kept for peers. A peer that is further behind gets the complete list of evacuated zones. */
const MAX_ENDED = 256

/** Evacuated zones of one replica of published state. */
export class Evacuations {
  private readonly _known = new Map<string, KnownZone>()
  private _zones: ReadonlySet<string> = new Set()
  private _completeUntil = -Infinity

  /** The evacuated zones. The set is replaced when it changes. */
  get zones (): ReadonlySet<string> { return this._zones }

  /**
   * Applies the key of an evacuation.
   *
   * @param followed The revision up to which every change has been received; 0 if none.
   * @returns Whether the zone was not evacuated before.
   * @example
   * if (evacuations.begin('bagmati', 12, state.note.evacuations, now)) log.warn('evacuation-began', { zone: 'bagmati' })
   */
  begin (zone: string, revision: number, followed: number, now: number): boolean {
    const known = this._known.get(zone)
    if (known === undefined ? followed > 0 && revision <= followed : revision <= known.revision) return false
    this._put(zone, { evacuated: true, revision, endedAt: undefined, carriedAt: revision === 0 ? now : undefined })
    return known?.evacuated !== true
  }

  /**
   * Applies the removal of a key.
   *
   * @returns Whether this is news: the zone was evacuated, or was not known.
   */
  end (zone: string, revision: number, followed: number, endedAt: number): boolean {
    const known = this._known.get(zone)
    if (known === undefined ? followed > 0 && revision <= followed : revision <= known.revision) return false
    const isNews = known?.evacuated !== false
    this._put(zone, { evacuated: false, revision, endedAt: isNews ? endedAt : known.endedAt, carriedAt: undefined })
    return isNews
  }

  /** Returns the zones whose key is missing from a complete list: those that the present epoch has confirmed up to its revision. */
  missingFrom (listed: ReadonlySet<string>, upTo: number): string[] {
    return [...this._known].filter(([zone, { evacuated, carriedAt, revision }]) => evacuated && carriedAt === undefined && revision <= upTo && !listed.has(zone)).map(([zone]) => zone)
  }

  /**
   * Carries evacuations over into a new epoch of the store. Ended ones are dropped: a restored store that has the key again evacuates
   * the zone again, because nothing shows that the key was not written since.
   */
  carryOver (now: number): void {
    for (const [zone, known] of this._known) {
      if (known.evacuated) this._known.set(zone, { ...known, revision: 0, carriedAt: now })
      else this._known.delete(zone)
    }
  }

  /** Records that every change until a time has been received. */
  completeAt (time: number): void { this._completeUntil = Math.max(time, this._completeUntil) }

  /**
   * Returns the zones whose key the restored store is known to have lacked for {@link EVACUATION_REWRITE_TIME}. A process that is cut
   * off from the store does not know that, and keeps them.
   */
  lapsed (): string[] {
    return [...this._known].filter(([, { carriedAt = Infinity }]) => this._completeUntil - carriedAt >= EVACUATION_REWRITE_TIME).map(([zone]) => zone)
  }

  /** Returns the changes after a revision, as they are sent to a peer. */
  changesAfter (revision: number, now: number): PublishedChange[] {
    return [...this._known].filter(([, known]) => known.revision > revision).map(([zone, known]) => known.evacuated
      ? { type: 'evacuation', revision: known.revision, zone }
      : { type: 'evacuation-ended', revision: known.revision, zone, age: Math.max(0, now - (known.endedAt ?? -Infinity)) })
  }

  private _put (zone: string, state: KnownZone): void {
    this._known.delete(zone)
    this._known.set(zone, state)
    const ended = [...this._known].filter(([, { evacuated }]) => !evacuated)
    for (const [oldest] of ended.slice(0, Math.max(0, ended.length - MAX_ENDED))) this._known.delete(oldest)
    if (this._zones.has(zone) === state.evacuated) return
    this._zones = new Set([...this._known].flatMap(([name, { evacuated }]) => evacuated ? [name] : []))
  }
}
