/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decideAdmission, FirstTryEstimator, retryAfter, UsualObjective, type CallerTime, type PoolOpening } from '../../../../lib/routing/attempts/early-refusal.js'

describe('decideAdmission', () => {
  const cases: [name: string, expected: number, objective: number, usualObjective: number, type: string][] = [
    ['admits a request that is expected in time', 300, 400, 400, 'start'],
    ['admits a request that is expected at four fifths of the objective', 320, 400, 400, 'start'],
    ['rejects a request that may be late', 321, 400, 400, 'refuse'],
    ['rejects a request that is expected very late', 9_000, 400, 400, 'refuse'],
    ['applies the mean objective to a request with a longer one', 360, 500, 440, 'refuse'],
    ['applies the mean objective to a request with a shorter one', 350, 400, 440, 'start'],
    ['rejects a request that is expected after its own objective', 260, 250, 440, 'refuse']
  ]
  for (const [name, expected, objective, usualObjective, type] of cases) it(name, () => assert.equal(decideAdmission({ expected, objective, usualObjective }).type, type))
})

describe('UsualObjective', () => {
  const cases: [name: string, objectives: readonly number[], least: number, most: number][] = [
    ['starts at the first objective', [400], 400, 400],
    ['is the mean of mixed objectives', Array.from({ length: 200 }, (_, index) => index % 2 === 0 ? 400 : 500), 445, 455],
    ['changes little for one outlier', [...new Array<number>(50).fill(400), 100], 380, 390],
    ['adapts to a new mix', [...new Array<number>(50).fill(400), ...new Array<number>(100).fill(200)], 200, 203]
  ]
  for (const [name, objectives, least, most] of cases) {
    it(name, () => {
      const usual = new UsualObjective()
      let mean = 0
      for (const objective of objectives) mean = usual.observe(objective)
      assert.ok(mean >= least && mean <= most, `${mean}`)
    })
  }
})

describe('retryAfter', () => {
  const open: PoolOpening = { type: 'open' }
  const cases: [name: string, time: CallerTime, opening: PoolOpening, latest: number, earliest: number][] = [
    ['a busy pool, for a caller that can still be in time', { patience: 6_000, objective: 600 }, open, 210, 120],
    ['a busy pool, for the least urgent caller: after the more urgent ones', { patience: 6_000, objective: 600, position: 1 }, open, 300, 210],
    ['a busy pool, for a caller that retries', { patience: 5_800, objective: 400 }, open, 140, 80],
    ['a busy pool, for a caller that will be late: a third of its patience, less up to two fifths of that', { patience: 6_000, objective: 0 }, open, 2_000, 1_200],
    ['a busy pool, for a caller with little time left', { patience: 600, objective: -100 }, open, 200, 120],
    ['a caller whose patience is shorter than its objective', { patience: 300, objective: 600 }, open, 100, 90],
    ['a caller without time left', { patience: 0, objective: 600 }, open, 0, 0],
    ['a pool that opens soon: no earlier than it opens', { patience: 6_000, objective: 600 }, { type: 'expected', in: 300 }, 2_000, 300],
    ['a pool that opens just before the longest delay: about the longest delay', { patience: 6_000, objective: 600 }, { type: 'expected', in: 1_950 }, 2_000, 1_800],
    ['a pool that opens after the longest delay: about the longest delay', { patience: 6_000, objective: 600 }, { type: 'expected', in: 9_000 }, 2_000, 1_800],
    ['a pool whose opening is unknown: late', { patience: 6_000, objective: 600 }, { type: 'unknown' }, 2_000, 1_200],
    ['a pool without reports: no earlier than it can have restarted', { patience: 6_000, objective: 600 }, { type: 'silent' }, 2_000, 500],
    ['a pool without reports, for a caller with less time than a restart takes', { patience: 1_200, objective: 600 }, { type: 'silent' }, 400, 360]
  ]
  for (const [name, time, opening, latest, earliest] of cases) {
    it(name, () => {
      assert.equal(retryAfter(time, 0, opening), latest)
      assert.equal(retryAfter(time, 1, opening), earliest)
      const middle = retryAfter(time, 0.5, opening)
      assert.ok(middle >= earliest && middle <= latest)
    })
  }
})

describe('FirstTryEstimator', () => {
  const cases: [name: string, patiences: readonly number[], elapsed: number][] = [
    ['a first try', [6_000], 0],
    ['a retry after a second', [6_000, 5_000], 994],
    ['a caller with more patience than any before', [5_000, 6_000], 0],
    ['callers that all have less patience than before', [6_000, ...new Array<number>(400).fill(5_000)], 0]
  ]
  for (const [name, patiences, expected] of cases) {
    it(`estimates the time since the first try of ${name}`, () => {
      const tries = new FirstTryEstimator()
      assert.equal(patiences.map(patience => tries.elapsed('plans', patience)).at(-1), expected)
    })
  }

  it('tracks each route separately', () => {
    const tries = new FirstTryEstimator()
    tries.elapsed('plans', 6_000)
    assert.equal(tries.elapsed('look-ups', 1_500), 0)
  })
})
