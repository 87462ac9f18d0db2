/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RelayNote } from '../../../../lib/messages.js'
import type { PublishedNote } from '../../../../lib/routing/published/published-change.js'
import { RelayBook } from '../../../../lib/routing/published/relay-book.js'

const place = { availabilityZone: 'koshi-a', regionOf: (zone: string) => zone.split('-')[0] ?? zone }
const nobody = new Set<string>()

function held (configuration: number, epoch = 1): PublishedNote { return { epoch, configuration, versions: 1, endpoints: 1 } }

function note (availabilityZone: string, configuration: number, fresh = true, epoch = 1): RelayNote {
  return { availabilityZone, followed: held(100 + configuration, epoch), held: held(configuration, epoch), fresh }
}

const earlier = note('koshi-a', 9, true, 0)
const later = note('koshi-a', 1, true, 2)

describe('RelayBook', () => {
  const sources: [name: string, relays: readonly [string, RelayNote][], passedOver: readonly string[], after: number, expected: string | undefined][] = [
    ['the own zone before the region', [['b', note('koshi-b', 2)], ['a', note('koshi-a', 2)]], [], 0, 'a'],
    ['the region before others', [['c', note('bagmati-c', 2)], ['b', note('koshi-b', 2)]], [], 0, 'b'],
    ['another region when nobody is nearer', [['c', note('bagmati-c', 2)]], [], 0, 'c'],
    ['nobody while a nearer one may soon hold it', [['c', note('bagmati-c', 2)], ['a', note('koshi-a', 1)]], [], 0, undefined],
    ['another region when the nearer one is late', [['c', note('bagmati-c', 2)], ['a', note('koshi-a', 1)]], [], 500, 'c'],
    ['another region when the nearer one failed', [['c', note('bagmati-c', 2)], ['a', note('koshi-a', 1)]], ['a'], 0, 'c'],
    ['nobody when nobody holds more', [['a', note('koshi-a', 1)]], [], 0, undefined],
    ['one of a later epoch, however little it holds', [['a', later]], [], 0, 'a'],
    ['none of an earlier epoch, however much it holds', [['a', earlier]], [], 0, undefined]
  ]
  for (const [name, relays, passedOver, after, expected] of sources) {
    it(`takes news from ${name}`, () => {
      const book = new RelayBook(place)
      for (const [address, told] of relays) book.heard(address, told, 0)
      book.ahead(held(1), ['configuration'], new Set(passedOver), 0)
      assert.equal(book.ahead(held(1), ['configuration'], new Set(passedOver), after), expected)
    })
  }

  const confirmations: [name: string, change: (book: RelayBook) => void, at: number, expected: boolean][] = [
    ['one that follows the store', book => book.heard('a', note('koshi-a', 1), 0), 100, true],
    ['one of a later epoch', book => book.heard('a', later, 0), 100, true],
    ['none of an earlier epoch', book => book.heard('a', earlier, 0), 100, false],
    ['none that does not hear the store', book => book.heard('a', note('koshi-a', 1, false), 0), 100, false],
    ['none that was not heard for long', book => book.heard('a', note('koshi-a', 1), 0), 1_501, false],
    ['none whose connection ended', book => {
      book.heard('a', note('koshi-a', 1), 0)
      book.lost('a')
    }, 100, false]
  ]
  for (const [name, change, at, expected] of confirmations) {
    it(`relies on ${name}`, () => {
      const book = new RelayBook(place)
      change(book)
      assert.deepEqual([book.confirmed(1, at), book.nearest(1, nobody, at) !== undefined], [expected, expected])
    })
  }

  it('counts as followed what a relay that holds the same has followed, and nothing by one that holds more', () => {
    const book = new RelayBook(place)
    book.heard('a', note('koshi-a', 5), 0)
    assert.deepEqual([book.followedBy(held(5), 'configuration', 0), book.followedBy(held(4), 'configuration', 0)], [105, 0])
  })

  it('counts nothing as followed by one of another epoch', () => {
    const book = new RelayBook(place)
    for (const [address, told] of [['a', earlier], ['b', later]] as const) book.heard(address, told, 0)
    assert.deepEqual([book.followedBy(held(9), 'configuration', 0), book.followedBy(held(1), 'configuration', 0)], [0, 0])
  })
})
