/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FailureRate } from '../../../../lib/routing/choice/failure-rate.js'

describe('FailureRate', () => {
  const everySecond = 1 / 1_000
  const often = 1 / 10
  const cases: [name: string, results: readonly number[], requestRate: number, later: number, overdue: number, expected: number][] = [
    ['is 0 at first', [], everySecond, 0, 0, 0],
    ['rises with a failure', [1], everySecond, 0, 0, 0.15],
    ['rises further with the next', [1, 1], everySecond, 0, 0, 0.2775],
    ['rises less with an error of the application', [0.6], everySecond, 0, 0, 0.09],
    ['falls with a success', [1, 0], everySecond, 0, 0, 0.1275],
    ['halves without requests in the time of some requests', [1], everySecond, 20_000, 0, 0.075],
    ['halves at the soonest after some seconds', [1], often, 4_000, 0, 0.075],
    ['halves at the latest after some time', [1], 0, 20_000, 0, 0.075],
    ['counts an overdue request as a failure', [], everySecond, 0, 1, 0.15],
    ['counts overdue requests with earlier failures', [1], everySecond, 0, 1, 0.2775]
  ]
  for (const [name, results, requestRate, later, overdue, expected] of cases) {
    it(name, () => {
      const rate = new FailureRate()
      for (const failure of results) rate.record(failure, 1_000, requestRate)
      assert.ok(Math.abs(rate.value(1_000 + later, requestRate, overdue) - expected) < 0.001)
    })
  }
})
