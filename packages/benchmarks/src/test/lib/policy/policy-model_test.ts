/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { modelPool, simulatePolicy, type SiteName } from '../../../lib/policy/policy-model.js'
import { policyNames, type PolicyName } from '../../../lib/policy/policies.js'
import { VirtualEngine } from '../../../lib/policy/virtual-engine.js'
import { VirtualTime } from '../../../lib/policy/virtual-time.js'

describe('VirtualTime', () => {
  it('runs events in the order of their time, and events of the same time in the order of scheduling', () => {
    const time = new VirtualTime()
    const events: string[] = []
    for (const [milliseconds, name] of [[20, 'c'], [10, 'a'], [10, 'b'], [40, 'late']] as const) time.after(milliseconds, () => events.push(`${name} at ${time.now}`))
    time.runUntil(30)
    assert.deepEqual(events, ['a at 10', 'b at 10', 'c at 20'])
    assert.equal(time.now, 30)
  })
})

describe('VirtualEngine', () => {
  /** The time of each request's first token, in milliseconds; reading 2,070 prompt tokens takes 100. */
  const cases: [name: string, prompts: number[], firsts: number[]][] = [
    ['reads a prompt, then runs one step', [2_070], [109.27]],
    ['delays the next request until the current pass ends, and by the steps of generating requests', [1_000, 1_000], [57.58, 152.24]],
    ['reads a long prompt in several passes', [4_096], [216.41]]
  ]
  for (const [name, prompts, expected] of cases) {
    it(name, () => {
      const time = new VirtualTime()
      const engine = new VirtualEngine({ ...modelPool, promptTokensPerStep: 2_070, stepTimePerRequest: 0, stepTimePerThousandTokens: 0 }, time)
      const firsts: string[] = []
      for (const promptTokens of prompts) engine.send({ promptTokens, answerTokens: 10, onFirstToken: () => firsts.push(time.now.toFixed(2)), onEnd: () => {} })
      time.runUntil(1_000)
      assert.deepEqual(firsts, expected.map(milliseconds => milliseconds.toFixed(2)))
    })
  }

  it('rejects requests while it is not accepting', () => {
    const engine = new VirtualEngine(modelPool, new VirtualTime())
    engine.accepting = false
    assert.equal(engine.send({ promptTokens: 1, answerTokens: 1, onFirstToken: () => {}, onEnd: () => {} }), false)
  })

  it('counts admitted requests as running with their full prompt', () => {
    const time = new VirtualTime()
    const engine = new VirtualEngine(modelPool, time)
    engine.send({ promptTokens: 900, answerTokens: 10, onFirstToken: () => {}, onEnd: () => {} })
    engine.send({ promptTokens: 700, answerTokens: 10, onFirstToken: () => {}, onEnd: () => {} })
    assert.deepEqual(engine.reportedLoad(), { running: 1, waiting: 1, contextTokens: 900 })
    time.runUntil(5_000)
    assert.deepEqual(engine.reportedLoad(), { running: 0, waiting: 0, contextTokens: 0 })
  })
})

describe('simulatePolicy', () => {
  for (const policy of policyNames) {
    it(`gives the same figures for the same seed with ${policy}`, () => {
      assert.deepEqual(simulatePolicy({ site: 'few', policy, seed: 3, perSecond: 60 }), simulatePolicy({ site: 'few', policy, seed: 3, perSecond: 60 }))
    })
  }

  const seeds = [1, 2, 3, 4, 5, 6]

  function meanWorth (site: SiteName, policy: PolicyName, perSecond: number): number {
    return seeds.reduce((sum, seed) => sum + simulatePolicy({ site, policy, seed, perSecond }).worth, 0) / seeds.length
  }

  /*
   * 40 entries that each follow 20 of 32 engines receive four load reports per choice when every reading is sent to all followers. With one
   * report per choice they receive a quarter of that, and two thirds of the late answers are late because of the older reports.
   */
  it('earns more with a load report for each reading than with one per choice of the follower', () => {
    const run = { site: 'many-entries', policy: 'by-room', seed: 7, perSecond: 220 } as const
    const [everyReading, perChoice] = [simulatePolicy({ ...run, reportSchedule: 'each-look' }), simulatePolicy({ ...run, reportSchedule: 'by-choices' })]
    assert.ok(everyReading.worth > perChoice.worth + 0.01 && everyReading.late < perChoice.late, `${everyReading.worth} ${perChoice.worth}`)
    assert.ok(perChoice.reportsPerSecond < everyReading.reportsPerSecond / 2)
  })

  const rankings: [site: SiteName, better: PolicyName, worse: PolicyName, perSecond: number][] = [
    ['few', 'by-room', 'soonest-unread-unknown', 130],
    ['few', 'by-room', 'least-connections', 130],
    ['few', 'least-connections', 'random', 100],
    ['crowded', 'by-room', 'soonest', 40],
    ['crowded', 'by-room', 'least-connections', 40],
    ['crowded', 'sees-all', 'by-room', 40]
  ]
  for (const [site, better, worse, perSecond] of rankings) {
    it(`ranks ${better} before ${worse} at site ${site} with ${perSecond} requests per second`, () => {
      const [high, low] = [meanWorth(site, better, perSecond), meanWorth(site, worse, perSecond)]
      assert.ok(high > low, `${high} against ${low}`)
    })
  }

  // The floors for the crowded site, whose engines are full 90% of the time, guard against entries that receive half as many reports,
  // underestimate the traffic of other entries and ask callers to retry after a fifth to a third of their patience: that earned 0.83 and 0.68.
  const floors: [site: SiteName, perSecond: number, minimum: number][] = [
    ['few', 100, 0.97],
    ['crowded', 40, 0.87],
    ['crowded', 48, 0.73]
  ]
  for (const [site, perSecond, minimum] of floors) {
    it(`earns at least ${minimum} at site ${site} with ${perSecond} requests per second`, () => {
      const worth = meanWorth(site, 'by-room', perSecond)
      assert.ok(worth >= minimum, `${worth}`)
    })
  }

  it('earns no less with 20 of 84 engines followed than with 9 of 9, at the same load for each engine', () => {
    const worth = simulatePolicy({ site: 'hundreds', policy: 'by-room', seed: 1, perSecond: 375 }).worth
    assert.ok(worth >= meanWorth('crowded', 'by-room', 40), `${worth}`)
  })
})
