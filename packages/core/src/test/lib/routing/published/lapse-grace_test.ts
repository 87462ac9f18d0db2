/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/*
 * Guards against a small service that has no endpoint from half a second after an outage of the store, though its endpoints may take
 * two seconds to write their entries again: its three endpoints counted as few beside 28 of another service.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { PublishedChange } from '../../../../lib/routing/published/published-change.js'
import { PublishedState } from '../../../../lib/routing/published/published-state.js'

type Service = 'desk' | 'pool'
const sizes: Readonly<Record<Service, number>> = { desk: 3, pool: 28 }
const services: readonly Service[] = ['desk', 'pool']
const RETURN = 10_000

function idsOf (service: Service, count: number): string[] { return Array.from({ length: count }, (_, index) => `${service}-${index}`) }
const entries = services.flatMap(service => idsOf(service, sizes[service]).map((id): PublishedChange => {
  return { type: 'endpoint', revision: 1, record: { id, service, address: `${id}.example:80`, availabilityZone: 'koshi', slots: 4, draining: false, models: [] } }
}))

function stateAfterOutage (missing: Readonly<Record<Service, number>>): PublishedState {
  const state = new PublishedState()
  state.takeSnapshot('endpoints', entries, 5, 0)
  state.storeLost(5_000)
  state.storeRegained(RETURN, 99)
  for (const id of services.flatMap(service => idsOf(service, missing[service]))) state.take({ type: 'endpoint-gone', revision: 10, id }, RETURN)
  return state
}

function countOf (state: PublishedState, service: Service): number { return state.endpoints().filter(record => record.service === service).length }

describe('entries of several services that are missing after the store was unavailable', () => {
  const cases: [name: string, desk: number, pool: number, after: number, expected: readonly [desk: number, pool: number]][] = [
    ['all of a small service are kept for the long grace period', 3, 0, 2_499, [3, 28]],
    ['all of a small service are removed after it', 3, 0, 2_500, [0, 28]],
    ['most of a small service are kept, and few of a large one are not', 2, 5, 2_499, [3, 23]],
    ['few of each service are removed after the short grace period', 1, 5, 500, [2, 23]],
    ['few of a small service are kept while most of all are missing', 1, 20, 2_499, [3, 28]]
  ]
  for (const [name, desk, pool, after, expected] of cases) {
    it(name, () => {
      const state = stateAfterOutage({ desk, pool })
      state.expire(RETURN + 500)
      state.expire(RETURN + after)
      assert.deepEqual([countOf(state, 'desk'), countOf(state, 'pool')], expected)
    })
  }

  const late: [service: Service, expected: number][] = [['pool', 27], ['desk', 3]]
  for (const [service, expected] of late) {
    it(`one of the ${service} that is heard of after the short grace period, in which most of the desk were missing, is treated like the others`, () => {
      const state = stateAfterOutage({ desk: 2, pool: 0 })
      state.expire(RETURN + 500)
      state.take({ type: 'endpoint-gone', revision: 11, id: `${service}-2` }, RETURN + 600)
      assert.equal(countOf(state, service), expected)
    })
  }
})

/*
 * Guards against requests being sent to an endpoint that has left for 2.4 s, because a watch was cut just before its entry went, and the cut was
 * taken for an outage of the store in which the entry had expired.
 */
describe('entries that are missing after a connection to the store was lost', () => {
  const LOST = 100_000
  /** The times of losses of the store, each with the time until it answers again, in milliseconds. */
  type Losses = readonly (readonly [at: number, away: number])[]
  const cases: [name: string, losses: Losses, missing: readonly string[], after: number, expected: number][] = [
    ['one of three has left if a watch was cut', [[0, 100]], ['desk-0'], 0, 2],
    ['two of three have left if a watch was cut', [[0, 100]], ['desk-0', 'desk-1'], 0, 1],
    ['all have left if a watch was cut', [[0, 100]], idsOf('desk', 3), 0, 0],
    ['all have left if watches were cut again and again', [[0, 100], [150, 100], [300, 400], [750, 100]], idsOf('desk', 3), 0, 0],
    ['all have left if the store was away for less than a second', [[0, 999]], idsOf('desk', 3), 0, 0],
    ['all are kept if the store was away for a second', [[0, 1_000]], idsOf('desk', 3), 2_499, 3],
    ['they are removed at the end of the grace period after an outage', [[0, 4_000]], idsOf('desk', 3), 2_500, 0],
    ['all are kept if a watch is cut after an outage', [[0, 4_000], [4_200, 100]], idsOf('desk', 3), 2_100, 3],
    ['a cut watch does not prolong the grace period of an outage', [[0, 4_000], [4_200, 100]], idsOf('desk', 3), 2_200, 0],
    ['all are kept after a second outage', [[0, 4_000], [5_000, 1_500]], idsOf('desk', 3), 2_499, 3]
  ]
  for (const [name, losses, missing, after, expected] of cases) {
    it(name, () => {
      const state = new PublishedState()
      state.takeSnapshot('endpoints', entries, 5, 0)
      let regainedAt = 0
      for (const [at, away] of losses) {
        state.storeLost(LOST + at)
        regainedAt = LOST + at + away
        state.storeRegained(regainedAt, 99)
      }
      for (const id of missing) state.take({ type: 'endpoint-gone', revision: 10, id }, regainedAt)
      for (let now = regainedAt; now <= regainedAt + after; now += 250) state.expire(now)
      state.expire(regainedAt + after)
      assert.equal(countOf(state, 'desk'), expected)
    })
  }

  it('are removed when the store answers again after a short time, if a peer told of them before', () => {
    const [state, peer] = [new PublishedState(), new PublishedState()]
    for (const one of [state, peer]) one.takeSnapshot('endpoints', entries, 5, 0)
    state.storeLost(LOST)
    peer.take({ type: 'endpoint-gone', revision: 6, id: 'desk-0' }, LOST + 10)
    peer.followed('endpoints', 6)
    state.takeDelta(peer.deltaSince(state.note, LOST + 20), LOST + 20)
    const kept = countOf(state, 'desk')
    state.storeRegained(LOST + 100, 6)
    state.expire(LOST + 100)
    assert.deepEqual([kept, countOf(state, 'desk')], [3, 2])
  })

  it('are kept as long as a peer keeps them that saw a longer outage', () => {
    const [state, peer] = [new PublishedState(), new PublishedState()]
    for (const one of [state, peer]) one.takeSnapshot('endpoints', entries, 5, 0)
    peer.storeLost(LOST - 4_000)
    peer.storeRegained(LOST, 9)
    for (const id of idsOf('desk', 3)) peer.take({ type: 'endpoint-gone', revision: 9, id }, LOST)
    peer.followed('endpoints', 9)
    state.storeLost(LOST)
    state.takeDelta(peer.deltaSince(state.note, LOST + 50), LOST + 50)
    state.storeRegained(LOST + 100, 9)
    state.expire(LOST + 2_400)
    const kept = countOf(state, 'desk')
    state.expire(LOST + 2_600)
    assert.deepEqual([kept, countOf(state, 'desk')], [3, 0])
  })
})
