/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The encoding of published state between processes: compressed CBOR. A configuration of 1,200 routes with random names is
 * 360 KB as the store sends it and 25 KB encoded, which takes 7 ms of processor time.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { completeRevisions, publishedTopics, type PublishedDelta, type PublishedRevisions, type PublishedState, type PublishedTopic } from '@drumdrift/core'
import { Encoder } from 'cbor-x'
import type { Responder } from '../peer/connection.js'
import { peerError } from '../peer/frame.js'

/** Maximum decompressed size of a message, in bytes: several times the store's limit for one document. */
const MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
/** Compression level. Favours speed: a relay encodes each configuration several times, for processes with different revisions. */
const COMPRESSION_LEVEL = 3

const codec = new Encoder({ useRecords: true })

/**
 * Encodes a delta of published state.
 *
 * @example
 * responder.send({ type: 'news' }, encodeDelta(state.deltaSince(note, now)))
 */
export function encodeDelta (delta: PublishedDelta): Buffer {
  return deflateRawSync(codec.encode(delta), { level: COMPRESSION_LEVEL })
}

/**
 * Decodes a delta of published state.
 *
 * @throws DrumdriftError with a peer failure of reason `malformed`.
 */
export function decodeDelta (bytes: Buffer): PublishedDelta {
  let value: unknown
  try {
    value = codec.decode(inflateRawSync(bytes, { maxOutputLength: MAX_DECOMPRESSED_BYTES }))
  } catch (error) {
    throw peerError('malformed', `cannot decode the published state: ${error instanceof Error ? error.message : 'unknown error'}`)
  }
  const delta = withAllTopics(value)
  if (!isDelta(delta)) throw peerError('malformed', 'decoded published state has an invalid structure')
  return delta
}

/** Adds the topics that a peer of an earlier release does not know. */
function withAllTopics (value: unknown): unknown {
  const { upTo, held } = (value ?? {}) as Partial<PublishedDelta>
  return upTo === undefined || held === undefined ? value : { ...value as PublishedDelta, upTo: { ...upTo, evacuations: completeRevisions(upTo).evacuations }, held: { ...held, evacuations: completeRevisions(held).evacuations } }
}

function isDelta (value: unknown): value is PublishedDelta {
  const delta = value as Partial<PublishedDelta> | null
  if (typeof delta !== 'object' || delta === null) return false
  return Array.isArray(delta.changes) && Array.isArray(delta.whole) && [...publishedTopics, 'epoch' as const].every(part => Number.isFinite(delta.upTo?.[part]) && Number.isFinite(delta.held?.[part]))
}

/** An encoded delta. */
export interface EncodedDelta {
  readonly bytes: Buffer
  /** Milliseconds since it was encoded. */
  readonly encodedFor: number
}

/**
 * Encodes the published state of one process for its peers. After a restart of all processes many peers request the same
 * delta, so the last encoding is cached until the state changes.
 */
export class DeltaEncoder {
  private _last: { readonly key: string, readonly bytes: Buffer, readonly at: number } | undefined

  constructor (private readonly _state: PublishedState) {}

  /** Returns the encoded changes since the revisions in `note`. */
  since (note: PublishedRevisions, topics: readonly PublishedTopic[] | undefined, now: number): EncodedDelta {
    const key = JSON.stringify([this._state.changeCount, note, topics])
    if (this._last?.key !== key) this._last = { key, bytes: encodeDelta(this._state.deltaSince(note, now, topics)), at: now }
    return { bytes: this._last.bytes, encodedFor: now - this._last.at }
  }
}

/** Sends an encoded delta as the reply to a peer's request. */
export function sendNews (responder: Responder, { bytes, encodedFor }: EncodedDelta): void {
  responder.send({ type: 'news', encodedFor }, bytes)
}
