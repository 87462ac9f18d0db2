/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EndpointChoice, type Candidate, type EndpointStatus } from '../../lib/choice.js'
import { Ejection } from '../../lib/ejection.js'

const self: Candidate = { instance: 'entry-1', availabilityZone: 'koshi' }
const near: Candidate[] = ['a', 'b', 'c'].map(instance => ({ instance, availabilityZone: 'koshi' }))
const far: Candidate[] = ['x', 'y'].map(instance => ({ instance, availabilityZone: 'bagmati' }))

function status (running: number, changes: Partial<EndpointStatus> = {}): EndpointStatus {
  return { incarnation: 'i', lifecycle: 'serving', version: 'v', serving: true, running, slots: 4, ...changes }
}

function choiceWith (reports: Record<string, EndpointStatus>): EndpointChoice {
  let turn = 0
  const choice = new EndpointChoice(self, () => (turn++ * 0.37) % 1)
  for (const [instance, report] of Object.entries(reports)) choice.updateStatus(instance, report)
  return choice
}

describe('EndpointChoice', () => {
  const cases: [name: string, reports: Record<string, EndpointStatus>, allowed: string[]][] = [
    ['prefers its own zone', {}, ['a', 'b', 'c']],
    ['chooses another zone when its own zone is full', { a: status(4), b: status(4), c: status(5) }, ['x', 'y']],
    ['prefers its own zone when all zones are full', { a: status(4), b: status(4), c: status(4), x: status(4), y: status(4) }, ['a', 'b', 'c']],
    ['excludes draining and stopped instances', { a: status(0, { lifecycle: 'draining' }), b: status(0, { lifecycle: 'stopped' }) }, ['c']]
  ]
  for (const [name, reports, allowed] of cases) {
    it(name, () => {
      const choice = choiceWith(reports)
      for (let index = 0; index < 40; index += 1) assert.ok(allowed.includes(choice.choose([...near, ...far], '', 0) ?? ''))
    })
  }
  it('keeps a prompt on one endpoint until it is much busier than the others', () => {
    const choice = choiceWith({})
    const favourite = choice.choose(near, 'prompt', 0) ?? ''
    assert.equal(choice.choose(near, 'prompt', 0), favourite)
    for (let index = 0; index < 6; index += 1) choice.sent(favourite)
    assert.notEqual(choice.choose(near, 'prompt', 0), favourite)
  })
  it('adjusts the reported load by requests sent and completed since the last report', () => {
    const choice = choiceWith({ a: status(2) })
    assert.equal(choice.load('a'), 0.5)
    choice.sent('a')
    assert.equal(choice.load('a'), 0.75)
    choice.ended('a')
    assert.equal(choice.load('a'), 0.5)
  })
  it('excludes an instance for a short time after a refusal', () => {
    const choice = choiceWith({})
    choice.refused('a', 'leaving', 0)
    choice.refused('b', 'leaving', 0)
    assert.equal(choice.choose(near, '', 100), 'c')
    choice.refused('c', 'busy', 90)
    assert.equal(choice.choose(near, '', 100), undefined)
    assert.equal(choice.choose(near, '', 110), 'c', 'a busy instance is chosen again soon')
    assert.notEqual(choice.choose(near, '', 300), undefined)
  })
})

describe('Ejection', () => {
  const instances = ['a', 'b', 'c', 'd']
  it('ejects after three failures, sends one probe and reinstates on success', () => {
    const ejection = new Ejection()
    for (let index = 0; index < 3; index += 1) ejection.failed('a', 0)
    assert.deepEqual(ejection.usable(instances, 500), ['b', 'c', 'd'])
    assert.ok(ejection.usable(instances, 1_000).includes('a'))
    ejection.chosen('a')
    assert.ok(!ejection.usable(instances, 1_000).includes('a'), 'one probe at a time')
    ejection.succeeded('a')
    assert.deepEqual(ejection.usable(instances, 1_000), instances)
  })
  it('doubles the ejection time after another failure', () => {
    const ejection = new Ejection()
    for (let index = 0; index < 4; index += 1) ejection.failed('a', 0)
    assert.ok(!ejection.usable(instances, 1_500).includes('a'))
    assert.ok(ejection.usable(instances, 2_000).includes('a'))
  })
  const ejectedCases: [name: string, failing: readonly string[], usable: readonly string[]][] = [
    ['uses the others while half of the instances are ejected', ['a', 'b'], ['c', 'd']],
    ['uses the only instance that is not ejected', ['a', 'b', 'c'], ['d']],
    ['uses all instances if all are ejected', instances, instances]
  ]
  for (const [name, failing, usable] of ejectedCases) {
    it(name, () => {
      const ejection = new Ejection()
      for (const instance of failing) for (let index = 0; index < 3; index += 1) ejection.failed(instance, 0)
      assert.deepEqual(ejection.usable(instances, 10), usable)
    })
  }
})
