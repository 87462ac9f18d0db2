/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionAttempts } from '../../../../lib/routing/attempts/connection-attempts.js'

describe('ConnectionAttempts', () => {
  const cases: [name: string, unansweredAt: readonly number[], mayRetry: readonly boolean[], timeout: number][] = [
    ['begins with the given timeout', [], [], 45],
    ['doubles the timeout after each connection without an answer', [45, 135], [true, true], 180],
    ['allows three connections to an endpoint', [45, 135, 200], [true, true, false], 360],
    ['allows no further connection once a third of the time has passed', [45, 266, 267], [true, true, false], 360],
    ['refuses early enough for a caller to come back', [300], [false], 90]
  ]
  for (const [name, times, mayRetry, timeout] of cases) {
    it(name, () => {
      const connections = new ConnectionAttempts(0, 800)
      assert.deepEqual(times.map(at => connections.unanswered('desk-1', at)), mayRetry)
      assert.deepEqual([connections.timeout('desk-1', 45), connections.timeout('desk-2', 45)], [timeout, 45])
    })
  }
})
