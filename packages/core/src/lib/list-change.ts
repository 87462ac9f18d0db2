/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The difference between two revisions of the instance list. With 2,780 instances the list has 370 KB and changes about
 * 700 times a day, so sending it in full would exceed the budget for control traffic (docs/CAPACITY.md).
 */
import type { InstanceList, InstanceRecord } from './documents.js'
import type { Published } from './revision-ledger.js'

/** The difference from one revision to the next adopted one. */
export interface ListChange {
  readonly source: string
  /** The revision to which the change applies. Only a process that holds it can apply the change. */
  readonly base: number
  readonly revision: number
  /** Records that were added or modified. */
  readonly changed: readonly InstanceRecord[]
  /** Names of the removed instances. */
  readonly removed: readonly string[]
}

/**
 * Computes the difference between two lists.
 *
 * @param base The revision of `before`.
 * @example
 * const change = listChange(heldList, 7, published, newList)
 */
export function listChange (before: InstanceList, base: number, published: Published, after: InstanceList): ListChange {
  const known = new Map(before.instances.map(record => [record.instance, JSON.stringify(record)]))
  const changed = after.instances.filter(record => known.get(record.instance) !== JSON.stringify(record))
  const remaining = new Set(after.instances.map(record => record.instance))
  const removed = before.instances.map(record => record.instance).filter(instance => !remaining.has(instance))
  return { source: published.source, base, revision: published.revision, changed, removed }
}

/**
 * Applies a change to the list that it is based on.
 *
 * @returns The document at the revision of the change, to be offered to the ledger like any other.
 */
export function applyListChange (before: InstanceList, change: ListChange): Published {
  const changed = new Map(change.changed.map(record => [record.instance, record]))
  const removed = new Set(change.removed)
  const kept = before.instances.filter(record => !removed.has(record.instance)).map(record => changed.get(record.instance) ?? record)
  const names = new Set(kept.map(record => record.instance))
  const added = change.changed.filter(record => !names.has(record.instance))
  return { source: change.source, revision: change.revision, document: { instances: [...kept, ...added] } }
}
