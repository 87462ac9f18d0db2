/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Digests of chunks and manifests: BLAKE2b cut to 256 bits, twice as fast here as SHA-256 (dev-docs/weights.md). Large
 * buffers are hashed in slices with turns of the loop between them, so that live answers are not held up.
 */
import { createHash } from 'node:crypto'
import { setImmediate as nextTurn } from 'node:timers/promises'

/** How chunks are named: the product's own way, or that of a platform which publishes other digests. */
export type ChunkDigest = 'blake2b' | 'sha256'

const algorithms: Record<ChunkDigest, string> = { blake2b: 'blake2b512', sha256: 'sha256' }

/** Bytes hashed in one turn: about half a millisecond. */
const SLICE = 256 * 1024
const DIGEST_CHARACTERS = 64

/**
 * The digest of a buffer, in hexadecimal.
 *
 * @example
 * const digest = await digestOf(chunk)
 */
export async function digestOf (bytes: Buffer, kind: ChunkDigest = 'blake2b'): Promise<string> {
  const hash = createHash(algorithms[kind])
  for (let start = 0; start < bytes.length; start += SLICE) {
    if (start > 0) await nextTurn()
    hash.update(bytes.subarray(start, start + SLICE))
  }
  return hash.digest('hex').slice(0, DIGEST_CHARACTERS)
}

/**
 * The digest of something small, at once.
 *
 * @example
 * digestOfText(callerKey)
 */
export function digestOfText (text: string | Buffer): string {
  return createHash('blake2b512').update(text).digest('hex').slice(0, DIGEST_CHARACTERS)
}
