/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Returns the properties of requests that may crash endpoints. Property values are hashed with a key, since they are logged and sent to other processes. */
import type { RequestTrait, SuspectSubject, TraitKind } from '@drumdrift/core'
import { fingerprintOf, fingerprintOfValue } from '../request-fingerprint.js'
import type { ReadRequest } from './routed-request.js'

/** The number of values whose fingerprints are kept, since many requests share them. */
const MAX_CACHED = 4_096

type CachedFingerprint = (kind: TraitKind, scope: string, value: string) => string

/** The fingerprints of a request's properties, by kind. */
const fingerprintsOf: { readonly [Kind in TraitKind]: (key: string, request: ReadRequest, scope: string, cached: CachedFingerprint) => readonly string[] } = {
  request: (key, request) => [fingerprintOf(key, { ...request, organisation: request.organisation?.name ?? '' })],
  'prompt-part': (_key, { head }, scope, cached) => scope === '' ? [] : head.promptParts.map(part => cached('prompt-part', scope, part))
}
const kinds = Object.keys(fingerprintsOf) as TraitKind[]

/** Determines the properties of requests. */
export class RequestTraits {
  private readonly _cache = new Map<string, string>()

  /**
   * @param _key The secret that the processes of a deployment share.
   */
  constructor (private readonly _key: string) {}

  /**
   * Returns the properties of a request.
   *
   * @param scope The model that runs the request; empty for a plain service.
   * @example
   * const { traits } = new RequestTraits('key').of(request, 'drafting')
   */
  of (request: ReadRequest, scope: string): SuspectSubject {
    const traits: RequestTrait[] = []
    for (const kind of kinds) {
      for (const fingerprint of fingerprintsOf[kind](this._key, request, scope, this._cached)) traits.push({ kind, fingerprint })
    }
    return { scope, traits }
  }

  private readonly _cached: CachedFingerprint = (kind, scope, value) => {
    const name = `${kind} ${scope} ${value}`
    const known = this._cache.get(name)
    if (known !== undefined) return known
    const fingerprint = fingerprintOfValue(this._key, [kind, scope, value])
    if (this._cache.size >= MAX_CACHED) this._cache.clear()
    this._cache.set(name, fingerprint)
    return fingerprint
  }
}
