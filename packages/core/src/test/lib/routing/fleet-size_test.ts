/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FleetSize, MOST_ENTRIES } from '../../../lib/routing/fleet-size.js'

const MINUTE = 60_000

describe('FleetSize', () => {
  type Heard = readonly [zone: string, count: number, at: number]
  const cases: [name: string, heard: readonly Heard[], at: number, expected: number | undefined][] = [
    ['nothing is known before an agent is heard', [], 0, undefined],
    ['the largest count of all zones holds', [['a', 6, 0], ['b', 7, 10], ['c', 6, 20]], 30, 7],
    ['one zone that is heard alone stands for all', [['a', 3, 0]], 0, 9],
    ['two zones of three stand for the third', [['a', 6, 0], ['b', 6, 0]], 0, 9],
    ['a cut that makes counts smaller changes nothing', [['a', 9, 0], ['b', 9, 0], ['c', 9, 0], ['a', 3, 30_000]], 30_000, 9],
    ['a count is forgotten after two minutes', [['a', 9, 0], ['b', 9, 0], ['c', 9, 0], ['a', 6, 1.9 * MINUTE], ['b', 6, 1.9 * MINUTE], ['c', 6, 1.9 * MINUTE]], 3 * MINUTE, 6],
    ['after a long silence nothing is known', [['a', 9, 0]], 5 * MINUTE, undefined]
  ]
  for (const [name, heard, at, expected] of cases) {
    it(name, () => {
      const fleet = new FleetSize(() => 3)
      for (const [zone, count, when] of heard) fleet.heard(zone, count, when)
      assert.equal(fleet.estimate(at), expected)
    })
  }

  for (const count of [0, -1, 1.5, Number.NaN, Infinity, MOST_ENTRIES + 1]) {
    it(`does not believe a count of ${count}`, () => {
      const fleet = new FleetSize(() => 1)
      assert.equal(fleet.heard('a', count, 0), false)
      assert.equal(fleet.estimate(0), undefined)
    })
  }
})
