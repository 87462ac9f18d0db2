/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { playLimit, type LimitPlay } from '../../../lib/limits/limit-model.js'

const play: LimitPlay = { way: 'parts-that-lapse', entries: 98, limit: 1.1, wanted: 1, silence: 0, restartEvery: undefined, seed: 7 }

describe('playLimit', () => {
  const cases: [name: string, part: Partial<LimitPlay>, keeps: boolean][] = [
    ['expiring shares keep the limit', {}, true],
    ['expiring shares keep the limit after idle periods', { silence: 15_000 }, true],
    ['expiring shares keep the limit while entries restart', { restartEvery: 0.25 }, true],
    ['the full limit for each entry exceeds the limit', { way: 'whole-for-each' }, false],
    ['a saved request at each entry exceeds the limit after an idle period', { way: 'parts-saved', silence: 15_000 }, false]
  ]
  for (const [name, part, keeps] of cases) {
    it(name, () => {
      const { most, allowed } = playLimit({ ...play, ...part })
      assert.equal(most <= allowed, keeps, `${most} in 4 s, ${allowed} allowed`)
    })
  }

  it('gives the same figures for the same seed', () => assert.deepEqual(playLimit(play), playLimit(play)))
})
