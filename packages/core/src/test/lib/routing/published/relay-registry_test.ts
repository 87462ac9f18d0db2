/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RelayNote } from '../../../../lib/messages.js'
import { publishedTopics, type PublishedRevisions } from '../../../../lib/routing/published/published-change.js'
import { RelayRegistry } from '../../../../lib/routing/published/relay-registry.js'

const place = { availabilityZone: 'koshi-a', regionOf: (zone: string) => zone.split('-')[0] ?? zone }
const noRelays = new Set<string>()

function held (configuration: number, epoch = 1): PublishedRevisions { return { epoch, configuration, versions: 1, endpoints: 1, evacuations: 1 } }

function note (availabilityZone: string, configuration: number, fresh = true, epoch = 1): RelayNote {
  return { availabilityZone, followed: held(100 + configuration, epoch), held: held(configuration, epoch), fresh }
}

const earlier = note('koshi-a', 9, true, 0)
const later = note('koshi-a', 1, true, 2)

describe('RelayRegistry', () => {
  const sources: [name: string, relays: readonly [string, RelayNote][], excluded: readonly string[], after: number, expected: string | undefined][] = [
    ['its availability zone rather than its region', [['b', note('koshi-b', 2)], ['a', note('koshi-a', 2)]], [], 0, 'a'],
    ['its region rather than another', [['c', note('bagmati-c', 2)], ['b', note('koshi-b', 2)]], [], 0, 'b'],
    ['another region if no relay is nearer', [['c', note('bagmati-c', 2)]], [], 0, 'c'],
    ['no relay while a nearer one may soon catch up', [['c', note('bagmati-c', 2)], ['a', note('koshi-a', 1)]], [], 0, undefined],
    ['another region if the nearer one does not catch up in time', [['c', note('bagmati-c', 2)], ['a', note('koshi-a', 1)]], [], 500, 'c'],
    ['another region if the nearer one failed', [['c', note('bagmati-c', 2)], ['a', note('koshi-a', 1)]], ['a'], 0, 'c'],
    ['no relay if none is ahead', [['a', note('koshi-a', 1)]], [], 0, undefined],
    ['a relay of a later epoch, even at a lower revision', [['a', later]], [], 0, 'a'],
    ['no relay of an earlier epoch, even at a higher revision', [['a', earlier]], [], 0, undefined]
  ]
  for (const [name, relays, excluded, after, expected] of sources) {
    it(`fetches changes from ${name}`, () => {
      const book = new RelayRegistry(place)
      for (const [address, relayNote] of relays) book.recordNote(address, relayNote, 0)
      book.relayAhead(held(1), ['configuration'], new Set(excluded), 0)
      assert.equal(book.relayAhead(held(1), ['configuration'], new Set(excluded), after), expected)
    })
  }

  const confirmations: [name: string, change: (book: RelayRegistry) => void, at: number, expected: boolean][] = [
    ['a relay that follows the store', book => book.recordNote('a', note('koshi-a', 1), 0), 100, true],
    ['a relay of a later epoch', book => book.recordNote('a', later, 0), 100, true],
    ['no relay of an earlier epoch', book => book.recordNote('a', earlier, 0), 100, false],
    ['no relay that has lost the store', book => book.recordNote('a', note('koshi-a', 1, false), 0), 100, false],
    ['no relay whose last note is too old', book => book.recordNote('a', note('koshi-a', 1), 0), 1_501, false],
    ['no relay whose connection ended', book => {
      book.recordNote('a', note('koshi-a', 1), 0)
      book.lost('a')
    }, 100, false]
  ]
  for (const [name, change, at, expected] of confirmations) {
    it(`relies on ${name}`, () => {
      const book = new RelayRegistry(place)
      change(book)
      assert.deepEqual([book.followsStore(1, at), book.nearestRelay(1, publishedTopics, noRelays, at) !== undefined], [expected, expected])
    })
  }

  // Guards against a rollout in which a process relies on a relay of the previous release, which reads no evacuations.
  it('relies on a relay of the previous release for other topics, but not to follow the store', () => {
    const book = new RelayRegistry(place)
    const { evacuations: _unknown, ...known } = held(1)
    book.recordNote('a', { ...note('koshi-a', 1), followed: known as PublishedRevisions, held: { ...known, configuration: 2 } as PublishedRevisions }, 0)
    assert.deepEqual([book.followsStore(1, 0), book.nearestRelay(1, ['versions'], noRelays, 0), book.nearestRelay(1, publishedTopics, noRelays, 0)], [false, 'a', undefined])
    assert.deepEqual([book.relayAhead(held(1), publishedTopics, noRelays, 0), book.followedRevision(held(1), 'evacuations', 0)], ['a', 0])
  })

  it('takes over the followed revision of a relay that holds the same revision, and not of one that is ahead', () => {
    const book = new RelayRegistry(place)
    book.recordNote('a', note('koshi-a', 5), 0)
    assert.deepEqual([book.followedRevision(held(5), 'configuration', 0), book.followedRevision(held(4), 'configuration', 0)], [105, 0])
  })

  it('does not take over the followed revision of a relay of another epoch', () => {
    const book = new RelayRegistry(place)
    for (const [address, relayNote] of [['a', earlier], ['b', later]] as const) book.recordNote(address, relayNote, 0)
    assert.deepEqual([book.followedRevision(held(9), 'configuration', 0), book.followedRevision(held(1), 'configuration', 0)], [0, 0])
  })

  const views: [name: string, notes: (number | undefined)[], expected: number][] = [
    ['the view that a relay reports, less the time that its note may take', [300], 8_100],
    ['the latest of several views', [300, 20], 8_380],
    ['no time if no relay reports its view', [undefined], -Infinity],
    ['no time if a relay reports something else', [NaN, -5, Infinity], -Infinity]
  ]
  for (const [name, ages, expected] of views) {
    it(`knows all versions until ${name}`, () => {
      const book = new RelayRegistry(place)
      ages.forEach((versionsAge, index) => book.recordNote(`relay-${index}`, { ...note('koshi-a', 1), versionsAge }, 10_000))
      book.recordNote('ahead', { ...note('koshi-a', 1), held: { ...held(1), versions: 2 }, versionsAge: 0 }, 10_000)
      assert.equal(book.completeAt(held(1), 'versions', 10_000), expected)
    })
  }
})
