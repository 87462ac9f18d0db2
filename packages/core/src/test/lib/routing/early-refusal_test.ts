/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decideStart } from '../../../lib/routing/early-refusal.js'

describe('decideStart', () => {
  const cases: [name: string, expected: number, patience: number, type: string, retryAfter: number][] = [
    ['starts what will be in time', 300, 6_000, 'start', 0],
    ['starts what will be a little late', 500, 6_000, 'start', 0],
    ['refuses what will be late, until there is room', 1_400, 6_000, 'refuse', 1_000],
    ['tells no time that the caller would not wait', 9_000, 3_000, 'refuse', 1_000],
    ['tells a time that is worth waiting', 521, 6_000, 'refuse', 200]
  ]
  for (const [name, expected, patience, type, retryAfter] of cases) {
    it(name, () => {
      const decision = decideStart({ expected, objective: 400, patience })
      assert.equal(decision.type, type)
      if (decision.type === 'refuse') assert.equal(decision.retryAfter, retryAfter)
    })
  }
})
