/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { cancellationTime, type EngineLink } from '../../../../lib/routing/choice/version-deadline.js'

const BOUND = 8_000

describe('cancellationTime', () => {
  const cases: [name: string, link: EngineLink, expected: number][] = [
    ['leaves a least time on a link that was not measured', { roundTrip: 0 }, 7_800],
    ['leaves a least time on a short link', { roundTrip: 5 }, 7_800],
    ['leaves the least time up to a round trip of half of it', { roundTrip: 100 }, 7_800],
    ['leaves two round trips on a slow link', { roundTrip: 300 }, 7_400],
    ['leaves two round trips on a link with seconds of queue', { roundTrip: 3_000 }, 2_000]
  ]
  for (const [name, link, expected] of cases) it(name, () => assert.equal(cancellationTime(BOUND, link), expected))
})
