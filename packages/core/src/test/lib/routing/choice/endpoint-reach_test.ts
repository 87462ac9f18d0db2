/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ConnectionFailure } from '../../../../lib/routing/attempts/attempt-tracker.js'
import { EndpointReach, type Reach } from '../../../../lib/routing/choice/endpoint-reach.js'

/** A connection that ended at a time, and how; `sent` is the start of a trial. */
type Step = readonly [result: ConnectionFailure | 'opened' | 'sent', at: number]

const lost: ConnectionFailure = 'connection-timed-out'
const refused: ConnectionFailure = 'connection-refused'
const CONNECT_TIME = 45

function reachAfter (steps: readonly Step[]): EndpointReach {
  const reach = new EndpointReach()
  for (const [result, at] of steps) {
    if (result === 'opened') reach.opened()
    else if (result === 'sent') reach.sent(at)
    else reach.failed(result, at - CONNECT_TIME, at)
  }
  return reach
}

describe('EndpointReach', () => {
  const cases: [name: string, steps: readonly Step[], at: number, state: Reach, mayTry: boolean][] = [
    ['is reachable at first', [], 0, 'reachable', true],
    ['is doubtful after a lost connection', [[lost, 1_000]], 1_001, 'doubtful', true],
    ['is preferred again after some time', [[lost, 1_000]], 3_000, 'reachable', true],
    ['is reachable once a connection opens', [[lost, 1_000], ['opened', 1_100]], 1_101, 'reachable', true],
    ['is doubtful for longer after a second loss', [[lost, 1_000], [lost, 2_000]], 5_999, 'doubtful', true],
    ['is avoided for a bounded time', Array.from({ length: 20 }, (_, index) => [lost, 1_000 * index] as Step), 29_000, 'reachable', true],
    ['is not unreachable after many losses within a moment', [[lost, 1_000], [lost, 1_100], [lost, 1_200], [lost, 1_300]], 1_301, 'doubtful', true],
    ['is not unreachable after losses with a success between them', [[lost, 1_000], [lost, 1_300], ['opened', 1_400], [lost, 1_700]], 1_701, 'doubtful', true],
    ['counts losses that overlap as one', [[lost, 1_000], [lost, 1_010], [lost, 1_020], [lost, 1_600]], 1_601, 'doubtful', true],
    ['is unreachable after losses in a row for some time', [[lost, 1_000], [lost, 1_300], [lost, 1_600]], 1_601, 'unreachable', false],
    ['may be tried after a pause if it is unreachable', [[lost, 1_000], [lost, 1_300], [lost, 1_600]], 1_700, 'unreachable', true],
    ['may not be tried by two at a time', [[lost, 1_000], [lost, 1_300], [lost, 1_600], ['sent', 1_700]], 1_750, 'unreachable', false],
    ['may be tried again if nothing was heard of a trial', [[lost, 1_000], [lost, 1_300], [lost, 1_600], ['sent', 1_700]], 2_700, 'unreachable', true],
    ['is unreachable after one refused connection', [[refused, 1_000]], 1_001, 'unreachable', false],
    ['may be tried soon after a refused connection', [[refused, 1_000]], 1_100, 'unreachable', true],
    ['is doubtful if a connection is lost after one was refused', [[refused, 1_000], [lost, 1_200]], 1_201, 'doubtful', true]
  ]
  for (const [name, steps, at, state, mayTry] of cases) {
    it(name, () => {
      const reach = reachAfter(steps)
      assert.deepEqual([reach.state(at), reach.mayTry(at)], [state, mayTry])
    })
  }

  it('tells when it becomes unreachable and when it is reachable again', () => {
    const reach = new EndpointReach()
    const changes = [1_000, 1_300, 1_600, 1_900].map(at => reach.failed(lost, at - CONNECT_TIME, at))
    assert.deepEqual([...changes, reach.opened(), reach.opened()], [false, false, true, false, true, false])
  })
})
