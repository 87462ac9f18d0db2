/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { switchPosition, VersionSwitch, type SwitchPosition, type SwitchView } from '../../../../lib/routing/weights/version-switch.js'

const BOUND = 8_000
const LEAD = 600
const PUBLISHED_AT = 10_000
/** Time at which the complete version is held, 5 s after its publication. */
const COMPLETE_AT = PUBLISHED_AT + 5_000

/** Returns the position of one of three engines (by default), all of which will hold the version. */
function turnOf (index: number, firstCompleteAt = COMPLETE_AT, of = 3): SwitchPosition { return { index, of, firstCompleteAt } }

const view: SwitchView = { wanted: 2, publishedAt: PUBLISHED_AT, whole: 2, wholeIn: 0, engine: { version: 1, busy: false }, turn: turnOf(1) }

const last = turnOf(2)

/** Returns the decision at a time if the complete version is held since `COMPLETE_AT`. */
function decide (part: Partial<SwitchView>, now: number): string {
  const versionSwitch = new VersionSwitch(BOUND, LEAD)
  versionSwitch.step({ ...view, engine: undefined }, COMPLETE_AT)
  const step = versionSwitch.step({ ...view, ...part }, now)
  return step.type === 'order' ? step.why : step.type
}

describe('VersionSwitch', () => {
  // The last engine starts to switch at PUBLISHED_AT + BOUND - LEAD, 2,400 ms after the version is complete.
  const cases: [name: string, part: Partial<SwitchView>, now: number, expected: string][] = [
    ['a switch of the first engine of a zone as soon as it would know of others', { turn: turnOf(0) }, COMPLETE_AT + 150, 'turn'],
    ['no switch of the first engine before that', { turn: turnOf(0) }, COMPLETE_AT + 149, 'wait'],
    ['no switch of the middle engine before its scheduled time', {}, COMPLETE_AT + 1_199, 'wait'],
    ['a switch of the middle engine at its scheduled time', {}, COMPLETE_AT + 1_200, 'turn'],
    ['a switch of an engine that completes the version after its scheduled time', { turn: turnOf(1, COMPLETE_AT - 2_000) }, COMPLETE_AT + 200, 'turn'],
    ['a switch of the last engine when entries stop sending requests to the old version', { turn: last }, PUBLISHED_AT + BOUND - LEAD, 'turn'],
    ['no switch of the last engine before that', { turn: last }, PUBLISHED_AT + BOUND - LEAD - 1, 'wait'],
    ['an immediate switch of the only engine of a zone', { turn: turnOf(0, COMPLETE_AT, 1) }, COMPLETE_AT + 150, 'turn'],
    ['an immediate switch of an empty engine', { engine: { version: 0, busy: false }, turn: last }, COMPLETE_AT, 'empty'],
    ['a switch of any engine after the deadline', { turn: last }, PUBLISHED_AT + BOUND, 'late'],
    ['a switch of any engine if the time of publication is unknown', { publishedAt: undefined, turn: last }, COMPLETE_AT, 'late'],
    ['no switch while the version is incomplete', { whole: 0 }, PUBLISHED_AT + BOUND, 'wait'],
    ['no switch while another version is complete', { whole: 1 }, PUBLISHED_AT + BOUND, 'wait'],
    ['no switch while the engine is busy', { engine: { version: 1, busy: true } }, PUBLISHED_AT + BOUND, 'wait'],
    ['no switch while the engine does not respond', { engine: undefined }, PUBLISHED_AT + BOUND, 'wait'],
    ['no switch if the engine serves the version', { engine: { version: 2, busy: false } }, PUBLISHED_AT + BOUND, 'wait'],
    ['no switch if the engine serves a newer version', { engine: { version: 3, busy: false } }, PUBLISHED_AT + BOUND, 'wait'],
    ['no switch if no version is wanted', { wanted: 0, whole: 0 }, PUBLISHED_AT + BOUND, 'wait']
  ]
  for (const [name, part, now, expected] of cases) it(`orders ${name}`, () => assert.equal(decide(part, now), expected))

  it('delays the repetition of an order', () => {
    const versionSwitch = new VersionSwitch(BOUND, LEAD)
    versionSwitch.step({ ...view, engine: undefined }, COMPLETE_AT)
    versionSwitch.answered('refused', COMPLETE_AT + 2_000)
    assert.equal(versionSwitch.step(view, COMPLETE_AT + 2_299).type, 'wait')
    assert.equal(versionSwitch.step(view, COMPLETE_AT + 2_300).type, 'order')
  })

  const soon = { whole: 0, wholeIn: 1_000 }
  const plans: [name: string, part: Partial<SwitchView>, now: number, expected: number | undefined][] = [
    ['the scheduled time if the version is complete', {}, COMPLETE_AT, COMPLETE_AT + 1_200],
    ['the scheduled time in advance if the version will soon be complete', { ...soon, turn: turnOf(1, COMPLETE_AT - 1_000) }, COMPLETE_AT - 1_000, COMPLETE_AT + 700],
    ['the first switch not before the version is complete', { ...soon, turn: turnOf(0) }, COMPLETE_AT, COMPLETE_AT + 1_150],
    ['the scheduled time of the last engine in advance', { ...soon, turn: last }, COMPLETE_AT, COMPLETE_AT + 2_400],
    ['the scheduled time of the last engine by an earlier end of the period', { turn: { ...last, latestAt: COMPLETE_AT + 1_000 } }, COMPLETE_AT, COMPLETE_AT + 1_000],
    ['no time after the usual end of the period', { turn: { ...last, latestAt: COMPLETE_AT + 9_000 } }, COMPLETE_AT, COMPLETE_AT + 2_400],
    ['no time if the version will not be complete soon', { whole: 0, wholeIn: 4_100 }, COMPLETE_AT, undefined],
    ['no time if it is unknown when the version will be complete', { whole: 0, wholeIn: undefined }, COMPLETE_AT, undefined],
    ['no time if the engine serves the version', { engine: { version: 2, busy: false } }, COMPLETE_AT, undefined],
    ['no time if the engine is empty', { engine: { version: 0, busy: false } }, COMPLETE_AT, undefined],
    ['no time if the engine does not respond', { engine: undefined }, COMPLETE_AT, undefined],
    ['no time if the time of publication is unknown', { publishedAt: undefined }, COMPLETE_AT, undefined]
  ]
  for (const [name, part, now, expected] of plans) {
    it(`plans ${name}`, () => {
      const versionSwitch = new VersionSwitch(BOUND, LEAD)
      versionSwitch.step({ ...view, engine: undefined }, COMPLETE_AT)
      assert.equal(versionSwitch.plannedAt({ ...view, ...part }, now), expected)
    })
  }
})

describe('switchPosition', () => {
  const names = ['a', 'b', 'c', 'd']
  const members = names.map(instance => ({ instance, availabilityZone: 'koshi' }))
  const positionOf = (instance: string, list = members): number => switchPosition({ instance, availabilityZone: 'koshi' }, list, 'm@2').index

  it('gives each engine of a zone a distinct position', () => {
    assert.deepEqual(names.map(name => positionOf(name)).sort(), [0, 1, 2, 3])
  })

  // A position that changes with the peers known to be complete moves a switch that has been announced to entries.
  it('keeps the order of the others if a member leaves', () => {
    const order = [...names].sort((left, right) => positionOf(left) - positionOf(right))
    const [first = '', ...others] = order
    const rest = members.filter(({ instance }) => instance !== first)
    assert.deepEqual(others.map(name => positionOf(name, rest)), [0, 1, 2])
  })

  const zones: [name: string, self: string, expected: number][] = [
    ['counts the engines of its zone', 'a', 4],
    ['counts an engine that is not yet in the list', 'new', 5]
  ]
  for (const [name, instance, expected] of zones) {
    it(name, () => {
      const others = [...members, { instance: 'x', availabilityZone: 'bagmati' }]
      const { index, of } = switchPosition({ instance, availabilityZone: 'koshi' }, others, 'm@2')
      assert.equal(of, expected)
      assert.ok(index >= 0 && index < of)
    })
  }
})
