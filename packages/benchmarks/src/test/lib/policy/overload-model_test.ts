/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { overloadFigures } from '../../../lib/policy/overload-bench.js'
import type { OverloadRun } from '../../../lib/policy/overload-model.js'

/** The shares of a run over two seeds, by group and result. */
function sharesOf (run: Omit<OverloadRun, 'seed'>): (group: string, result: 'inTime' | 'late' | 'unserved') => number {
  const figures = overloadFigures({ ...run, seed: 1 }, 2)
  return (group, result) => (figures.get(group)?.[result] ?? Number.NaN) / (figures.get(group)?.all ?? Number.NaN)
}

describe('simulateOverload', () => {
  it('serves as before what a pool with spare capacity is offered', () => {
    const run = { entries: 6, load: 0.8, urgencies: 'three' } as const
    const [ordered, before] = [sharesOf({ ...run, policy: 'ordered' }), sharesOf({ ...run, policy: 'in-time-only' })]
    assert.ok(ordered('all', 'inTime') >= before('all', 'inTime') - 0.005 && ordered('all', 'unserved') === 0)
  })

  /* A pool that is offered its capacity, with a swing of a fifth, refused 0.03 of the requests twice before. */
  it('leaves at most a hundredth unserved at the capacity, and less than the rule before', () => {
    const run = { entries: 40, load: 1, urgencies: 'three' } as const
    const [ordered, before] = [sharesOf({ ...run, policy: 'ordered' }), sharesOf({ ...run, policy: 'in-time-only' })]
    assert.ok(ordered('all', 'unserved') <= 0.01 && before('all', 'unserved') > 0.02, `${ordered('all', 'unserved')} ${before('all', 'unserved')}`)
    assert.ok(ordered('urgency-0', 'inTime') > before('urgency-0', 'inTime') + 0.05)
  })

  for (const load of [1.3, 1.7]) {
    /* The rule before served the least urgent kind most often, since its objective is the longest. */
    it(`serves the more urgent more often at ${load} times the capacity, and starves no kind, organisation or size`, () => {
      const shares = sharesOf({ entries: 40, load, urgencies: 'three', policy: 'ordered' })
      const served = (group: string): number => 1 - shares(group, 'unserved')
      assert.ok(served('urgency-0') > served('urgency-1') && served('urgency-1') > served('urgency-2'))
      assert.ok(served('urgency-0') > 0.95, `${served('urgency-0')}`)
      for (const group of ['urgency-2', 'large', 'long']) assert.ok(served(group) > served('all') / 4, `${group} ${served(group)}`)
      assert.ok(1 - served('all') < 1 - 1 / load + 0.04, `${served('all')}`)
    })
  }

  /* An organisation that sends half took the room of the others in proportion before. */
  it('lets the organisation that sends half pay first where requests do not differ in urgency', () => {
    const shares = sharesOf({ entries: 40, load: 1.3, urgencies: 'one', policy: 'ordered' })
    assert.ok(shares('others', 'unserved') < 0.75 * shares('large', 'unserved') && shares('large', 'unserved') < 0.7)
    assert.ok(shares('others', 'inTime') > shares('large', 'inTime') + 0.15)
  })
})
