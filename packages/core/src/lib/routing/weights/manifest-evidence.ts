/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Collects what the bytes of chunks tell about the manifest that lists them. The origin may corrupt a manifest as well as a chunk. Corrupted
 * chunks differ each time; a chunk that arrives twice with the same bytes is right, and the manifest that lists another digest is wrong.
 */
import type { Manifest } from '../../documents.js'

/** The evidence on the manifest of one version. */
export class ManifestEvidence {
  /** The digests of the bytes that arrived from the origin and did not match, by index. */
  private readonly _received = new Map<number, Set<string>>()
  private readonly _established = new Map<number, string>()

  /**
   * Records a chunk from the origin that does not match the manifest. Returns whether it shows that the manifest is wrong.
   *
   * @example
   * if (evidence.received(7, digest)) fetchManifestAgain()
   */
  received (index: number, digest: string): boolean {
    const digests = this._received.get(index) ?? new Set()
    this._received.set(index, digests)
    if (!digests.has(digest)) {
      digests.add(digest)
      return false
    }
    this._established.set(index, digest)
    return true
  }

  /** Returns whether a manifest lists another digest than the one that is established for a chunk. */
  contradicts ({ chunks }: Manifest): boolean {
    return [...this._established].some(([index, digest]) => chunks[index]?.digest !== digest)
  }
}
