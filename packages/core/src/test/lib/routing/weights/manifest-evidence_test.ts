/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManifestEvidence } from '../../../../lib/routing/weights/manifest-evidence.js'

function manifestOf (digests: string): { model: string, version: string, bytes: number, chunks: { digest: string, bytes: number }[] } {
  return { model: 'm', version: '2', bytes: digests.length, chunks: [...digests].map(digest => ({ digest, bytes: 1 })) }
}

// Guards against a corrupted manifest that is believed although the chunks tell otherwise, and against corrupted chunks that discredit a right one.
describe('ManifestEvidence', () => {
  const cases: [name: string, received: readonly [index: number, digest: string][], shown: readonly boolean[], contradicted: readonly string[]][] = [
    ['nothing is known without a chunk', [], [], []],
    ['one chunk that does not match may be corrupted', [[1, 'x']], [false], []],
    ['chunks that differ each time are corrupted', [[1, 'x'], [1, 'y'], [1, 'z']], [false, false, false], []],
    ['equal bytes at different places are no evidence', [[0, 'x'], [1, 'x']], [false, false], []],
    ['a chunk that arrives twice with the same bytes is right', [[1, 'x'], [1, 'x']], [false, true], ['abc', 'ayc', 'a']],
    ['a chunk is right although a corrupted one came between', [[1, 'x'], [1, 'y'], [1, 'x']], [false, false, true], ['abc', 'ayc', 'a']],
    ['each chunk is evidence by itself', [[1, 'x'], [2, 'z'], [1, 'x'], [2, 'z']], [false, false, true, true], ['abc', 'ayc', 'a', 'axc']]
  ]
  for (const [name, received, shown, contradicted] of cases) {
    it(name, () => {
      const evidence = new ManifestEvidence()
      assert.deepEqual(received.map(([index, digest]) => evidence.received(index, { digest, bytes: 1 }, manifestOf('abc'))), shown)
      assert.deepEqual(['abc', 'ayc', 'a', 'axc', 'axz'].filter(digests => evidence.contradicts(manifestOf(digests))), contradicted)
    })
  }

  it('a chunk with the listed digest and another size shows at once that the size is wrong', () => {
    const [evidence, manifest] = [new ManifestEvidence(), manifestOf('abc')]
    assert.equal(evidence.received(1, { digest: 'b', bytes: 2 }, manifest), true)
    const corrected = { ...manifest, chunks: manifest.chunks.map(({ digest }) => ({ digest, bytes: 2 })) }
    assert.deepEqual([evidence.contradicts(manifest), evidence.contradicts(corrected)], [true, false])
  })
})
