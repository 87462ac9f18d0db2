/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decay } from '../../../lib/routing/decay.js'
import { MeanResponseTime } from '../../../lib/routing/choice/mean-response-time.js'

describe('decay', () => {
  const cases: [name: string, elapsed: number, expected: number][] = [
    ['1 for a new measurement', 0, 1],
    ['0.5 after one half-life', 100, 0.5],
    ['0.25 after two half-lives', 200, 0.25],
    ['at most 1 if clocks disagree', -50, 1]
  ]
  for (const [name, elapsed, expected] of cases) it(`returns ${name}`, () => assert.equal(decay(elapsed, 100), expected))
})

describe('MeanResponseTime', () => {
  it('starts at the first value, then changes slowly', () => {
    const usual = new MeanResponseTime()
    assert.equal(usual.value(0), 0)
    usual.took(20, 0)
    assert.equal(usual.value(0), 20)
    usual.took(120, 0)
    assert.equal(usual.value(0), 25)
  })

  it('decays without new values, so that a slow service is tried again', () => {
    const usual = new MeanResponseTime()
    usual.took(9_000, 0)
    assert.ok(usual.value(15_000) < 20)
  })
})
