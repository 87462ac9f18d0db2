/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decay } from '../../../lib/routing/decay.js'
import { UsualTime } from '../../../lib/routing/choice/usual-time.js'

describe('decay', () => {
  const cases: [name: string, elapsed: number, expected: number][] = [
    ['all of what was just measured', 0, 1],
    ['half after the half-life', 100, 0.5],
    ['a quarter after twice that', 200, 0.25],
    ['no more than all when clocks disagree', -50, 1]
  ]
  for (const [name, elapsed, expected] of cases) it(`leaves ${name}`, () => assert.equal(decay(elapsed, 100), expected))
})

describe('UsualTime', () => {
  it('is the first answer, then moves slowly', () => {
    const usual = new UsualTime()
    assert.equal(usual.value(0), 0)
    usual.took(20, 0)
    assert.equal(usual.value(0), 20)
    usual.took(120, 0)
    assert.equal(usual.value(0), 25)
  })

  it('fades without answers, so that a slow service is tried again', () => {
    const usual = new UsualTime()
    usual.took(9_000, 0)
    assert.ok(usual.value(15_000) < 20)
  })
})
