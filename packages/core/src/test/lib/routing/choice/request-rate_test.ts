/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RequestRate } from '../../../../lib/routing/choice/request-rate.js'

describe('RequestRate', () => {
  const cases: [name: string, pause: number, since: number, least: number, most: number][] = [
    ['measures a steady rate', 50, 0, 0.018, 0.022],
    ['decays without requests', 50, 3_000, 0.001, 0.004],
    ['measures a high rate', 5, 0, 0.19, 0.21]
  ]
  for (const [name, pause, since, least, most] of cases) {
    it(name, () => {
      const rate = new RequestRate()
      for (let now = 0; now <= 10_000; now += pause) rate.sent(now)
      const seen = rate.perMillisecond(10_000 + since)
      assert.ok(seen >= least && seen <= most, `${seen}`)
    })
  }

  it('is 0 before the first request', () => assert.equal(new RequestRate().perMillisecond(5_000), 0))
})
