/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { partLoads, simulateSuspects, suspectFleets, type PromptShape, type SuspectFigures, type SuspectFleet, type SuspectLoad } from '../../../lib/suspects/suspect-model.js'
import type { SuspectPolicyName } from '../../../lib/suspects/suspect-policies.js'

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
    return simulateSuspects({ ...fleet, policy, seed: 7, fatalKind: 'request', fatal: 1, fatalPerSecond: PER_SECOND, restartEvery, seconds: SECONDS })
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

// Requests that shared one part of their prompts crashed endpoints 46 to 96 times within 13 s. Operators allow five crashes, 3 s for
// detection, and three sends after that; of the other requests at least half must be served from 6 s after the fifth crash on.
describe('simulateSuspects with a fatal part of prompts', () => {
  const WARM_UP = 6
  const SECONDS = 24
  const MAX_LATE_SENDS = 3
  const MIN_SERVED = 0.5
  const MAX_HELD_BACK = 0.01

  const shapes: readonly PromptShape[] = [{ organisations: 10, documents: 10 }, { organisations: 10, documents: 1_000 }, { organisations: 100, documents: 100_000 }]

  function run (policy: SuspectPolicyName, fleet: SuspectFleet, load: SuspectLoad, prompts: PromptShape): SuspectFigures {
    return simulateSuspects({ ...fleet, ...load, fatalKind: 'prompt-part', prompts, policy, seed: 7, fatalFrom: WARM_UP, restartEvery: undefined, seconds: SECONDS })
  }

  for (const fleet of suspectFleets.slice(0, 2)) {
    for (const [name, load] of Object.entries<SuspectLoad>(partLoads)) {
      it(`holds back only the fatal part at ${fleet.entries} entries: ${name}`, () => {
        for (const prompts of shapes) {
          const { lateSends, heldBack, servedLater } = run('whole-fleet', fleet, load, prompts)
          assert.ok(lateSends <= MAX_LATE_SENDS, `${lateSends} late sends with ${prompts.documents} documents`)
          assert.ok(heldBack <= MAX_HELD_BACK, `${heldBack} of the requests were held back with ${prompts.documents} documents`)
          assert.ok(servedLater >= MIN_SERVED, `${servedLater} were served with ${prompts.documents} documents`)
        }
      })
    }
  }

  it('sends the part again and again when only whole requests are recognised', () => {
    const load = partLoads['one part, 4 times a second']
    assert.ok(run('whole-requests', suspectFleets[0] as SuspectFleet, load, shapes[0] as PromptShape).lateSends > MAX_LATE_SENDS)
  })
})
