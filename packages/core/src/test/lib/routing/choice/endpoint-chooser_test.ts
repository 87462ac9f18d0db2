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

/** The id of the chosen endpoint; `undefined` if there is none. */
function chosen (made: EndpointChooser, part: Partial<Need> = {}, service = drafting, now = 1_050): string | undefined {
  return made.choose(service, { ...need, ...part }, now)?.record.id
}

describe('EndpointChooser', () => {
  const cases: [name: string, chosen: string | undefined, expected: string | undefined][] = [
    ['the endpoint with the shortest expected time', chosen(chooser([record('a'), record('b')], { a: busy, b: idle })), 'b'],
    ['an endpoint without unread prompts', chosen(chooser([record('a'), record('b')], { a: { ...idle, running: 4, unreadTokens: 8_000 }, b: { ...idle, running: 6 } })), 'b'],
    ['an endpoint with a load report before one without', chosen(chooser([record('a'), record('b')], { b: { ...idle, running: 6 } })), 'b'],
    ['the entry\'s own zone among equals', chosen(chooser([record('a', 'next'), record('b')], { a: idle, b: idle })), 'b'],
    ['the nearer zone among equals', chosen(chooser([record('a', 'far'), record('b', 'next')], { a: idle, b: idle })), 'b'],
    ['another zone if the own zone is much slower', chosen(chooser([record('a'), record('b', 'far')], { a: busy, b: idle })), 'b'],
    ['no draining endpoint', chosen(chooser([record('a', 'koshi', { draining: true })])), undefined],
    ['no endpoint that was already tried', chosen(chooser([record('a'), record('b')]), { tried: new Set(['a']) }), 'b'],
    ['no endpoint without the model', chosen(chooser([record('a', 'koshi', { models: [] })])), undefined],
    ['no endpoint that is switching versions', chosen(chooser([record('a')], { a: { ...idle, accepting: false } })), undefined],
    ['no endpoint with too old a version', chosen(chooser([record('a')], { a: idle }), { leastVersion: 2 }), undefined],
    ['by the version in a current load report before that in the record', chosen(chooser([record('a')], { a: { ...idle, version: 2 } }), { leastVersion: 2 }), 'a'],
    ['by the version in the record if the load report has expired', chosen(chooser([record('a')], { a: { ...idle, version: 2 } }), { leastVersion: 2 }, drafting, 9_000), undefined],
    ['no endpoint that would start after the bound of its version', chosen(chooser([record('a')], { a: busy }), { mustBeginBy: () => 1_200 }), undefined],
    ['no endpoint with an old version if the round trip time is unknown', chosen(chooser([record('a')]), { mustBeginBy: () => 9_000 }), undefined],
    ['an endpoint with the newest version if the round trip time is unknown', chosen(chooser([record('a')])), 'a'],
    ['an endpoint that starts before the bound of its version', chosen(chooser([record('a')], { a: idle }), { mustBeginBy: () => 1_600 }), 'a'],
    ['an endpoint that does not close soon, for a long answer', chosen(chooser([record('a'), record('b', 'next')], { a: { ...idle, closesIn: 200 }, b: idle }), { answerTokens: 150 }), 'b'],
    ['an endpoint that closes soon, for a short answer', chosen(chooser([record('a'), record('b', 'next')], { a: { ...idle, closesIn: 900 }, b: idle }), { answerTokens: 20 }), 'a']
  ]
  for (const [name, id, expected] of cases) it(`chooses ${name}`, () => assert.equal(id, expected))

  const crowds: [name: string, sentRate: number, fewest: number, most: number][] = [
    ['sends all requests to the best engine if there are no other entries', 0, 3, 3],
    ['sends all requests to the best engine if the reported rate is its own', 0.005 / 3, 3, 3],
    ['leaves capacity of the best engine to the requests of other entries', 0.08 / 3, 1, 2]
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
    ['leaves the region for a sooner answer if the objective is short', { unreadTokens: 1_800 }, 100, 'b'],
    ['stays in the zone if the answer is expected soon enough there', { unreadTokens: 1_800 }, 1_000, 'a'],
    ['leaves the region if the answer is not expected soon enough in the zone', { running: 14, unreadTokens: 14_000 }, 1_000, 'b']
  ]
  for (const [name, own, usualObjective, expected] of distances) {
    it(name, () => {
      const made = chooser([record('a'), record('b', 'far')], { a: { ...idle, ...own }, b: idle })
      assert.equal(chosen(made, { usualObjective }), expected)
    })
  }

  it('admits a large request by the expected time of one of typical size', () => {
    const made = chooser([record('a')], { a: idle })
    const large = made.choose(drafting, { ...need, promptTokens: 4_000 }, 1_050)
    const usual = made.choose(drafting, { ...need, promptTokens: 1_000 }, 1_050)
    assert.equal(large?.expectedOfUsual, usual?.expected)
    assert.ok((large?.expected ?? 0) > (usual?.expected ?? 0))
  })

  it('decays the expected time of a plain service that was slow', () => {
    const made = chooser([record('a')])
    made.plainTook('a', 9_000, 1_000)
    const slow = made.choose(desk, { ...need, model: '' }, 1_000)?.expected ?? 0
    const later = made.choose(desk, { ...need, model: '' }, 15_000)?.expected ?? 0
    assert.ok(slow > 2_000 && later < 110, `${slow} and ${later}`)
  })

  const plain: [name: string, took: readonly number[], outstanding: number, expected: number][] = [
    ['no time before the first answer', [], 0, 0],
    ['the mean response time', [20, 20], 0, 20],
    ['no queueing while slots are free', [20, 20], 7, 20],
    ['queueing for a slot if all are occupied', [20, 20], 9, 20 * (1 + 2 / 8)]
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

  it('expects the response time of the other endpoints from a plain endpoint that was not tried yet', () => {
    const made = chooser([record('a'), record('b')])
    made.plainTook('a', 30, 1_000)
    assert.equal(made.choose(desk, { ...need, model: '', tried: new Set(['a']) }, 1_000)?.expected, 30)
  })

  it('does not choose an old version over a link whose queue could delay the start beyond the bound', () => {
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

  it('chooses an old version again once the queue of its link has been short for seconds', () => {
    const made = chooser([record('a')], { a: idle })
    made.measured('a', 'begun', 850)
    made.measured('a', 'ended', 1_040)
    made.measured('a', 'begun', 8_990)
    made.measured('a', 'ended', 9_000)
    made.heard('a', idle, 9_000)
    assert.equal(chosen(made, { mustBeginBy: () => 10_200 }, drafting, 9_050), 'a')
  })

  it('counts the requests sent since the last load report', () => {
    const made = chooser([record('a'), record('b')], { a: idle, b: idle })
    const ids = new Set<string | undefined>()
    for (const request of ['r1', 'r2']) {
      const choice = made.choose(drafting, need, 1_050)
      ids.add(choice?.record.id)
      if (choice !== undefined) made.sent(choice, request, need.promptTokens, 1_050)
    }
    assert.deepEqual([...ids].sort(), ['a', 'b'])
  })

  it('skips an unreachable endpoint temporarily', () => {
    const made = chooser([record('a')])
    made.avoid('a', 'unreachable', 1_000)
    assert.equal(chosen(made, {}, drafting, 2_999), undefined)
    assert.equal(chosen(made, {}, drafting, 3_000), 'a')
  })

  it('respects the maximum number of connections to an endpoint', () => {
    const made = chooser([record('a', 'koshi', { service: 'desk', models: [] })])
    for (const request of ['r1', 'r2', 'r3', 'r4']) {
      const choice = made.choose(desk, need, 0)
      if (choice !== undefined) made.sent(choice, request, 0, 0)
    }
    assert.equal(chosen(made, {}, desk, 0), undefined)
    made.ended('a', 'r1', 'good', 0)
    assert.equal(chosen(made, {}, desk, 0), 'a')
  })

  it('avoids an endpoint that answers much later than expected, and returns after some time', () => {
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
    ['a pool is open if an engine that reports accepts requests', chooser([record('a'), record('b')], { a: closed, b: idle }), {}, drafting, { type: 'open' }],
    ['a pool is open also if the request was already tried there', chooser([record('a')], { a: idle }), { tried: new Set(['a']) }, drafting, { type: 'open' }],
    ['a pool opens with the first engine that reports when', chooser([record('a'), record('b'), record('c')], { a: { ...closed, opensIn: 900 }, b: { ...closed, opensIn: 400 }, c: closed }), {}, drafting, { type: 'expected', in: 350 }],
    ['a pool opens at once if the reported time has passed', chooser([record('a')], { a: { ...closed, opensIn: 20 } }), {}, drafting, { type: 'expected', in: 0 }],
    ['an engine with too old a version opens with its next version', chooser([record('a')], { a: { ...idle, opensIn: 700 } }), { leastVersion: 2 }, drafting, { type: 'expected', in: 650 }],
    ['the opening is unknown if no engine reports when it opens', chooser([record('a')], { a: closed }), {}, drafting, { type: 'unknown' }],
    ['a pool is silent if no agent reports', chooser([record('a')]), {}, drafting, { type: 'silent' }]
  ]
  for (const [name, made, part, service, expected] of cases) it(name, () => assert.deepEqual(made.opening(service, { ...need, ...part }, 1_050), expected))
})

/** The state of one incarnation of an endpoint must not apply to the next. */
describe('EndpointChooser, an endpoint that restarts with the same id', () => {
  const first = record('a', 'koshi', { born: 100 })
  const second = record('a', 'koshi', { born: 200 })
  const other = record('b', 'koshi', { models: [] })

  type Learn = (made: EndpointChooser) => void
  const state: [name: string, learn: Learn][] = [
    ['an earlier load report', made => made.heard(startOf(first), { ...idle, version: 0 }, 1_000)],
    ['an earlier version switch', made => made.heard(startOf(first), { ...idle, accepting: false }, 1_000)],
    ['an earlier connection failure', made => made.avoid(startOf(first), 'unreachable', 1_000)]
  ]
  for (const [name, learn] of state) {
    it(`is not affected by ${name}`, () => {
      const made = chooser([first, other])
      learn(made)
      const before = chosen(made)
      made.setRecords([second, other])
      assert.deepEqual([before, chosen(made)], [undefined, 'a'])
    })
  }

  it('is not affected by earlier failures', () => {
    const others = [record('b', 'next'), record('c', 'next')]
    const made = chooser([first, ...others], { [startOf(first)]: idle, b: idle, c: idle })
    for (let count = 0; count < 3; count += 1) made.ended(startOf(first), `request-${count}`, 'bad', 1_000)
    const before = chosen(made)
    made.setRecords([second, ...others])
    made.heard(startOf(second), idle, 1_000)
    assert.deepEqual([before, chosen(made)], ['b', 'a'])
  })

  it('can take a request that was sent to its earlier incarnation', () => {
    assert.equal(chosen(chooser([second]), { tried: new Set([startOf(first)]) }), 'a')
  })

  it('is not affected by the load of its earlier incarnation', () => {
    const made = chooser([first, record('b', 'next')], { [startOf(first)]: busy, b: { ...idle, running: 6 } })
    assert.equal(chosen(made), 'b')
    made.setRecords([second, record('b', 'next')])
    made.heard(startOf(second), idle, 1_020)
    assert.equal(chosen(made), 'a')
  })

  it('ignores a late load report of its earlier incarnation', () => {
    const made = chooser([second])
    made.heard(startOf(first), { ...idle, version: 0 }, 1_000)
    assert.equal(chosen(made), 'a')
  })
})

describe('EndpointChooser, an engine that is not followed', () => {
  const followed = (record: EndpointRecord): boolean => record.id !== 'far'

  const cases: [name: string, near: LoadReport, expected: string][] = [
    ['is skipped while a followed engine accepts requests, however late its answer', busy, 'near'],
    ['is chosen if no followed engine accepts requests', { ...idle, accepting: false }, 'far']
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

/** A gate that closes some endpoints for the given milliseconds, and holds permits for others that would lapse. */
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

describe('EndpointChooser with a gate', () => {
  const [a, b] = [record('a'), record('b')]
  const loads = { a: idle, b: busy }
  const wide = { usualObjective: 2_000 }
  const cases: [name: string, chosen: string | undefined, expected: string | undefined][] = [
    ['chooses a busier endpoint if the other is closed', chosen(gated([a, b], gate({ a: 500 }), loads)), 'b'],
    ['chooses no endpoint if all are closed', chosen(gated([a, b], gate({ a: 500, b: 700 }), loads)), undefined],
    ['uses a permit that would lapse', chosen(gated([a, b], gate({}, ['b']), loads), wide), 'b'],
    ['lets a permit lapse if the answer would be late', chosen(gated([a, b], gate({}, ['b']), loads), { usualObjective: 100 }), 'a'],
    ['chooses another plain endpoint if one is closed', chosen(gated([a, b], gate({ a: 500 })), {}, desk), 'b']
  ]
  for (const [name, id, expected] of cases) it(name, () => assert.equal(id, expected))

  const openings: [name: string, service: ServiceDescription, closed: Record<string, number>, expected: Opening][] = [
    ['a pool', drafting, { a: 500, b: 700 }, { type: 'expected', in: 500 }],
    ['a plain service', desk, { a: 500, b: 700 }, { type: 'expected', in: 500 }],
    ['a plain service with an open endpoint', desk, { a: 500 }, { type: 'open' }],
    ['a service whose endpoints are all leaving', desk, { a: Infinity, b: Infinity }, { type: 'unknown' }]
  ]
  for (const [name, service, closed, expected] of openings) {
    it(`returns when the first endpoint accepts a request again: ${name}`, () => assert.deepEqual(gated([a, b], gate(closed), { a: idle, b: idle }).opening(service, need, 1_050), expected))
  }

  it('counts closed endpoints', () => assert.deepEqual([...gated([a, b], gate({ a: 500 })).spared(1_050)], [['limited', 1]]))
})
