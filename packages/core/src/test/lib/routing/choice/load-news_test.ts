/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { LoadReport } from '../../../../lib/routing/choice/endpoint-load.js'
import { isLoadNews } from '../../../../lib/routing/choice/load-news.js'

const told: LoadReport = { running: 8, waiting: 0, unreadTokens: 3_000, version: 1, accepting: true, pace: 1 }

describe('isLoadNews', () => {
  const cases: [name: string, load: Partial<LoadReport>, age: number, news: boolean][] = [
    ['the same', {}, 0, false],
    ['prompts read as fast as expected', { unreadTokens: 1_000 }, 100, false],
    ['prompts that are not read', { unreadTokens: 3_000 }, 100, true],
    ['a new prompt', { unreadTokens: 2_200 }, 100, true],
    ['one request more of a few', { running: 9 }, 0, false],
    ['several requests more', { running: 10 }, 0, true],
    ['a queue', { waiting: 1 }, 0, true],
    ['another version', { version: 2 }, 0, true],
    ['a closed engine', { accepting: false }, 0, true],
    ['a planned switch', { closesIn: 500 }, 0, true],
    ['when it opens', { opensIn: 800 }, 0, true],
    ['a slower pace', { pace: 1.2 }, 0, true],
    ['hardly a slower pace', { pace: 1.02 }, 0, false]
  ]
  for (const [name, part, age, news] of cases) {
    it(`${news ? 'tells' : 'does not tell'} ${name}`, () => {
      assert.equal(isLoadNews({ ...told, ...part }, { told, age, readRate: 20, slots: 16 }), news)
    })
  }

  it('does not tell that a planned switch comes nearer', () => {
    assert.equal(isLoadNews({ ...told, closesIn: 400 }, { told: { ...told, closesIn: 500 }, age: 0, readRate: 20, slots: 16 }), false)
  })
  const closings: [name: string, before: number, closesIn: number, age: number, news: boolean][] = [
    ['a planned switch that comes nearer with time', 500, 400, 100, false],
    ['a planned switch that comes a little sooner', 500, 360, 0, false],
    ['a planned switch that does not come nearer', 500, 500, 200, true],
    ['a planned switch that is put off', 500, 900, 0, true]
  ]
  for (const [name, before, closesIn, age, news] of closings) {
    it(`${news ? 'tells' : 'does not tell'} ${name}`, () => {
      const earlier = { ...told, closesIn: before }
      assert.equal(isLoadNews({ ...earlier, closesIn }, { told: earlier, age, readRate: 0, slots: 16 }), news)
    })
  }

  const openings: [name: string, before: number, opensIn: number, age: number, news: boolean][] = [
    ['an opening that comes nearer', 800, 700, 100, false],
    ['an opening that comes a little late', 800, 900, 100, false],
    ['an opening that does not come nearer', 800, 800, 400, true],
    ['an opening that is put off', 800, 1_500, 0, true]
  ]
  for (const [name, before, opensIn, age, news] of openings) {
    it(`${news ? 'tells' : 'does not tell'} ${name}`, () => {
      const earlier = { ...told, accepting: false, opensIn: before }
      assert.equal(isLoadNews({ ...earlier, opensIn }, { told: earlier, age, readRate: 0, slots: 16 }), news)
    })
  }

  it('tells one request more when all slots are nearly taken', () => {
    assert.equal(isLoadNews({ ...told, running: 14 }, { told: { ...told, running: 13 }, age: 0, readRate: 20, slots: 16 }), true)
  })
})
