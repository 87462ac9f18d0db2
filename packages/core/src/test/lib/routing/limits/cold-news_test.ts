/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against reports of cold times that go round among processes: a report counts from its receipt, so at the end of a cold time each
// process could prolong it for the next. A fuzz run with 98 entries took 77 s instead of 6 s because of it.
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ColdEndpoints } from '../../../../lib/routing/limits/cold-endpoints.js'
import { ColdTimes, readColdNews } from '../../../../lib/routing/limits/cold-news.js'
import type { EndpointRecord } from '../../../../lib/routing/published/endpoint-record.js'

const start = 'e@1'
const record: EndpointRecord = { id: 'e', born: 1, writings: 1, service: 'pool', address: '10.0.0.1:80', availabilityZone: 'koshi', slots: 8, draining: false, models: [], coldRemaining: 0 }

describe('ColdTimes', () => {
  it('forwards a cold time once, and again if it becomes longer', () => {
    const times = new ColdTimes()
    const told = [[8_000, 0], [7_990, 20], [8_500, 500], [9_000, 1_500], [900, 9_700]].map(([remaining = 0, now = 0]) => times.told([{ start, remaining }], now).length)
    assert.deepEqual([told, times.known(2_000), times.known(10_500)], [[1, 0, 1, 1, 0], [{ start, remaining: 8_500 }], []])
  })

  it('stores a bounded number of cold times', () => {
    const times = new ColdTimes()
    for (let index = 0; index < 3_000; index += 1) times.told([{ start: `e${index}`, remaining: 9_000 }], 0)
    assert.equal(times.known(1).length, 1_024)
  })
})

describe('ColdEndpoints.told', () => {
  it('lets no report go round among entries after the end of a cold time', () => {
    const fleet = Array.from({ length: 5 }, () => {
      const cold = new ColdEndpoints({ factor: 1.5, slack: 5 }, () => 5, () => 0.5, 0)
      cold.update([record], [{ name: 'pool', maxConnections: 64, cold: { duration: 8_000, requestsPerSecond: 14 } }], true, 0)
      return cold
    })
    let forwarded = fleet[0]?.heard(start, 3_000, 990, 1_000).length ?? 0
    for (let now = 1_000; now < 20_000; now += 20) {
      const sender = fleet[now / 20 % 5]
      forwarded += fleet.reduce((sum, cold) => sum + (cold === sender ? 0 : cold.told(sender?.known(now - 15) ?? [], now).length), 0)
    }
    assert.deepEqual([forwarded, fleet.map(cold => cold.isCold(start, 4_100))], [5, fleet.map(() => false)])
  })
})

describe('readColdNews', () => {
  const cases: [name: string, input: unknown, isValid: boolean][] = [
    ['nothing, as from the previous release', undefined, true], ['a report', [{ start, remaining: 4_200 }], true], ['a report without a time', [{ start }], false],
    ['a negative time', [{ start, remaining: -1 }], false], ['a time of days', [{ start, remaining: 1e9 }], false], ['a long start', [{ start: 'e'.repeat(201), remaining: 1 }], false], ['an object', {}, false], ['null', null, false]
  ]
  for (const [name, input, isValid] of cases) it(`${isValid ? 'accepts' : 'rejects'} ${name}`, () => assert.equal(readColdNews(input) !== undefined, isValid))
})
