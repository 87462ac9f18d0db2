/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Need } from '../../../../lib/routing/choice/endpoint-choice.js'
import { EndpointChooser } from '../../../../lib/routing/choice/endpoint-chooser.js'
import type { EndpointGate, SparedFor } from '../../../../lib/routing/choice/endpoint-gate.js'
import type { Opening } from '../../../../lib/routing/attempts/early-refusal.js'
import type { LoadReport } from '../../../../lib/routing/choice/endpoint-load.js'
import { startOf, type EndpointRecord } from '../../../../lib/routing/published/endpoint-record.js'
import type { PoolDescription, ServiceDescription } from '../../../../lib/routing/published/routing-configuration.js'

const pool: PoolDescription = {
  slots: 16, stride: 5, stepTime: 9, stepTimePerRequest: 0.02, stepTimePerThousandTokens: 0.03, promptTokensPerMillisecond: 20, promptTokensPerStep: 2_000, usualPromptTokens: 1_000, usualAnswerTokens: 100, models: [{ name: 'm', warmUp: 300 }], layers: 16, chunks: 96, chunkBytes: 10
}
const drafting: ServiceDescription = { name: 'drafting', maxConnections: 100, pool }
const desk: ServiceDescription = { name: 'desk', maxConnections: 4 }
const need: Need = { promptTokens: 500, answerTokens: 0, model: 'm', leastVersion: 0, mustBeginBy: () => undefined, usualObjective: 0, tried: new Set() }
const idle: LoadReport = { running: 0, waiting: 0, version: 1, accepting: true, pace: 1 }
const busy: LoadReport = { ...idle, running: 14, waiting: 3 }

function record (id: string, availabilityZone = 'koshi', part: Partial<EndpointRecord> = {}): EndpointRecord {
  return { id, service: 'drafting', address: `10.0.0.1:${id}`, availabilityZone, slots: 16, draining: false, models: [{ model: 'm', version: 1 }], ...part }
}

function chooser (records: readonly EndpointRecord[], loads: Readonly<Record<string, LoadReport>> = {}, draw = (): number => 0): EndpointChooser {
  const made = new EndpointChooser({ availabilityZone: 'koshi', regionOf: zone => zone === 'far' ? 'other' : 'here' }, draw)
  made.setRecords(records)
  for (const [id, load] of Object.entries(loads)) made.heard(id, load, 1_000)
  return made
}

/** The chosen endpoint's id, or nothing. */
function chosen (made: EndpointChooser, part: Partial<Need> = {}, service = drafting, now = 1_050): string | undefined {
  return made.choose(service, { ...need, ...part }, now)?.record.id
}

describe('EndpointChooser', () => {
  const cases: [name: string, chosen: string | undefined, expected: string | undefined][] = [
    ['the one that answers soonest', chosen(chooser([record('a'), record('b')], { a: busy, b: idle })), 'b'],
    ['one whose admitted prompts are read', chosen(chooser([record('a'), record('b')], { a: { ...idle, running: 4, unreadTokens: 8_000 }, b: { ...idle, running: 6 } })), 'b'],
    ['one that tells its load before one that might be idle', chosen(chooser([record('a'), record('b')], { b: { ...idle, running: 6 } })), 'b'],
    ['the own zone among equals', chosen(chooser([record('a', 'next'), record('b')], { a: idle, b: idle })), 'b'],
    ['the nearer zone among equals', chosen(chooser([record('a', 'far'), record('b', 'next')], { a: idle, b: idle })), 'b'],
    ['another zone when the own one is much slower', chosen(chooser([record('a'), record('b', 'far')], { a: busy, b: idle })), 'b'],
    ['none that drains', chosen(chooser([record('a', 'koshi', { draining: true })])), undefined],
    ['none that was tried', chosen(chooser([record('a'), record('b')]), { tried: new Set(['a']) }), 'b'],
    ['none that holds nothing', chosen(chooser([record('a', 'koshi', { models: [] })])), undefined],
    ['none that is switching', chosen(chooser([record('a')], { a: { ...idle, accepting: false } })), undefined],
    ['none of too old a version', chosen(chooser([record('a')], { a: idle }), { leastVersion: 2 }), undefined],
    ['a fresh report of a version before the list', chosen(chooser([record('a')], { a: { ...idle, version: 2 } }), { leastVersion: 2 }), 'a'],
    ['the list when the report is old', chosen(chooser([record('a')], { a: { ...idle, version: 2 } }), { leastVersion: 2 }, drafting, 9_000), undefined],
    ['none that would begin after its bound', chosen(chooser([record('a')], { a: busy }), { mustBeginBy: () => 1_200 }), undefined],
    ['none of an old version whose way is unknown', chosen(chooser([record('a')]), { mustBeginBy: () => 9_000 }), undefined],
    ['one of the newest version whose way is unknown', chosen(chooser([record('a')])), 'a'],
    ['one that begins before its bound', chosen(chooser([record('a')], { a: idle }), { mustBeginBy: () => 1_600 }), 'a'],
    ['one that does not close soon, for a long answer', chosen(chooser([record('a'), record('b', 'next')], { a: { ...idle, closesIn: 200 }, b: idle }), { answerTokens: 150 }), 'b'],
    ['one that closes soon, for a short answer', chosen(chooser([record('a'), record('b', 'next')], { a: { ...idle, closesIn: 900 }, b: idle }), { answerTokens: 20 }), 'a']
  ]
  for (const [name, id, expected] of cases) it(`chooses ${name}`, () => assert.equal(id, expected))

  const crowds: [name: string, sentRate: number, fewest: number, most: number][] = [
    ['alone, gives everything to the best engine', 0, 3, 3],
    ['where all that is sent to the pool is its own, does the same', 0.005 / 3, 3, 3],
    ['one of many entries, leaves room there for what they send', 0.08 / 3, 1, 2]
  ]
  for (const [name, sentRate, fewest, most] of crowds) {
    it(name, () => {
      const draws = [0.1, 0.5, 0.9]
      const loads = { a: { ...idle, sentRate }, b: { ...idle, running: 8, sentRate }, c: { ...idle, running: 8, sentRate } }
      const made = chooser([record('a'), record('b'), record('c')], loads, () => draws[0] ?? 0)
      for (let now = 1_000; now < 1_050; now += 5) made.sent(made.choose(drafting, { ...need, promptTokens: 1 }, now) ?? assert.fail('none'), `early ${now}`, 1, now)
      for (let now = 1_000; now < 1_050; now += 5) for (const id of ['a', 'b', 'c']) made.ended(id, `early ${now}`, 'good', now)
      for (const [id, load] of Object.entries(loads)) made.heard(id, load, 1_050)
      const chosenIds = draws.map(draw => {
        draws[0] = draw
        return made.choose(drafting, need, 1_060)?.record.id
      })
      const toBest = chosenIds.filter(id => id === 'a').length
      assert.ok(toBest >= fewest && toBest <= most, chosenIds.join(' '))
    })
  }

  const distances: [name: string, own: Partial<LoadReport>, usualObjective: number, expected: string][] = [
    ['leaves the region for a sooner answer when every millisecond counts', { unreadTokens: 1_800 }, 100, 'b'],
    ['stays when the answer is soon enough at home', { unreadTokens: 1_800 }, 1_000, 'a'],
    ['leaves the region when it is not', { running: 14, unreadTokens: 14_000 }, 1_000, 'b']
  ]
  for (const [name, own, usualObjective, expected] of distances) {
    it(name, () => {
      const made = chooser([record('a'), record('b', 'far')], { a: { ...idle, ...own }, b: idle })
      assert.equal(chosen(made, { usualObjective }), expected)
    })
  }

  it('expects of a large request what a usual one waits, for its admission', () => {
    const made = chooser([record('a')], { a: idle })
    const large = made.choose(drafting, { ...need, promptTokens: 4_000 }, 1_050)
    const usual = made.choose(drafting, { ...need, promptTokens: 1_000 }, 1_050)
    assert.equal(large?.expectedOfUsual, usual?.expected)
    assert.ok((large?.expected ?? 0) > (usual?.expected ?? 0))
  })

  it('tries a plain service again some time after it was slow', () => {
    const made = chooser([record('a')])
    made.plainTook('a', 9_000, 1_000)
    const slow = made.choose(desk, { ...need, model: '' }, 1_000)?.expected ?? 0
    const later = made.choose(desk, { ...need, model: '' }, 15_000)?.expected ?? 0
    assert.ok(slow > 2_000 && later < 110, `${slow} and ${later}`)
  })

  const plain: [name: string, took: readonly number[], outstanding: number, expected: number][] = [
    ['nothing before any answer', [], 0, 0],
    ['what answers take', [20, 20], 0, 20],
    ['no wait while slots are free', [20, 20], 7, 20],
    ['a wait for a slot when all are taken', [20, 20], 9, 20 * (1 + 2 / 8)]
  ]
  for (const [name, took, outstanding, expected] of plain) {
    it(`expects of a plain service ${name}`, () => {
      const made = chooser([record('a', 'koshi', { slots: 8 })])
      for (const milliseconds of took) made.plainTook('a', milliseconds, 1_000)
      const roomy = { ...desk, maxConnections: 99 }
      const choice = made.choose(roomy, { ...need, model: '' }, 1_000)
      assert.ok(choice !== undefined)
      for (let sent = 0; sent < outstanding; sent += 1) made.sent(choice, `request-${sent}`, 0, 1_000)
      assert.equal(made.choose(roomy, { ...need, model: '' }, 1_000)?.expected, expected)
    })
  }

  it('expects of an endpoint of a plain service that was not asked yet what the others take', () => {
    const made = chooser([record('a'), record('b')])
    made.plainTook('a', 30, 1_000)
    assert.equal(made.choose(desk, { ...need, model: '', tried: new Set(['a']) }, 1_000)?.expected, 30)
  })

  it('gives nothing to an old version over a link whose queue could hold it beyond the bound', () => {
    const made = chooser([record('a')], { a: idle })
    const bounded = { mustBeginBy: (): number => 2_300 }
    assert.equal(chosen(made, bounded), 'a')
    made.measured('a', 'begun', 850)
    assert.equal(chosen(made, bounded), undefined)
    made.measured('a', 'ended', 1_040)
    assert.equal(chosen(made, bounded), undefined)
    made.measured('a', 'begun', 1_045)
    made.measured('a', 'ended', 1_050)
    assert.equal(chosen(made, bounded), undefined)
  })

  it('trusts such a link again once its queue has been short for seconds', () => {
    const made = chooser([record('a')], { a: idle })
    made.measured('a', 'begun', 850)
    made.measured('a', 'ended', 1_040)
    made.measured('a', 'begun', 8_990)
    made.measured('a', 'ended', 9_000)
    made.heard('a', idle, 9_000)
    assert.equal(chosen(made, { mustBeginBy: () => 10_200 }, drafting, 9_050), 'a')
  })

  it('counts what it sent since the last report', () => {
    const made = chooser([record('a'), record('b')], { a: idle, b: idle })
    const ids = new Set<string | undefined>()
    for (const request of ['r1', 'r2']) {
      const choice = made.choose(drafting, need, 1_050)
      ids.add(choice?.record.id)
      if (choice !== undefined) made.sent(choice, request, need.promptTokens, 1_050)
    }
    assert.deepEqual([...ids].sort(), ['a', 'b'])
  })

  it('passes over for a while what could not be reached', () => {
    const made = chooser([record('a')])
    made.avoid('a', 'unreachable', 1_000)
    assert.equal(chosen(made, {}, drafting, 2_999), undefined)
    assert.equal(chosen(made, {}, drafting, 3_000), 'a')
  })

  it('keeps to the connections that an endpoint takes', () => {
    const made = chooser([record('a', 'koshi', { service: 'desk', models: [] })])
    for (const request of ['r1', 'r2', 'r3', 'r4']) {
      const choice = made.choose(desk, need, 0)
      if (choice !== undefined) made.sent(choice, request, 0, 0)
    }
    assert.equal(chosen(made, {}, desk, 0), undefined)
    made.ended('a', 'r1', 'good', 0)
    assert.equal(chosen(made, {}, desk, 0), 'a')
  })

  it('goes elsewhere when an endpoint answers much later than expected, and comes back with time', () => {
    const made = chooser([record('a'), record('b', 'next')], { a: idle, b: idle })
    for (const request of ['r1', 'r2', 'r3']) {
      const choice = made.choose(drafting, { ...need, tried: new Set(['b']) }, 1_000)
      if (choice === undefined) continue
      made.sent(choice, request, 500, 1_000)
      made.load('a').begun(request, choice.expected, 3_000)
      made.ended('a', request, 'good', 3_000)
    }
    for (const id of ['a', 'b']) made.heard(id, idle, 3_000)
    assert.equal(chosen(made, {}, drafting, 3_010), 'b')
    for (const id of ['a', 'b']) made.heard(id, idle, 30_000)
    assert.equal(chosen(made, {}, drafting, 30_010), 'a')
  })
})

describe('EndpointChooser.opening', () => {
  const closed: LoadReport = { ...idle, accepting: false }
  const cases: [name: string, made: EndpointChooser, part: Partial<Need>, service: ServiceDescription, expected: Opening][] = [
    ['a plain service is open', chooser([]), {}, desk, { type: 'open' }],
    ['a pool is open when an engine that is heard takes requests', chooser([record('a'), record('b')], { a: closed, b: idle }), {}, drafting, { type: 'open' }],
    ['also when the request was tried there', chooser([record('a')], { a: idle }), { tried: new Set(['a']) }, drafting, { type: 'open' }],
    ['it opens with the first engine that tells when', chooser([record('a'), record('b'), record('c')], { a: { ...closed, opensIn: 900 }, b: { ...closed, opensIn: 400 }, c: closed }), {}, drafting, { type: 'expected', in: 350 }],
    ['at once when that time has passed', chooser([record('a')], { a: { ...closed, opensIn: 20 } }), {}, drafting, { type: 'expected', in: 0 }],
    ['an engine of too old a version opens with its next one', chooser([record('a')], { a: { ...idle, opensIn: 700 } }), { leastVersion: 2 }, drafting, { type: 'expected', in: 650 }],
    ['nobody knows when engines that are heard do not tell', chooser([record('a')], { a: closed }), {}, drafting, { type: 'unknown' }],
    ['it is silent when no agent is heard', chooser([record('a')]), {}, drafting, { type: 'silent' }]
  ]
  for (const [name, made, part, service, expected] of cases) it(name, () => assert.deepEqual(made.opening(service, { ...need, ...part }, 1_050), expected))
})

/** What is learnt of one start of an endpoint says nothing of the next. */
describe('an endpoint that starts again under its id', () => {
  const first = record('a', 'koshi', { born: 100 })
  const second = record('a', 'koshi', { born: 200 })
  const other = record('b', 'koshi', { models: [] })

  type Learn = (made: EndpointChooser) => void
  const state: [name: string, learn: Learn][] = [
    ['a report of its load', made => made.heard(startOf(first), { ...idle, version: 0 }, 1_000)],
    ['that it was switching', made => made.heard(startOf(first), { ...idle, accepting: false }, 1_000)],
    ['that it refused', made => made.avoid(startOf(first), 'unreachable', 1_000)]
  ]
  for (const [name, learn] of state) {
    it(`is not judged by ${name}`, () => {
      const made = chooser([first, other])
      learn(made)
      const before = chosen(made)
      made.setRecords([second, other])
      assert.deepEqual([before, chosen(made)], [undefined, 'a'])
    })
  }

  it('is not judged by its failures', () => {
    const others = [record('b', 'next'), record('c', 'next')]
    const made = chooser([first, ...others], { [startOf(first)]: idle, b: idle, c: idle })
    for (let count = 0; count < 3; count += 1) made.ended(startOf(first), `request-${count}`, 'bad', 1_000)
    const before = chosen(made)
    made.setRecords([second, ...others])
    made.heard(startOf(second), idle, 1_000)
    assert.deepEqual([before, chosen(made)], ['b', 'a'])
  })

  it('may have a request that its earlier start was sent', () => {
    assert.equal(chosen(chooser([second]), { tried: new Set([startOf(first)]) }), 'a')
  })

  it('is not slowed by what its earlier start had to do', () => {
    const made = chooser([first, record('b', 'next')], { [startOf(first)]: busy, b: { ...idle, running: 6 } })
    assert.equal(chosen(made), 'b')
    made.setRecords([second, record('b', 'next')])
    made.heard(startOf(second), idle, 1_020)
    assert.equal(chosen(made), 'a')
  })

  it('takes no late report of its earlier start', () => {
    const made = chooser([second])
    made.heard(startOf(first), { ...idle, version: 0 }, 1_000)
    assert.equal(chosen(made), 'a')
  })
})

describe('an engine that is not followed', () => {
  const followed = (record: EndpointRecord): boolean => record.id !== 'far'

  const cases: [name: string, near: LoadReport, expected: string][] = [
    ['is passed over while a followed one takes requests, however late', busy, 'near'],
    ['is chosen where none does', { ...idle, accepting: false }, 'far']
  ]
  for (const [name, near, expected] of cases) {
    it(name, () => {
      const made = chooser([record('near'), record('far')])
      made.setRecords([record('near'), record('far')], followed)
      made.heard('near', near, 1_000)
      assert.equal(chosen(made), expected)
    })
  }
})

/** A gate that lets nothing to some endpoints for so long, and has a turn of others that would pass. */
function gate (closed: Readonly<Record<string, number>>, due: readonly string[] = []): EndpointGate {
  const sparedFor = (start: string): SparedFor | undefined => closed[start] === undefined ? undefined : 'limited'
  return { quiet: false, sparedFor, isDue: start => due.includes(start), opensIn: start => closed[start] ?? 0, sent: () => {} }
}

function gated (records: readonly EndpointRecord[], asked: EndpointGate, loads: Readonly<Record<string, LoadReport>> = {}): EndpointChooser {
  const made = new EndpointChooser({ availabilityZone: 'koshi', regionOf: () => 'here' }, () => 0, asked)
  made.setRecords(records)
  for (const [id, load] of Object.entries(loads)) made.heard(id, load, 1_000)
  return made
}

describe('EndpointChooser, where endpoints ask for less', () => {
  const [a, b] = [record('a'), record('b')]
  const loads = { a: idle, b: busy }
  const wide = { usualObjective: 2_000 }
  const cases: [name: string, chosen: string | undefined, expected: string | undefined][] = [
    ['sends what one does not take to the other, though it is busier', chosen(gated([a, b], gate({ a: 500 }), loads)), 'b'],
    ['sends nothing where none takes any', chosen(gated([a, b], gate({ a: 500, b: 700 }), loads)), undefined],
    ['uses a turn that would pass', chosen(gated([a, b], gate({}, ['b']), loads), wide), 'b'],
    ['lets it pass where the answer would come late', chosen(gated([a, b], gate({}, ['b']), loads), { usualObjective: 100 }), 'a'],
    ['does the same for plain endpoints', chosen(gated([a, b], gate({ a: 500 })), {}, desk), 'b']
  ]
  for (const [name, id, expected] of cases) it(name, () => assert.equal(id, expected))

  const openings: [name: string, service: ServiceDescription, closed: Record<string, number>, expected: Opening][] = [
    ['a pool', drafting, { a: 500, b: 700 }, { type: 'expected', in: 500 }],
    ['a plain service', desk, { a: 500, b: 700 }, { type: 'expected', in: 500 }],
    ['a plain service with one that takes requests', desk, { a: 500 }, { type: 'open' }],
    ['a service that all endpoints leave', desk, { a: Infinity, b: Infinity }, { type: 'unknown' }]
  ]
  for (const [name, service, closed, expected] of openings) {
    it(`says when the first takes a request again: ${name}`, () => assert.deepEqual(gated([a, b], gate(closed), { a: idle, b: idle }).opening(service, need, 1_050), expected))
  }

  it('counts those that it spares', () => assert.deepEqual([...gated([a, b], gate({ a: 500 })).spared(1_050)], [['limited', 1]]))
})
