/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Versions as one process tells them to another. Clocks of processes are not comparable, so times are sent as ages. */
import type { PublishedChange } from './published-change.js'
import type { PublicationSpan, WantedVersion } from './wanted-versions.js'

/** A version in a delta. */
export type ToldVersion = Extract<PublishedChange, { type: 'wanted-version' }>

/** When a peer's delta was requested and encoded. */
export interface DeltaTimes {
  /** When it was requested, by this process's clock, which is before the peer sent it. */
  readonly requestedAt: number
  /** How long before it was sent it was encoded, in milliseconds. */
  readonly encodedFor?: number | undefined
}

/**
 * Returns a version as it is told to a peer.
 *
 * @example
 * changes.push(toldVersion(versions.newest('drafting'), performance.now()))
 */
export function toldVersion ({ revision, model, version, published: { earliest, latest } }: WantedVersion, now: number): ToldVersion {
  const maxAge = earliest === -Infinity ? undefined : Math.max(0, now - earliest)
  return { type: 'wanted-version', revision, wanted: { model, version }, age: Math.max(0, now - latest), maxAge }
}

/**
 * Returns the span in which a version was published that a peer told, by this process's clock. The peer encoded it after the request
 * and before the receipt, so the start of the span counts from the request and its end from the receipt.
 *
 * @example
 * state.takeFromPeer(change, toldSpan(change, performance.now(), { requestedAt }))
 */
export function toldSpan ({ age, maxAge }: ToldVersion, receivedAt: number, { requestedAt, encodedFor }: DeltaTimes): PublicationSpan {
  const encoded = validAge(encodedFor, 0)
  const latest = receivedAt - encoded - validAge(age, 0)
  return { earliest: Math.min(latest, requestedAt - encoded - validAge(maxAge, Infinity)), latest }
}

/** Returns an age that a peer told, or the fallback if it is no valid age. */
export function validAge (age: number | undefined, fallback: number): number { return Number.isFinite(age) && Number(age) >= 0 ? Number(age) : fallback }
