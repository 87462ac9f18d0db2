/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decideStart, FirstTries, retryAfter, UsualObjective, type CallerTime, type Opening } from '../../../../lib/routing/attempts/early-refusal.js'

describe('decideStart', () => {
  const cases: [name: string, expected: number, objective: number, usualObjective: number, type: string][] = [
    ['starts what will be in time', 300, 400, 400, 'start'],
    ['starts what is just within four fifths of the objective', 320, 400, 400, 'start'],
    ['refuses what may be late', 321, 400, 400, 'refuse'],
    ['refuses what will be very late', 9_000, 400, 400, 'refuse'],
    ['admits requests with more time by what is usual', 360, 500, 440, 'refuse'],
    ['admits requests with less time by what is usual', 350, 400, 440, 'start'],
    ['never starts what is expected after its own objective', 260, 250, 440, 'refuse']
  ]
  for (const [name, expected, objective, usualObjective, type] of cases) it(name, () => assert.equal(decideStart({ expected, objective, usualObjective }).type, type))
})

describe('UsualObjective', () => {
  const cases: [name: string, objectives: readonly number[], least: number, most: number][] = [
    ['is the first one', [400], 400, 400],
    ['is the mean of a mix', Array.from({ length: 200 }, (_, index) => index % 2 === 0 ? 400 : 500), 445, 455],
    ['hardly moves for one that is unlike', [...new Array<number>(50).fill(400), 100], 380, 390],
    ['follows a new mix', [...new Array<number>(50).fill(400), ...new Array<number>(100).fill(200)], 200, 203]
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
  const open: Opening = { type: 'open' }
  const cases: [name: string, time: CallerTime, opening: Opening, latest: number, earliest: number][] = [
    ['a busy pool: while there is time to be served in time', { patience: 6_000, objective: 600 }, open, 210, 120],
    ['a busy pool, for a caller that came back', { patience: 5_800, objective: 400 }, open, 140, 80],
    ['a busy pool, for a caller that will be late: a third of what it still waits, less two fifths of that', { patience: 6_000, objective: 0 }, open, 2_000, 1_200],
    ['a busy pool, for a caller with little time left', { patience: 600, objective: -100 }, open, 200, 120],
    ['a caller that waits for less than its objective', { patience: 300, objective: 600 }, open, 100, 90],
    ['a caller without time', { patience: 0, objective: 600 }, open, 0, 0],
    ['a pool that opens soon: from then on', { patience: 6_000, objective: 600 }, { type: 'expected', in: 300 }, 2_000, 300],
    ['a pool that opens just before the longest time: about that time', { patience: 6_000, objective: 600 }, { type: 'expected', in: 1_950 }, 2_000, 1_800],
    ['a pool that opens after the longest time: about that time', { patience: 6_000, objective: 600 }, { type: 'expected', in: 9_000 }, 2_000, 1_800],
    ['a pool that opens nobody knows when: late', { patience: 6_000, objective: 600 }, { type: 'unknown' }, 2_000, 1_200],
    ['a pool of which nothing is heard: from when it may be back', { patience: 6_000, objective: 600 }, { type: 'silent' }, 2_000, 500],
    ['the same for a caller with less time than that', { patience: 1_200, objective: 600 }, { type: 'silent' }, 400, 360]
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

describe('FirstTries', () => {
  const cases: [name: string, patiences: readonly number[], elapsed: number][] = [
    ['a first try', [6_000], 0],
    ['a caller that comes back after a second', [6_000, 5_000], 994],
    ['a caller that waits longer than any before', [5_000, 6_000], 0],
    ['callers that all wait for less', [6_000, ...new Array<number>(400).fill(5_000)], 0]
  ]
  for (const [name, patiences, expected] of cases) {
    it(`tells ${name}`, () => {
      const tries = new FirstTries()
      assert.equal(patiences.map(patience => tries.elapsed('plans', patience)).at(-1), expected)
    })
  }

  it('keeps routes apart', () => {
    const tries = new FirstTries()
    tries.elapsed('plans', 6_000)
    assert.equal(tries.elapsed('look-ups', 1_500), 0)
  })
})
