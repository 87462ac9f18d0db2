/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { overlapStep, shouldFinish, type OverlapView, type StagedVersion } from '../../../../lib/routing/weights/version-overlap.js'

const staged: StagedVersion = { version: 2, whole: false, progress: 0.8, availableShare: 1 }

describe('shouldFinish', () => {
  const cases: [name: string, part: Partial<StagedVersion>, expected: boolean][] = [
    ['is true for a complete version', { whole: true, progress: 1 }, true],
    ['is true if a quarter is missing', { progress: 0.75 }, true],
    ['is false if more than a quarter is missing', { progress: 0.7 }, false],
    ['is false even if peers hold all missing chunks', { progress: 0.4, availableShare: 1 }, false],
    ['is false for a version whose transfer has just started', { progress: 0, availableShare: 0 }, false]
  ]
  for (const [name, part, expected] of cases) it(name, () => assert.equal(shouldFinish({ ...staged, ...part }), expected))
})

describe('overlapStep', () => {
  const view: OverlapView = { staged, newer: { version: 3, whole: false }, served: 1, ordering: false, mayBegin: true }
  const cases: [name: string, part: Partial<OverlapView>, expected: string][] = [
    ['waits while the older version is in transfer', {}, 'wait'],
    ['waits if the older version is complete and the engine serves an even older one', { staged: { ...staged, whole: true } }, 'wait'],
    ['takes over if the engine serves the older version', { served: 2 }, 'older-served'],
    ['takes over if the newer version is complete first', { newer: { version: 3, whole: true } }, 'newer-whole'],
    ['takes over if no request may start on the older version any more', { mayBegin: false }, 'older-late'],
    ['takes over if no member holds a chunk of the older version', { staged: { ...staged, availableShare: 0 } }, 'older-lost'],
    ['waits while the engine reads the staging memory', { newer: { version: 3, whole: true }, ordering: true }, 'wait'],
    ['waits if the engine is empty and the older version is in transfer', { served: 0 }, 'wait']
  ]
  for (const [name, part, expected] of cases) {
    it(name, () => {
      const step = overlapStep({ ...view, ...part })
      assert.equal(step.type === 'take-over' ? step.why : step.type, expected)
    })
  }
})
