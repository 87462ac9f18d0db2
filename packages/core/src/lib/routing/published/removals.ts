/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Removed endpoints. They are kept to reject outdated entries of them, and to send the removals to peers that are behind. */
import type { LastWriting } from './endpoint-record.js'
import type { EpochRevision } from './held-endpoints.js'

/** The removal of an endpoint. */
export interface Removal {
  readonly type: 'endpoint-gone'
  readonly id: string
  readonly revision: number
  readonly certain?: boolean | undefined
}

/** A removal, with the newest start of the endpoint that was known when it was removed. */
export interface KnownRemoval extends LastWriting {
  readonly removal: Removal
  /** See `HeldEndpoint`; `undefined` if no entry of the endpoint was known. */
  readonly firstKnown?: EpochRevision | undefined
  /** Whether it was received in an earlier epoch of the store; its revision is then 0. */
  readonly carried: boolean
}

/** What is known of an endpoint when it is removed. */
export type LastKnown = Pick<KnownRemoval, 'born' | 'writings' | 'firstKnown'>

/** Number of removals kept for peers. A peer that is further behind gets the complete list of endpoints. */
const MAX_REMOVALS = 512

/** The newest removals, at most one per endpoint. */
export class Removals {
  /** By endpoint id, oldest first. */
  private readonly _removals = new Map<string, KnownRemoval>()
  private _incompleteUpTo = 0

  /** Revision up to which removals may be missing here; 0 if none are. */
  get incompleteUpTo (): number { return this._incompleteUpTo }

  /** Returns the removal of an endpoint, or `undefined` if it has not been removed. */
  get (id: string): KnownRemoval | undefined { return this._removals.get(id) }

  /** Returns the removals after a revision. */
  after (revision: number): Removal[] {
    return [...this._removals.values()].flatMap(({ removal }) => removal.revision > revision ? [removal] : [])
  }

  /**
   * Adds a removal, and discards the oldest ones above the limit.
   *
   * @example
   * removals.add({ type: 'endpoint-gone', id: 'engine-7', revision: 12 }, { ...held.record, firstKnown: held.firstKnown })
   */
  add (removal: Removal, { born, writings, firstKnown }: LastKnown): void {
    this._removals.set(removal.id, { removal, born, writings, firstKnown, carried: false })
    for (const [oldest, { removal: { revision } }] of this._removals) {
      if (this._removals.size <= MAX_REMOVALS) return
      this._removals.delete(oldest)
      this.markIncompleteUpTo(revision)
    }
  }

  /** Carries all removals over into a new epoch of the store, at revision 0. */
  carryOver (): void {
    this._incompleteUpTo = 0
    for (const [id, entry] of this._removals) this._removals.set(id, { ...entry, removal: { ...entry.removal, revision: 0 }, carried: true })
  }

  /** Records that the store has no newer state of an endpoint up to a revision. Does nothing if the endpoint has not been removed. */
  confirm (id: string, revision: number): void {
    const entry = this._removals.get(id)
    if (entry !== undefined) this._removals.set(id, { ...entry, removal: { ...entry.removal, revision } })
  }

  /** Records that some removals up to a revision are missing here. */
  markIncompleteUpTo (revision: number): void { this._incompleteUpTo = Math.max(this._incompleteUpTo, revision) }

  /** Discards the removal of an endpoint that is listed again. */
  delete (id: string): void { this._removals.delete(id) }
}
