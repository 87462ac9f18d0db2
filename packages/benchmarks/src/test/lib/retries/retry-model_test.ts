/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { simulateRetries, retryFleets, type RetryPolicyName } from '../../../lib/retries/retry-model.js'

// Endpoints refuse a share of the attempts, and nine in ten entries are killed repeatedly. When each entry started with a reserve of ten
// retries, and could save ten, a fleet made 433 retries in 10 s where 413 were allowed.
describe('simulateRetries', () => {
  const seeds = [1, 7, 21]
  const restarts = [undefined, 1, 3, 10] as const

  function worstRatio (policy: RetryPolicyName, entries: number, restartEvery: number | undefined, refused: number): number {
    const fleet = retryFleets.find(candidate => candidate.entries === entries)
    if (fleet === undefined) throw new Error(`no fleet of ${entries}`)
    return Math.max(...seeds.map(seed => simulateRetries({ ...fleet, policy, seed, refused, restartEvery, seconds: 30 }).worstRatio))
  }

  for (const { entries } of retryFleets) {
    for (const restartEvery of restarts) {
      for (const refused of [0.1, 0.45, 0.9]) {
        it(`keeps to the bound with ${entries} entries and a refused share of ${refused} (seconds between restarts: ${restartEvery ?? 'none'})`, () => {
          assert.ok(worstRatio('part-of-the-fleet', entries, restartEvery, refused) <= 1)
        })
      }
    }
  }

  for (const entries of [6, 24, 98]) {
    it(`exceeds the bound when each of ${entries} restarting entries has its own reserve`, () => {
      assert.ok(worstRatio('reserve-of-each-entry', entries, 1, 0.9) > 1)
    })
  }
})
