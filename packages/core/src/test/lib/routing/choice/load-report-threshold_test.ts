/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { LoadReport } from '../../../../lib/routing/choice/endpoint-load.js'
import { shouldSendReport } from '../../../../lib/routing/choice/load-report-threshold.js'

const told: LoadReport = { running: 8, waiting: 0, unreadTokens: 3_000, version: 1, accepting: true, pace: 1 }

describe('shouldSendReport', () => {
  const cases: [name: string, load: Partial<LoadReport>, age: number, news: boolean][] = [
    ['an unchanged report', {}, 0, false],
    ['prompts read as fast as expected', { unreadTokens: 1_000 }, 100, false],
    ['prompts that are not read as expected', { unreadTokens: 3_000 }, 100, true],
    ['a new prompt', { unreadTokens: 2_200 }, 100, true],
    ['one more running request while slots are free', { running: 9 }, 0, false],
    ['several more running requests', { running: 10 }, 0, true],
    ['a queue', { waiting: 1 }, 0, true],
    ['a new version', { version: 2 }, 0, true],
    ['a closed engine', { accepting: false }, 0, true],
    ['a planned switch', { closesIn: 500 }, 0, true],
    ['a planned opening', { opensIn: 800 }, 0, true],
    ['a slower pace', { pace: 1.2 }, 0, true],
    ['a slightly slower pace', { pace: 1.02 }, 0, false]
  ]
  for (const [name, part, age, news] of cases) {
    it(`${news ? 'reports' : 'does not report'} ${name}`, () => {
      assert.equal(shouldSendReport({ ...told, ...part }, { told, age, readRate: 20, slots: 16 }), news)
    })
  }

  it('does not report a planned switch that shifts within the tolerance', () => {
    assert.equal(shouldSendReport({ ...told, closesIn: 400 }, { told: { ...told, closesIn: 500 }, age: 0, readRate: 20, slots: 16 }), false)
  })
  const closings: [name: string, before: number, closesIn: number, age: number, news: boolean][] = [
    ['a planned switch that approaches as expected', 500, 400, 100, false],
    ['a planned switch that is slightly earlier', 500, 360, 0, false],
    ['a planned switch that does not approach', 500, 500, 200, true],
    ['a planned switch that is postponed', 500, 900, 0, true]
  ]
  for (const [name, before, closesIn, age, news] of closings) {
    it(`${news ? 'reports' : 'does not report'} ${name}`, () => {
      const earlier = { ...told, closesIn: before }
      assert.equal(shouldSendReport({ ...earlier, closesIn }, { told: earlier, age, readRate: 0, slots: 16 }), news)
    })
  }

  const openings: [name: string, before: number, opensIn: number, age: number, news: boolean][] = [
    ['an opening that approaches as expected', 800, 700, 100, false],
    ['an opening that is slightly later', 800, 900, 100, false],
    ['an opening that does not approach', 800, 800, 400, true],
    ['an opening that is postponed', 800, 1_500, 0, true]
  ]
  for (const [name, before, opensIn, age, news] of openings) {
    it(`${news ? 'reports' : 'does not report'} ${name}`, () => {
      const earlier = { ...told, accepting: false, opensIn: before }
      assert.equal(shouldSendReport({ ...earlier, opensIn }, { told: earlier, age, readRate: 0, slots: 16 }), news)
    })
  }

  it('reports one more running request if few slots are free', () => {
    assert.equal(shouldSendReport({ ...told, running: 14 }, { told: { ...told, running: 13 }, age: 0, readRate: 20, slots: 16 }), true)
  })
})
