/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { overlapStep, worthFinishing, type OverlapView, type StagedVersion } from '../../../../lib/routing/weights/version-overlap.js'

const staged: StagedVersion = { version: 2, whole: false, progress: 0.8, known: 1 }

describe('worthFinishing', () => {
  const cases: [name: string, part: Partial<StagedVersion>, expected: boolean][] = [
    ['one that is whole', { whole: true, progress: 1 }, true],
    ['one of which a quarter is missing', { progress: 0.75 }, true],
    ['one of which more is missing: not', { progress: 0.7 }, false],
    ['the same though all of it has left the origin: not', { progress: 0.4, known: 1 }, false],
    ['one that has just begun: not', { progress: 0, known: 0 }, false]
  ]
  for (const [name, part, expected] of cases) it(name, () => assert.equal(worthFinishing({ ...staged, ...part }), expected))
})

describe('overlapStep', () => {
  const view: OverlapView = { staged, ahead: { version: 3, whole: false }, served: 1, ordering: false, mayBegin: true }
  const cases: [name: string, part: Partial<OverlapView>, expected: string][] = [
    ['the older one is on its way', {}, 'wait'],
    ['the older one is whole and the engine still serves one before', { staged: { ...staged, whole: true } }, 'wait'],
    ['the engine serves the older one', { served: 2 }, 'older-served'],
    ['the newer one is whole first', { ahead: { version: 3, whole: true } }, 'newer-whole'],
    ['nothing may begin on the older one any more', { mayBegin: false }, 'older-late'],
    ['nobody has anything of the older one', { staged: { ...staged, known: 0 } }, 'older-lost'],
    ['the engine is reading the staging memory', { ahead: { version: 3, whole: true }, ordering: true }, 'wait'],
    ['the engine is empty and the older one is on its way', { served: 0 }, 'wait']
  ]
  for (const [name, part, expected] of cases) {
    it(name, () => {
      const step = overlapStep({ ...view, ...part })
      assert.equal(step.type === 'take-over' ? step.why : step.type, expected)
    })
  }
})
