/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { InstanceRecord } from '../../lib/documents.js'
import { previousWave, SwitchGate, WAVE_TIMEOUT_MILLISECONDS, type SwitchProgress } from '../../lib/rollout.js'

function pool (zones: readonly number[]): InstanceRecord[] {
  return zones.flatMap((count, zone) => Array.from({ length: count }, (_, index) => ({
    instance: `agent-${zone}-${index}`, availabilityZone: `zone-${zone}`, role: 'agent' as const, address: '10.0.0.1:1', endpoint: 'p', state: 'live' as const
  })))
}

describe('previousWave', () => {
  const cases: [name: string, zones: number[], fraction: number, waves: number][] = [
    ['a quarter of eight concurrently', [8], 0.25, 4],
    ['at least one at a time', [3], 0.25, 3],
    ['all concurrently', [6], 1, 1],
    ['each zone separately', [4, 4, 4], 0.5, 2],
    ['the single workers of three zones one after the other', [1, 1, 1], 0.25, 3]
  ]
  for (const [name, zones, fraction, waves] of cases) {
    it(`${name}: ${waves} waves`, () => {
      const members = pool(zones)
      const depth = (instance: string): number => {
        const before = previousWave(instance, members, fraction, 'digest')
        return before.length === 0 ? 1 : 1 + depth(before[0] ?? '')
      }
      assert.equal(Math.max(...members.map(member => depth(member.instance))), waves)
    })
  }
  it('never switches all members of a pool with two or more members concurrently', () => {
    for (const zones of [[2], [1, 1], [2, 1], [3, 2, 1]]) {
      const members = pool(zones)
      const first = members.filter(member => previousWave(member.instance, members, 0.25, 'digest').length === 0)
      assert.ok(first.length < members.length, JSON.stringify(zones))
    }
  })
})

describe('SwitchGate', () => {
  const cases: [name: string, reports: Record<string, SwitchProgress>, at: number, decision: string][] = [
    ['waits for every member of the wave', { a: 'serving', b: 'waiting' }, 0, 'wait'],
    ['allows the switch when all members serve', { a: 'serving', b: 'serving' }, 0, 'go'],
    ['halts when half of the wave has failed', { a: 'failed', b: 'serving' }, 0, 'halt'],
    ['waits for an unreachable member at first', { a: 'serving', b: 'unreachable' }, WAVE_TIMEOUT_MILLISECONDS - 1, 'wait'],
    ['stops waiting for an unreachable member after the timeout', { a: 'serving', b: 'unreachable' }, WAVE_TIMEOUT_MILLISECONDS, 'go'],
    ['allows the switch when the whole wave is unreachable for the timeout', { a: 'unreachable', b: 'unreachable' }, WAVE_TIMEOUT_MILLISECONDS, 'go'],
    ['waits without any reports', {}, 0, 'wait']
  ]
  for (const [name, reports, at, decision] of cases) {
    it(name, () => {
      const gate = new SwitchGate()
      for (const [instance, progress] of Object.entries(reports)) gate.report(instance, progress, 0)
      assert.equal(gate.decide(['a', 'b'], false, at).type, decision)
    })
  }
  it('allows an engine that serves no version to load at once', () => {
    assert.equal(new SwitchGate().decide(['a'], true, 0).type, 'go')
  })
})
