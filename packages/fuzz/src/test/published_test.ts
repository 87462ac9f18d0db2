/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { fuzzPromises } from '../lib/campaign.js'
import { realPublishedParts, type PublishedParts } from '../lib/published-parts.js'
import { PublishedWorld } from '../lib/published-world.js'
import { publishedChanges, variants } from '../lib/variants.js'

const SEEDS = [1, 7, 21]
const RUNS = 40
/** The number of runs within which a variant must violate its promise, not counting those that shrink the case. */
const NEGATIVE_RUNS = 400
const PLAY_SEEDS = 10
/** Number of processes, three of which are relays. */
const PROCESSES = 9
/** Time until every process follows the store undisturbed, in milliseconds. */
const START_TIME = 5_000

describe('the promises about published state hold under fuzzing', () => {
  for (const seed of SEEDS) {
    it(`seed ${seed}`, () => {
      const lines: string[] = []
      const held = fuzzPromises({ seed, runs: RUNS, scenario: 'published', print: line => lines.push(line) })
      assert.ok(held, lines.join('\n'))
      assert.ok(lines.every(line => /commands=[1-9]/.test(line)), 'at least one command was executed')
    })
  }
})

describe('a removed protection of published state is detected', () => {
  // Only the fast variants run here; `npm run fuzz -- --negatives` runs all.
  for (const name of ['epochs-ignored', 'copies-taken-for-all', 'versions-dated-at-receipt', 'only-newest-version-told', 'ages-of-cached-deltas-not-renewed', 'long-ages-dropped', 'versions-due-at-once',
    'regions-not-checked', 'organisations-regions-not-checked', 'unknown-regions-by-name', 'evacuations-not-checked', 'evacuations-not-told']) {
    it(name, () => {
      const variant = variants.find(candidate => candidate.name === name)
      const finding = variant?.run({ seed: 7, runs: NEGATIVE_RUNS })
      assert.ok(finding?.violations.some(violation => violation.includes(` ms: ${variant?.promise}:`)), finding?.violations.join())
    })
  }
})

describe('no process counts the bound of a version from later than its acknowledgement', () => {
  const plays: [name: string, play: (subject: PublishedWorld) => void][] = [
    ['one version', subject => subject.publishVersion()],
    ['two versions in quick succession', subject => subject.publishTwoVersions(0)],
    ['two versions a pause between watches apart', subject => subject.publishTwoVersions(0.2)],
    ['all connections go silent before the version', subject => {
      subject.silenceAll()
      subject.world.advance(20)
      subject.publishVersion()
    }],
    ['a version, then all connections go silent and another version is named', subject => {
      subject.publishVersion()
      subject.world.advance(400)
      subject.silenceAll()
      subject.publishVersion()
    }],
    ['the links between a zone and the platform are full', subject => {
      subject.fillLink(2, 0.2, 1)
      subject.world.advance(1_500)
      subject.publishVersion()
    }],
    ['the links between two zones are full', subject => {
      subject.fillLink(0, 0, 1)
      subject.world.advance(1_500)
      subject.publishVersion()
    }],
    ['the history is lost right after the version', subject => {
      subject.silenceAll()
      subject.publishVersion()
      subject.forget()
    }],
    ['a process restarts right after the version', subject => subject.restartAroundVersion(5, 0.55)],
    ['a relay restarts right before the version', subject => subject.restartAroundVersion(1, 0.4)]
  ]
  for (const [name, play] of plays) {
    it(name, () => {
      const found: string[] = []
      for (let seed = 1; seed <= PLAY_SEEDS; seed += 1) {
        const subject = new PublishedWorld(seed, undefined, PROCESSES)
        subject.world.advance(START_TIME)
        subject.publishVersion()
        subject.world.advance(START_TIME)
        play(subject)
        subject.world.advance(START_TIME)
        subject.settle()
        found.push(...subject.world.violations.map(violation => `seed ${seed}: ${violation}`))
      }
      assert.deepEqual(found, [])
    })
  }
})

describe('an evacuation and its end reach every process', () => {
  const plays: [name: string, variant: string | undefined, promise: string, play: (subject: PublishedWorld) => void][] = [
    ['an evacuation that a restored store lacks until the operators write it again', 'evacuations-dropped-at-restore', 'never-back', subject => {
      subject.evacuate(0)
      subject.world.advance(1_000)
      subject.restore(0.1, 0.5)
    }],
    ['an evacuation that ends while the links of a zone are cut and the history is lost', 'ends-of-evacuations-lost', 'in-force-after-restore', subject => {
      subject.evacuate(0)
      subject.world.advance(3_000)
      subject.cutZone(1)
      subject.endEvacuation(0)
      subject.forget()
      subject.world.advance(2_000)
    }],
    ['an evacuation while a process restarts', 'starting-processes-not-told-of-evacuations', 'in-force-after-restore', subject => {
      subject.evacuate(0)
      subject.world.advance(3_000)
      subject.restart(5)
    }],
    ['a restore right after an evacuation ended', undefined, '', subject => {
      subject.evacuate(0)
      subject.world.advance(60)
      subject.endEvacuation(0)
      subject.restore(0, 0)
    }],
    ['an evacuation that ends before the operators have written it again', undefined, '', subject => {
      subject.evacuate(0)
      subject.world.advance(100)
      subject.restore(0.1, 0.1)
      subject.world.advance(318)
      subject.endEvacuation(0)
    }]
  ]

  function violationsOf (play: (subject: PublishedWorld) => void, parts: Partial<PublishedParts>): string[] {
    const found: string[] = []
    for (let seed = 1; seed <= PLAY_SEEDS; seed += 1) {
      const subject = new PublishedWorld(seed, { ...realPublishedParts, ...parts }, PROCESSES)
      subject.world.advance(START_TIME)
      play(subject)
      subject.world.advance(START_TIME)
      subject.settle()
      found.push(...subject.world.violations.map(violation => `seed ${seed}: ${violation}`))
    }
    return found
  }

  for (const [name, variantName, promise, play] of plays) {
    it(name, () => assert.deepEqual(violationsOf(play, {}), []))
    const changedParts = publishedChanges.get(variantName ?? '')
    if (changedParts !== undefined) it(`${name}: ${variantName} is detected`, () => assert.ok(violationsOf(play, changedParts).some(violation => violation.includes(` ms: ${promise}:`))))
  }
})
