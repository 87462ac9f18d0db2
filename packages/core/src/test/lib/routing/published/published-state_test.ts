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
    ['a removal that comes before what it removes', [gone('a', 2), listed('a', 1)], []],
    ['a return after a removal', [listed('a', 1), gone('a', 2), listed('a', 3)], ['a']],
    ['an older removal after a return', [listed('a', 3), gone('a', 2)], ['a']]
  ]
  for (const [name, changes, expected] of orders) {
    it(`takes ${name} by revision, not by order`, () => {
      const state = new PublishedState()
      for (const change of changes) state.take(change, 0)
      assert.deepEqual(ids(state), expected)
    })
  }

  function bornAt (born: number | undefined, revision: number): PublishedChange { return { type: 'endpoint', revision, record: { ...record('a'), born } } }

  const starts: [name: string, changes: PublishedChange[], expected: (number | undefined)[]][] = [
    ['a newer start in place of an older one', [bornAt(100, 1), bornAt(200, 2)], [200]],
    ['no older start in place of a newer one', [bornAt(200, 1), bornAt(100, 2)], [200]],
    ['no older start after the newer one has gone', [bornAt(200, 1), gone('a', 2), bornAt(100, 3)], []],
    ['a newer start after the older one has gone', [bornAt(100, 1), gone('a', 2), bornAt(200, 3)], [200]],
    ['the same start again', [bornAt(100, 1), gone('a', 2), bornAt(100, 3)], [100]],
    ['an older revision of a newer start not', [bornAt(100, 2), bornAt(200, 1)], [100]],
    ['an entry that tells no start', [bornAt(100, 1), bornAt(undefined, 2)], [undefined]]
  ]
  for (const [name, changes, expected] of starts) {
    it(`takes ${name}`, () => {
      const state = new PublishedState()
      for (const change of changes) state.take(change, 0)
      assert.deepEqual(state.endpoints().map(({ born }) => born), expected)
    })
  }

  it('lets go at once of an endpoint whose entry cannot be read, also while others may have lapsed, and tells peers so', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    state.take(listed('b', 2), 0)
    const peer = new PublishedState()
    peer.takeDelta(state.since(peer.note, 0), 0)
    for (const one of [state, peer]) one.storeLost()
    state.take({ type: 'endpoint-gone', revision: 3, id: 'a', certain: true }, 10)
    state.take(gone('b', 4), 10)
    peer.takeDelta(state.since({ ...peer.note, endpoints: 2 }, 10), 10)
    assert.deepEqual([ids(state), ids(peer)], [['b'], ['b']])
  })

  it('keeps an address for its endpoint when an entry of a service that nobody configured claims it', () => {
    const state = new PublishedState()
    const value: RoutingConfiguration = { version: 1, routes: [], services: [{ name: 'desk', maxConnections: 1 }], organisations: [], limits }
    state.take({ type: 'configuration', revision: 1, configuration: value }, 0)
    state.take(listedAt('10.0.0.1:80', 'a', 2), 0)
    state.take({ type: 'endpoint', revision: 3, record: { ...record('stranger', false, '10.0.0.1:80'), service: 'none' } }, 0)
    assert.ok(ids(state).includes('a'))
    state.take(listedAt('10.0.0.1:80', 'b', 4), 0)
    assert.ok(!ids(state).includes('a'))
  })

  it('takes no endpoint back, and none away, by a reading that is older than what it holds', () => {
    const state = new PublishedState()
    state.takeWhole('endpoints', [listed('a', 1), listed('b', 2)], 2, 0)
    state.takeWhole('endpoints', [listed('b', 2), listed('c', 4)], 5, 0)
    state.takeWhole('endpoints', [listed('a', 1), listed('b', 2)], 3, 0)
    assert.deepEqual([ids(state), state.note.endpoints], [['b', 'c'], 5])
  })

  it('takes no endpoint that it never knew from a reading that is older than what it has followed', () => {
    const state = new PublishedState()
    state.takeWhole('endpoints', [listed('b', 2)], 5, 0)
    state.takeWhole('endpoints', [listed('a', 1), listed('b', 2)], 3, 0)
    assert.deepEqual(ids(state), ['b'])
  })

  it('never goes back to an older configuration', () => {
    const state = new PublishedState()
    assert.deepEqual(state.take(configuration(7, 20), 0), [configuration(7, 20)])
    assert.deepEqual(state.take(configuration(4, 10), 0), [])
    assert.equal(state.configuration?.version, 7)
  })

  it('keeps a draining mark against a late older entry', () => {
    const state = new PublishedState()
    state.take(listed('a', 5, true), 0)
    state.take(listed('a', 4, false), 0)
    assert.equal(state.endpoints()[0]?.draining, true)
  })

  it('takes what a whole reading lacks as gone, but not what is newer than the reading', () => {
    const state = new PublishedState()
    state.take(listed('old', 1), 0)
    state.take(listed('new', 9), 0)
    state.takeWhole('endpoints', [listed('a', 2)], 5, 0)
    assert.deepEqual(ids(state), ['a', 'new'])
  })

  it('holds endpoints whose entries lapsed during an outage until the store has been back for a while', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    state.take(listed('b', 2), 0)
    state.storeLost()
    state.storeRegained(10_000, 4)
    state.take(gone('a', 3), 10_100)
    state.take(gone('b', 4), 10_100)
    assert.deepEqual(ids(state), ['a', 'b'])
    state.take(listed('b', 5), 11_000)
    assert.deepEqual(state.expire(12_499), [])
    assert.deepEqual(state.expire(12_500).map(change => change.type === 'endpoint-gone' && change.id), ['a'])
    assert.deepEqual(ids(state), ['b'])
  })

  it('removes at once what goes after the store has returned', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    state.storeLost()
    state.storeRegained(10_000, 4)
    assert.deepEqual(state.take(gone('a', 5), 10_100), [gone('a', 5)])
    assert.deepEqual(ids(state), [])
  })

  it('removes at once when the store was not away', () => {
    const state = new PublishedState()
    state.take(listed('a', 1), 0)
    assert.deepEqual(state.take(gone('a', 2), 5), [gone('a', 2)])
  })

  it('gives a peer what it lacks, removals included', () => {
    const [teller, asker] = [new PublishedState(), new PublishedState()]
    for (const state of [teller, asker]) {
      state.takeWhole('endpoints', [listed('a', 1), listed('b', 2)], 2, 0)
      state.takeWhole('configuration', [configuration(1, 1)], 2, 0)
      state.takeWhole('versions', [], 2, 0)
    }
    for (const change of [gone('a', 3), listed('c', 4), configuration(2, 5), wanted(2, 6)]) teller.take(change, 0)
    teller.followed('endpoints', 6)
    teller.followed('configuration', 6)
    teller.followed('versions', 6)
    const news = asker.takeDelta(teller.since(asker.note, 0), 100)
    assert.equal(news.length, 4)
    assert.deepEqual(ids(asker), ['b', 'c'])
    assert.equal(asker.configuration?.version, 2)
    assert.equal(asker.wanted('m')?.version, 2)
    assert.deepEqual(asker.takeDelta(teller.since(asker.note, 0), 100), [])
  })

  it('tells a peer of an endpoint that went before it began to follow itself', () => {
    const [teller, asker] = [new PublishedState(), new PublishedState()]
    asker.takeWhole('endpoints', [listed('a', 1), listed('b', 2)], 7, 0)
    teller.takeWhole('endpoints', [listed('b', 2)], 8, 0)
    assert.ok(teller.held.endpoints > asker.held.endpoints)
    asker.takeDelta(teller.since(asker.note, 0), 0)
    assert.deepEqual([ids(asker), asker.held], [['b'], teller.held])
  })

  it('leaves a peer that has followed as far with nothing to ask for', () => {
    const [teller, asker] = [new PublishedState(), new PublishedState()]
    asker.takeWhole('endpoints', [listed('a', 1)], 6, 0)
    teller.takeWhole('endpoints', [listed('a', 1)], 8, 0)
    for (const state of [teller, asker]) state.followed('endpoints', 9)
    asker.takeDelta(teller.since(asker.note, 0), 0)
    assert.deepEqual(asker.held, teller.held)
  })

  it('gives everything to a peer that has nothing', () => {
    const [teller, asker] = [new PublishedState(), new PublishedState()]
    teller.takeWhole('endpoints', [listed('a', 1)], 3, 0)
    teller.takeWhole('configuration', [configuration(1, 2)], 3, 0)
    asker.takeDelta(teller.since(asker.note, 0), 0)
    assert.equal(asker.complete, true)
  })
})

describe('PublishedState: an address that is used again', () => {
  const [first, again, elsewhere] = [listedAt('h:80', 'first', 1), listedAt('h:80', 'again', 5), listedAt('i:80', 'other', 6)]
  const cases: [name: string, changes: PublishedChange[], expected: string[]][] = [
    ['the newer start replaces the older', [first, again], ['again']],
    ['in either order', [again, first], ['again']],
    ['other addresses stay', [first, elsewhere, again], ['again', 'other']],
    ['the older does not return with an entry read late', [first, again, listedAt('h:80', 'first', 3)], ['again']],
    ['nor once the newer has gone', [first, again, gone('again', 7), listedAt('h:80', 'first', 3)], []],
    ['a start that is listed later still replaces both', [first, again, listedAt('h:80', 'third', 8)], ['third']]
  ]
  for (const [name, changes, expected] of cases) {
    it(name, () => {
      const state = new PublishedState()
      for (const change of changes) state.take(change, 0)
      assert.deepEqual(ids(state), expected)
    })
  }

  it('tells the removal as news, and to peers', () => {
    const [state, peer] = [new PublishedState(), new PublishedState()]
    state.takeWhole('endpoints', [first], 2, 0)
    peer.takeDelta(state.since(peer.note, 0), 0)
    assert.deepEqual(state.take(again, 0), [again, gone('first', 5)])
    state.followed('endpoints', 5)
    peer.takeDelta(state.since(peer.note, 0), 0)
    assert.deepEqual(ids(peer), ['again'])
  })

  it('holds during an outage of the store too, when lapsed entries are kept', () => {
    const state = new PublishedState()
    state.take(first, 0)
    state.storeLost()
    state.take(again, 10)
    assert.deepEqual(ids(state), ['again'])
  })
})

describe('PublishedState.dueVersion', () => {
  const bound = 8_000
  const cases: [name: string, named: [version: number, at: number][], now: number, due: number, firstNewer: number | undefined][] = [
    ['none named', [], 100_000, 0, undefined],
    ['one just named', [[2, 1_000]], 8_999, 0, 1_000],
    ['one whose bound has passed', [[2, 1_000]], 9_000, 2, 1_000],
    ['a second one named before the first is everywhere', [[2, 1_000], [3, 3_000]], 9_500, 2, 1_000],
    ['both bounds passed', [[2, 1_000], [3, 3_000]], 11_000, 3, 1_000]
  ]
  for (const [name, named, now, due, firstNewer] of cases) {
    it(`holds each version to its own bound: ${name}`, () => {
      const state = new PublishedState()
      state.followed('versions', 1)
      named.forEach(([version, at], index) => state.take(wanted(version, index + 2), at))
      assert.equal(state.dueVersion('m', bound, now), due)
      assert.equal(state.firstNewerAt('m', 1), firstNewer)
    })
  }

  it('takes a version that was named before it began to follow as due', () => {
    const state = new PublishedState()
    state.takeWhole('versions', [wanted(4, 9)], 9, 500)
    assert.equal(state.dueVersion('m', bound, 501), 4)
  })
})
