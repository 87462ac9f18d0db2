/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { EndpointRecord } from '../../../../lib/routing/published/endpoint-record.js'
import type { PublishedChange } from '../../../../lib/routing/published/published-change.js'
import { PublishedState } from '../../../../lib/routing/published/published-state.js'
import type { RoutingConfiguration } from '../../../../lib/routing/published/routing-configuration.js'

const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 }

function configuration (version: number, revision: number): PublishedChange {
  const value: RoutingConfiguration = { version, routes: [], services: [], organisations: [], limits }
  return { type: 'configuration', revision, configuration: value }
}

function record (id: string, draining = false, address = `${id}.example:80`): EndpointRecord {
  return { id, service: 'desk', address, availabilityZone: 'koshi', slots: 4, draining, models: [] }
}

function listed (id: string, revision: number, draining = false): PublishedChange {
  return { type: 'endpoint', revision, record: record(id, draining) }
}

function listedAt (address: string, id: string, revision: number): PublishedChange {
  return { type: 'endpoint', revision, record: record(id, false, address) }
}

function gone (id: string, revision: number): PublishedChange { return { type: 'endpoint-gone', revision, id } }
function wanted (version: number, revision: number): PublishedChange { return { type: 'wanted-version', revision, wanted: { model: 'm', version } } }
function ids (state: PublishedState): string[] { return state.endpoints().map(({ id }) => id).sort() }

describe('PublishedState', () => {
  const orders: [name: string, changes: PublishedChange[], expected: string[]][] = [
    ['an endpoint', [listed('a', 1)], ['a']],
    ['its removal', [listed('a', 1), gone('a', 2)], []],
    ['a removal received before the entry that it removes', [gone('a', 2), listed('a', 1)], []],
    ['a new entry after a removal', [listed('a', 1), gone('a', 2), listed('a', 3)], ['a']],
    ['an older removal after a new entry', [listed('a', 3), gone('a', 2)], ['a']]
  ]
  for (const [name, changes, expected] of orders) {
    it(`applies ${name} by revision, not by order of receipt`, () => {
      const state = new PublishedState()
      for (const change of changes) state.take(change, 0)
      assert.deepEqual(ids(state), expected)
    })
  }

  function bornAt (born: number | undefined, revision: number): PublishedChange { return { type: 'endpoint', revision, record: { ...record('a'), born } } }

  const starts: [name: string, changes: PublishedChange[], expected: (number | undefined)[]][] = [
    ['a newer start in place of an older one', [bornAt(100, 1), bornAt(200, 2)], [200]],
    ['no older start in place of a newer one', [bornAt(200, 1), bornAt(100, 2)], [200]],
    ['no older start after the newer one was removed', [bornAt(200, 1), gone('a', 2), bornAt(100, 3)], []],
    ['a newer start after the older one was removed', [bornAt(100, 1), gone('a', 2), bornAt(200, 3)], [200]],
    ['the same start again after its removal', [bornAt(100, 1), gone('a', 2), bornAt(100, 3)], [100]],
    ['no older revision, even of a newer start', [bornAt(100, 2), bornAt(200, 1)], [100]],
    ['an entry without a start time', [bornAt(100, 1), bornAt(undefined, 2)], [undefined]]
  ]
  for (const [name, changes, expected] of starts) {
    it(`applies ${name}`, () => {
      const state = new PublishedState()
      for (const change of changes) state.take(change, 0)
      assert.deepEqual(state.endpoints().map(({ born }) => born), expected)
    })
  }

  it('applies a certain removal immediately even during an outage of the store, and forwards it to peers', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    state.take(listed('b', 2), 0)
    const peer = new PublishedState()
    peer.takeDelta(state.deltaSince(peer.note, 0), 0)
    for (const one of [state, peer]) one.storeLost(0)
    state.take({ type: 'endpoint-gone', revision: 3, id: 'a', certain: true }, 10)
    state.take(gone('b', 4), 10)
    peer.takeDelta(state.deltaSince({ ...peer.note, endpoints: 2 }, 10), 10)
    assert.deepEqual([ids(state), ids(peer)], [['b'], ['b']])
  })

  it('keeps the owner of an address if an entry of an unconfigured service claims it', () => {
    const state = new PublishedState()
    const value: RoutingConfiguration = { version: 1, routes: [], services: [{ name: 'desk', maxConnections: 1 }], organisations: [], limits }
    state.take({ type: 'configuration', revision: 1, configuration: value }, 0)
    state.take(listedAt('10.0.0.1:80', 'a', 2), 0)
    state.take({ type: 'endpoint', revision: 3, record: { ...record('stranger', false, '10.0.0.1:80'), service: 'none' } }, 0)
    assert.ok(ids(state).includes('a'))
    state.take(listedAt('10.0.0.1:80', 'b', 4), 0)
    assert.ok(!ids(state).includes('a'))
  })

  it('neither restores nor removes an endpoint by a snapshot that is older than its own state', () => {
    const state = new PublishedState()
    state.takeSnapshot('endpoints', [listed('a', 1), listed('b', 2)], 2, 0)
    state.takeSnapshot('endpoints', [listed('b', 2), listed('c', 4)], 5, 0)
    state.takeSnapshot('endpoints', [listed('a', 1), listed('b', 2)], 3, 0)
    assert.deepEqual([ids(state), state.note.endpoints], [['b', 'c'], 5])
  })

  it('adds no unknown endpoint from a snapshot that is older than the followed revision', () => {
    const state = new PublishedState()
    state.takeSnapshot('endpoints', [listed('b', 2)], 5, 0)
    state.takeSnapshot('endpoints', [listed('a', 1), listed('b', 2)], 3, 0)
    assert.deepEqual(ids(state), ['b'])
  })

  it('never reverts to an older configuration', () => {
    const state = new PublishedState()
    assert.deepEqual(state.take(configuration(7, 20), 0), [configuration(7, 20)])
    assert.deepEqual(state.take(configuration(4, 10), 0), [])
    assert.equal(state.configuration?.version, 7)
  })

  it('keeps an endpoint draining if an older entry is received late', () => {
    const state = new PublishedState()
    state.take(listed('a', 5, true), 0)
    state.take(listed('a', 4, false), 0)
    assert.equal(state.endpoints()[0]?.draining, true)
  })

  it('removes endpoints that a snapshot lacks, except those newer than the snapshot', () => {
    const state = new PublishedState()
    state.take(listed('old', 1), 0)
    state.take(listed('new', 9), 0)
    state.takeSnapshot('endpoints', [listed('a', 2)], 5, 0)
    assert.deepEqual(ids(state), ['a', 'new'])
  })

  it('keeps endpoints whose entries expired during an outage until the grace period after it ends', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    state.take(listed('b', 2), 0)
    state.storeLost(5_000)
    state.storeRegained(10_000, 4)
    state.take(gone('a', 3), 10_100)
    state.take(gone('b', 4), 10_100)
    assert.deepEqual(ids(state), ['a', 'b'])
    state.take(listed('b', 5), 11_000)
    assert.deepEqual(state.expire(12_499), [])
    assert.deepEqual(state.expire(12_500).map(change => change.type === 'endpoint-gone' && change.id), ['a'])
    assert.deepEqual(ids(state), ['b'])
  })

  it('immediately removes an endpoint that is removed after the store has recovered', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    state.storeLost(5_000)
    state.storeRegained(10_000, 4)
    assert.deepEqual(state.take(gone('a', 5), 10_100), [gone('a', 5)])
    assert.deepEqual(ids(state), [])
  })

  it('immediately removes an endpoint if the store was available throughout', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    assert.deepEqual(state.take(gone('a', 2), 5), [gone('a', 2)])
  })

  it('sends a peer the changes that it lacks, including removals', () => {
    const [sender, receiver] = [new PublishedState(), new PublishedState()]
    for (const state of [sender, receiver]) {
      state.takeSnapshot('endpoints', [listed('a', 1), listed('b', 2)], 2, 0)
      state.takeSnapshot('configuration', [configuration(1, 1)], 2, 0)
      state.takeSnapshot('versions', [], 2, 0)
    }
    for (const change of [gone('a', 3), listed('c', 4), configuration(2, 5), wanted(2, 6)]) sender.take(change, 0)
    sender.followed('endpoints', 6)
    sender.followed('configuration', 6)
    sender.followed('versions', 6)
    const applied = receiver.takeDelta(sender.deltaSince(receiver.note, 0), 100)
    assert.equal(applied.length, 4)
    assert.deepEqual(ids(receiver), ['b', 'c'])
    assert.equal(receiver.configuration?.version, 2)
    assert.equal(receiver.wanted('m')?.version, 2)
    assert.deepEqual(receiver.takeDelta(sender.deltaSince(receiver.note, 0), 100), [])
  })

  it('informs a peer that an endpoint was removed before the first snapshot of the sender', () => {
    const [sender, receiver] = [new PublishedState(), new PublishedState()]
    receiver.takeSnapshot('endpoints', [listed('a', 1), listed('b', 2)], 7, 0)
    sender.takeSnapshot('endpoints', [listed('b', 2)], 8, 0)
    assert.ok(sender.held.endpoints > receiver.held.endpoints)
    receiver.takeDelta(sender.deltaSince(receiver.note, 0), 0)
    assert.deepEqual([ids(receiver), receiver.held], [['b'], sender.held])
  })

  it('holds the same revisions as a peer that has followed the store equally far', () => {
    const [sender, receiver] = [new PublishedState(), new PublishedState()]
    receiver.takeSnapshot('endpoints', [listed('a', 1)], 6, 0)
    sender.takeSnapshot('endpoints', [listed('a', 1)], 8, 0)
    for (const state of [sender, receiver]) state.followed('endpoints', 9)
    receiver.takeDelta(sender.deltaSince(receiver.note, 0), 0)
    assert.deepEqual(receiver.held, sender.held)
  })

  it('sends a complete snapshot to a peer that has no state', () => {
    const [sender, receiver] = [new PublishedState(), new PublishedState()]
    sender.takeSnapshot('endpoints', [listed('a', 1)], 3, 0)
    sender.takeSnapshot('configuration', [configuration(1, 2)], 3, 0)
    receiver.takeDelta(sender.deltaSince(receiver.note, 0), 0)
    assert.equal(receiver.complete, false, 'the evacuated zones are not known')
    sender.takeSnapshot('evacuations', [], 3, 0)
    receiver.takeDelta(sender.deltaSince(receiver.note, 0), 0)
    assert.equal(receiver.complete, true)
  })
})

// Guards against a restriction that is lost because a relay of the previous release passed the configuration on without it.
describe('PublishedState: a configuration in a later format', () => {
  const cases: [name: string, held: number | undefined, revision: number, format: number | undefined, expected: number | undefined][] = [
    ['replaces the same one in an earlier format', undefined, 5, 1, 1],
    ['is not replaced by the same one in an earlier format', 1, 5, undefined, 1],
    ['does not replace a later revision', undefined, 4, 1, undefined]
  ]
  for (const [name, held, revision, format, expected] of cases) {
    it(name, () => {
      const state = new PublishedState()
      const value: RoutingConfiguration = { version: 3, routes: [], services: [], organisations: [], limits }
      state.take({ type: 'configuration', revision: 5, configuration: { ...value, format: held } }, 0)
      state.take({ type: 'configuration', revision, configuration: { ...value, format } }, 0)
      assert.equal(state.configuration?.format, expected)
    })
  }
})

describe('PublishedState: an address that is reused', () => {
  const [first, again, elsewhere] = [listedAt('h:80', 'first', 1), listedAt('h:80', 'again', 5), listedAt('i:80', 'other', 6)]
  const cases: [name: string, changes: PublishedChange[], expected: string[]][] = [
    ['the newer endpoint replaces the older one', [first, again], ['again']],
    ['the newer endpoint remains if the older entry is received last', [again, first], ['again']],
    ['endpoints at other addresses are kept', [first, elsewhere, again], ['again', 'other']],
    ['the older endpoint is not restored by an outdated entry', [first, again, listedAt('h:80', 'first', 3)], ['again']],
    ['the older endpoint is not restored by an outdated entry once both were removed', [first, again, gone('first', 6), gone('again', 7), listedAt('h:80', 'first', 3)], []],
    ['the older endpoint is restored after the removal of the newer one if its own entry stays', [first, again, gone('again', 7), listedAt('h:80', 'first', 3)], ['first']],
    ['a third endpoint replaces both', [first, again, listedAt('h:80', 'third', 8)], ['third']]
  ]
  for (const [name, changes, expected] of cases) {
    it(name, () => {
      const state = new PublishedState()
      for (const change of changes) state.take(change, 0)
      assert.deepEqual(ids(state), expected)
    })
  }

  it('reports the removal as an effective change and sends it to peers', () => {
    const [state, peer] = [new PublishedState(), new PublishedState()]
    state.takeSnapshot('endpoints', [first], 2, 0)
    peer.takeDelta(state.deltaSince(peer.note, 0), 0)
    assert.deepEqual(state.take(again, 0), [again, { ...gone('first', 5), successor: 'again' }])
    state.followed('endpoints', 5)
    peer.takeDelta(state.deltaSince(peer.note, 0), 0)
    assert.deepEqual(ids(peer), ['again'])
  })

  it('replaces the older endpoint during an outage of the store too, when expired entries are kept', () => {
    const state = new PublishedState()
    state.take(first, 0)
    state.storeLost(5_000)
    state.take(again, 10)
    assert.deepEqual(ids(state), ['again'])
  })
})

describe('PublishedState.dueVersion', () => {
  const bound = 8_000
  const cases: [name: string, named: [version: number, at: number][], now: number, due: number, firstNewer: number | undefined][] = [
    ['no version published', [], 100_000, 0, undefined],
    ['one version before its deadline', [[2, 1_000]], 8_999, 0, 1_000],
    ['one version at its deadline', [[2, 1_000]], 9_000, 2, 1_000],
    ['a second version published before the deadline of the first', [[2, 1_000], [3, 3_000]], 9_500, 2, 1_000],
    ['two versions past their deadlines', [[2, 1_000], [3, 3_000]], 11_000, 3, 1_000]
  ]
  for (const [name, named, now, due, firstNewer] of cases) {
    it(`applies a separate deadline to each version: ${name}`, () => {
      const state = new PublishedState()
      state.followed('versions', 1)
      named.forEach(([version, at], index) => state.take(wanted(version, index + 2), at))
      assert.equal(state.dueVersion('m', bound, now), due)
      assert.equal(state.firstNewerAt('m', 1), firstNewer)
    })
  }

  it('treats a version that was published before it began to follow the store as due', () => {
    const state = new PublishedState()
    state.takeSnapshot('versions', [wanted(4, 9)], 9, 500)
    assert.equal(state.dueVersion('m', bound, 501), 4)
  })
})

describe('PublishedState.takeDelta', () => {
  const noRevisions = { epoch: 0, configuration: 0, versions: 0, endpoints: 0, evacuations: 0 }

  /** A sender that received version 2 from the store at 1,000 ms, at most 300 ms after its publication. */
  function newSender (): PublishedState {
    const state = new PublishedState()
    state.followed('versions', 1)
    state.take(wanted(2, 2), 1_000, 700)
    state.followed('versions', 3)
    return state
  }

  const cases: [name: string, sentAt: number, requestedAt: number, receivedAt: number, encodedFor: number, expected: number][] = [
    ['a version that the peer has had for 100 ms', 1_100, 1_100, 1_100, 0, 700],
    ['a version that the peer has had for longer than a second', 2_400, 2_400, 2_400, 0, 700],
    ['a version that the peer has had for six seconds', 7_000, 7_000, 7_000, 0, 700],
    ['a version whose delta took 400 ms to arrive', 2_400, 2_390, 2_800, 0, 690],
    ['a version whose delta the peer had encoded 250 ms before', 2_400, 2_650, 2_650, 250, 700]
  ]
  for (const [name, sentAt, requestedAt, receivedAt, encodedFor, expected] of cases) {
    it(`counts the deadline from the earliest publication of ${name}`, () => {
      const receiver = new PublishedState()
      receiver.followed('versions', 1)
      receiver.takeDelta(newSender().deltaSince({ ...noRevisions, versions: 1 }, sentAt), receivedAt, { requestedAt, encodedFor })
      assert.equal(receiver.firstNewerAt('m', 1), expected)
    })
  }

  it('keeps the deadline of each version that was published since the last delta', () => {
    const receiver = new PublishedState()
    receiver.followed('versions', 1)
    const sender = newSender()
    sender.take(wanted(3, 4), 2_500, 2_400)
    receiver.takeDelta(sender.deltaSince({ ...noRevisions, versions: 1 }, 2_600), 2_600)
    assert.deepEqual([receiver.firstNewerAt('m', 1), receiver.firstNewerAt('m', 2)], [700, 2_400])
  })

  it('corrects the publication of a version that is known already', () => {
    const receiver = new PublishedState()
    receiver.takeSnapshot('versions', [wanted(2, 2)], 3, 4_000)
    const before = receiver.firstNewerAt('m', 1)
    const changes = receiver.takeDelta(newSender().deltaSince(noRevisions, 4_100), 4_100)
    assert.deepEqual([before, receiver.firstNewerAt('m', 1), changes.length], [undefined, 700, 1])
  })

  it('ignores ages that are no numbers', () => {
    const receiver = new PublishedState()
    const delta = newSender().deltaSince(noRevisions, 4_100)
    receiver.takeDelta({ ...delta, changes: delta.changes.map(change => ({ ...change, age: NaN, maxAge: -5 })) }, 4_100, { requestedAt: 4_100, encodedFor: NaN })
    assert.deepEqual([receiver.wanted('m')?.version, receiver.firstNewerAt('m', 1)], [2, undefined])
  })
})
