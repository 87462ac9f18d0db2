/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides which of two versions an instance goes on with when a newer one is named while an older one is still on its way
 * or staged. Staging memory holds one copy of a model, so the newer one is collected elsewhere until it takes over. Each
 * instance decides by itself from what it sees of the pool.
 */

/** The older version, which has the engine's staging memory. */
export interface StagedVersion {
  readonly version: number
  /** Whether it is complete and verified here. */
  readonly whole: boolean
  /** The share of its chunks that are held here, 0 to 1. */
  readonly progress: number
  /** The share of its chunks that are held here or by some peer, 0 to 1. */
  readonly known: number
}

/** What the instance sees when it decides. */
export interface OverlapView {
  readonly staged: StagedVersion
  /** The newer version, and whether all of it has been collected. */
  readonly ahead: { readonly version: number, readonly whole: boolean }
  /** The version that the engine serves; 0 for none. */
  readonly served: number
  /** Whether the engine carries out an order, which reads the staging memory. */
  readonly ordering: boolean
  /** Whether requests may still begin on the staged version, by the bound of the version ahead of it. */
  readonly mayBegin: boolean
}

/** What follows: the older one keeps the staging memory, or the newer one takes it over. */
export type OverlapStep =
  | { readonly type: 'wait' }
  | { readonly type: 'take-over', readonly why: 'newer-whole' | 'older-served' | 'older-late' | 'older-lost' }

/**
 * The share of an older version that must be here for it to be finished. What is left then takes a second of this instance's
 * own link, which both versions share; from half a copy at the origin on, when a third was here, the older one served two
 * seconds longer and the newer one came 1.5 s later, and engines switched twice.
 */
const LEAST_PROGRESS = 0.75

/**
 * Whether an older version is worth finishing when a newer one is named.
 *
 * @example
 * if (worthFinishing({ version: 2, whole: false, progress: 0.9, known: 1 })) collectBeside()
 */
export function worthFinishing ({ whole, progress }: StagedVersion): boolean {
  return whole || progress >= LEAST_PROGRESS
}

/**
 * Decides who has the staging memory.
 *
 * @example
 * if (overlapStep(view).type === 'take-over') await stageNewer()
 */
export function overlapStep ({ staged, ahead, served, ordering, mayBegin }: OverlapView): OverlapStep {
  if (ordering) return { type: 'wait' }
  if (served >= staged.version) return { type: 'take-over', why: 'older-served' }
  if (ahead.whole) return { type: 'take-over', why: 'newer-whole' }
  if (!mayBegin) return { type: 'take-over', why: 'older-late' }
  if (staged.known === 0 && !staged.whole) return { type: 'take-over', why: 'older-lost' }
  return { type: 'wait' }
}
