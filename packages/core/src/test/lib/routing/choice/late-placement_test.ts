/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { takesLate, type LateCandidate, type LateTerms } from '../../../../lib/routing/choice/late-placement.js'
import type { PoolDescription } from '../../../../lib/routing/published/routing-configuration.js'

describe('takesLate', () => {
  const pool = { slots: 12 } as PoolDescription
  const free: LateCandidate = { expected: 900, generation: 1_200, waiting: 2, closesIn: undefined, own: 0, ownInAll: 0, ownShare: 1 / 40, engines: 28 }
  const late: LateTerms = { timeLeft: 5_900, returned: false, position: 1, shortage: 0 }
  /** Each case that expects `false` guards against a request that would be sent in vain, or would fill the queue of an engine. */
  const cases: [name: string, candidate: Partial<LateCandidate>, terms: Partial<LateTerms>, expected: boolean][] = [
    ['takes one that ends well before its deadline', {}, {}, true],
    ['refuses one whose turn comes too late', { expected: 3_600 }, {}, false],
    ['refuses one that begins in time for its deadline, but would not end', { generation: 4_000 }, {}, false],
    ['gives one that has returned more of its remaining time', { expected: 3_600 }, { returned: true }, true],
    ['refuses one that has returned and would pass its deadline', { expected: 4_800 }, { returned: true }, false],
    ['keeps room in the queue for requests in time', { waiting: 6 }, {}, false],
    ['lets the most urgent have more of the queue', { waiting: 6 }, { position: 0 }, true],
    ['keeps the queue from being filled by the most urgent', { waiting: 13 }, { position: 0 }, false],
    ['bounds the late requests of one entry at an engine', { own: 1 }, {}, false],
    ['bounds the late requests of one entry at all engines', { ownInAll: 5 }, {}, false],
    ['lets the only entry of a pool have all of them', { own: 2, ownInAll: 30, ownShare: 1 }, {}, true],
    ['does not use an engine that closes before the turn is certain', { closesIn: 1_500 }, {}, false],
    ['uses an engine that closes much later', { closesIn: 4_000 }, {}, true]
  ]
  for (const [name, candidate, terms, expected] of cases) it(name, () => assert.equal(takesLate(pool, { ...free, ...candidate }, { ...late, ...terms }), expected))
})
