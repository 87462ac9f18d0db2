/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { switchPlace, VersionSwitch, type SwitchView } from '../../../lib/routing/version-switch.js'

const BOUND = 8_000
const LEAD = 600
const NAMED = 10_000
/** The version was whole so long after its naming. */
const WHOLE = NAMED + 5_000

const view: SwitchView = { wanted: 2, heardAt: NAMED, whole: 2, engine: { version: 1, busy: false }, turn: { index: 1, of: 3, since: WHOLE } }

const last = { index: 2, of: 3, since: WHOLE }

/** What is decided at a time, when the version was whole since `WHOLE`. */
function decide (part: Partial<SwitchView>, now: number): string {
  const versionSwitch = new VersionSwitch(BOUND, LEAD)
  versionSwitch.step({ ...view, engine: undefined }, WHOLE)
  const step = versionSwitch.step({ ...view, ...part }, now)
  return step.type === 'order' ? step.why : step.type
}

describe('VersionSwitch', () => {
  // The last engine starts at NAMED + BOUND - LEAD, 2,400 ms after the version is whole.
  const cases: [name: string, part: Partial<SwitchView>, now: number, expected: string][] = [
    ['the first of a zone as soon as it would know of others', { turn: { index: 0, of: 3, since: WHOLE } }, WHOLE + 150, 'turn'],
    ['it not before', { turn: { index: 0, of: 3, since: WHOLE } }, WHOLE + 149, 'wait'],
    ['the middle one not before its turn', {}, WHOLE + 1_199, 'wait'],
    ['the middle one at its turn', {}, WHOLE + 1_200, 'turn'],
    ['one that is whole after its turn had come', { turn: { index: 1, of: 3, since: WHOLE - 2_000 } }, WHOLE + 200, 'turn'],
    ['the last one when entries give the old version nothing any more', { turn: last }, NAMED + BOUND - LEAD, 'turn'],
    ['it not before', { turn: last }, NAMED + BOUND - LEAD - 1, 'wait'],
    ['an engine that is alone in its zone at once', { turn: { index: 0, of: 1, since: WHOLE } }, WHOLE + 150, 'turn'],
    ['an empty engine at once', { engine: { version: 0, busy: false }, turn: last }, WHOLE, 'empty'],
    ['any engine after the bound', { turn: last }, NAMED + BOUND, 'late'],
    ['any engine when the time of the naming is unknown', { heardAt: undefined, turn: last }, WHOLE, 'late'],
    ['nothing while the version is not whole', { whole: 0 }, NAMED + BOUND, 'wait'],
    ['nothing while another version is whole', { whole: 1 }, NAMED + BOUND, 'wait'],
    ['nothing while the engine is busy', { engine: { version: 1, busy: true } }, NAMED + BOUND, 'wait'],
    ['nothing while the engine is silent', { engine: undefined }, NAMED + BOUND, 'wait'],
    ['nothing when it serves the version', { engine: { version: 2, busy: false } }, NAMED + BOUND, 'wait'],
    ['nothing when it serves a newer one', { engine: { version: 3, busy: false } }, NAMED + BOUND, 'wait'],
    ['nothing when none is wanted', { wanted: 0, whole: 0 }, NAMED + BOUND, 'wait']
  ]
  for (const [name, part, now, expected] of cases) it(`orders ${name}`, () => assert.equal(decide(part, now), expected))

  it('waits before it gives an order again', () => {
    const versionSwitch = new VersionSwitch(BOUND, LEAD)
    versionSwitch.step({ ...view, engine: undefined }, WHOLE)
    versionSwitch.answered('refused', WHOLE + 2_000)
    assert.equal(versionSwitch.step(view, WHOLE + 2_299).type, 'wait')
    assert.equal(versionSwitch.step(view, WHOLE + 2_300).type, 'order')
  })

  it('tells when its turn comes only while a switch is planned', () => {
    const versionSwitch = new VersionSwitch(BOUND, LEAD)
    versionSwitch.step({ ...view, engine: undefined }, WHOLE)
    assert.equal(versionSwitch.plannedAt(view), WHOLE + 1_200)
    assert.equal(versionSwitch.plannedAt({ ...view, whole: 0 }), undefined)
    assert.equal(versionSwitch.plannedAt({ ...view, engine: { version: 2, busy: false } }), undefined)
  })
})

describe('switchPlace', () => {
  const names = ['a', 'b', 'c', 'd']
  const members = names.map(instance => ({ instance, availabilityZone: 'koshi' }))
  const indexOf = (instance: string, whole: readonly string[]): number => switchPlace({ instance, availabilityZone: 'koshi' }, whole, members, 'm@2').index

  it('gives each engine of a zone a place of its own when all are whole', () => {
    assert.deepEqual(names.map(name => indexOf(name, names)).sort(), [0, 1, 2, 3])
  })

  it('gives the first place to the only one that is whole', () => {
    for (const name of names) assert.equal(indexOf(name, []), 0)
  })

  it('keeps the order in which all agree when others become whole', () => {
    const [first = '', second = ''] = [...names].sort((left, right) => indexOf(left, names) - indexOf(right, names))
    assert.equal(indexOf(second, []), 0)
    assert.equal(indexOf(second, [first]), 1)
    assert.equal(indexOf(first, [second]), 0)
  })

  const zones: [name: string, self: string, expected: number][] = [
    ['counts the engines of its zone, whole or not', 'a', 4],
    ['counts one that the list does not show yet', 'new', 5]
  ]
  for (const [name, instance, expected] of zones) {
    it(name, () => {
      const others = [...members, { instance: 'x', availabilityZone: 'bagmati' }]
      assert.deepEqual(switchPlace({ instance, availabilityZone: 'koshi' }, ['x'], others, 'm@2'), { index: 0, of: expected })
    })
  }
})
