/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FleetSize, MOST_ENTRIES } from '../../../../lib/routing/attempts/fleet-size.js'

const MINUTE = 60_000

describe('FleetSize', () => {
  // Three zones with 3 agents each, all of which are followed: each entry counts a ninth at each agent.
  const all = ['a', 'b', 'c'].map(availabilityZone => ({ availabilityZone, listed: 3, followed: 3 }))
  // Of 5 zones with 24 agents each an entry follows 12 in its own and 2 in each other one.
  const some = ['a', 'b', 'c', 'd', 'e'].map((availabilityZone, index) => ({ availabilityZone, listed: 24, followed: index === 0 ? 12 : 2 }))
  type Heard = readonly [zone: string, entries: number, at: number]

  const cases: [name: string, zones: typeof all, heard: readonly Heard[], at: number, expected: number | undefined][] = [
    ['nothing is known before an agent is heard', all, [], 0, undefined],
    ['what all zones count holds', all, [['a', 7 / 9, 0], ['b', 7 / 9, 10], ['c', 7 / 9, 20]], 30, 7],
    ['one zone that is heard alone stands for all', all, [['a', 3 / 9, 0]], 0, 9],
    ['two zones of three stand for the third', all, [['a', 6 / 9, 0], ['b', 6 / 9, 0]], 0, 9],
    ['a cut that makes counts smaller changes nothing', all, [['a', 1, 0], ['b', 1, 0], ['c', 1, 0], ['a', 3 / 9, 30_000]], 30_000, 9],
    ['a count is forgotten after two minutes', all, [['a', 1, 0], ['b', 1, 0], ['c', 1, 0], ['a', 6 / 9, 1.9 * MINUTE], ['b', 6 / 9, 1.9 * MINUTE], ['c', 6 / 9, 1.9 * MINUTE]], 3 * MINUTE, 6],
    ['after a long silence nothing is known', all, [['a', 1, 0]], 5 * MINUTE, undefined],
    ['one hundred entries count once each, however few agents each follows', some, ['a', 'b', 'c', 'd', 'e'].map((zone): Heard => [zone, 100 / 120, 0]), 0, 100],
    ['the twenty of a zone that is cut off with their agents stand for a hundred', some, [['a', 20 * 12 / 24 / 20, 0]], 0, 100]
  ]
  for (const [name, zones, heard, at, expected] of cases) {
    it(name, () => {
      const fleet = new FleetSize(() => zones)
      for (const [zone, entries, when] of heard) {
        fleet.heard(zone, `agent-${zone}`, entries, when)
        fleet.estimate(when)
      }
      assert.equal(fleet.estimate(at), expected)
    })
  }

  for (const count of [0, -1, Number.NaN, Infinity, MOST_ENTRIES + 1, 'many']) {
    it(`does not believe a count of ${count}`, () => {
      const fleet = new FleetSize(() => all)
      assert.equal(fleet.heard('a', 'agent', count as number, 0), false)
      assert.equal(fleet.estimate(0), undefined)
    })
  }
})
