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
  for (const [instance, report] of Object.entries(reports)) choice.heard(instance, report)
  return choice
}

describe('EndpointChoice', () => {
  const cases: [name: string, reports: Record<string, EndpointStatus>, allowed: string[]][] = [
    ['stays in its own zone', {}, ['a', 'b', 'c']],
    ['leaves the zone when all of it is full', { a: status(4), b: status(4), c: status(5) }, ['x', 'y']],
    ['stays when everything is full', { a: status(4), b: status(4), c: status(4), x: status(4), y: status(4) }, ['a', 'b', 'c']],
    ['avoids those that leave', { a: status(0, { lifecycle: 'draining' }), b: status(0, { lifecycle: 'stopped' }) }, ['c']]
  ]
  for (const [name, reports, allowed] of cases) {
    it(name, () => {
      const choice = choiceWith(reports)
      for (let index = 0; index < 40; index += 1) assert.ok(allowed.includes(choice.choose([...near, ...far], '', 0) ?? ''))
    })
  }
  it('sends one prompt to one endpoint until that is much busier than the rest', () => {
    const choice = choiceWith({})
    const favourite = choice.choose(near, 'prompt', 0) ?? ''
    assert.equal(choice.choose(near, 'prompt', 0), favourite)
    for (let index = 0; index < 6; index += 1) choice.sent(favourite)
    assert.notEqual(choice.choose(near, 'prompt', 0), favourite)
  })
  it('adds what it sent since the last report, and takes off what has ended', () => {
    const choice = choiceWith({ a: status(2) })
    assert.equal(choice.load('a'), 0.5)
    choice.sent('a')
    assert.equal(choice.load('a'), 0.75)
    choice.ended('a')
    assert.equal(choice.load('a'), 0.5)
  })
  it('passes over one that refused, for a moment', () => {
    const choice = choiceWith({})
    choice.refused('a', 'leaving', 0)
    choice.refused('b', 'leaving', 0)
    assert.equal(choice.choose(near, '', 100), 'c')
    choice.refused('c', 'busy', 90)
    assert.equal(choice.choose(near, '', 100), undefined)
    assert.equal(choice.choose(near, '', 110), 'c', 'a busy one is asked again soon')
    assert.notEqual(choice.choose(near, '', 300), undefined)
  })
})

describe('Ejection', () => {
  const instances = ['a', 'b', 'c', 'd']
  it('ejects after three failures, probes once, and takes back on success', () => {
    const ejection = new Ejection()
    for (let index = 0; index < 3; index += 1) ejection.failed('a', 0)
    assert.deepEqual(ejection.usable(instances, 500), ['b', 'c', 'd'])
    assert.ok(ejection.usable(instances, 1_000).includes('a'))
    ejection.chosen('a')
    assert.ok(!ejection.usable(instances, 1_000).includes('a'), 'one probe at a time')
    ejection.succeeded('a')
    assert.deepEqual(ejection.usable(instances, 1_000), instances)
  })
  it('doubles the time of those that fail again', () => {
    const ejection = new Ejection()
    for (let index = 0; index < 4; index += 1) ejection.failed('a', 0)
    assert.ok(!ejection.usable(instances, 1_500).includes('a'))
    assert.ok(ejection.usable(instances, 2_000).includes('a'))
  })
  it('never ejects more than half', () => {
    const ejection = new Ejection()
    for (const instance of ['a', 'b', 'c']) for (let index = 0; index < 3; index += 1) ejection.failed(instance, 0)
    assert.deepEqual(ejection.usable(instances, 10), instances)
  })
})
