/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { PullWindow } from '../../../../lib/routing/weights/pull-window.js'

describe('PullWindow', () => {
  const cases: [name: string, pulls: readonly (readonly [took: number, now: number])[], size: number][] = [
    ['begins at its largest', [], 6],
    ['stays there while chunks come soon', [[100, 1], [100, 2]], 6],
    ['shrinks after a slow one', [[900, 1]], 3],
    ['shrinks once for chunks of one queue', [[900, 1], [900, 100]], 3],
    ['shrinks again after a while', [[900, 1], [900, 400]], 2],
    ['never goes below one', Array.from({ length: 9 }, (_, index) => [900, index * 400] as const), 1],
    ['grows back step by step', [[900, 1], ...Array.from({ length: 4 }, (_, index) => [100, 2 + index] as const)], 4]
  ]
  for (const [name, pulls, size] of cases) {
    it(name, () => {
      const window = new PullWindow(6)
      for (const [took, now] of pulls) window.took(took, now)
      assert.equal(window.size, size)
    })
  }
})
