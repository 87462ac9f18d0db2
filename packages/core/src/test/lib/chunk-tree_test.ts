/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ChunkTree, type ChunkMember, type SpreadStrategy } from '../../lib/chunk-tree.js'

const CHUNKS = 96

function membersOf (count: number, zones: number): ChunkMember[] {
  return Array.from({ length: count }, (_, index) => ({ instance: `agent-${index}`, availabilityZone: `zone-${index % zones}` }))
}

function treesOf (members: readonly ChunkMember[], copies: number, strategy: SpreadStrategy): ChunkTree[] {
  return members.map((member, index) => new ChunkTree(member, index % 2 === 0 ? members : [...members].reverse(), copies, strategy))
}

describe('ChunkTree', () => {
  const shapes: [members: number, zones: number, copies: number][] = [[1, 1, 1], [2, 2, 1], [7, 3, 1], [24, 3, 1], [24, 3, 2], [24, 3, 4], [40, 5, 1], [40, 5, 7]]
  for (const strategy of ['rotation', 'rendezvous', 'tree'] as const) {
    for (const [count, zones, copies] of shapes) {
      it(`${strategy}: ${count} members in ${zones} zones form consistent trees with ${copies} origin copies`, () => {
        const members = membersOf(count, zones)
        const trees = treesOf(members, copies, strategy)
        for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
          const positions = new Map(trees.map(tree => [tree.self.instance, tree.position(chunk, `digest-${chunk}`)]))
          const roots = [...positions.values()].filter(position => position.ancestors.length === 0)
          assert.equal(roots.length, Math.min(count, copies))
          for (const [instance, position] of positions) {
            assert.ok(!position.ancestors.includes(instance), 'no member is its own ancestor')
            assert.equal(new Set(position.ancestors).size, position.ancestors.length)
            const [parent, ...rest] = position.ancestors
            if (parent !== undefined) assert.deepEqual(positions.get(parent)?.ancestors, rest, 'all members compute the same tree')
          }
        }
      })
    }
  }

  it('balances uplinks: over many chunks no member sends much more than one copy', () => {
    const members = membersOf(24, 3)
    const sent = new Map<string, number>()
    for (const tree of treesOf(members, 1, 'rotation')) {
      for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
        const parent = tree.position(chunk, '').ancestors[0]
        if (parent !== undefined) sent.set(parent, (sent.get(parent) ?? 0) + 1)
      }
    }
    assert.ok(Math.max(...sent.values()) <= CHUNKS * 1.1, `${Math.max(...sent.values())} of ${CHUNKS}`)
  })

  it('transfers each chunk into every other zone once', () => {
    const members = membersOf(24, 3)
    const zoneOf = new Map(members.map(member => [member.instance, member.availabilityZone]))
    const trees = treesOf(members, 1, 'rotation')
    for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
      const crossings = trees.filter(tree => {
        const parent = tree.position(chunk, '').ancestors[0]
        return parent !== undefined && zoneOf.get(parent) !== tree.self.availabilityZone
      })
      assert.equal(crossings.length, 2)
    }
  })

  it('reads every chunk from the origin with the origin strategy', () => {
    const tree = new ChunkTree({ instance: 'agent-3', availabilityZone: 'zone-0' }, membersOf(9, 3), 1, 'origin')
    assert.deepEqual(tree.position(5, '').ancestors, [])
  })
})
