/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { enginesToFollow, type EngineLocation } from '../../../../lib/routing/choice/followed-engines.js'

const zones = ['a', 'b', 'c', 'd', 'e']

function engines (perZone: number, names = zones): EngineLocation[] {
  return names.flatMap(availabilityZone => Array.from({ length: perZone }, (_, index) => ({ agent: `${availabilityZone}-${index}`, availabilityZone })))
}

/** The number of engines of each zone that an entry in zone a follows. */
function perZone (list: readonly EngineLocation[]): number[] {
  const followed = enginesToFollow('entry-1', 'a', list)
  return zones.map(zone => list.filter(({ agent, availabilityZone }) => availabilityZone === zone && followed.has(agent)).length)
}

describe('enginesToFollow', () => {
  const cases: [name: string, list: EngineLocation[], expected: number[]][] = [
    ['all engines of a small deployment', engines(3), [3, 3, 3, 3, 3]],
    ['twelve of its own zone and two of each other zone', engines(17), [12, 2, 2, 2, 2]],
    ['more of each other zone if there are fewer zones', engines(12, ['a', 'b', 'c']), [12, 4, 4, 0, 0]],
    ['more of other zones if its own zone has few', [...engines(4, ['a']), ...engines(20, ['b', 'c', 'd', 'e'])], [4, 4, 4, 4, 4]],
    ['engines of other zones if its own zone has none', engines(20, ['b', 'c', 'd', 'e']), [0, 5, 5, 5, 5]]
  ]
  for (const [name, list, expected] of cases) it(`follows ${name}`, () => assert.deepEqual(perZone(list), expected))

  it('replaces only the engine that leaves', () => {
    const list = engines(24)
    const before = enginesToFollow('entry-1', 'a', list)
    const [left = ''] = before
    const after = enginesToFollow('entry-1', 'a', list.filter(({ agent }) => agent !== left))
    assert.equal([...after].filter(agent => !before.has(agent)).length, 1)
  })

  it('spreads 98 entries nearly evenly over 84 engines', () => {
    const list = engines(17).slice(0, 84)
    const followers = new Map<string, number>()
    for (let entry = 0; entry < 98; entry += 1) {
      for (const agent of enginesToFollow(`entry-${entry}`, zones[entry % 5] ?? '', list)) followers.set(agent, (followers.get(agent) ?? 0) + 1)
    }
    const counts = [...followers.values()]
    assert.equal(counts.length, 84)
    assert.ok(Math.min(...counts) >= 15 && Math.max(...counts) <= 34, `${Math.min(...counts)} to ${Math.max(...counts)}`)
  })
})
