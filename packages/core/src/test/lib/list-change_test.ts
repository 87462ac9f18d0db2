/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { InstanceRecord } from '../../lib/documents.js'
import { applyListChange, listChange } from '../../lib/list-change.js'
import { Spread } from '../../lib/spread.js'
import { endpointSubset } from '../../lib/subset.js'

function record (name: string, change: Partial<InstanceRecord> = {}): InstanceRecord {
  return { instance: name, availabilityZone: 'koshi', role: 'agent', address: `10.0.0.${name.slice(1)}:1`, endpoint: 'p', state: 'live', ...change }
}

const before = { instances: ['p1', 'p2', 'p3'].map(name => record(name)) }

describe('ListChange', () => {
  const cases: [name: string, after: InstanceRecord[], changed: string[], removed: string[]][] = [
    ['no change', before.instances, [], []],
    ['a record is modified', [record('p1'), record('p2', { state: 'leaving' }), record('p3')], ['p2'], []],
    ['a record is removed', [record('p1'), record('p3')], [], ['p2']],
    ['a record is added', [...before.instances, record('p4')], ['p4'], []],
    ['an instance is replaced', [record('p1'), record('p3'), record('p2', { address: '10.0.0.9:1' })], ['p2'], []],
    ['all records are removed', [], [], ['p1', 'p2', 'p3']]
  ]
  for (const [name, after, changed, removed] of cases) {
    it(name, () => {
      const published = { source: 's', revision: 8, document: { instances: after } }
      const change = listChange(before, 7, published, { instances: after })
      assert.deepEqual(change.changed.map(({ instance }) => instance), changed)
      assert.deepEqual(change.removed, removed)
      const built = applyListChange(before, change)
      const sorted = (records: readonly InstanceRecord[]): InstanceRecord[] => [...records].sort((left, right) => left.instance < right.instance ? -1 : 1)
      assert.deepEqual(sorted((built.document as typeof before).instances), sorted(after))
      assert.equal(built.revision, 8)
    })
  }

  it('is sent in place of the list and applies only to its base', () => {
    const spreads = before.instances.map(({ instance, address, availabilityZone }) => {
      const spread = new Spread({ instance, address, availabilityZone, seeds: [], source: 's' }, () => 0.5, 0)
      spread.tick(0)
      return spread
    })
    const [ahead, behind, empty] = spreads as [Spread, Spread, Spread]
    for (const spread of [ahead, behind]) spread.serviceAnswered('instances', { source: 's', revision: 7, document: before }, 0)
    ahead.serviceAnswered('instances', { source: 's', revision: 8, document: { instances: [...before.instances, record('p4')] } }, 0)
    const reply = ahead.compared(behind.note(0), 0).reply
    assert.deepEqual([reply.documents.length, reply.change?.changed.length], [0, 1])
    behind.received(reply, 'compared', 0)
    assert.equal(behind.revision('instances'), 8)
    assert.equal(behind.instances.length, 4)
    empty.received(reply, 'pushed', 0)
    assert.equal(empty.revision('instances'), 0)
    assert.equal(ahead.compared(empty.note(0), 0).reply.documents.length, 1, 'a peer without the base receives the full list')
  })
})

describe('endpointSubset', () => {
  const shapes: [entries: number, endpoints: number, size: number][] = [[76, 480, 24], [7, 100, 24], [3, 12, 24], [10, 48, 24]]
  for (const [entries, count, size] of shapes) {
    it(`${entries} entries use ${count} endpoints evenly, with at most ${size} each`, () => {
      const endpoints = Array.from({ length: count }, (_, index) => `agent-${index}`)
      const used = new Map(endpoints.map(endpoint => [endpoint, 0]))
      for (let index = 0; index < entries; index += 1) {
        const subset = endpointSubset(index, endpoints, size)
        assert.equal(new Set(subset).size, Math.min(size, count))
        for (const endpoint of subset) used.set(endpoint, (used.get(endpoint) ?? 0) + 1)
      }
      const most = Math.max(...used.values())
      assert.ok(most <= Math.ceil(entries * Math.min(size, count) / count) + 1, `${most}`)
    })
  }
})
