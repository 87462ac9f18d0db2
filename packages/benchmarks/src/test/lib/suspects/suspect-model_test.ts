/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { playSuspects, suspectFleets, type SuspectFigures, type SuspectPolicyName } from '../../../lib/suspects/suspect-model.js'

// One request comes again and again, through any entry, and ends whatever begins it: 26 to 29 endpoints where 16 stood, within 10 s, as
// long as entries tried it like any other. Operators allow three endpoints, 3 s to take notice, and three sends after that.
describe('what requests that end endpoints cost a fleet', () => {
  const SECONDS = 12
  /** Three ends at this rate take 2 s, and 3 s are allowed after that. */
  const PER_SECOND = 2
  const LATEST_SEND = 5

  function play (policy: SuspectPolicyName, entries: number, restartEvery: number | undefined): SuspectFigures {
    const fleet = suspectFleets.find(candidate => candidate.entries === entries)
    if (fleet === undefined) throw new Error(`no fleet of ${entries}`)
    return playSuspects({ ...fleet, policy, seed: 7, fatal: 1, fatalPerSecond: PER_SECOND, restartEvery, seconds: SECONDS })
  }

  for (const { entries } of suspectFleets) {
    for (const restartEvery of [undefined, 1]) {
      it(`all ${entries} entries hold it back in time, restarts every ${restartEvery ?? 'never'}`, () => {
        const { lastSend, heldBack, endpointsEnded } = play('whole-fleet', entries, restartEvery)
        assert.deepEqual([lastSend <= LATEST_SEND, heldBack], [true, 0])
        assert.ok(endpointsEnded <= 9, `${endpointsEnded} ended`)
      })
    }

    it(`finds that ${entries} entries that tell each other nothing do not`, () => {
      assert.ok(play('each-entry-alone', entries, 1).lastSend > LATEST_SEND)
    })
  }

  it('is the same for the same seed', () => assert.deepEqual(play('whole-fleet', 24, 1), play('whole-fleet', 24, 1)))
})
