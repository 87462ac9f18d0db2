/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { QueueWaits } from '../../../../lib/routing/attempts/queue-waits.js'

describe('QueueWaits.slowness', () => {
  /** The ratio after requests that were expected after 500 ms, each with the time after which it began or ended, if it did. */
  const cases: [name: string, times: readonly (number | undefined)[], step: 'begun' | 'ended', now: number, least: number, most: number][] = [
    ['is 1 without requests', [], 'begun', 1_000, 1, 1],
    ['grows with the waits of requests that have begun', [1_500, 1_500, 1_500, 1_500, 1_500, 1_500], 'begun', 1_500, 2, 2.8],
    ['falls below 1 if they wait less', [100, 100, 100, 100, 100, 100], 'begun', 100, 0.5, 0.9],
    ['grows with the age of those that still wait, since the longest waits end last', [undefined, undefined], 'begun', 2_000, 4, 4],
    ['counts one that ended without having begun', [2_500, 2_500, 2_500], 'ended', 2_500, 2.5, 5],
    ['ignores one that was rejected at once', [3, 3, 3], 'ended', 3, 1, 1],
    ['is 1 again some seconds later', [1_500, 1_500], 'begun', 20_000, 1, 1.01]
  ]
  for (const [name, times, step, now, least, most] of cases) {
    it(name, () => {
      const waits = new QueueWaits()
      for (const index of times.keys()) waits.sent(`${index}`, 500, 0)
      for (const [index, time] of times.entries()) if (time !== undefined) waits[step](`${index}`, time)
      const slowness = waits.slowness(now)
      assert.ok(slowness >= least && slowness <= most, `${slowness}`)
    })
  }
})
