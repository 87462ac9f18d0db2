/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Removed endpoints. They are kept to reject outdated entries of them, and to send the removals to peers that are behind. */
import type { LastWriting } from './endpoint-record.js'

/** The removal of an endpoint. */
export interface Removal {
  readonly type: 'endpoint-gone'
  readonly id: string
  readonly revision: number
  readonly certain?: boolean | undefined
}

/** A removal, with the newest start of the endpoint that was known when it was removed. */
export interface NotedRemoval extends LastWriting {
  readonly removal: Removal
  /** Whether it was received in an earlier epoch of the store; its revision is then 0. */
  readonly carried: boolean
}

/** Number of removals kept for peers. A peer that is further behind gets the complete list of endpoints. */
const MOST_REMOVALS = 512

/** The newest removals, at most one per endpoint. */
export class Removals {
  /** By endpoint id, oldest first. */
  private readonly _noted = new Map<string, NotedRemoval>()
  private _forgottenUpTo = 0

  /** Revision up to which removals may be missing here; 0 if none are. */
  get forgottenUpTo (): number { return this._forgottenUpTo }

  /** Returns the removal of an endpoint, or `undefined` if it has not been removed. */
  get (id: string): NotedRemoval | undefined { return this._noted.get(id) }

  /** Returns the removals after a revision. */
  after (revision: number): Removal[] {
    return [...this._noted.values()].flatMap(({ removal }) => removal.revision > revision ? [removal] : [])
  }

  /**
   * Adds a removal, and discards the oldest ones above the limit.
   *
   * @example
   * removals.note({ type: 'endpoint-gone', id: 'engine-7', revision: 12 }, held.record)
   */
  note (removal: Removal, { born, writings }: LastWriting): void {
    this._noted.set(removal.id, { removal, born, writings, carried: false })
    for (const [oldest, { removal: { revision } }] of this._noted) {
      if (this._noted.size <= MOST_REMOVALS) return
      this._noted.delete(oldest)
      this.forgetUpTo(revision)
    }
  }

  /** Carries all removals over into a new epoch of the store, at revision 0. */
  carryOver (): void {
    this._forgottenUpTo = 0
    for (const [id, noted] of this._noted) this._noted.set(id, { ...noted, removal: { ...noted.removal, revision: 0 }, carried: true })
  }

  /** Records that the store has no newer state of an endpoint up to a revision. Does nothing if the endpoint has not been removed. */
  confirm (id: string, revision: number): void {
    const noted = this._noted.get(id)
    if (noted !== undefined) this._noted.set(id, { ...noted, removal: { ...noted.removal, revision } })
  }

  /** Records that some removals up to a revision are missing here. */
  forgetUpTo (revision: number): void { this._forgottenUpTo = Math.max(this._forgottenUpTo, revision) }

  /** Discards the removal of an endpoint that is listed again. */
  forget (id: string): void { this._noted.delete(id) }
}
