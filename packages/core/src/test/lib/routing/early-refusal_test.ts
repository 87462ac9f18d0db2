/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decideStart, retryAfter, UsualObjective, type Opening } from '../../../lib/routing/early-refusal.js'

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
  const cases: [name: string, patience: number, opening: Opening, latest: number, earliest: number][] = [
    ['a busy pool: a third of what the caller still waits, less two fifths of that', 6_000, open, 2_000, 1_200],
    ['a busy pool, for a caller with little time left', 600, open, 200, 120],
    ['a caller without time', 0, open, 0, 0],
    ['a pool that opens soon: from then on', 6_000, { type: 'expected', in: 300 }, 2_000, 300],
    ['a pool that opens just before the longest time: about that time', 6_000, { type: 'expected', in: 1_950 }, 2_000, 1_800],
    ['a pool that opens after the longest time: about that time', 6_000, { type: 'expected', in: 9_000 }, 2_000, 1_800],
    ['a pool that opens nobody knows when: as a busy one', 6_000, { type: 'unknown' }, 2_000, 1_200],
    ['a pool of which nothing is heard: from when it may be back', 6_000, { type: 'silent' }, 2_000, 500],
    ['the same for a caller with less time than that', 1_200, { type: 'silent' }, 400, 360]
  ]
  for (const [name, patience, opening, latest, earliest] of cases) {
    it(name, () => {
      assert.equal(retryAfter(patience, 0, opening), latest)
      assert.equal(retryAfter(patience, 1, opening), earliest)
      const middle = retryAfter(patience, 0.5, opening)
      assert.ok(middle >= earliest && middle <= latest)
    })
  }
})
