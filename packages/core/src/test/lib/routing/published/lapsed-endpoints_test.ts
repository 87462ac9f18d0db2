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
      state.storeLost(5_000)
      state.storeRegained(10_000, 9)
      state.takeSnapshot('endpoints', ALL.filter(id => !missing.includes(id)).map(id => listed(id, ALL.indexOf(id) + 1)), 9, 10_000)
      state.expire(10_000 + after)
      assert.deepEqual(state.endpoints().map(({ id }) => id), expected)
    })
  }

  it('are kept for the long grace period even if most of the expired entries are back before it ends', () => {
    const state = new PublishedState()
    state.takeSnapshot('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
    state.storeLost(5_000)
    state.storeRegained(10_000, 9)
    state.takeSnapshot('endpoints', [], 9, 10_000)
    state.expire(10_600)
    for (const id of ['a', 'b', 'c', 'd']) state.take(listed(id, 12), 11_000)
    state.expire(12_400)
    assert.deepEqual(state.endpoints().length, ALL.length)
  })
})

describe('endpoints that are still missing after most expired entries are back', () => {
  const cases: [name: string, missing: readonly string[], back: readonly string[], expected: readonly string[]][] = [
    ['are kept if the majority was missing', ALL, ['a', 'b', 'c', 'd'], ALL],
    ['are kept if just the majority was missing', ['a', 'b', 'c'], ['a', 'b'], ALL],
    ['are removed if few were missing', ['a', 'b'], ['a'], ['a', 'c', 'd', 'e']]
  ]
  for (const [name, missing, back, expected] of cases) {
    it(`${name}, although few are at the end of the short grace period`, () => {
      const state = new PublishedState()
      state.takeSnapshot('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
      state.storeLost(5_000)
      state.storeRegained(10_000, 10)
      for (const [index, id] of missing.entries()) state.take({ type: 'endpoint-gone', revision: 6 + index, id }, 10_000)
      for (const [index, id] of back.entries()) state.take(listed(id, 11 + index), 10_300)
      state.expire(10_600)
      assert.deepEqual(state.endpoints().map(({ id }) => id).sort(), expected)
    })
  }

  const laterNews: [name: string, later: (state: PublishedState) => void, expected: readonly string[]][] = [
    ['are kept if a later snapshot of the store lacks them too', state => { state.takeSnapshot('endpoints', [], 12, 10_100) }, ALL],
    ['are kept if a later snapshot of a peer lacks them too', state => { state.takeDelta(peerWithout(ALL).deltaSince(state.note, 10_100), 10_100) }, ALL],
    ['are removed if they left for certain', state => { state.take({ type: 'endpoint-gone', revision: 12, id: 'a', certain: true }, 10_100) }, ['b', 'c', 'd', 'e']]
  ]
  /** A peer that read the store at revision 12 and did not notice the outage. */
  function peerWithout (missing: readonly string[]): PublishedState {
    const peer = new PublishedState()
    peer.takeSnapshot('endpoints', ALL.filter(id => !missing.includes(id)).map(id => listed(id, ALL.indexOf(id) + 1)), 12, 10_050)
    return peer
  }
  for (const [name, later, expected] of laterNews) {
    it(name, () => {
      const state = new PublishedState()
      state.takeSnapshot('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
      state.storeLost(5_000)
      state.storeRegained(10_000, 10)
      for (const [index, id] of ALL.entries()) state.take({ type: 'endpoint-gone', revision: 6 + index, id }, 10_000)
      later(state)
      state.expire(10_600)
      assert.deepEqual(state.endpoints().map(({ id }) => id).sort(), expected)
      state.expire(12_500)
      assert.deepEqual(state.endpoints(), [])
    })
  }

  it('do not count in the next outage', () => {
    const state = new PublishedState()
    state.takeSnapshot('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
    state.storeLost(5_000)
    state.storeRegained(10_000, 10)
    for (const [index, id] of ALL.entries()) state.take({ type: 'endpoint-gone', revision: 6 + index, id }, 10_000)
    for (const [index, id] of ALL.entries()) state.take(listed(id, 11 + index), 10_300)
    state.expire(12_600)
    state.storeLost(15_000)
    state.storeRegained(20_000, 20)
    state.take({ type: 'endpoint-gone', revision: 16, id: 'b' }, 20_000)
    state.expire(20_600)
    assert.deepEqual(state.endpoints().map(({ id }) => id).sort(), ['a', 'c', 'd', 'e'])
  })
})

/*
 * Guards against a process losing all endpoints for two seconds after an outage of the store that it did not notice itself: it heard
 * from a relay that their entries were gone, but not that the relay took them for expired.
 */
describe('endpoints that are missing at a relay after the store was unavailable', () => {
  const RETURN = 10_000

  /** A relay that lost the store at revision 5 and read it again at `RETURN`. */
  function relayAfterOutage (missing: readonly string[]): PublishedState {
    const relay = relayBeforeOutage()
    relay.storeLost(5_000)
    relay.storeRegained(RETURN, 10)
    for (const [index, id] of missing.entries()) relay.take({ type: 'endpoint-gone', revision: 6 + index, id }, RETURN)
    relay.followed('endpoints', 10)
    return relay
  }

  function relayBeforeOutage (): PublishedState {
    const relay = new PublishedState()
    relay.takeSnapshot('endpoints', ALL.map((id, index) => listed(id, index + 1)), 5, 0)
    return relay
  }

  function follow (relay: PublishedState, follower: PublishedState, now: number): void {
    follower.takeDelta(relay.deltaSince(follower.note, now), now)
  }

  function idsOf (state: PublishedState): string[] { return state.endpoints().map(({ id }) => id).sort() }

  type Follower = 'follower that knows them' | 'follower that starts' | 'follower that lost the store too'
  const followers: Record<Follower, () => PublishedState> = {
    'follower that knows them': () => {
      const follower = new PublishedState()
      follow(relayBeforeOutage(), follower, 0)
      return follower
    },
    'follower that starts': () => new PublishedState(),
    'follower that lost the store too': () => {
      const follower = followers['follower that knows them']()
      follower.storeLost(5_000)
      // It learns from the relay that the store is back, before it learns what is missing.
      follower.storeRegained(RETURN, follower.note.endpoints)
      return follower
    }
  }

  const cases: [name: string, missing: readonly string[], heardAfter: number, after: number, expected: readonly string[]][] = [
    ['keeps all of them', ALL, 20, 2_400, ALL],
    ['removes them when the relay does', ALL, 20, 2_600, []],
    ['does not keep them longer if it hears of them late', ALL, 1_500, 2_600, []],
    ['keeps few of them for the short grace period', ['b'], 20, 400, ALL],
    ['removes few of them after the short grace period', ['b'], 20, 600, ['a', 'c', 'd', 'e']]
  ]
  it('a follower keeps those that are missing at a relay which has not regained the store', () => {
    const relay = relayBeforeOutage()
    relay.storeLost(5_000)
    const agent = new PublishedState()
    agent.takeSnapshot('endpoints', [], 12, RETURN)
    follow(agent, relay, RETURN)
    const follower = followers['follower that knows them']()
    follow(relay, follower, RETURN + 20)
    follower.expire(RETURN + 2_400)
    const kept = idsOf(follower)
    follower.expire(RETURN + 2_600)
    assert.deepEqual([kept, idsOf(follower)], [ALL, []])
  })

  for (const follower of Object.keys(followers) as Follower[]) {
    for (const [name, missing, heardAfter, after, expected] of cases) {
      it(`a ${follower} ${name}`, () => {
        const relay = relayAfterOutage(missing)
        const state = followers[follower]()
        follow(relay, state, RETURN + heardAfter)
        state.expire(RETURN + after)
        assert.deepEqual(idsOf(state), expected)
      })
    }

    it(`a ${follower} uses those that are listed again`, () => {
      const relay = relayAfterOutage(ALL)
      const state = followers[follower]()
      follow(relay, state, RETURN + 20)
      for (const [index, id] of ['a', 'b', 'c'].entries()) relay.take(listed(id, 11 + index), RETURN + 1_500)
      relay.followed('endpoints', 13)
      follow(relay, state, RETURN + 1_520)
      state.expire(RETURN + 2_600)
      assert.deepEqual(idsOf(state), ['a', 'b', 'c'])
    })

    it(`a ${follower} does not use one that left`, () => {
      const relay = relayAfterOutage(ALL)
      relay.take({ type: 'endpoint-gone', revision: 11, id: 'b', certain: true }, RETURN + 100)
      const state = followers[follower]()
      follow(relay, state, RETURN + 200)
      state.expire(RETURN + 250)
      assert.deepEqual(idsOf(state), ['a', 'c', 'd', 'e'])
    })
  }
})
