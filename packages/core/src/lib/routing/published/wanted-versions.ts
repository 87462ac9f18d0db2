/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The versions requested of each model, and the span in which each was published. A process learns of a version some time after its
 * publication, and how much later depends on its source, so deadlines count from the earliest possible publication.
 */
import type { PublishedVersion } from '../weights/switch-cohort.js'
import type { ModelVersion } from './endpoint-record.js'

/** The span in which a version was published, by this process's clock. */
export interface PublicationSpan {
  /** The last time at which the version is known not to have been published; `-Infinity` if there is none. */
  readonly earliest: number
  /** The earliest time at which any process is known to have received it. */
  readonly latest: number
}

/** A wanted version. */
export interface WantedVersion extends ModelVersion {
  /** Revision up to which the store has no newer version; 0 if it was received in an earlier epoch, or without a revision. */
  readonly revision: number
  readonly published: PublicationSpan
  /** Whether this process has received it from the store itself. */
  readonly seenInStore: boolean
  /** The last complete view of this process before it received the version; `-Infinity` if there was none. */
  readonly viewedAt: number
}

/** What a received version adds to those that are known. */
export type VersionReceipt = 'newest' | 'dated' | 'known'

/** Versions kept per model: those whose adoption deadline may still be ahead. */
const MAX_VERSIONS_PER_MODEL = 16
/**
 * The longest time for which no process receives a version although the store is up, in milliseconds: relays are given up after
 * 1.5 s, and a silent connection to the store after as long again. After a longer time the store was down, and published nothing.
 */
const MAX_UNHEARD_TIME = 4_000
/** Smaller corrections of a span are not reported, in milliseconds: network latencies vary by as much. */
const MIN_CORRECTION = 20

/** Wanted versions of all models. */
export class WantedVersions {
  /** By model, in ascending order of version. */
  private readonly _versions = new Map<string, readonly WantedVersion[]>()
  private _completeUntil = -Infinity

  /**
   * Adds a version that the store has. One that is older, or that is written again, tells nothing about its publication.
   *
   * @example
   * versions.add({ model: 'drafting', version: 2 }, 7, { earliest: now - 250, latest: now })
   */
  add (wanted: ModelVersion, revision: number, published: PublicationSpan): VersionReceipt {
    const newest = this.newest(wanted.model)
    const isNewest = newest === undefined || wanted.version > newest.version
    if (isNewest) this._put(wanted.model, { ...wanted, seenInStore: true, ...this._receipt(revision, published, newest) })
    this._confirm(wanted.model, revision)
    if (isNewest) return 'newest'
    const before = this._find(wanted)
    return before === undefined || before.seenInStore ? 'known' : this._narrow({ ...before, seenInStore: true }, published)
  }

  /**
   * Adds a version that a peer has, or narrows the span of a known one. Versions older than the newest are added too, since each has a
   * deadline of its own.
   *
   * @example
   * versions.addFromPeer({ model: 'drafting', version: 2 }, 7, { earliest: now - 250, latest: now - 40 })
   */
  addFromPeer (wanted: ModelVersion, revision: number, published: PublicationSpan): VersionReceipt {
    const newest = this.newest(wanted.model)
    if (newest === undefined || wanted.version > newest.version) {
      this._put(wanted.model, { ...wanted, seenInStore: false, ...this._receipt(revision, published, newest) })
      return 'newest'
    }
    this._confirm(wanted.model, revision)
    const before = this._find(wanted)
    if (before !== undefined) return this._narrow(before, published)
    const { viewedAt } = this._versions.get(wanted.model)?.find(({ version }) => version > wanted.version) ?? newest
    this._put(wanted.model, { ...wanted, revision, published: intersection(published, { earliest: viewedAt, latest: Infinity }), seenInStore: false, viewedAt })
    return this._find(wanted) === undefined ? 'known' : 'dated'
  }

  /** Returns what the receipt of a newest version tells. */
  private _receipt (revision: number, published: PublicationSpan, newest: WantedVersion | undefined): Pick<WantedVersion, 'revision' | 'published' | 'viewedAt'> {
    return {
      revision: Math.max(revision, newest?.revision ?? 0),
      published: intersection(published, { earliest: this._completeUntil, latest: Infinity }),
      viewedAt: this._completeUntil
    }
  }

  private _narrow (known: WantedVersion, published: PublicationSpan): VersionReceipt {
    this._put(known.model, { ...known, published: intersection(known.published, published) })
    const after = this._find(known)
    return after !== undefined && isCorrection(known.published, after.published) ? 'dated' : 'known'
  }

  private _find ({ model, version }: ModelVersion): WantedVersion | undefined {
    return this._versions.get(model)?.find(known => known.version === version)
  }

  /** Adds a version in place of the same one, and narrows the spans of the others by it. */
  private _put (model: string, added: WantedVersion): void {
    const others = (this._versions.get(model) ?? []).filter(({ version }) => version !== added.version)
    const ascending = [...others, added].sort((left, right) => left.version - right.version)
    this._versions.set(model, withoutOldest(inOrderOfPublication(ascending)))
  }

  /** Records that the store has no newer version at a revision. */
  private _confirm (model: string, revision: number): void {
    const known = this._versions.get(model) ?? []
    this._versions.set(model, known.map((version, index) => index === known.length - 1 ? { ...version, revision: Math.max(revision, version.revision) } : version))
  }

  /** Records that all versions published until a time have been received. */
  completeAt (time: number): void { this._completeUntil = Math.max(time, this._completeUntil) }

  /** The last such time; `-Infinity` if none. */
  get completeUntil (): number { return this._completeUntil }

  /** Returns the versions without a lower bound on the time of their publication. */
  undated (): ModelVersion[] { return this.all().filter(({ published }) => published.earliest === -Infinity) }

  /** Carries all versions over into a new epoch of the store, at revision 0. */
  carryOver (): void {
    for (const [model, named] of this._versions) this._versions.set(model, named.map(version => ({ ...version, revision: 0 })))
  }

  /** Returns the newest version of a model. */
  newest (model: string): WantedVersion | undefined { return this._versions.get(model)?.at(-1) }

  /** Returns the newest version of each model. */
  newestOfAll (): WantedVersion[] { return [...this._versions.values()].flatMap(named => named.slice(-1)) }

  /** Returns all versions that are kept. */
  all (): WantedVersion[] { return [...this._versions.values()].flat() }

  /** See `PublishedState.publishedVersions`. */
  published (model: string): PublishedVersion[] {
    return (this._versions.get(model) ?? []).flatMap(version => {
      const at = countsFrom(version)
      return at === undefined ? [] : [{ version: version.version, at }]
    })
  }

  /** See `PublishedState.firstNewerAt`. */
  firstNewerAt (model: string, version: number): number | undefined {
    const newer = this._versions.get(model)?.find(named => named.version > version)
    return newer === undefined ? undefined : countsFrom(newer)
  }

  /** See `PublishedState.dueVersion`. */
  dueVersion (model: string, bound: number, now: number): number {
    const due = this._versions.get(model)?.filter(version => now - (countsFrom(version) ?? -Infinity) >= bound)
    return due?.at(-1)?.version ?? 0
  }
}

/** Returns the time from which the deadline of a version counts; `undefined` if it may have been published at any time. */
function countsFrom ({ published: { earliest, latest } }: WantedVersion): number | undefined {
  return earliest === -Infinity ? undefined : Math.max(earliest, latest - MAX_UNHEARD_TIME)
}

/** Clocks and latencies are not exact, so bounds that contradict each other are resolved to the earlier one. */
function intersection (left: PublicationSpan, right: PublicationSpan): PublicationSpan {
  const latest = Math.min(left.latest, right.latest)
  return { earliest: Math.min(latest, Math.max(left.earliest, right.earliest)), latest }
}

/** Narrows the spans by each other: a version is published after all older ones. */
function inOrderOfPublication (ascending: readonly WantedVersion[]): WantedVersion[] {
  const spans = ascending.map(({ published }) => published)
  for (let index = spans.length - 2; index >= 0; index -= 1) spans[index] = intersection(spans[index]!, { earliest: -Infinity, latest: spans[index + 1]!.latest })
  for (let index = 1; index < spans.length; index += 1) spans[index] = intersection(spans[index]!, { earliest: spans[index - 1]!.earliest, latest: Infinity })
  return ascending.map((version, index) => ({ ...version, published: spans[index]! }))
}

/** Drops the oldest versions above the limit. The oldest that is kept counts from when the dropped ones were published. */
function withoutOldest (ascending: readonly WantedVersion[]): readonly WantedVersion[] {
  const kept = ascending.slice(-MAX_VERSIONS_PER_MODEL)
  const [dropped, first] = [ascending.at(-MAX_VERSIONS_PER_MODEL - 1), kept[0]]
  return dropped === undefined || first === undefined ? kept : [{ ...first, published: dropped.published }, ...kept.slice(1)]
}

function isCorrection (before: PublicationSpan, after: PublicationSpan): boolean {
  return Math.abs(after.earliest - before.earliest) >= MIN_CORRECTION || Math.abs(after.latest - before.latest) >= MIN_CORRECTION
}
