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
 * The origin gives a version and the one before it. Of anything older only what instances hold is to be had.
 */
const VERSIONS_AT_ORIGIN = 2
/**
 * The share of chunks that must have left the origin for an older version to be finished. The rest of it then holds up the
 * newer one by half of a copy's time at most, and is there for the case that the origin goes away before the newer one is.
 */
const LEAST_KNOWN = 0.5

/**
 * Whether an older version is worth finishing when a newer one is named.
 *
 * @param newest The version that is named.
 * @example
 * if (worthFinishing({ version: 2, whole: false, known: 1 }, 3)) collectBeside()
 */
export function worthFinishing ({ version, whole, known }: StagedVersion, newest: number): boolean {
  if (whole || known >= 1) return true
  return known >= LEAST_KNOWN && newest - version < VERSIONS_AT_ORIGIN
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
