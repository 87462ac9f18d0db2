/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Endpoints that have gone, so that older news of them is not believed, and peers that are behind can be told. */

/** One removal. */
export interface Removal {
  readonly type: 'endpoint-gone'
  readonly id: string
  readonly revision: number
  readonly certain?: boolean | undefined
}

interface Noted {
  readonly removal: Removal
  /** The newest start of the endpoint that was known. */
  readonly born: number | undefined
}

/** Removals kept to be told to peers. Beyond that, a peer that is further behind gets the whole list. */
const MOST_REMOVALS = 512

/** The newest removals, one of each endpoint. */
export class Removals {
  /** The oldest first. */
  private readonly _noted = new Map<string, Noted>()
  private _forgottenUpTo = 0

  /** Removals up to this revision may have been forgotten; 0 for none. */
  get forgottenUpTo (): number { return this._forgottenUpTo }

  /** The revision of an endpoint's removal; 0 for none. */
  revisionOf (id: string): number { return this._noted.get(id)?.removal.revision ?? 0 }

  /** The newest start of an endpoint that was known when it went; nothing where that is not known. */
  bornOf (id: string): number | undefined { return this._noted.get(id)?.born }

  /** Those after a revision. */
  after (revision: number): Removal[] {
    return [...this._noted.values()].flatMap(({ removal }) => removal.revision > revision ? [removal] : [])
  }

  /**
   * An endpoint has gone.
   *
   * @param born The newest start of it that was known.
   * @example
   * removals.note({ type: 'endpoint-gone', id: 'engine-7', revision: 12 }, record.born)
   */
  note (removal: Removal, born: number | undefined): void {
    this._noted.set(removal.id, { removal, born })
    for (const [oldest, { removal: { revision } }] of this._noted) {
      if (this._noted.size <= MOST_REMOVALS) return
      this._noted.delete(oldest)
      this._forgottenUpTo = Math.max(this._forgottenUpTo, revision)
    }
  }

  /** An endpoint is back. */
  forget (id: string): void { this._noted.delete(id) }
}
