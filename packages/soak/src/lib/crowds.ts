/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What crowds of clients outside all limits send on their connections, which stay open. */

import { rawRequestHead } from '@drumdrift/stand-ins'

/** Kinds of crowds. */
export type CrowdKind = 'crowd-of-open-bodies' | 'crowd-of-large-open-bodies' | 'crowd-of-unknown-keys' | 'crowd-of-unknown-routes' | 'crowd-of-pipelines'

/** Returns what a client sends, in blocks. */
type CrowdBytes = (id: string, key: string) => Iterable<Buffer>

/** Largest body that the configuration allows, in bytes, as by default on the users' platform. */
export const MAX_BODY_BYTES = 4_194_304
const LARGE_CHUNK_BYTES = 65_536
/** Number of chunks of 1 byte in a body that stops short of its end. */
const SMALL_CHUNKS = 200_000
/** Bytes on the wire after which even a body without an end stops. */
const ENDLESS_BYTES = 256 * 1_024 * 1_024
/** Few enough for the endpoints of a soak, which share one thread. */
const PIPELINED_REQUESTS = 50
const BLOCK_BYTES = 65_536
const UNKNOWN_KEY = 'key-of-nobody'

/** Bytes by kind of crowd. */
export const crowdBytes: Record<CrowdKind, CrowdBytes> = {
  'crowd-of-open-bodies': (id, key) => openBody(id, key, 1, SMALL_CHUNKS),
  'crowd-of-large-open-bodies': (id, key) => openBody(id, key, LARGE_CHUNK_BYTES, MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1),
  'crowd-of-unknown-keys': id => openBody(id, UNKNOWN_KEY, 1, ENDLESS_BYTES / chunkOf(1).length),
  'crowd-of-unknown-routes': (id, key) => openBody(id, key, LARGE_CHUNK_BYTES, ENDLESS_BYTES / LARGE_CHUNK_BYTES, '/nowhere/'),
  'crowd-of-pipelines': (id, key) => repeat(`${rawRequestHead(id, key, '/safe/')}Content-Length: 1\r\n\r\na`, PIPELINED_REQUESTS)
}

/** Yields a request with a body in chunks, without its end. */
function * openBody (id: string, key: string, chunkBytes: number, chunks: number, path = '/safe/'): Iterable<Buffer> {
  yield Buffer.from(`${rawRequestHead(id, key, path)}Transfer-Encoding: chunked\r\n\r\n`)
  yield * repeat(chunkOf(chunkBytes), chunks)
}

function chunkOf (bytes: number): string { return `${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n` }

/** Yields a text a number of times, in blocks. */
function * repeat (text: string, times: number): Iterable<Buffer> {
  const perBlock = Math.ceil(BLOCK_BYTES / text.length)
  const block = Buffer.from(text.repeat(perBlock))
  for (let left = Math.floor(times); left > 0; left -= perBlock) yield left >= perBlock ? block : block.subarray(0, left * text.length)
}
