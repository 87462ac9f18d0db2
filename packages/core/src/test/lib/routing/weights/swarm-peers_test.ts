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
    peers.addChunks('b', [0, 1])
    peers.addChunks('c', [0])
    assert.deepEqual([peers.isHeld(1), peers.isHeld(2), peers.peersWithChunkCount(2)], [true, false, ['b']])
    assert.deepEqual(peers.sources(0, 0, 'b').map(({ instance }) => instance), ['c'])
  })

  it('removes a chunk that a peer lacks, and all chunks of a lost peer', () => {
    const peers = newPeers()
    for (const instance of ['b', 'c', 'b']) peers.addChunks(instance, [0, 1])
    peers.removeChunk('b', 0)
    peers.removeChunk('b', 0)
    peers.removeAllChunks('c')
    assert.deepEqual([peers.isHeld(0), peers.isHeld(1)], [false, true])
  })

  const backOffs: [name: string, failures: number, milliseconds: number][] = [
    ['one failure', 1, 300],
    ['two failures', 2, 600],
    ['many failures', 9, 4_000]
  ]
  for (const [name, failures, milliseconds] of backOffs) {
    it(`backs off from a peer after ${name} for ${milliseconds} ms`, () => {
      const peers = newPeers()
      peers.addChunks('b', [0])
      for (let count = 0; count < failures; count += 1) peers.failed('b', 0)
      assert.equal(peers.sources(0, milliseconds - 1, '').length, 0)
      assert.equal(peers.sources(0, milliseconds, '').length, 1)
    })
  }

  it('resets the failure count after a successful pull', () => {
    const peers = newPeers()
    peers.addChunks('b', [0])
    peers.failed('b', 0)
    peers.succeeded('b', 100)
    peers.failed('b', 1_000)
    assert.equal(peers.sources(0, 1_300, '').length, 1)
  })

  it('prefers faster peers, and the predecessor to peers that are up to four times as fast', () => {
    const peers = newPeers()
    for (const [instance, milliseconds] of [['b', 100], ['c', 200], ['d', 300]] as const) peers.succeeded(instance, milliseconds)
    const all = ['b', 'c', 'd'].flatMap(instance => peers.get(instance) ?? [])
    assert.deepEqual([peers.fastest(all, ''), peers.fastest(all, 'd'), peers.medianPullTime], ['b', 'd', 60])
  })
})
