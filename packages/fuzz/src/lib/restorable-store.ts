/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A store of published items that can be restored from an older snapshot. */
import { topicOf, type PublishedChange } from '@drumdrift/core'

interface Snapshot {
  readonly at: number
  readonly revision: number
  readonly items: ReadonlyMap<string, PublishedChange>
  readonly history: readonly PublishedChange[]
  readonly compactedRevision: number
}

/** How long snapshots are kept for a restore, in milliseconds. */
const SNAPSHOT_RETENTION = 20_000

/** Items with revisions, and a snapshot of all items after each change. */
export class RestorableStore {
  epoch = 1
  private _snapshots: Snapshot[]
  /** Callbacks of the watches that wait for a change. */
  private readonly _waiting = new Set<() => void>()

  constructor (private readonly _clock: { readonly now: number }) {
    this._snapshots = [{ at: _clock.now, revision: 1, items: new Map(), history: [], compactedRevision: 0 }]
  }

  get revision (): number { return this._latest.revision }

  /** Returns all items. */
  items (): PublishedChange[] { return [...this._latest.items.values()] }

  /** Returns the ids of the listed endpoints. */
  endpoints (): string[] { return [...this._latest.items].flatMap(([key, item]) => topicOf(item) === 'endpoints' ? [key] : []) }

  /** Returns the changes after a revision, or `undefined` if the store does not know that revision or has compacted it. */
  changesSince (revision: number): PublishedChange[] | undefined {
    return revision > this.revision || revision < this._latest.compactedRevision ? undefined : this._latest.history.filter(change => change.revision > revision)
  }

  /**
   * Calls back at the next change.
   *
   * @returns Ends the wait; returns whether it had not ended before.
   */
  awaitChange (onChange: () => void): () => boolean {
    this._waiting.add(onChange)
    return () => this._waiting.delete(onChange)
  }

  /** Ends all waits. */
  wake (): void {
    const waiting = [...this._waiting]
    this._waiting.clear()
    for (const onChange of waiting) onChange()
  }

  /** Returns the evacuated zones. */
  evacuatedZones (): string[] { return this.items().flatMap(item => item.type === 'evacuation' ? [item.zone] : []) }

  put (key: string, createChange: (revision: number) => PublishedChange): void {
    const change = createChange(this.revision + 1)
    this._append(change, new Map([...this._latest.items, [key, change]]))
  }

  remove (key: string): void { this._remove(key, { type: 'endpoint-gone', revision: this.revision + 1, id: key }) }

  evacuate (zone: string): void { this.put(evacuationKey(zone), revision => ({ type: 'evacuation', revision, zone })) }

  endEvacuation (zone: string): void { this._remove(evacuationKey(zone), { type: 'evacuation-ended', revision: this.revision + 1, zone }) }

  private _remove (key: string, change: PublishedChange): void {
    const remaining = new Map(this._latest.items)
    if (remaining.delete(key)) this._append(change, remaining)
  }

  /** Discards the history, but keeps the items. */
  compact (): void { this._snapshots.push({ ...this._latest, at: this._clock.now, compactedRevision: this.revision, history: [] }) }

  /**
   * Restores an older snapshot and begins a new epoch.
   *
   * @param age Age of the snapshot in milliseconds.
   */
  restore (age: number): void {
    const asOf = this._clock.now - age
    const snapshot = this._snapshots.filter(({ at }) => at <= asOf).at(-1) ?? this._snapshots[0]
    if (snapshot === undefined) return
    this.epoch += 1
    this._snapshots = [{ ...snapshot, at: this._clock.now }]
  }

  private get _latest (): Snapshot { return this._snapshots.at(-1) as Snapshot }

  private _append (change: PublishedChange, items: ReadonlyMap<string, PublishedChange>): void {
    const { now } = this._clock
    this._snapshots.push({ ...this._latest, at: now, revision: change.revision, items, history: [...this._latest.history, change] })
    if (this._snapshots.length > 1 && (this._snapshots[1]?.at ?? now) < now - SNAPSHOT_RETENTION) this._snapshots.shift()
    this.wake()
  }
}

function evacuationKey (zone: string): string { return `evacuation of ${zone}` }
