/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Collects what the bytes of chunks tell about the manifest that lists them. The origin may corrupt a manifest as well as a chunk. Corrupted
 * chunks differ each time; a chunk that arrives twice with the same bytes is right, and the manifest that lists another digest is wrong. A
 * chunk with the listed digest is right at once, and the manifest that lists another size is wrong.
 */
import type { Manifest } from '../../documents.js'

/** A chunk as a manifest lists it, or as it arrived. */
type ListedChunk = Manifest['chunks'][number]

/** The evidence on the manifest of one version. */
export class ManifestEvidence {
  /** The digests of the bytes that arrived from the origin and did not match, by index. */
  private readonly _received = new Map<number, Set<string>>()
  private readonly _established = new Map<number, ListedChunk>()

  /**
   * Records a chunk from the origin that does not match the manifest. Returns whether it shows that the manifest is wrong.
   *
   * @param chunk The digest and the size in bytes of what arrived.
   * @example
   * if (evidence.received(7, { digest, bytes: 24_576 }, manifest)) fetchManifestAgain()
   */
  received (index: number, chunk: ListedChunk, { chunks }: Manifest): boolean {
    const digests = this._received.get(index) ?? new Set([chunks[index]?.digest ?? ''])
    this._received.set(index, digests)
    if (!digests.has(chunk.digest)) {
      digests.add(chunk.digest)
      return false
    }
    this._established.set(index, chunk)
    return true
  }

  /** Returns whether a manifest lists another digest or size than what is established for a chunk. */
  contradicts ({ chunks }: Manifest): boolean {
    return [...this._established].some(([index, { digest, bytes }]) => chunks[index]?.digest !== digest || chunks[index]?.bytes !== bytes)
  }
}
