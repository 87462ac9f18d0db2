/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { switchPlace, VersionSwitch, type SwitchTurn, type SwitchView } from '../../../../lib/routing/weights/version-switch.js'

const BOUND = 8_000
const LEAD = 600
const NAMED = 10_000
/** The version was whole so long after its naming. */
const WHOLE = NAMED + 5_000

/** A turn among three engines that will all hold the version in the end. */
function turnOf (index: number, since = WHOLE, of = 3): SwitchTurn { return { index, finalIndex: index, of, since } }

const view: SwitchView = { wanted: 2, heardAt: NAMED, whole: 2, wholeIn: 0, engine: { version: 1, busy: false }, turn: turnOf(1) }

const last = turnOf(2)

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
    ['the first of a zone as soon as it would know of others', { turn: turnOf(0) }, WHOLE + 150, 'turn'],
    ['it not before', { turn: turnOf(0) }, WHOLE + 149, 'wait'],
    ['the middle one not before its turn', {}, WHOLE + 1_199, 'wait'],
    ['the middle one at its turn', {}, WHOLE + 1_200, 'turn'],
    ['one that is whole after its turn had come', { turn: turnOf(1, WHOLE - 2_000) }, WHOLE + 200, 'turn'],
    ['the last one when entries give the old version nothing any more', { turn: last }, NAMED + BOUND - LEAD, 'turn'],
    ['it not before', { turn: last }, NAMED + BOUND - LEAD - 1, 'wait'],
    ['an engine that is alone in its zone at once', { turn: turnOf(0, WHOLE, 1) }, WHOLE + 150, 'turn'],
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

  const soon = { whole: 0, wholeIn: 1_000 }
  const plans: [name: string, part: Partial<SwitchView>, now: number, expected: number | undefined][] = [
    ['its turn when the version is whole', {}, WHOLE, WHOLE + 1_200],
    ['its turn ahead when the version will soon be whole', { ...soon, turn: turnOf(1, WHOLE - 1_000) }, WHOLE - 1_000, WHOLE + 700],
    ['the first turn not before the version is whole', { ...soon, turn: turnOf(0) }, WHOLE, WHOLE + 1_150],
    ['the turn that it will have when all are whole', { ...soon, turn: { ...turnOf(0), finalIndex: 2 } }, WHOLE, WHOLE + 2_400],
    ['nothing while it takes long until the version is whole', { whole: 0, wholeIn: 1_600 }, WHOLE, undefined],
    ['nothing while it is not known when the version is whole', { whole: 0, wholeIn: undefined }, WHOLE, undefined],
    ['nothing when the engine serves the version', { engine: { version: 2, busy: false } }, WHOLE, undefined],
    ['nothing when the engine is empty', { engine: { version: 0, busy: false } }, WHOLE, undefined],
    ['nothing when the engine is silent', { engine: undefined }, WHOLE, undefined],
    ['nothing when the time of the naming is unknown', { heardAt: undefined }, WHOLE, undefined]
  ]
  for (const [name, part, now, expected] of plans) {
    it(`tells ${name}`, () => {
      const versionSwitch = new VersionSwitch(BOUND, LEAD)
      versionSwitch.step({ ...view, engine: undefined }, WHOLE)
      assert.equal(versionSwitch.plannedAt({ ...view, ...part }, now), expected)
    })
  }
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

  it('tells the place that it will have when all are whole', () => {
    const finalIndexOf = (instance: string): number => switchPlace({ instance, availabilityZone: 'koshi' }, [], members, 'm@2').finalIndex
    for (const name of names) assert.equal(finalIndexOf(name), indexOf(name, names))
  })

  const zones: [name: string, self: string, expected: number][] = [
    ['counts the engines of its zone, whole or not', 'a', 4],
    ['counts one that the list does not show yet', 'new', 5]
  ]
  for (const [name, instance, expected] of zones) {
    it(name, () => {
      const others = [...members, { instance: 'x', availabilityZone: 'bagmati' }]
      const { index, of } = switchPlace({ instance, availabilityZone: 'koshi' }, ['x'], others, 'm@2')
      assert.deepEqual({ index, of }, { index: 0, of: expected })
    })
  }
})
