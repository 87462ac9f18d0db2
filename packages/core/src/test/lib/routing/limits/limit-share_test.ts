/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against exceeding a limit shared by several entries: overloaded endpoints with limits of 1.1 to 1.7 requests per second for all
// entries together received 17 to 21 requests in 4 s from six entries that each knew the limit. The two loads are the worst cases for
// shares: constant demand, and sudden demand after an idle time, when the saved permits of all entries are used at once.
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LimitShare, usedShare } from '../../../../lib/routing/limits/limit-share.js'

const WINDOW = 4_000
const TICK = 20

/** A deterministic pseudo-random sequence (Park and Miller). */
function draws (seed: number): () => number {
  let state = seed
  return () => {
    state = state * 16_807 % 2_147_483_647
    return state / 2_147_483_647
  }
}

/** The times at which requests reach the endpoint, if every entry has demand at the wanted times. */
function arrivals (entries: number, limit: number, seed: number, wanted: (now: number) => boolean): number[] {
  const draw = draws(seed)
  const shares = Array.from({ length: entries }, () => new LimitShare(limit, () => entries, draw(), 0))
  const times: number[] = []
  for (let now = 0; now < 60_000; now += TICK) {
    if (!wanted(now)) continue
    for (const share of shares) {
      if (!share.maySend(now)) continue
      share.sent(now)
      times.push(now)
    }
  }
  return times
}

function mostInWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((from, index) => times.slice(index).filter(at => at < from + WINDOW).length))
}

const loads: Record<string, (now: number) => boolean> = {
  'constant demand': () => true,
  'sudden demand after an idle time': now => now % 20_000 >= 15_000
}

describe('LimitShare', () => {
  for (const entries of [6, 24, 98, 380]) {
    for (const limit of [0, 0.3, 1.1, 1.7, 5, 20]) {
      for (const [load, wanted] of Object.entries(loads)) {
        it(`keeps ${entries} entries within ${limit} requests per second, ${load}`, () => {
          const allowed = 1.5 * limit * WINDOW / 1_000 + 5
          const most = Math.max(...[1, 2, 3].map(seed => mostInWindow(arrivals(entries, limit, seed, wanted))))
          assert.ok(most <= allowed, `${most} in 4 s, ${allowed} allowed`)
        })
      }
    }
  }

  // Few entries use almost the whole limit; many small shares that coincide by chance need a margin.
  const parts: [entries: number, limit: number, least: number][] = [[6, 1.1, 0.9], [6, 5, 0.4], [24, 1.1, 0.4], [98, 1.1, 0.4], [98, 20, 0.4], [380, 5, 0.4]]
  for (const [entries, limit, least] of parts) {
    it(`uses at least a share of ${least} of ${limit} requests per second with ${entries} entries`, () => {
      const used = arrivals(entries, limit, 5, () => true).length / 60 / limit
      assert.ok(used >= least, `used share: ${used.toFixed(2)}`)
    })
  }

  it('grants no extra permits for repeated changes of the limit', () => {
    const share = new LimitShare(1, () => 6, 0.5, 0)
    let sent = 0
    for (let now = 0; now < 60_000; now += TICK) {
      share.change(now % 40 === 0 ? 1 : 1.1, now)
      if (!share.maySend(now)) continue
      share.sent(now)
      sent += 1
    }
    assert.ok(sent >= 8 && sent <= 11, `${sent} requests in a minute, expected 8 to 11`)
  })

  it('assumes the largest fleet while the number of entries is unknown', () => {
    assert.ok(new LimitShare(1.1, () => undefined, 0.5, 0).rate(0) <= 1.1 / 400 / 1_000)
  })

  it('returns the time until the next permit', () => {
    const share = new LimitShare(1, () => 2, 0.5, 0)
    const wait = share.nextPermitIn(0)
    assert.deepEqual([share.maySend(wait - 1), share.maySend(wait + 1)], [false, true])
  })

  it('allows the full rate at high limits', () => {
    const share = new LimitShare(1_200, () => 6, 0, 0)
    let sent = 0
    for (let now = 10; now <= 1_000; now += 10) {
      for (; share.maySend(now); sent += 1) share.sent(now)
    }
    assert.ok(sent >= 180 && sent <= 200, `${sent} requests in a second, expected 180 to 200`)
  })

  it('uses the whole limit with few entries, whose permits cannot coincide', () => assert.equal(usedShare(1.1, 6), 1))
})
