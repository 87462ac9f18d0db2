/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against running endpoints that are lost for good because the entry of an earlier start at their address is written after theirs.
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { PublishedChange } from '../../../../lib/routing/published/published-change.js'
import { PublishedState } from '../../../../lib/routing/published/published-state.js'

const ADDRESS = '10.0.0.1:80'

function listed (id: string, revision: number, born?: number): PublishedChange {
  return { type: 'endpoint', revision, record: { id, born, service: 'desk', address: ADDRESS, availabilityZone: 'koshi', slots: 4, draining: false, models: [] } }
}

function gone (id: string, revision: number): PublishedChange { return { type: 'endpoint-gone', revision, id } }

/** What a process receives: single changes, or all items of the store at a revision. */
type Receipt = PublishedChange | { readonly type: 'snapshot', readonly items: readonly PublishedChange[], readonly upTo: number }

function snapshot (items: readonly PublishedChange[], upTo: number): Receipt { return { type: 'snapshot', items, upTo } }

function receive (state: PublishedState, receipts: readonly Receipt[]): void {
  for (const receipt of receipts) {
    if (receipt.type === 'snapshot') state.takeSnapshot('endpoints', receipt.items, receipt.upTo, 0)
    else {
      state.take(receipt, 0)
      state.followed('endpoints', receipt.revision)
    }
  }
}

function stateAfter (receipts: readonly Receipt[]): PublishedState {
  const state = new PublishedState()
  receive(state, receipts)
  return state
}

function ids (state: PublishedState): string[] { return state.endpoints().map(({ id }) => id) }

const [earlier, running] = [listed('earlier', 1), listed('running', 5)]

describe('PublishedState: the entry of an earlier start is written after that of its successor', () => {
  const cases: [name: string, receipts: readonly Receipt[], expected: readonly string[]][] = [
    ['the successor stays', [earlier, running, listed('earlier', 7)], ['running']],
    ['the successor stays if the earlier entry had expired before', [earlier, gone('earlier', 3), running, listed('earlier', 7)], ['running']],
    ['the successor stays once the earlier entry expires again', [earlier, running, listed('earlier', 7), gone('earlier', 9)], ['running']],
    ['the successor returns after its own entry has expired', [earlier, running, gone('running', 6), listed('earlier', 7), listed('running', 8)], ['running']],
    ['the earlier start is listed while it alone has an entry', [earlier, running, gone('running', 6), listed('earlier', 7)], ['earlier']],
    ['the successor stays when everything is read again', [earlier, running, listed('earlier', 7), snapshot([running, listed('earlier', 7)], 8)], ['running']],
    ['a later start under the earlier id takes the address', [listed('earlier', 1, 100), listed('running', 5, 200), listed('earlier', 7, 300)], ['earlier']],
    ['an earlier start under the earlier id does not', [listed('earlier', 1, 100), listed('running', 5, 200), listed('earlier', 7, 100)], ['running']],
    ['a process that reads both keeps the one that remains listed', [snapshot([running, listed('earlier', 7)], 8), gone('earlier', 9)], ['running']],
    ['a process that reads both keeps it in any order', [snapshot([listed('earlier', 7), running], 8), gone('earlier', 9)], ['running']],
    ['a process that reads both lists one of them', [snapshot([listed('earlier', 7), running], 8)], ['earlier']],
    ['a process that reads both forgets the other with its entry', [snapshot([running, listed('earlier', 7)], 8), gone('running', 9), gone('earlier', 10)], []],
    ['a third start takes the address from both', [snapshot([running, listed('earlier', 7)], 8), listed('third', 9)], ['third']],
    ['neither returns if the entries of both expire while a third start is listed', [snapshot([running, listed('earlier', 7)], 8), listed('third', 9), gone('running', 10), gone('earlier', 11), gone('third', 12)], []]
  ]
  for (const [name, receipts, expected] of cases) {
    it(name, () => assert.deepEqual(ids(stateAfter(receipts)), expected))
  }

  it('is reported as no change', () => {
    assert.deepEqual(stateAfter([earlier, running]).take(listed('earlier', 7), 0), [])
  })

  it('reports that the endpoint which remains listed is back', () => {
    const state = stateAfter([snapshot([running, listed('earlier', 7)], 8)])
    assert.deepEqual(state.take(gone('earlier', 9), 0), [gone('earlier', 9), running])
  })

  const histories: [name: string, relay: readonly Receipt[], follower: readonly Receipt[], expected: readonly string[]][] = [
    ['that has seen both starts', [earlier, running, listed('earlier', 7), gone('earlier', 9)], [], ['running']],
    ['that began with both', [snapshot([running, listed('earlier', 7)], 8)], [earlier, running], ['running']],
    ['that began with both, until the earlier one expires', [snapshot([running, listed('earlier', 7)], 8), gone('earlier', 9)], [], ['running']]
  ]
  for (const [name, received, known, expected] of histories) {
    it(`a follower lists the successor that it learns of from a relay ${name}`, () => {
      const relay = stateAfter(received)
      relay.followed('endpoints', 9)
      const follower = stateAfter(known)
      follower.takeDelta(relay.deltaSince(follower.note, 0), 0)
      assert.deepEqual(ids(follower), expected)
    })
  }
})
