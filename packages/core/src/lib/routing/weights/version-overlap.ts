/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides which of two versions an instance continues with if a newer one is published while an older one is still in transfer or
 * staged. Staging memory holds one copy of a model, so the newer version is collected elsewhere until it takes over. Each
 * instance decides independently from its own view of the pool.
 */

/** The older version, which occupies the engine's staging memory. */
export interface StagedVersion {
  readonly version: number
  /** Whether this instance holds it completely and has verified it. */
  readonly whole: boolean
  /** The share of its chunks that this instance holds, 0 to 1. */
  readonly progress: number
  /** The share of its chunks that this instance or a peer holds, 0 to 1. */
  readonly availableShare: number
}

/** The state on which the instance's decision is based. */
export interface OverlapView {
  readonly staged: StagedVersion
  /** The newer version, and whether it has been collected completely. */
  readonly newer: { readonly version: number, readonly whole: boolean }
  /** The version that the engine serves; 0 if none. */
  readonly served: number
  /** Whether the engine is executing an order, which reads the staging memory. */
  readonly ordering: boolean
  /** Whether requests may still start on the staged version, by the deadline of the newer one. */
  readonly mayBegin: boolean
}

/** The decision: the older version keeps the staging memory, or the newer one takes it over. */
export type OverlapStep =
  | { readonly type: 'wait' }
  | { readonly type: 'take-over', readonly why: 'newer-whole' | 'older-served' | 'older-late' | 'older-lost' }

/**
 * Share of the older version that must be held for its transfer to be completed. The rest then takes one second of the instance's
 * link, which both versions share. If it is already completed when half a copy has left the origin and a third is held, the older
 * version is served two seconds longer, the newer one arrives 1.5 s later, and engines switch twice.
 */
const MIN_PROGRESS = 0.75

/**
 * Whether the transfer of an older version should be completed although a newer one is published.
 *
 * @example
 * if (shouldFinish({ version: 2, whole: false, progress: 0.9, availableShare: 1 })) collectBeside()
 */
export function shouldFinish ({ whole, progress }: StagedVersion): boolean {
  return whole || progress >= MIN_PROGRESS
}

/**
 * Decides which version occupies the staging memory.
 *
 * @example
 * if (overlapStep(view).type === 'take-over') await stageNewer()
 */
export function overlapStep ({ staged, newer, served, ordering, mayBegin }: OverlapView): OverlapStep {
  if (ordering) return { type: 'wait' }
  if (served >= staged.version) return { type: 'take-over', why: 'older-served' }
  if (newer.whole) return { type: 'take-over', why: 'newer-whole' }
  if (!mayBegin) return { type: 'take-over', why: 'older-late' }
  if (staged.availableShare === 0 && !staged.whole) return { type: 'take-over', why: 'older-lost' }
  return { type: 'wait' }
}
