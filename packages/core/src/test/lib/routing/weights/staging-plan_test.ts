/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { planRearrangement } from '../../../../lib/routing/weights/staging-plan.js'

/** Carries a plan out. Returns the staged chunks by place, and the largest number that was in memory. */
function carryOut (contents: Map<number, string>, digests: readonly string[]): { staged: (string | undefined)[], largestMemory: number } {
  const memory = new Set<string>()
  let largestMemory = 0
  for (const step of planRearrangement(contents, digests)) {
    if (step.type === 'read') {
      assert.equal(contents.get(step.place), step.digest, 'a chunk was overwritten before it was read')
      memory.add(step.digest)
      largestMemory = Math.max(largestMemory, memory.size)
    } else {
      assert.ok(memory.delete(step.digest), 'a chunk was written before it was read')
      for (const place of step.places) contents.set(place, step.digest)
    }
  }
  return { staged: digests.map((_digest, place) => contents.get(place)), largestMemory }
}

// Guards against versions that engines load with a chunk at a wrong place, because it was held at another one.
describe('planRearrangement', () => {
  const long = Array.from({ length: 20_000 }, (_, index) => `chunk-${index}`)
  const cases: [name: string, staged: readonly string[], wanted: readonly string[], expected: readonly string[], largestMemory: number][] = [
    ['leaves chunks at their places', ['a', 'b'], ['a', 'b'], ['a', 'b'], 0],
    ['moves no chunk of a version without shared chunks', ['a', 'b'], ['c', 'd'], ['a', 'b'], 0],
    ['copies a chunk to all places that need it', ['a', 'b', 'c', 'd'], ['a', 'a', 'c', 'a'], ['a', 'a', 'c', 'a'], 1],
    ['exchanges two chunks', ['a', 'b', 'c'], ['b', 'a', 'c'], ['b', 'a', 'c'], 2],
    ['rotates chunks', ['a', 'b', 'c', 'd'], ['d', 'a', 'b', 'c'], ['d', 'a', 'b', 'c'], 2],
    ['moves a chunk that a copy of another one overwrites', ['a', 'b', 'c'], ['a', 'a', 'b'], ['a', 'a', 'b'], 1],
    ['exchanges chunks that repeat', ['a', 'b', 'x', 'y'], ['b', 'a', 'a', 'b'], ['b', 'a', 'a', 'b'], 2],
    ['uses a chunk beyond the end of the version', ['x', 'y', 'z'], ['z'], ['z'], 1],
    ['moves the chunks behind an inserted one', long, ['new', ...long.slice(0, -1)], ['chunk-0', ...long.slice(0, -1)], 1]
  ]
  for (const [name, staged, wanted, expected, largestMemory] of cases) {
    it(name, () => assert.deepEqual(carryOut(new Map(staged.entries()), wanted), { staged: expected, largestMemory }))
  }
})
