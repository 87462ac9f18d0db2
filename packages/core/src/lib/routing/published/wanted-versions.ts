/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The versions requested of each model, and when this process first received them. */
import type { ModelVersion } from './endpoint-record.js'

/** A wanted version, with the local time at which this process first received it. */
export interface WantedVersion extends ModelVersion {
  /** Revision up to which the store has no newer version; 0 if it was received in an earlier epoch, or without a revision. */
  readonly revision: number
  /** `undefined` if the version was already wanted when this process began to follow the store. */
  readonly receivedAt: number | undefined
}

/** Versions kept per model: those whose adoption deadline may still be ahead. */
const MAX_VERSIONS_PER_MODEL = 8

/** Wanted versions of all models. */
export class WantedVersions {
  /** By model, in ascending order of version. */
  private readonly _versions = new Map<string, WantedVersion[]>()

  /**
   * Adds a wanted version.
   *
   * @returns Whether it is newer than every version known before.
   * @example
   * versions.add({ model: 'drafting', version: 2 }, 7, now)
   */
  add (wanted: ModelVersion, revision: number, receivedAt: number | undefined): boolean {
    const known = this._versions.get(wanted.model) ?? []
    const newest = known.at(-1)
    if (newest !== undefined && wanted.version <= newest.version) {
      this._versions.set(wanted.model, [...known.slice(0, -1), { ...newest, revision: Math.max(revision, newest.revision) }])
      return false
    }
    this._versions.set(wanted.model, [...known.slice(1 - MAX_VERSIONS_PER_MODEL), { ...wanted, revision: Math.max(revision, newest?.revision ?? 0), receivedAt }])
    return true
  }

  /** Carries all versions over into a new epoch of the store, at revision 0. */
  carryOver (): void {
    for (const [model, named] of this._versions) this._versions.set(model, named.map(version => ({ ...version, revision: 0 })))
  }

  /** Returns the newest version of a model. */
  newest (model: string): WantedVersion | undefined { return this._versions.get(model)?.at(-1) }

  /** Returns the newest version of each model. */
  newestOfAll (): WantedVersion[] { return [...this._versions.values()].flatMap(named => named.slice(-1)) }

  /** See `PublishedState.firstNewerAt`. */
  firstNewerAt (model: string, version: number): number | undefined {
    return this._versions.get(model)?.find(named => named.version > version)?.receivedAt
  }

  /** See `PublishedState.dueVersion`. */
  dueVersion (model: string, bound: number, now: number): number {
    const due = this._versions.get(model)?.filter(({ receivedAt }) => receivedAt === undefined || now - receivedAt >= bound)
    return due?.at(-1)?.version ?? 0
  }
}
