/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdmissionController } from '../../lib/admission.js'
import type { InstanceRecord } from '../../lib/documents.js'
import { EngineSwitch, type EngineReport, type SwitchEffect, type SwitchInputs } from '../../lib/engine-switch.js'

const members: InstanceRecord[] = ['a', 'b'].map(instance => ({ instance, availabilityZone: 'koshi', role: 'agent', address: '10.0.0.1:1', endpoint: 'p', state: 'live' }))
const alone = members.filter(member => member.instance === 'a')
const SETTLED_AT = 10_000

function report (change: Partial<EngineReport> = {}): EngineReport {
  return { version: 'v1', loading: '', failed: '', fence: 1, running: 0, ...change }
}

function situation (change: Partial<SwitchInputs> = {}): SwitchInputs {
  return { target: { manifestDigest: 'v2', switchFraction: 0.5 }, wholeDigest: 'v2', members: alone, configuredDigests: new Set(['v1', 'v2']), ...change }
}

/** Returns a switch whose agent took its engine over at time 0. */
function takenOverSwitch (): { engineSwitch: EngineSwitch, admission: AdmissionController } {
  const admission = new AdmissionController('a.1', 4)
  const engineSwitch = new EngineSwitch('a', admission, 0)
  engineSwitch.step(report({ fence: 0 }), situation(), 0)
  engineSwitch.takeOverAnswered(1, 'taken', 0)
  return { engineSwitch, admission }
}

const types = (effects: readonly SwitchEffect[]): string[] => effects.map(effect => effect.type)

describe('EngineSwitch', () => {
  it('first takes the engine over with a fence above its last one', () => {
    const engineSwitch = new EngineSwitch('a', new AdmissionController('a.1', 4), 0)
    assert.deepEqual(engineSwitch.step(report({ fence: 6 }), situation(), 100), [{ type: 'take-over', fence: 7 }])
  })

  const replacements: [name: string, act: (engineSwitch: EngineSwitch) => SwitchEffect[]][] = [
    ['another agent took over first', engineSwitch => engineSwitch.takeOverAnswered(7, 'stale-fence', 200)],
    ['it was paused before the take-over', engineSwitch => engineSwitch.step(report(), situation(), 9_000)],
    ['a newer agent has taken the engine over', engineSwitch => {
      engineSwitch.takeOverAnswered(7, 'taken', 200)
      return engineSwitch.step(report({ fence: 8 }), situation(), 300)
    }]
  ]
  for (const [name, act] of replacements) {
    it(`stops when ${name}`, () => {
      const admission = new AdmissionController('a.1', 4)
      const engineSwitch = new EngineSwitch('a', admission, 0)
      engineSwitch.step(report({ fence: 6 }), situation(), 100)
      assert.deepEqual(types(act(engineSwitch)), ['replaced'])
      assert.equal(admission.lifecycle, 'stopped')
      assert.deepEqual(engineSwitch.step(report(), situation(), 10_000), [])
    })
  }

  const steps: [name: string, engine: EngineReport | undefined, at: SwitchInputs, effects: string[], serving: boolean][] = [
    ['loads a complete version', report(), situation(), ['began', 'order-load'], true],
    ['waits until the version is complete', report(), situation({ wholeDigest: '' }), [], true],
    ['waits while another load is in progress', report({ loading: 'v1' }), situation(), [], false],
    ['waits for requests that the engine reports as running', report({ running: 2 }), situation(), ['began'], true],
    ['takes no action when the wanted version is served', report({ version: 'v2' }), situation(), [], true],
    ['does not serve a version that is not configured', report({ version: 'v0' }), situation({ target: undefined }), [], false],
    ['does not serve without a report', undefined, situation(), [], false],
    ['loads an empty engine without waiting for the previous wave', report({ version: '' }), situation({ members }), ['began', 'order-load'], false]
  ]
  for (const [name, engine, at, effects, serving] of steps) {
    it(name, () => {
      const { engineSwitch, admission } = takenOverSwitch()
      assert.deepEqual(types(engineSwitch.step(engine, at, SETTLED_AT)), effects)
      assert.equal(admission.serving, serving)
    })
  }

  it('queries the previous wave and halts when it failed', () => {
    const pair = ['a', 'b'].map(self => {
      const admission = new AdmissionController(`${self}.1`, 4)
      const engineSwitch = new EngineSwitch(self, admission, 0)
      engineSwitch.step(report({ fence: 0 }), situation({ members }), 0)
      engineSwitch.takeOverAnswered(1, 'taken', 0)
      return { engineSwitch, first: types(engineSwitch.step(report(), situation({ members }), SETTLED_AT)) }
    })
    const second = pair.find(({ first }) => first.includes('ask-progress'))
    assert.equal(pair.filter(({ first }) => first.includes('began')).length, 1, 'exactly one engine starts first')
    for (const name of ['a', 'b']) second?.engineSwitch.progressReported(name, 'failed', SETTLED_AT)
    assert.deepEqual(types(second?.engineSwitch.step(report(), situation({ members }), SETTLED_AT + 200) ?? []), ['halted', 'ask-progress'])
    assert.equal(second?.engineSwitch.halted, true)
  })

  it('limits the rate at which it queries a large wave', () => {
    const many: InstanceRecord[] = Array.from({ length: 200 }, (_, index) => ({ ...(members[0] as InstanceRecord), instance: `m-${index}` }))
    const last = many.map(({ instance }) => instance).find(self => {
      const engineSwitch = new EngineSwitch(self, new AdmissionController(`${self}.1`, 4), 0)
      engineSwitch.step(report({ fence: 0 }), situation({ members: many }), 0)
      engineSwitch.takeOverAnswered(1, 'taken', 0)
      return types(engineSwitch.step(report(), situation({ members: many }), SETTLED_AT)).includes('ask-progress')
    }) ?? ''
    const engineSwitch = new EngineSwitch(last, new AdmissionController(`${last}.1`, 4), 0)
    engineSwitch.step(report({ fence: 0 }), situation({ members: many }), 0)
    engineSwitch.takeOverAnswered(1, 'taken', 0)
    let asked = 0
    for (let now = SETTLED_AT; now < SETTLED_AT + 10_000; now += 200) {
      for (const effect of engineSwitch.step(report(), situation({ members: many }), now)) if (effect.type === 'ask-progress') asked += effect.instances.length
    }
    assert.ok(asked >= 128 && asked <= 192, `${asked}`)
  })

  it('waits for its requests, loads, and reopens admission when the engine reports the version', () => {
    const { engineSwitch, admission } = takenOverSwitch()
    engineSwitch.step(report(), situation({ target: undefined }), 5_000)
    const run = admission.run(0)
    assert.deepEqual(types(engineSwitch.step(report(), situation(), SETTLED_AT)), ['began'])
    assert.equal(admission.run(0).type, 'refused')
    admission.finished(run.type === 'admitted' ? run.run : 0)
    assert.deepEqual(types(engineSwitch.step(report(), situation(), SETTLED_AT + 200)), ['order-load'])
    engineSwitch.loadAnswered('v2', 'ordered', SETTLED_AT + 210)
    assert.deepEqual(engineSwitch.step(report({ loading: 'v2' }), situation(), SETTLED_AT + 400), [])
    assert.equal(admission.run(0).type, 'refused')
    assert.deepEqual(types(engineSwitch.step(report({ version: 'v2' }), situation(), SETTLED_AT + 600)), ['switched'])
    assert.equal(admission.run(0).type, 'admitted')
  })

  const answers: [result: 'stale-fence' | 'refused' | 'refused-here' | 'unreachable', open: boolean][] = [['stale-fence', true], ['refused', true], ['refused-here', true], ['unreachable', false]]
  for (const [result, open] of answers) {
    it(`keeps admission ${open ? 'open' : 'closed'} after a load order with the result "${result}"`, () => {
      const { engineSwitch, admission } = takenOverSwitch()
      engineSwitch.step(report(), situation(), SETTLED_AT)
      engineSwitch.loadAnswered('v2', result, SETTLED_AT)
      assert.equal(admission.run(0).type === 'admitted', open)
    })
  }

  it('keeps serving the old version when a load fails and does not retry the load', () => {
    const { engineSwitch, admission } = takenOverSwitch()
    engineSwitch.step(report(), situation(), SETTLED_AT)
    engineSwitch.loadAnswered('v2', 'ordered', SETTLED_AT)
    assert.deepEqual(types(engineSwitch.step(report({ failed: 'v2' }), situation(), SETTLED_AT + 400)), ['load-failed'])
    assert.equal(admission.run(0).type, 'admitted')
    assert.equal(engineSwitch.progress('v2'), 'failed')
    assert.deepEqual(engineSwitch.step(report({ failed: 'v2' }), situation(), SETTLED_AT + 60_000), [])
  })
})
