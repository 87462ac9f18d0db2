/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { simulateLimit, type LimitRun } from '../../../lib/limits/limit-model.js'

const run: LimitRun = { policy: 'parts-that-lapse', entries: 98, limit: 1.1, requestsPerSecond: 1, idleMilliseconds: 0, restartEvery: undefined, seed: 7 }

describe('simulateLimit', () => {
  const cases: [name: string, changes: Partial<LimitRun>, keeps: boolean][] = [
    ['expiring shares keep the limit', {}, true],
    ['expiring shares keep the limit after idle periods', { idleMilliseconds: 15_000 }, true],
    ['expiring shares keep the limit while entries restart', { restartEvery: 0.25 }, true],
    ['the full limit for each entry exceeds the limit', { policy: 'whole-for-each' }, false],
    ['a saved request at each entry exceeds the limit after an idle period', { policy: 'parts-saved', idleMilliseconds: 15_000 }, false]
  ]
  for (const [name, changes, keeps] of cases) {
    it(name, () => {
      const { maximum, allowed } = simulateLimit({ ...run, ...changes })
      assert.equal(maximum <= allowed, keeps, `${maximum} in 4 s, ${allowed} allowed`)
    })
  }

  it('gives the same figures for the same seed', () => assert.deepEqual(simulateLimit(run), simulateLimit(run)))
})
