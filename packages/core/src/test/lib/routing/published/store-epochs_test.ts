/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A store that was restored from an older copy tells at low revisions what is new, and also what it had forgotten the end of. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { EndpointRecord } from '../../../../lib/routing/published/endpoint-record.js'
import type { PublishedChange, PublishedDelta } from '../../../../lib/routing/published/published-change.js'
import { PublishedState } from '../../../../lib/routing/published/published-state.js'

const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 }

function configuration (version: number, revision: number): PublishedChange {
  return { type: 'configuration', revision, configuration: { version, routes: [], services: [{ name: 'desk', maxConnections: 1 }], organisations: [], limits } }
}
function wanted (version: number, revision: number): PublishedChange { return { type: 'wanted-version', revision, wanted: { model: 'm', version } } }
function gone (id: string, revision: number): PublishedChange { return { type: 'endpoint-gone', revision, id } }
function listed (id: string, revision: number, part: Partial<EndpointRecord> = {}): PublishedChange {
  return { type: 'endpoint', revision, record: { id, service: 'desk', address: `${id}:80`, availabilityZone: 'koshi', slots: 4, draining: false, models: [], writings: 1, ...part } }
}

/** A process in epoch 1 that has followed everything up to revision 30. */
function following (changes: readonly PublishedChange[]): PublishedState {
  const state = new PublishedState()
  state.enter(1, 0)
  state.takeWhole('configuration', [configuration(20, 25)], 30, 0)
  state.takeWhole('versions', [wanted(2, 26)], 30, 0)
  state.takeWhole('endpoints', [listed('a', 5), listed('b', 6)], 30, 0)
  for (const change of changes) state.take(change, 0)
  return state
}

/** The endpoints are read whole in epoch 2, at revision 22. */
function restored (state: PublishedState, endpoints: readonly PublishedChange[]): void {
  state.enter(2, 1_000)
  state.takeWhole('endpoints', endpoints, 22, 1_000)
}

/** What is held, in a few words: the versions, and each endpoint with what it says. */
function summary (state: PublishedState): string {
  const endpoints = state.endpoints().map(({ id, draining }) => `${id}${draining ? ' drains' : ''}`).sort()
  return [state.configuration?.version, state.wanted('m')?.version, ...endpoints].join(', ')
}

describe('PublishedState in a later epoch of the store', () => {
  const taken: [name: string, before: readonly PublishedChange[], after: readonly PublishedChange[], expected: string][] = [
    ['keeps everything that it held', [], [], '20, 2, a, b'],
    ['takes a newer configuration at a lower revision', [], [configuration(21, 3)], '21, 2, a, b'],
    ['takes no older configuration', [], [configuration(18, 40)], '20, 2, a, b'],
    ['takes a newer version at a lower revision', [], [wanted(3, 3)], '20, 3, a, b'],
    ['takes no older version', [], [wanted(1, 40)], '20, 2, a, b'],
    ['takes a drain at a lower revision', [], [listed('a', 3, { draining: true, writings: 2 })], '20, 2, a drains, b'],
    ['takes an endpoint at a lower revision', [], [listed('c', 3)], '20, 2, a, b, c'],
    ['keeps a drain of which the copy knows nothing', [listed('a', 31, { draining: true, writings: 2 })], [listed('a', 3)], '20, 2, a drains, b'],
    ['keeps it when it is written again', [listed('a', 31, { draining: true, writings: 2 })], [listed('a', 3), listed('a', 23, { draining: true, writings: 3 })], '20, 2, a drains, b'],
    ['keeps a removal of which the copy knows nothing', [gone('a', 31)], [listed('a', 3)], '20, 2, b'],
    ['takes an endpoint back that has written since it went', [gone('a', 31)], [listed('a', 23, { writings: 2 })], '20, 2, a, b'],
    ['takes an endpoint back that has started again', [gone('a', 31)], [listed('a', 23, { born: 7 })], '20, 2, a, b'],
    ['takes an endpoint whose writings are not counted', [gone('a', 31)], [listed('a', 23, { writings: undefined })], '20, 2, a, b'],
    ['keeps the successor at an address of which the copy knows nothing', [listed('c', 31, { address: 'a:80' })], [listed('a', 3, { writings: 9 })], '20, 2, b, c']
  ]
  for (const [name, before, after, expected] of taken) {
    it(name, () => {
      const state = following(before)
      state.enter(2, 1_000)
      for (const change of after) state.take(change, 1_000)
      assert.equal(summary(state), expected)
    })
  }

  it('goes on by revisions once the store has told something newer', () => {
    const state = following([])
    restored(state, [listed('a', 5, { writings: 2 }), listed('b', 6)])
    state.take(listed('a', 24, { draining: true, writings: 3 }), 1_000)
    state.take(listed('a', 23, { writings: 9 }), 1_000)
    assert.equal(summary(state), '20, 2, a drains, b')
  })

  it('makes no news of what is written again as it was', () => {
    const state = following([])
    state.enter(2, 1_000)
    const again = [configuration(20, 3), wanted(2, 4), listed('a', 5, { writings: 2 })]
    assert.deepEqual(again.flatMap(change => state.take(change, 1_000)), [])
  })

  it('has followed nothing yet, and knows all that it knew', () => {
    const state = following([])
    state.enter(2, 1_000)
    assert.deepEqual([state.note, state.held, state.complete, state.knows('versions')], [
      { epoch: 2, configuration: 0, versions: 0, endpoints: 0 }, { epoch: 2, configuration: 0, versions: 0, endpoints: 0 }, true, true
    ])
  })

  const missing: [name: string, after: readonly PublishedChange[], at: number, expected: string][] = [
    ['is kept while it may write itself again', [], 2_499, '20, 2, a, b'],
    ['is taken as gone when it did not', [], 2_500, '20, 2, b'],
    ['stays when it did', [listed('a', 23, { writings: 2 })], 2_500, '20, 2, a, b']
  ]
  for (const [name, after, at, expected] of missing) {
    it(`an endpoint that the copy lacks ${name}`, () => {
      const state = following([])
      restored(state, [listed('b', 6)])
      for (const change of after) state.take(change, 1_500)
      state.expire(at)
      assert.equal(summary(state), expected)
    })
  }

  it('lets go at once of an endpoint that goes after the copy was read', () => {
    const state = following([])
    restored(state, [listed('a', 5), listed('b', 6)])
    state.take(gone('a', 23), 1_100)
    assert.equal(summary(state), '20, 2, b')
  })

  const orders: [name: string, epochs: readonly number[], expected: boolean[]][] = [
    ['each later one', [1, 2, 3], [true, true, true]],
    ['not the same again', [2, 2], [true, false]],
    ['no earlier one', [3, 2], [true, false]]
  ]
  for (const [name, epochs, expected] of orders) {
    it(`begins ${name}`, () => {
      const state = new PublishedState()
      assert.deepEqual(epochs.map(epoch => state.enter(epoch, 0)), expected)
    })
  }
})

describe('PublishedState and peers of other epochs', () => {
  function empty (epoch: number): PublishedState {
    const state = new PublishedState()
    state.enter(epoch, 0)
    return state
  }

  function tell (teller: PublishedState, asker: PublishedState): PublishedDelta {
    const delta = teller.since(asker.note, 1_000)
    asker.takeDelta(delta, 1_000)
    return delta
  }

  it('take over the later epoch, with everything in it', () => {
    const [teller, asker] = [following([]), following([])]
    restored(teller, [listed('a', 5, { draining: true, writings: 2 }), listed('b', 6)])
    teller.takeWhole('configuration', [configuration(24, 21)], 22, 1_000)
    tell(teller, asker)
    assert.deepEqual([summary(asker), asker.note], ['24, 2, a drains, b', { epoch: 2, configuration: 22, versions: 0, endpoints: 22 }])
  })

  it('are told nothing by one that is in an earlier epoch', () => {
    const [teller, asker] = [following([listed('c', 31)]), following([])]
    restored(asker, [listed('a', 5), listed('b', 6)])
    assert.deepEqual(tell(teller, asker).changes, [])
    assert.equal(summary(asker), '20, 2, a, b')
  })

  it('ignore what was on its way from an earlier epoch', () => {
    const [teller, asker] = [following([listed('c', 31), configuration(19, 40)]), following([])]
    const delta = teller.since(asker.note, 0)
    restored(asker, [listed('a', 5), listed('b', 6)])
    assert.deepEqual([asker.takeDelta(delta, 1_000), summary(asker)], [[], '20, 2, a, b'])
  })

  it('are told by one that knows more than the copy what it has carried over, also when they know nothing yet', () => {
    const [teller, asker] = [following([listed('a', 31, { draining: true, writings: 2 })]), empty(2)]
    restored(teller, [listed('a', 5), listed('b', 6)])
    teller.takeWhole('configuration', [configuration(18, 21)], 22, 1_000)
    teller.takeWhole('versions', [], 22, 1_000)
    tell(teller, asker)
    assert.equal(summary(asker), '20, 2, a drains, b')
  })

  it('hold the same once one has told the other, whatever the copy lacked', () => {
    const [teller, asker] = [following([]), following([])]
    restored(teller, [listed('a', 5), listed('b', 6)])
    teller.takeWhole('configuration', [configuration(18, 21)], 22, 1_000)
    teller.takeWhole('versions', [wanted(1, 20)], 22, 1_000)
    tell(teller, asker)
    assert.deepEqual([asker.held, summary(asker)], [teller.held, '20, 2, a, b'])
  })
})
