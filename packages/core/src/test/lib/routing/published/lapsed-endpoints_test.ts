/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/*
 * Guards against requests being sent to an endpoint that has left: they were sent 3.1 s after the acknowledgement of its departure
 * (3 s are allowed), and 2.2 s in another run (2 s are allowed), because "endpoint-gone" followed "store-regained" by 2.5 s. If only
 * this process loses the store, or only its watch is interrupted, a missing entry must not be kept for 2.5 s as if it had expired in
 * an outage. In a long outage of the store itself, nearly all entries expire.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { PublishedChange } from '../../../../lib/routing/published/published-change.js'
import { PublishedState } from '../../../../lib/routing/published/published-state.js'

const ALL = ['a', 'b', 'c', 'd', 'e']

function listed (id: string, revision: number): PublishedChange {
  return { type: 'endpoint', revision, record: { id, service: 'desk', address: `${id}.example:80`, availabilityZone: 'koshi', slots: 4, draining: false, models: [] } }
}

describe('endpoints that are missing after the store was unavailable', () => {
  const cases: [name: string, missing: readonly string[], after: number, expected: readonly string[]][] = [
    ['are kept until the short grace period ends if they are few', ['b'], 499, ALL],
    ['are removed after the short grace period if they are few', ['b'], 500, ['a', 'c', 'd', 'e']],
    ['are kept until the long grace period ends if they are the majority', ['a', 'b', 'c'], 2_499, ALL],
    ['are removed after the long grace period if they are the majority', ['a', 'b', 'c'], 2_500, ['d', 'e']]
  ]
  for (const [name, missing, after, expected] of cases) {
    it(name, () => {
      const state = new PublishedState()
      state.takeSnapshot('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
      state.storeLost()
      state.storeRegained(10_000, 9)
      state.takeSnapshot('endpoints', ALL.filter(id => !missing.includes(id)).map(id => listed(id, ALL.indexOf(id) + 1)), 9, 10_000)
      state.expire(10_000 + after)
      assert.deepEqual(state.endpoints().map(({ id }) => id), expected)
    })
  }

  it('are kept for the long grace period even if most of the expired entries are back before it ends', () => {
    const state = new PublishedState()
    state.takeSnapshot('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
    state.storeLost()
    state.storeRegained(10_000, 9)
    state.takeSnapshot('endpoints', [], 9, 10_000)
    state.expire(10_600)
    for (const id of ['a', 'b', 'c', 'd']) state.take(listed(id, 12), 11_000)
    state.expire(12_400)
    assert.deepEqual(state.endpoints().length, ALL.length)
  })
})
