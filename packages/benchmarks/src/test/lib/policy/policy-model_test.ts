/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { modelPool, playPolicy, type SiteName } from '../../../lib/policy/policy-model.js'
import { policyNames, type PolicyName } from '../../../lib/policy/policies.js'
import { VirtualEngine } from '../../../lib/policy/virtual-engine.js'
import { VirtualTime } from '../../../lib/policy/virtual-time.js'

describe('VirtualTime', () => {
  it('plays events in the order of their time, and of their planning within one moment', () => {
    const time = new VirtualTime()
    const seen: string[] = []
    for (const [milliseconds, name] of [[20, 'c'], [10, 'a'], [10, 'b'], [40, 'late']] as const) time.after(milliseconds, () => seen.push(`${name} at ${time.now}`))
    time.playUntil(30)
    assert.deepEqual(seen, ['a at 10', 'b at 10', 'c at 20'])
    assert.equal(time.now, 30)
  })
})

describe('VirtualEngine', () => {
  /** When the first token of each request comes, in milliseconds; 2,070 prompt tokens are read in 100. */
  const cases: [name: string, prompts: number[], firsts: number[]][] = [
    ['reads a prompt, then plays one step', [2_070], [109.27]],
    ['lets the next one wait for the pass that is under way, and for the steps of those that write', [1_000, 1_000], [57.58, 152.24]],
    ['reads a long prompt in several passes', [4_096], [216.41]]
  ]
  for (const [name, prompts, expected] of cases) {
    it(name, () => {
      const time = new VirtualTime()
      const engine = new VirtualEngine({ ...modelPool, promptTokensPerStep: 2_070, stepTimePerRequest: 0, stepTimePerThousandTokens: 0 }, time)
      const firsts: string[] = []
      for (const promptTokens of prompts) engine.send({ promptTokens, answerTokens: 10, onFirst: () => firsts.push(time.now.toFixed(2)), onEnd: () => {} })
      time.playUntil(1_000)
      assert.deepEqual(firsts, expected.map(milliseconds => milliseconds.toFixed(2)))
    })
  }

  it('takes nothing while it is closed', () => {
    const engine = new VirtualEngine(modelPool, new VirtualTime())
    engine.accepting = false
    assert.equal(engine.send({ promptTokens: 1, answerTokens: 1, onFirst: () => {}, onEnd: () => {} }), false)
  })

  it('counts admitted requests as running with their whole prompt', () => {
    const time = new VirtualTime()
    const engine = new VirtualEngine(modelPool, time)
    engine.send({ promptTokens: 900, answerTokens: 10, onFirst: () => {}, onEnd: () => {} })
    engine.send({ promptTokens: 700, answerTokens: 10, onFirst: () => {}, onEnd: () => {} })
    assert.deepEqual(engine.reading(), { running: 1, waiting: 1, contextTokens: 900 })
    time.playUntil(5_000)
    assert.deepEqual(engine.reading(), { running: 0, waiting: 0, contextTokens: 0 })
  })
})

describe('playPolicy', () => {
  for (const policy of policyNames) {
    it(`gives the same figures for the same seed with ${policy}`, () => {
      assert.deepEqual(playPolicy({ site: 'few', policy, seed: 3, perSecond: 60 }), playPolicy({ site: 'few', policy, seed: 3, perSecond: 60 }))
    })
  }

  const seeds = [1, 2, 3, 4, 5, 6]

  function meanWorth (site: SiteName, policy: PolicyName, perSecond: number): number {
    return seeds.reduce((sum, seed) => sum + playPolicy({ site, policy, seed, perSecond }).worth, 0) / seeds.length
  }

  /*
   * 40 entries that follow 20 of 32 engines each hear four times as many reports as they choose, and an engine's report goes to all. Told
   * only as often as they choose, they hear a quarter, and two in three of the answers that come late are late for that reason.
   */
  it('earns more when each look is told than when followers are told as often as they choose', () => {
    const play = { site: 'many-entries', policy: 'by-room', seed: 7, perSecond: 220 } as const
    const [eachLook, byChoices] = [playPolicy({ ...play, telling: 'each-look' }), playPolicy({ ...play, telling: 'by-choices' })]
    assert.ok(eachLook.worth > byChoices.worth + 0.01 && eachLook.late < byChoices.late, `${eachLook.worth} ${byChoices.worth}`)
    assert.ok(byChoices.heardPerSecond < eachLook.heardPerSecond / 2)
  })

  const orders: [site: SiteName, better: PolicyName, worse: PolicyName, perSecond: number][] = [
    ['few', 'by-room', 'soonest-unread-unknown', 130],
    ['few', 'by-room', 'least-connections', 130],
    ['few', 'least-connections', 'random', 100],
    ['crowded', 'by-room', 'soonest', 40],
    ['crowded', 'by-room', 'least-connections', 40],
    ['crowded', 'sees-all', 'by-room', 40]
  ]
  for (const [site, better, worse, perSecond] of orders) {
    it(`ranks ${better} before ${worse} where ${site} are asked ${perSecond} times a second`, () => {
      const [high, low] = [meanWorth(site, better, perSecond), meanWorth(site, worse, perSecond)]
      assert.ok(high > low, `${high} against ${low}`)
    })
  }

  // Engines that are full nine tenths of the time: entries that saw them half as often, expected others to send less, and told callers
  // to come back after a fifth to a third of their patience earned 0.83 and 0.68.
  const floors: [site: SiteName, perSecond: number, least: number][] = [
    ['few', 100, 0.97],
    ['crowded', 40, 0.87],
    ['crowded', 48, 0.73]
  ]
  for (const [site, perSecond, least] of floors) {
    it(`earns ${least} at least where ${site} are asked ${perSecond} times a second`, () => {
      const worth = meanWorth(site, 'by-room', perSecond)
      assert.ok(worth >= least, `${worth}`)
    })
  }

  it('earns no less with 20 of 84 engines followed than with 9 of 9, at the same load for each engine', () => {
    const worth = playPolicy({ site: 'hundreds', policy: 'by-room', seed: 1, perSecond: 375 }).worth
    assert.ok(worth >= meanWorth('crowded', 'by-room', 40), `${worth}`)
  })
})
