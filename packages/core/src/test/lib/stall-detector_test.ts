/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StallDetector } from '../../lib/stall-detector.js'

describe('StallDetector', () => {
  const cases: [name: string, ticks: number[], now: number, arrivedSince: number][] = [
    ['a process that has just begun', [], 50, 50],
    ['a process that runs', [0, 100, 200], 250, 250],
    ['a process whose timers are a little late', [0, 100, 290], 300, 300],
    ['a process that has just been resumed, before its timers run', [0, 100], 2_600, 100],
    ['a process that has just been resumed, after its timers ran', [0, 100, 2_600], 2_610, 100],
    ['a process that was resumed a while ago', [0, 100, 2_600, 2_700, 2_800], 2_850, 2_850]
  ]
  for (const [name, ticks, now, arrivedSince] of cases) {
    it(`dates the arrival of a message at ${name}`, () => {
      const stalls = new StallDetector(100)
      for (const time of ticks) stalls.tick(time)
      assert.equal(stalls.arrivedSince(now), arrivedSince)
    })
  }
})
