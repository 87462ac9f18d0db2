/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FleetSize, MAX_ENTRIES } from '../../../../lib/routing/attempts/fleet-size.js'

const MINUTE = 60_000

describe('FleetSize', () => {
  // Three zones with 3 agents each, all of which each entry follows: each entry counts as one ninth at each agent.
  const all = ['a', 'b', 'c'].map(availabilityZone => ({ availabilityZone, listed: 3, followed: 3 }))
  // Five zones with 24 agents each: each entry follows 12 in its own zone and 2 in each other zone.
  const some = ['a', 'b', 'c', 'd', 'e'].map((availabilityZone, index) => ({ availabilityZone, listed: 24, followed: index === 0 ? 12 : 2 }))
  type Heard = readonly [zone: string, entries: number, at: number]

  const cases: [name: string, zones: typeof all, heard: readonly Heard[], at: number, expected: number | undefined][] = [
    ['is undefined before an agent reports', all, [], 0, undefined],
    ['adds up the counts of all zones', all, [['a', 7 / 9, 0], ['b', 7 / 9, 10], ['c', 7 / 9, 20]], 30, 7],
    ['extrapolates from one zone to all', all, [['a', 3 / 9, 0]], 0, 9],
    ['extrapolates from two zones to the third', all, [['a', 6 / 9, 0], ['b', 6 / 9, 0]], 0, 9],
    ['keeps the larger count during a network partition', all, [['a', 1, 0], ['b', 1, 0], ['c', 1, 0], ['a', 3 / 9, 30_000]], 30_000, 9],
    ['drops a count after two minutes', all, [['a', 1, 0], ['b', 1, 0], ['c', 1, 0], ['a', 6 / 9, 1.9 * MINUTE], ['b', 6 / 9, 1.9 * MINUTE], ['c', 6 / 9, 1.9 * MINUTE]], 3 * MINUTE, 6],
    ['is undefined after a long time without reports', all, [['a', 1, 0]], 5 * MINUTE, undefined],
    ['counts each of one hundred entries once if each follows only some agents', some, ['a', 'b', 'c', 'd', 'e'].map((zone): Heard => [zone, 100 / 120, 0]), 0, 100],
    ['extrapolates from the twenty entries of a partitioned zone to a hundred', some, [['a', 20 * 12 / 24 / 20, 0]], 0, 100]
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

  for (const count of [0, -1, Number.NaN, Infinity, MAX_ENTRIES + 1, 'many']) {
    it(`rejects a count of ${count}`, () => {
      const fleet = new FleetSize(() => all)
      assert.equal(fleet.heard('a', 'agent', count as number, 0), false)
      assert.equal(fleet.estimate(0), undefined)
    })
  }
})
