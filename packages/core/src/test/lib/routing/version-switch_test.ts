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

const view: SwitchView = { wanted: 2, heardAt: NAMED, whole: 2, engine: { version: 1, busy: false }, place: 0.5 }

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
    ['the first of a zone at once', { place: 0 }, WHOLE, 'turn'],
    ['the middle one not before its turn', {}, WHOLE + 1_199, 'wait'],
    ['the middle one at its turn', {}, WHOLE + 1_200, 'turn'],
    ['an empty engine at once', { engine: { version: 0, busy: false }, place: 0.9 }, WHOLE, 'empty'],
    ['any engine after the bound', { place: 0.9 }, NAMED + BOUND, 'late'],
    ['any engine when the time of the naming is unknown', { heardAt: undefined, place: 0.9 }, WHOLE, 'late'],
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
  const members = ['a', 'b', 'c', 'd'].map(instance => ({ instance, availabilityZone: 'koshi' }))

  it('gives each engine of a zone a place of its own, evenly spread from first to last', () => {
    assert.deepEqual(members.map(member => switchPlace(member, members, 'm@2')).sort(), [0, 1 / 3, 2 / 3, 1])
  })

  it('does not count other zones', () => {
    const others = [...members, { instance: 'x', availabilityZone: 'bagmati' }]
    for (const member of members) assert.equal(switchPlace(member, others, 'm@2'), switchPlace(member, members, 'm@2'))
  })

  it('gives a place to one that the list does not show yet', () => {
    const place = switchPlace({ instance: 'new', availabilityZone: 'koshi' }, members, 'm@2')
    assert.ok([0, 0.25, 0.5, 0.75, 1].includes(place), `${place}`)
  })

  it('lets an engine that is alone switch first', () => {
    assert.equal(switchPlace({ instance: 'x', availabilityZone: 'bagmati' }, members, 'm@2'), 0)
  })
})
