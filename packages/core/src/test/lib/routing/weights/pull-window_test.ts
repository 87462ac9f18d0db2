/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { PullWindow } from '../../../../lib/routing/weights/pull-window.js'

describe('PullWindow', () => {
  const cases: [name: string, pulls: readonly (readonly [milliseconds: number, now: number])[], size: number][] = [
    ['starts at its largest size', [], 6],
    ['keeps its largest size while pulls are fast', [[100, 1], [100, 2]], 6],
    ['decreases after a slow pull', [[900, 1]], 3],
    ['decreases once for the chunks of one queue', [[900, 1], [900, 100]], 3],
    ['decreases again after the minimum interval', [[900, 1], [900, 400]], 2],
    ['never decreases below one', Array.from({ length: 9 }, (_, index) => [900, index * 400] as const), 1],
    ['increases additively', [[900, 1], ...Array.from({ length: 4 }, (_, index) => [100, 2 + index] as const)], 4]
  ]
  for (const [name, pulls, size] of cases) {
    it(name, () => {
      const window = new PullWindow(6)
      for (const [milliseconds, now] of pulls) window.record(milliseconds, now)
      assert.equal(window.size, size)
    })
  }
})
