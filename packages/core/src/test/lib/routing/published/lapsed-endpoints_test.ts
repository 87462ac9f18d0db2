/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/*
 * An endpoint that had left was sent requests 3.1 s after its leaving had been acknowledged, with 3 s allowed, and in another run
 * 2.2 s where 2 are allowed: "endpoint-gone" came 2.5 s after "store-regained". Only this process had lost the store, or only its
 * watch had been cut, yet every entry that was missing afterwards counted as lapsed with an outage, and was kept for 2.5 s. When
 * the store itself is away for long, nearly all entries lapse with it.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { PublishedChange } from '../../../../lib/routing/published/published-change.js'
import { PublishedState } from '../../../../lib/routing/published/published-state.js'

const ALL = ['a', 'b', 'c', 'd', 'e']

function listed (id: string, revision: number): PublishedChange {
  return { type: 'endpoint', revision, record: { id, service: 'desk', address: `${id}.example:80`, availabilityZone: 'koshi', slots: 4, draining: false, models: [] } }
}

describe('endpoints that are missing after the store was away', () => {
  const cases: [name: string, missing: readonly string[], after: number, expected: readonly string[]][] = [
    ['are kept at first when they are few', ['b'], 499, ALL],
    ['are soon taken as gone when they are few', ['b'], 500, ['a', 'c', 'd', 'e']],
    ['are kept for longer when they are most', ['a', 'b', 'c'], 2_499, ALL],
    ['are taken as gone in the end when they are most', ['a', 'b', 'c'], 2_500, ['d', 'e']]
  ]
  for (const [name, missing, after, expected] of cases) {
    it(name, () => {
      const state = new PublishedState()
      state.takeWhole('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
      state.storeLost()
      state.storeRegained(10_000, 9)
      state.takeWhole('endpoints', ALL.filter(id => !missing.includes(id)).map(id => listed(id, ALL.indexOf(id) + 1)), 9, 10_000)
      state.expire(10_000 + after)
      assert.deepEqual(state.endpoints().map(({ id }) => id), expected)
    })
  }

  it('are kept for longer also once most of those that lapsed are back', () => {
    const state = new PublishedState()
    state.takeWhole('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
    state.storeLost()
    state.storeRegained(10_000, 9)
    state.takeWhole('endpoints', [], 9, 10_000)
    state.expire(10_600)
    for (const id of ['a', 'b', 'c', 'd']) state.take(listed(id, 12), 11_000)
    state.expire(12_400)
    assert.deepEqual(state.endpoints().length, ALL.length)
  })
})
