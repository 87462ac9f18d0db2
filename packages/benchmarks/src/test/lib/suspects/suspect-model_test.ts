/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { simulateSuspects, suspectFleets, type SuspectFigures, type SuspectPolicyName } from '../../../lib/suspects/suspect-model.js'

// A request that arrives repeatedly, through any entry, crashes every endpoint that starts it. While entries retried it like any other
// request, it crashed endpoints 26 to 29 times within 10 s in a fleet of 16. Operators allow three crashes, 3 s for detection, and three
// sends after that.
describe('simulateSuspects', () => {
  const SECONDS = 12
  /** Three crashes at this rate take 2 s, and 3 s are allowed after that. */
  const PER_SECOND = 2
  const LATEST_SEND = 5

  function run (policy: SuspectPolicyName, entries: number, restartEvery: number | undefined): SuspectFigures {
    const fleet = suspectFleets.find(candidate => candidate.entries === entries)
    if (fleet === undefined) throw new Error(`no fleet of ${entries}`)
    return simulateSuspects({ ...fleet, policy, seed: 7, fatal: 1, fatalPerSecond: PER_SECOND, restartEvery, seconds: SECONDS })
  }

  for (const { entries } of suspectFleets) {
    for (const restartEvery of [undefined, 1]) {
      it(`holds the request back in time at all ${entries} entries (seconds between restarts: ${restartEvery ?? 'none'})`, () => {
        const { lastSend, heldBack, endpointsCrashed } = run('whole-fleet', entries, restartEvery)
        assert.deepEqual([lastSend <= LATEST_SEND, heldBack], [true, 0])
        assert.ok(endpointsCrashed <= 9, `${endpointsCrashed} crashes`)
      })
    }

    it(`does not hold the request back in time when ${entries} entries share no reports`, () => {
      assert.ok(run('each-entry-alone', entries, 1).lastSend > LATEST_SEND)
    })
  }

  it('gives the same figures for the same seed', () => assert.deepEqual(run('whole-fleet', 24, 1), run('whole-fleet', 24, 1)))
})
