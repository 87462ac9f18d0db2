/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { fuzzPromises } from '../lib/campaign.js'
import { ConfigurationWorld } from '../lib/configuration-world.js'
import { RequestWorld } from '../lib/request-world.js'
import { suspectScenario } from '../lib/scenarios.js'
import { realSuspectParts } from '../lib/suspect-world.js'
import { WeightsWorld } from '../lib/weights-world.js'
import { variants } from '../lib/variants.js'

const SEEDS = [1, 7, 21]
const RUNS = 40
/** The number of runs within which a variant must violate its promise, not counting those that shrink the case. */
const NEGATIVE_RUNS = 400

describe('the promises hold under fuzzing', () => {
  for (const seed of SEEDS) {
    for (const scenario of ['weights', 'requests', 'configuration', 'routed', 'plain', 'suspects', 'limits']) {
      it(`${scenario}, seed ${seed}`, () => {
        const lines: string[] = []
        const held = fuzzPromises({ seed, runs: RUNS, scenario, print: line => lines.push(line) })
        assert.ok(held, lines.join('\n'))
        assert.ok(lines.every(line => /commands=[1-9]/.test(line)), 'at least one command was executed')
      })
    }
  }
})

describe('a removed protection is detected', () => {
  // Only the fast variants run here; `npm run fuzz -- --negatives` runs all.
  for (const name of ['chunks-unverified', 'load-before-whole', 'parts-as-they-come', 'keepers-forget', 'any-answer-ends-a-stream', 'retries-at-birth', 'every-entry-has-all-retries', 'losses-forgotten', 'each-entry-for-itself', 'held-back-at-once', 'parts-not-evaluated', 'answers-clear-no-parts', 'suspicions-not-contradicted', 'limits-not-heeded', 'each-entry-has-the-whole-limit', 'cold-not-limited', 'each-entry-has-the-whole-cold-rate', 'starts-not-taken-for-cold', 'reopened-zones-not-cold']) {
    it(name, () => {
      const variant = variants.find(candidate => candidate.name === name)
      const finding = variant?.run({ seed: 7, runs: NEGATIVE_RUNS })
      assert.ok(finding?.violations.some(violation => violation.includes(` ms: ${variant?.promise}:`)), finding?.violations.join())
    })
  }
})

describe('regressions found by fuzzing', () => {
  // An agent that missed the answers of a part tells a started entry its losses; the reset of the entry's own connections adds one.
  it('an entry that has just started does not hold back a part that all others answer', () => {
    const steps: [action: string, values: number[], pause: number][] = [
      ['load', [341, 100], 0], ['repeat', [0, 701, 270], 1_957], ['restart', [0], 0], ['load', [316, 819], 0], ['repeat', [381, 351, 105], 60], ['reset-connections', [0], 60]
    ]
    const subject = suspectScenario.create(26451112, realSuspectParts)
    for (const [name, values, pause] of steps) {
      suspectScenario.actions.find(action => action.name === name)?.run(subject, values)
      subject.world.advance(pause)
    }
    subject.settle()
    assert.deepEqual(subject.world.violations, [])
  })

  const configuration: [name: string, play: (subject: ConfigurationWorld) => void][] = [
    ['the service is down from the start and recovers', subject => {
      subject.setService('down')
      subject.world.advance(27_000)
      subject.setService('normal')
      subject.quiet()
    }],
    ['the service is stale for a long time and recovers', subject => {
      subject.quiet()
      subject.setService('stale')
      subject.world.advance(60_000)
      subject.setService('normal')
      subject.publish(true)
      subject.quiet()
    }],
    ['a process restarts while the service is stale and its peers hold a newer revision', subject => {
      subject.publish(true)
      subject.quiet()
      subject.setService('stale')
      subject.restart(4)
      subject.world.advance(5_000)
    }],
    ['a process restarts while the service has an invalid revision newer than that of its peers', subject => {
      subject.publish(true)
      subject.quiet()
      subject.publish(false)
      subject.restart(7)
      subject.quiet()
    }],
    ['a zone is cut off from the platform and from one of the two other zones', subject => {
      subject.quiet()
      subject.cutPlatform(0)
      subject.cutZones(1, 0, false)
      subject.publish(true)
      subject.quiet()
    }]
  ]
  for (const [name, play] of configuration) {
    it(name, () => {
      for (let seed = 1; seed <= 10; seed += 1) {
        const subject = new ConfigurationWorld(seed)
        play(subject)
        subject.settle()
        assert.deepEqual(subject.world.violations, [], `seed ${seed}`)
      }
    })
  }

  it('an agent is thawed while its replacement runs', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const subject = new WeightsWorld(seed)
      subject.world.advance(8_000)
      subject.setDesiredVersion(1)
      subject.replace(1, true)
      for (let index = 0; index < 40; index += 1) {
        subject.request(1)
        subject.world.advance(250)
      }
      subject.settle()
      assert.deepEqual(subject.world.violations, [], `seed ${seed}`)
    }
  })

  it('an entry is frozen with a request in progress for longer than its deadline', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const subject = new RequestWorld(seed)
      subject.submit('notice', 0, true)
      subject.submit('notice', 1, true)
      subject.freezeEntry(1)
      subject.world.advance(25_000)
      subject.settle()
      assert.deepEqual(subject.world.violations, [], `seed ${seed}`)
    }
  })
})
