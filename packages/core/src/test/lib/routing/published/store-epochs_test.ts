/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A store that was restored from an older copy lists new items at low revisions, and also items whose removal it has lost. */
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

/** Returns the state of a process in epoch 1 that has followed all topics up to revision 30. */
function newFollower (changes: readonly PublishedChange[]): PublishedState {
  const state = new PublishedState()
  state.enterEpoch(1, 0)
  state.takeSnapshot('configuration', [configuration(20, 25)], 30, 0)
  state.takeSnapshot('versions', [wanted(2, 26)], 30, 0)
  state.takeSnapshot('endpoints', [listed('a', 5), listed('b', 6)], 30, 0)
  state.takeSnapshot('evacuations', [], 30, 0)
  for (const change of changes) state.take(change, 0)
  return state
}

/** Applies a snapshot of the endpoints in epoch 2, at revision 22. */
function applyRestoredEndpoints (state: PublishedState, endpoints: readonly PublishedChange[]): void {
  state.enterEpoch(2, 1_000)
  state.takeSnapshot('endpoints', endpoints, 22, 1_000)
}

/** Summarises the held state: the versions, and each endpoint with its draining state. */
function summary (state: PublishedState): string {
  const endpoints = state.endpoints().map(({ id, draining }) => `${id}${draining ? ' drains' : ''}`).sort()
  return [state.configuration?.version, state.wanted('m')?.version, ...endpoints].join(', ')
}

describe('PublishedState in a later epoch of the store', () => {
  const cases: [name: string, before: readonly PublishedChange[], after: readonly PublishedChange[], expected: string][] = [
    ['keeps its whole state', [], [], '20, 2, a, b'],
    ['applies a newer configuration at a lower revision', [], [configuration(21, 3)], '21, 2, a, b'],
    ['ignores an older configuration', [], [configuration(18, 40)], '20, 2, a, b'],
    ['applies a newer version at a lower revision', [], [wanted(3, 3)], '20, 3, a, b'],
    ['ignores an older version', [], [wanted(1, 40)], '20, 2, a, b'],
    ['applies a drain at a lower revision', [], [listed('a', 3, { draining: true, writings: 2 })], '20, 2, a drains, b'],
    ['adds an endpoint at a lower revision', [], [listed('c', 3)], '20, 2, a, b, c'],
    ['keeps a drain that the copy lacks', [listed('a', 31, { draining: true, writings: 2 })], [listed('a', 3)], '20, 2, a drains, b'],
    ['keeps a drain that the copy lacks and that is written again', [listed('a', 31, { draining: true, writings: 2 })], [listed('a', 3), listed('a', 23, { draining: true, writings: 3 })], '20, 2, a drains, b'],
    ['keeps a removal that the copy lacks', [gone('a', 31)], [listed('a', 3)], '20, 2, b'],
    ['restores a removed endpoint that has written its entry since', [gone('a', 31)], [listed('a', 23, { writings: 2 })], '20, 2, a, b'],
    ['restores a removed endpoint that has restarted', [gone('a', 31)], [listed('a', 23, { born: 7 })], '20, 2, a, b'],
    ['restores a removed endpoint without a count of writings', [gone('a', 31)], [listed('a', 23, { writings: undefined })], '20, 2, a, b'],
    ['keeps the newer endpoint at an address if the copy lacks it', [listed('c', 31, { address: 'a:80' })], [listed('a', 3, { writings: 9 })], '20, 2, b, c']
  ]
  for (const [name, before, after, expected] of cases) {
    it(name, () => {
      const state = newFollower(before)
      state.enterEpoch(2, 1_000)
      for (const change of after) state.take(change, 1_000)
      assert.equal(summary(state), expected)
    })
  }

  it('compares revisions again once the store has supplied a newer entry', () => {
    const state = newFollower([])
    applyRestoredEndpoints(state, [listed('a', 5, { writings: 2 }), listed('b', 6)])
    state.take(listed('a', 24, { draining: true, writings: 3 }), 1_000)
    state.take(listed('a', 23, { writings: 9 }), 1_000)
    assert.equal(summary(state), '20, 2, a drains, b')
  })

  it('reports no change for items that are written again unchanged', () => {
    const state = newFollower([])
    state.enterEpoch(2, 1_000)
    const rewritten = [configuration(20, 3), wanted(2, 4), listed('a', 5, { writings: 2 })]
    assert.deepEqual(rewritten.flatMap(change => state.take(change, 1_000)), [])
  })

  it('resets the followed revisions and keeps the known topics', () => {
    const state = newFollower([])
    state.enterEpoch(2, 1_000)
    assert.deepEqual([state.note, state.held, state.complete, state.hasFollowed('versions')], [
      { epoch: 2, configuration: 0, versions: 0, endpoints: 0, evacuations: 0 }, { epoch: 2, configuration: 0, versions: 0, endpoints: 0, evacuations: 0 }, true, true
    ])
  })

  const missing: [name: string, after: readonly PublishedChange[], at: number, expected: string][] = [
    ['is kept while it may still write its entry again', [], 2_499, '20, 2, a, b'],
    ['is removed if it did not write its entry again', [], 2_500, '20, 2, b'],
    ['is kept if it wrote its entry again', [listed('a', 23, { writings: 2 })], 2_500, '20, 2, a, b']
  ]
  for (const [name, after, at, expected] of missing) {
    it(`an endpoint that the copy lacks ${name}`, () => {
      const state = newFollower([])
      applyRestoredEndpoints(state, [listed('b', 6)])
      for (const change of after) state.take(change, 1_500)
      state.expire(at)
      assert.equal(summary(state), expected)
    })
  }

  it('immediately removes an endpoint whose removal follows the snapshot of the copy', () => {
    const state = newFollower([])
    applyRestoredEndpoints(state, [listed('a', 5), listed('b', 6)])
    state.take(gone('a', 23), 1_100)
    assert.equal(summary(state), '20, 2, b')
  })

  const orders: [name: string, epochs: readonly number[], expected: boolean[]][] = [
    ['each later epoch', [1, 2, 3], [true, true, true]],
    ['the same epoch only once', [2, 2], [true, false]],
    ['no earlier epoch', [3, 2], [true, false]]
  ]
  for (const [name, epochs, expected] of orders) {
    it(`enters ${name}`, () => {
      const state = new PublishedState()
      assert.deepEqual(epochs.map(epoch => state.enterEpoch(epoch, 0)), expected)
    })
  }
})

describe('PublishedState and peers of other epochs', () => {
  function empty (epoch: number): PublishedState {
    const state = new PublishedState()
    state.enterEpoch(epoch, 0)
    return state
  }

  function synchronise (sender: PublishedState, receiver: PublishedState): PublishedDelta {
    const delta = sender.deltaSince(receiver.note, 1_000)
    receiver.takeDelta(delta, 1_000)
    return delta
  }

  it('adopt the later epoch with its whole state', () => {
    const [sender, receiver] = [newFollower([]), newFollower([])]
    applyRestoredEndpoints(sender, [listed('a', 5, { draining: true, writings: 2 }), listed('b', 6)])
    sender.takeSnapshot('configuration', [configuration(24, 21)], 22, 1_000)
    synchronise(sender, receiver)
    assert.deepEqual([summary(receiver), receiver.note], ['24, 2, a drains, b', { epoch: 2, configuration: 22, versions: 0, endpoints: 22, evacuations: 0 }])
  })

  it('receive no changes from a sender in an earlier epoch', () => {
    const [sender, receiver] = [newFollower([listed('c', 31)]), newFollower([])]
    applyRestoredEndpoints(receiver, [listed('a', 5), listed('b', 6)])
    assert.deepEqual(synchronise(sender, receiver).changes, [])
    assert.equal(summary(receiver), '20, 2, a, b')
  })

  it('ignore a delta in flight from an earlier epoch', () => {
    const [sender, receiver] = [newFollower([listed('c', 31), configuration(19, 40)]), newFollower([])]
    const delta = sender.deltaSince(receiver.note, 0)
    applyRestoredEndpoints(receiver, [listed('a', 5), listed('b', 6)])
    assert.deepEqual([receiver.takeDelta(delta, 1_000), summary(receiver)], [[], '20, 2, a, b'])
  })

  it('receive the state that a sender carried over and that the copy lacks, even if they have no state yet', () => {
    const [sender, receiver] = [newFollower([listed('a', 31, { draining: true, writings: 2 })]), empty(2)]
    applyRestoredEndpoints(sender, [listed('a', 5), listed('b', 6)])
    sender.takeSnapshot('configuration', [configuration(18, 21)], 22, 1_000)
    sender.takeSnapshot('versions', [], 22, 1_000)
    synchronise(sender, receiver)
    assert.equal(summary(receiver), '20, 2, a drains, b')
  })

  it('hold the same state after a delta, whatever the copy lacked', () => {
    const [sender, receiver] = [newFollower([]), newFollower([])]
    applyRestoredEndpoints(sender, [listed('a', 5), listed('b', 6)])
    sender.takeSnapshot('configuration', [configuration(18, 21)], 22, 1_000)
    sender.takeSnapshot('versions', [wanted(1, 20)], 22, 1_000)
    synchronise(sender, receiver)
    assert.deepEqual([receiver.held, summary(receiver)], [sender.held, '20, 2, a, b'])
  })
})
