/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@drumdrift/stand-ins'
import { drawPlan, type PlanOptions } from '../../lib/fault-plan.js'
import type { FaultSet } from '../../lib/soak-options.js'

const options: PlanOptions = { length: 600_000, pause: 500, faults: ['usual'] }

describe('drawPlan', () => {
  it('draws equal plans for equal seeds, and different plans for different seeds', () => {
    assert.deepEqual(drawPlan(seededRandom(7), options), drawPlan(seededRandom(7), options))
    assert.notDeepEqual(drawPlan(seededRandom(7), options), drawPlan(seededRandom(8), options))
  })

  it('draws faults of every kind in order of time, within the length of the plan', () => {
    const plan = drawPlan(seededRandom(7), options)
    const times = plan.map(({ at }) => at)
    assert.deepEqual(times, [...times].sort((left, right) => left - right))
    assert.ok(times.every(at => at >= 0 && at < options.length))
    assert.equal(new Set(plan.map(({ kind }) => kind)).size, 38)
  })

  const sets: [faults: FaultSet[], kinds: number][] = [[['versions'], 8], [['crowds'], 5], [['usual', 'versions', 'crowds'], 48]]
  for (const [faults, kinds] of sets) {
    it(`draws faults of every kind of ${faults.join(' and ')}`, () => {
      assert.equal(new Set(drawPlan(seededRandom(7), { ...options, faults }).map(({ kind }) => kind)).size, kinds)
    })
  }

  it('draws series of faults that go through the targets', () => {
    const plan = drawPlan(seededRandom(7), options)
    const series = plan.filter((fault, index) => plan.slice(index + 1, index + 6).some(next => next.kind === fault.kind && next.durationMilliseconds === fault.durationMilliseconds && next.targetPosition !== fault.targetPosition))
    assert.ok(series.length > plan.length / 5, `${series.length} of ${plan.length}`)
  })

  it('draws pauses of entries and engines that overlap with stops, some of them of the same entry', () => {
    const plan = drawPlan(seededRandom(7), options)
    const stops = plan.filter(({ kind }) => kind === 'entry-stops')
    const overlapping = (kind: string, isSame: boolean): number => plan.filter(fault => fault.kind === kind && stops.some(({ at, targetPosition }) => at >= fault.at && at <= fault.at + fault.durationMilliseconds && (!isSame || targetPosition === fault.targetPosition))).length
    for (const [kind, isSame] of [['engines-silent', false], ['engine-silent', false], ['entry-paused', true]] as const) assert.ok(overlapping(kind, isSame) >= 10, `${kind}: ${overlapping(kind, isSame)}`)
  })
})
