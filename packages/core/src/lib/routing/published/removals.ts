/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Endpoints that have gone, so that older news of them is not believed, and peers that are behind can be told. */
import type { LastWriting } from './endpoint-record.js'

/** One removal. */
export interface Removal {
  readonly type: 'endpoint-gone'
  readonly id: string
  readonly revision: number
  readonly certain?: boolean | undefined
}

/** A removal, and the newest start of the endpoint that was known when it went. */
export interface NotedRemoval extends LastWriting {
  readonly removal: Removal
  /** Whether it was heard in an earlier epoch of the store; its revision is 0 then. */
  readonly carried: boolean
}

/** Removals kept to be told to peers. Beyond that, a peer that is further behind gets the whole list. */
const MOST_REMOVALS = 512

/** The newest removals, one of each endpoint. */
export class Removals {
  /** The oldest first. */
  private readonly _noted = new Map<string, NotedRemoval>()
  private _forgottenUpTo = 0

  /** Removals up to this revision may have been forgotten; 0 for none. */
  get forgottenUpTo (): number { return this._forgottenUpTo }

  /** The removal of an endpoint; nothing for one that has not gone. */
  get (id: string): NotedRemoval | undefined { return this._noted.get(id) }

  /** Those after a revision. */
  after (revision: number): Removal[] {
    return [...this._noted.values()].flatMap(({ removal }) => removal.revision > revision ? [removal] : [])
  }

  /**
   * An endpoint has gone.
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

  /** The store begins another epoch. */
  carryOver (): void {
    this._forgottenUpTo = 0
    for (const [id, noted] of this._noted) this._noted.set(id, { ...noted, removal: { ...noted.removal, revision: 0 }, carried: true })
  }

  /** The store has nothing newer of an endpoint up to a revision; nothing happens when it has not gone. */
  confirm (id: string, revision: number): void {
    const noted = this._noted.get(id)
    if (noted !== undefined) this._noted.set(id, { ...noted, removal: { ...noted.removal, revision } })
  }

  /** Removals up to a revision were not all heard. */
  forgetUpTo (revision: number): void { this._forgottenUpTo = Math.max(this._forgottenUpTo, revision) }

  /** An endpoint is back. */
  forget (id: string): void { this._noted.delete(id) }
}
