/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The versions that were named of each model, and when this process heard of them. */
import type { ModelVersion } from './endpoint-record.js'

/** A wanted version, with the local time at which this process first heard of it. */
export interface WantedVersion extends ModelVersion {
  /** Up to which the store names nothing newer; 0 for what was heard in an earlier epoch of it, or without a revision. */
  readonly revision: number
  /** Nothing when it was there already when this process began to follow. */
  readonly heardAt: number | undefined
}

/** Versions remembered of one model: those whose bounds may still be running. */
const MOST_NAMED = 8

/** Named versions of all models. */
export class NamedVersions {
  /** The newest last. */
  private readonly _versions = new Map<string, WantedVersion[]>()

  /**
   * Takes one.
   *
   * @returns Whether it is news.
   * @example
   * versions.take({ model: 'drafting', version: 2 }, 7, now)
   */
  take (wanted: ModelVersion, revision: number, heardAt: number | undefined): boolean {
    const named = this._versions.get(wanted.model) ?? []
    const newest = named.at(-1)
    if (newest !== undefined && wanted.version <= newest.version) {
      this._versions.set(wanted.model, [...named.slice(0, -1), { ...newest, revision: Math.max(revision, newest.revision) }])
      return false
    }
    this._versions.set(wanted.model, [...named.slice(1 - MOST_NAMED), { ...wanted, revision: Math.max(revision, newest?.revision ?? 0), heardAt }])
    return true
  }

  /** The store begins another epoch. */
  carryOver (): void {
    for (const [model, named] of this._versions) this._versions.set(model, named.map(version => ({ ...version, revision: 0 })))
  }

  /** The newest of a model. */
  newest (model: string): WantedVersion | undefined { return this._versions.get(model)?.at(-1) }

  /** The newest of each model. */
  newestOfAll (): WantedVersion[] { return [...this._versions.values()].flatMap(named => named.slice(-1)) }

  /** See `PublishedState.firstNewerAt`. */
  firstNewerAt (model: string, version: number): number | undefined {
    return this._versions.get(model)?.find(named => named.version > version)?.heardAt
  }

  /** See `PublishedState.dueVersion`. */
  due (model: string, bound: number, now: number): number {
    const due = this._versions.get(model)?.filter(({ heardAt }) => heardAt === undefined || now - heardAt >= bound)
    return due?.at(-1)?.version ?? 0
  }
}
