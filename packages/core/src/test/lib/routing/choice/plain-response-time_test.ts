/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { PlainResponseTime } from '../../../../lib/routing/choice/plain-response-time.js'

const USUAL = 20
const HALF_LIFE = 2_000

describe('PlainResponseTime', () => {
  const cases: [name: string, took: readonly number[], later: number, expected: number][] = [
    ['is that of the service before the first answer', [], 0, 20],
    ['rises with a slow answer', [120], 0, 50],
    ['rises further with the next', [120, 120], 0, 71],
    ['approaches that of the service without answers', [120], 2_000, 35]
  ]
  for (const [name, took, later, expected] of cases) {
    it(name, () => {
      const responseTime = new PlainResponseTime()
      for (const milliseconds of took) responseTime.took(milliseconds, USUAL, HALF_LIFE, 1_000)
      assert.equal(Math.round(responseTime.value(USUAL, HALF_LIFE, 1_000 + later)), expected)
    })
  }
})
