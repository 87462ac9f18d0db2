/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Generates weights: chunks of pseudo-random bytes from a seed, with their manifests. */
import { createHash } from 'node:crypto'
import { digestOfText } from 'drumdrift'
import type { Manifest } from '@drumdrift/core'

/** A generated version. */
export interface GeneratedVersion {
  readonly digest: string
  readonly manifest: Manifest
  readonly manifestBytes: Buffer
  readonly chunks: ReadonlyMap<string, Buffer>
}

/**
 * Generates a version of a model.
 *
 * @param options `shared` is the share of chunks, 0 to 1, that all versions of one seed have in common.
 * @example
 * generateVersion({ model: 'chat', version: 'v1', chunks: 128, chunkBytes: 262_144, seed: 7 })
 */
export function generateVersion (options: { model: string, version: string, chunks: number, chunkBytes: number, seed: number, shared?: number }): GeneratedVersion {
  const { model, version, chunks: count, chunkBytes, seed, shared = 0 } = options
  const chunks = new Map<string, Buffer>()
  const chunkEntries = Array.from({ length: count }, (_, index) => {
    const name = index < count * shared ? 'shared' : version
    const bytes = randomBytesOf(`${seed} ${model} ${name} ${index}`, chunkBytes)
    const digest = digestOfText(bytes)
    chunks.set(digest, bytes)
    return { digest, bytes: chunkBytes }
  })
  const manifest: Manifest = { model, version, bytes: count * chunkBytes, chunks: chunkEntries }
  const manifestBytes = Buffer.from(JSON.stringify(manifest))
  return { digest: digestOfText(manifestBytes), manifest, manifestBytes, chunks }
}

function randomBytesOf (name: string, length: number): Buffer {
  return createHash('shake256', { outputLength: length }).update(name).digest()
}
