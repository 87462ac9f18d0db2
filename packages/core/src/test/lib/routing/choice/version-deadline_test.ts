/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { EndpointRecord } from '../../../../lib/routing/published/endpoint-record.js'
import { cancellationTime, mayStartTooLate, type EngineLink } from '../../../../lib/routing/choice/version-deadline.js'

const BOUND = 8_000

const heard = { roundTrip: 5, reportAge: 80 }
const unheard = { roundTrip: 5, reportAge: Infinity }

describe('cancellationTime', () => {
  const cases: [name: string, link: EngineLink, expected: number][] = [
    ['leaves a least time on a link that was not measured', { ...heard, roundTrip: 0 }, 7_800],
    ['leaves a least time on a short link', heard, 7_800],
    ['leaves the least time up to a round trip of half of it', { ...heard, roundTrip: 100 }, 7_800],
    ['leaves two round trips on a slow link', { ...heard, roundTrip: 300 }, 7_400],
    ['leaves two round trips on a link with seconds of queue', { ...heard, roundTrip: 3_000 }, 2_000],
    ['leaves the least time as long as the last report is current', { ...heard, reportAge: 1_000 }, 7_800],
    ['leaves the time of a lost ping once the report has expired', { ...heard, reportAge: 1_001 }, 5_000],
    ['leaves the time of a lost ping if there was no report', unheard, 5_000],
    ['leaves two round trips if these are more than the time of a lost ping', { ...unheard, roundTrip: 2_000 }, 4_000]
  ]
  for (const [name, link, expected] of cases) it(name, () => assert.equal(cancellationTime(BOUND, link), expected))
})

describe('mayStartTooLate', () => {
  const cases: [name: string, link: EngineLink, now: number, bound: number | undefined, expected: boolean][] = [
    ['never without a bound', unheard, BOUND, undefined, false],
    ['not if twice the expected time and six round trips are left', heard, 7_570, BOUND, false],
    ['if less is left', heard, 7_571, BOUND, true],
    ['if less is left on a slow link', { ...heard, roundTrip: 300 }, 5_801, BOUND, true],
    ['at any time if the report has expired', unheard, 0, BOUND, true]
  ]
  for (const [name, link, now, bound, expected] of cases) {
    it(name, () => {
      const candidate = { ...link, record: {} as EndpointRecord, expected: 100, version: 1, candidates: 1 }
      const need = { promptTokens: 500, answerTokens: 0, model: 'm', leastVersion: 0, mustBeginBy: () => bound, usualObjective: 0, tried: new Set<string>() }
      assert.equal(mayStartTooLate(candidate, need, now), expected)
    })
  }
})
