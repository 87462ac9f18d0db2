/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SwarmPeers } from '../../../../lib/routing/weights/swarm-peers.js'

const self = { instance: 'a', availabilityZone: 'koshi' }
const members = ['a', 'b', 'c', 'd'].map(instance => ({ instance, availabilityZone: 'koshi' }))

function newPeers (): SwarmPeers {
  const peers = new SwarmPeers(self, () => 0)
  peers.add(members)
  return peers
}

describe('SwarmPeers', () => {
  it('does not contain the member itself', () => assert.equal(newPeers().get('a'), undefined))

  it('returns the peers that hold a chunk, and those that hold all', () => {
    const peers = newPeers()
    peers.holds('b', [0, 1])
    peers.holds('c', [0])
    assert.deepEqual([peers.hold(1), peers.hold(2), peers.holdersOf(2)], [true, false, ['b']])
    assert.deepEqual(peers.sources(0, 0, 'b').map(({ instance }) => instance), ['c'])
  })

  it('removes a chunk that a peer lacks, and all chunks of a lost peer', () => {
    const peers = newPeers()
    for (const instance of ['b', 'c', 'b']) peers.holds(instance, [0, 1])
    peers.lacks('b', 0)
    peers.lacks('b', 0)
    peers.lost('c')
    assert.deepEqual([peers.hold(0), peers.hold(1)], [false, true])
  })

  const backOffs: [name: string, failures: number, milliseconds: number][] = [
    ['one failure', 1, 300],
    ['two failures', 2, 600],
    ['many failures', 9, 4_000]
  ]
  for (const [name, failures, milliseconds] of backOffs) {
    it(`backs off from a peer after ${name} for ${milliseconds} ms`, () => {
      const peers = newPeers()
      peers.holds('b', [0])
      for (let count = 0; count < failures; count += 1) peers.failed('b', 0)
      assert.equal(peers.sources(0, milliseconds - 1, '').length, 0)
      assert.equal(peers.sources(0, milliseconds, '').length, 1)
    })
  }

  it('resets the failure count after a successful pull', () => {
    const peers = newPeers()
    peers.holds('b', [0])
    peers.failed('b', 0)
    peers.delivered('b', 100)
    peers.failed('b', 1_000)
    assert.equal(peers.sources(0, 1_300, '').length, 1)
  })

  it('prefers faster peers, and the predecessor to peers that are up to four times as fast', () => {
    const peers = newPeers()
    for (const [instance, milliseconds] of [['b', 100], ['c', 200], ['d', 300]] as const) peers.delivered(instance, milliseconds)
    const all = ['b', 'c', 'd'].flatMap(instance => peers.get(instance) ?? [])
    assert.deepEqual([peers.leastBusy(all, ''), peers.leastBusy(all, 'd'), peers.usualTook], ['b', 'd', 60])
  })
})
