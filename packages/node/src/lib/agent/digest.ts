/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Digests of chunks and manifests: BLAKE2b truncated to 256 bits, twice as fast here as SHA-256 (dev-docs/weights.md).
 * Large buffers are hashed in slices that yield to the event loop in between, so that live answers are not delayed.
 */
import { createHash } from 'node:crypto'
import { setImmediate as nextTurn } from 'node:timers/promises'

/** The hash that names chunks: `blake2b` by default, `sha256` for a platform that publishes SHA-256 digests. */
export type ChunkDigest = 'blake2b' | 'sha256'

const algorithms: Record<ChunkDigest, string> = { blake2b: 'blake2b512', sha256: 'sha256' }

/** Bytes hashed before yielding to the event loop; this takes about half a millisecond. */
const SLICE_BYTES = 256 * 1024
const DIGEST_CHARACTERS = 64

/**
 * Returns the digest of a buffer in hexadecimal, the first 64 characters.
 *
 * @example
 * const digest = await digestOf(chunk)
 */
export async function digestOf (bytes: Buffer, kind: ChunkDigest = 'blake2b'): Promise<string> {
  const hash = createHash(algorithms[kind])
  for (let start = 0; start < bytes.length; start += SLICE_BYTES) {
    if (start > 0) await nextTurn()
    hash.update(bytes.subarray(start, start + SLICE_BYTES))
  }
  return hash.digest('hex').slice(0, DIGEST_CHARACTERS)
}

/**
 * Returns the BLAKE2b digest of a small input synchronously.
 *
 * @example
 * digestOfText(callerKey)
 */
export function digestOfText (text: string | Buffer): string {
  return createHash('blake2b512').update(text).digest('hex').slice(0, DIGEST_CHARACTERS)
}
