/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ConnectionFailure } from '../../../../lib/routing/attempts/attempt-tracker.js'
import type { ChosenEndpoint, EndpointRequirements, Placement } from '../../../../lib/routing/choice/endpoint-choice.js'
import { EndpointChooser } from '../../../../lib/routing/choice/endpoint-chooser.js'
import type { EndpointGate, SparedFor } from '../../../../lib/routing/choice/endpoint-gate.js'
import type { PoolOpening } from '../../../../lib/routing/attempts/early-refusal.js'
import type { LoadReport } from '../../../../lib/routing/choice/endpoint-load.js'
import { startKeyOf, type EndpointRecord } from '../../../../lib/routing/published/endpoint-record.js'
import type { PoolDescription, ServiceDescription } from '../../../../lib/routing/published/routing-configuration.js'

const pool: PoolDescription = {
  slots: 16, stride: 5, stepTime: 9, stepTimePerRequest: 0.02, stepTimePerThousandTokens: 0.03, promptTokensPerMillisecond: 20, promptTokensPerStep: 2_000, usualPromptTokens: 1_000, usualAnswerTokens: 100, models: [{ name: 'm', warmUp: 300 }], layers: 16, chunks: 96, chunkBytes: 10
}
const drafting: ServiceDescription = { name: 'drafting', maxConnections: 100, pool }
const desk: ServiceDescription = { name: 'desk', maxConnections: 4 }
const need: EndpointRequirements = { promptTokens: 500, answerTokens: 0, model: 'm', leastVersion: 0, mustBeginBy: () => undefined, usualObjective: 0, tried: new Set() }
const idle: LoadReport = { running: 0, waiting: 0, version: 1, accepting: true, pace: 1 }
const busy: LoadReport = { ...idle, running: 14, waiting: 3 }

function record (id: string, availabilityZone = 'koshi', part: Partial<EndpointRecord> = {}): EndpointRecord {
  return { id, service: 'drafting', address: `10.0.0.1:${id}`, availabilityZone, slots: 16, draining: false, models: [{ model: 'm', version: 1 }], ...part }
}

function createChooser (records: readonly EndpointRecord[], loads: Readonly<Record<string, LoadReport>> = {}, draw = (): number => 0): EndpointChooser {
  const chooser = new EndpointChooser({ availabilityZone: 'koshi', regionOf: zone => zone === 'far' ? 'other' : 'here' }, draw)
  chooser.setRecords(records)
  for (const [id, load] of Object.entries(loads)) chooser.heard(id, load, 1_000)
  return chooser
}

/** Changes a chooser and returns it. */
function changed (chooser: EndpointChooser, change: (chooser: EndpointChooser) => unknown): EndpointChooser {
  change(chooser)
  return chooser
}

/** The id of the chosen endpoint; `undefined` if there is none. */
function chosen (chooser: EndpointChooser, part: Partial<EndpointRequirements> = {}, service = drafting, now = 1_050): string | undefined {
  return chooser.choose(service, { ...need, ...part }, now)?.record.id
}

describe('EndpointChooser', () => {
  const cases: [name: string, chosen: string | undefined, expected: string | undefined][] = [
    ['the endpoint with the shortest expected time', chosen(createChooser([record('a'), record('b')], { a: busy, b: idle })), 'b'],
    ['an endpoint without unread prompts', chosen(createChooser([record('a'), record('b')], { a: { ...idle, running: 4, unreadTokens: 8_000 }, b: { ...idle, running: 6 } })), 'b'],
    ['an endpoint with a load report before one without', chosen(createChooser([record('a'), record('b')], { b: { ...idle, running: 6 } })), 'b'],
    ['the entry\'s own zone among equals', chosen(createChooser([record('a', 'next'), record('b')], { a: idle, b: idle })), 'b'],
    ['the nearer zone among equals', chosen(createChooser([record('a', 'far'), record('b', 'next')], { a: idle, b: idle })), 'b'],
    ['another zone if the own zone is much slower', chosen(createChooser([record('a'), record('b', 'far')], { a: busy, b: idle })), 'b'],
    ['no draining endpoint', chosen(createChooser([record('a', 'koshi', { draining: true })])), undefined],
    ['no endpoint that was already tried', chosen(createChooser([record('a'), record('b')]), { tried: new Set(['a']) }), 'b'],
    ['no endpoint without the model', chosen(createChooser([record('a', 'koshi', { models: [] })])), undefined],
    ['no endpoint that is switching versions', chosen(createChooser([record('a')], { a: { ...idle, accepting: false } })), undefined],
    ['no endpoint with too old a version', chosen(createChooser([record('a')], { a: idle }), { leastVersion: 2 }), undefined],
    ['by the version in a current load report before that in the record', chosen(createChooser([record('a')], { a: { ...idle, version: 2 } }), { leastVersion: 2 }), 'a'],
    ['by the version in the record if the load report has expired', chosen(createChooser([record('a')], { a: { ...idle, version: 2 } }), { leastVersion: 2 }, drafting, 9_000), undefined],
    ['no endpoint that would start after the bound of its version', chosen(createChooser([record('a')], { a: busy }), { mustBeginBy: () => 1_200 }), undefined],
    ['no endpoint with an old version if the round trip time is unknown', chosen(createChooser([record('a')]), { mustBeginBy: () => 9_000 }), undefined],
    ['an endpoint with the newest version if the round trip time is unknown', chosen(createChooser([record('a')])), 'a'],
    ['an endpoint that starts before the bound of its version', chosen(createChooser([record('a')], { a: idle }), { mustBeginBy: () => 1_600 }), 'a'],
    ['an endpoint that does not close soon, for a long answer', chosen(createChooser([record('a'), record('b', 'next')], { a: { ...idle, closesIn: 200 }, b: idle }), { answerTokens: 150 }), 'b'],
    ['an endpoint that closes soon, for a short answer', chosen(createChooser([record('a'), record('b', 'next')], { a: { ...idle, closesIn: 900 }, b: idle }), { answerTokens: 20 }), 'a']
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
      const chooser = createChooser([record('a'), record('b'), record('c')], loads, () => draws[0] ?? 0)
      for (let now = 1_000; now < 1_050; now += 5) chooser.sent(chooser.choose(drafting, { ...need, promptTokens: 1 }, now) ?? assert.fail('none'), `early ${now}`, 1, now)
      for (let now = 1_000; now < 1_050; now += 5) for (const id of ['a', 'b', 'c']) chooser.ended(id, `early ${now}`, 'good', now)
      for (const [id, load] of Object.entries(loads)) chooser.heard(id, load, 1_050)
      const chosenIds = draws.map(draw => {
        draws[0] = draw
        return chooser.choose(drafting, need, 1_060)?.record.id
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
      const chooser = createChooser([record('a'), record('b', 'far')], { a: { ...idle, ...own }, b: idle })
      assert.equal(chosen(chooser, { usualObjective }), expected)
    })
  }

  it('admits a large request by the expected time of one of typical size', () => {
    const chooser = createChooser([record('a')], { a: idle })
    const large = chooser.choose(drafting, { ...need, promptTokens: 4_000 }, 1_050)
    const usual = chooser.choose(drafting, { ...need, promptTokens: 1_000 }, 1_050)
    assert.equal(large?.expectedOfUsual, usual?.expected)
    assert.ok((large?.expected ?? 0) > (usual?.expected ?? 0))
  })

  it('decays the expected time of a plain service that was slow', () => {
    const chooser = createChooser([record('a')])
    chooser.recordPlainAnswer('a', 9_000, 1_000)
    const slow = chooser.choose(desk, { ...need, model: '' }, 1_000)?.expected ?? 0
    const later = chooser.choose(desk, { ...need, model: '' }, 15_000)?.expected ?? 0
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
      const chooser = createChooser([record('a', 'koshi', { slots: 8 })])
      for (const milliseconds of took) chooser.recordPlainAnswer('a', milliseconds, 1_000)
      const roomy = { ...desk, maxConnections: 99 }
      const choice = chooser.choose(roomy, { ...need, model: '' }, 1_000)
      assert.ok(choice !== undefined)
      for (let sent = 0; sent < outstanding; sent += 1) chooser.sent(choice, `request-${sent}`, 0, 1_000)
      assert.equal(chooser.choose(roomy, { ...need, model: '' }, 1_000)?.expected, expected)
    })
  }

  it('expects the response time of the other endpoints from a plain endpoint that was not tried yet', () => {
    const chooser = createChooser([record('a'), record('b')])
    chooser.recordPlainAnswer('a', 30, 1_000)
    assert.equal(chooser.choose(desk, { ...need, model: '', tried: new Set(['a']) }, 1_000)?.expected, 30)
  })

  it('does not choose an old version over a link whose queue could delay the start beyond the bound', () => {
    const chooser = createChooser([record('a')], { a: idle })
    const bounded = { mustBeginBy: (): number => 2_300 }
    assert.equal(chosen(chooser, bounded), 'a')
    chooser.measured('a', 'begun', 850)
    assert.equal(chosen(chooser, bounded), undefined)
    chooser.measured('a', 'ended', 1_040)
    assert.equal(chosen(chooser, bounded), undefined)
    chooser.measured('a', 'begun', 1_045)
    chooser.measured('a', 'ended', 1_050)
    assert.equal(chosen(chooser, bounded), undefined)
  })

  // Guards against requests that begin after the bound because they queue on a link that had delivered nothing for seconds: as its
  // engine was idle and the first measurement short, all entries sent there.
  it('does not choose an old version over a link that has just delivered again after a gap', () => {
    const chooser = createChooser([record('a')], { a: idle })
    chooser.heard('a', idle, 4_200)
    chooser.measured('a', 'begun', 4_205)
    chooser.measured('a', 'ended', 4_250)
    const bounded = { mustBeginBy: (): number => 5_500 }
    assert.deepEqual([chosen(chooser, bounded, drafting, 4_300), chosen(chooser, {}, drafting, 4_300)], [undefined, 'a'])
  })

  it('chooses an old version again once the queue of its link has been short for seconds', () => {
    const chooser = createChooser([record('a')], { a: idle })
    chooser.measured('a', 'begun', 850)
    chooser.measured('a', 'ended', 1_040)
    chooser.measured('a', 'begun', 8_990)
    chooser.measured('a', 'ended', 9_000)
    chooser.heard('a', idle, 9_000)
    assert.equal(chosen(chooser, { mustBeginBy: () => 10_200 }, drafting, 9_050), 'a')
  })

  it('counts the requests sent since the last load report', () => {
    const chooser = createChooser([record('a'), record('b')], { a: idle, b: idle })
    const ids = new Set<string | undefined>()
    for (const request of ['r1', 'r2']) {
      const choice = chooser.choose(drafting, need, 1_050)
      ids.add(choice?.record.id)
      if (choice !== undefined) chooser.sent(choice, request, need.promptTokens, 1_050)
    }
    assert.deepEqual([...ids].sort(), ['a', 'b'])
  })

  const lossCases: [name: string, endpoints: readonly string[], failed: readonly string[], failure: ConnectionFailure, later: number, expected: string | undefined][] = [
    ['avoids an endpoint after a lost connection', ['a', 'far'], ['a'], 'connection-timed-out', 1_999, 'far'],
    ['returns to it after some time', ['a', 'far'], ['a'], 'connection-timed-out', 2_000, 'a'],
    ['uses the only endpoint after a lost connection', ['a'], ['a'], 'connection-timed-out', 0, 'a'],
    ['uses the only endpoint after an error of the path', ['a'], ['a'], 'connection-failed', 0, 'a'],
    ['uses the endpoint that lost fewer connections if all lost some', ['a', 'far'], ['a', 'a', 'far'], 'connection-timed-out', 0, 'far'],
    ['does not use the only endpoint right after a refused connection', ['a'], ['a'], 'connection-refused', 99, undefined],
    ['tries the only endpoint again soon after a refused connection', ['a'], ['a'], 'connection-refused', 100, 'a'],
    ['does not count connections lost at the same time as several', ['a'], ['a', 'a', 'a', 'a'], 'connection-timed-out', 0, 'a']
  ]
  for (const [name, endpoints, failed, failure, later, expected] of lossCases) {
    it(name, () => {
      const chooser = createChooser(endpoints.map(id => record(id, id === 'far' ? 'far' : 'koshi', { service: 'desk' })))
      for (const id of failed) chooser.connectionFailed(id, failure, 1_000, 1_000)
      assert.equal(chosen(chooser, {}, desk, 1_000 + later), expected)
    })
  }

  const rejectionCases: [name: string, rejections: readonly string[], later: number, expected: string][] = [
    ['prefers a distant endpoint after a rejection', ['a'], 200, 'far'],
    ['returns to a near endpoint some time after a rejection', ['a'], 30_000, 'a'],
    ['chooses the near endpoint if both rejected a request', ['a', 'far'], 200, 'a']
  ]
  for (const [name, rejections, later, expected] of rejectionCases) {
    it(name, () => {
      const chooser = createChooser(['a', 'far'].map(id => record(id, id === 'far' ? 'far' : 'koshi', { service: 'desk' })))
      const plainNeed = { ...need, model: '', usualObjective: 120 }
      for (const [index, id] of rejections.entries()) {
        const choice = chooser.choose(desk, { ...plainNeed, tried: new Set(['a', 'far'].filter(other => other !== id)) }, 1_000)
        if (choice !== undefined) chooser.sent(choice, `r${index}`, 0, 1_000)
        chooser.ended(id, `r${index}`, 'rejecting', 1_000)
      }
      assert.equal(chooser.choose(desk, plainNeed, 1_000 + later)?.record.id, expected)
    })
  }

  const slowCases: [name: string, took: readonly number[], later: number, expected: string][] = [
    ['avoids a near endpoint for some requests after slow answers', [170, 170], 6_000, 'far'],
    ['returns to it when it may have recovered', [170, 170], 90_000, 'a'],
    ['keeps to a near endpoint that answers as usual', [20, 20], 6_000, 'a']
  ]
  for (const [name, took, later, expected] of slowCases) {
    it(name, () => {
      const chooser = createChooser(['a', 'far'].map(id => record(id, id === 'far' ? 'far' : 'koshi', { service: 'desk' })))
      for (const milliseconds of took) chooser.recordPlainAnswer('a', milliseconds, 1_000)
      for (let answer = 0; answer < 4; answer += 1) chooser.recordPlainAnswer('far', 20, 1_000)
      assert.equal(chosen(chooser, { model: '', usualObjective: 120 }, desk, 1_000 + later), expected)
    })
  }

  it('counts the endpoints by what keeps requests from them', () => {
    const chooser = createChooser([])
    chooser.setRecords([record('a', 'koshi', { draining: true }), record('b'), record('c', 'next'), record('d', 'far')], undefined, new Set(['next']))
    chooser.connectionFailed('d', 'connection-refused', 1_000, 1_000)
    assert.deepEqual(Object.fromEntries(chooser.conditions(desk, { ...need, model: '' }, 1_001)), { draining: 1, open: 1, unreachable: 1, evacuated: 1 })
  })

  it('lets one request at a time find out whether an unreachable endpoint can be reached again', () => {
    const chooser = createChooser([record('a', 'koshi', { service: 'desk' })])
    for (const at of [1_000, 1_300, 1_600]) chooser.connectionFailed('a', 'connection-timed-out', at - 45, at)
    const choose = (): ChosenEndpoint | undefined => chooser.choose(desk, need, 1_700)
    const trial = choose()
    assert.equal(trial?.record.id, 'a')
    if (trial !== undefined) chooser.sent(trial, 'r1', 0, 1_700)
    assert.equal(choose(), undefined)
    assert.equal(chooser.exclusions(desk, need, 1_700).get('a'), 'unreachable')
    assert.deepEqual(chooser.opening(desk, need, 1_700), { type: 'unknown' })
    assert.equal(chooser.connected('a'), true)
    assert.equal(choose()?.record.id, 'a')
  })

  it('respects the maximum number of connections to an endpoint', () => {
    const chooser = createChooser([record('a', 'koshi', { service: 'desk', models: [] })])
    for (const request of ['r1', 'r2', 'r3', 'r4']) {
      const choice = chooser.choose(desk, need, 0)
      if (choice !== undefined) chooser.sent(choice, request, 0, 0)
    }
    assert.equal(chosen(chooser, {}, desk, 0), undefined)
    chooser.ended('a', 'r1', 'good', 0)
    assert.equal(chosen(chooser, {}, desk, 0), 'a')
  })

  it('avoids an endpoint that answers much later than expected, and returns after some time', () => {
    const chooser = createChooser([record('a'), record('b', 'next')], { a: idle, b: idle })
    for (const request of ['r1', 'r2', 'r3']) {
      const choice = chooser.choose(drafting, { ...need, tried: new Set(['b']) }, 1_000)
      if (choice === undefined) continue
      chooser.sent(choice, request, 500, 1_000)
      chooser.load('a').begun(request, choice.expected, 3_000)
      chooser.ended('a', request, 'good', 3_000)
    }
    for (const id of ['a', 'b']) chooser.heard(id, idle, 3_000)
    assert.equal(chosen(chooser, {}, drafting, 3_010), 'b')
    for (const id of ['a', 'b']) chooser.heard(id, idle, 30_000)
    assert.equal(chosen(chooser, {}, drafting, 30_010), 'a')
  })
})

describe('EndpointChooser.opening', () => {
  const closed: LoadReport = { ...idle, accepting: false }
  const cases: [name: string, chooser: EndpointChooser, part: Partial<EndpointRequirements>, service: ServiceDescription, expected: PoolOpening][] = [
    ['a plain service is open if an endpoint can take requests', createChooser([record('a')]), {}, desk, { type: 'open' }],
    ['a plain service is open also if the request was already tried there', createChooser([record('a')]), { tried: new Set(['a']) }, desk, { type: 'open' }],
    ['a plain service is open after a lost connection', changed(createChooser([record('a')]), chooser => chooser.connectionFailed('a', 'connection-timed-out', 1_040, 1_040)), {}, desk, { type: 'open' }],
    ['a plain service opens with the first endpoint that is no longer skipped', changed(createChooser([record('a'), record('b')]), chooser => {
      chooser.skip('a', 'wrong-instance', 1_000)
      chooser.skip('b', 'refused', 1_000)
    }), {}, desk, { type: 'expected', in: 50 }],
    ['the opening of a plain service is unknown if its endpoint refuses connections', changed(createChooser([record('a')]), chooser => chooser.connectionFailed('a', 'connection-refused', 1_040, 1_040)), {}, desk, { type: 'unknown' }],
    ['the opening of a plain service is unknown if no endpoint is listed', createChooser([]), {}, desk, { type: 'unknown' }],
    ['a pool is open if an engine that reports accepts requests', createChooser([record('a'), record('b')], { a: closed, b: idle }), {}, drafting, { type: 'open' }],
    ['a pool is open also if the request was already tried there', createChooser([record('a')], { a: idle }), { tried: new Set(['a']) }, drafting, { type: 'open' }],
    ['a pool opens with the first engine that reports when', createChooser([record('a'), record('b'), record('c')], { a: { ...closed, opensIn: 900 }, b: { ...closed, opensIn: 400 }, c: closed }), {}, drafting, { type: 'expected', in: 350 }],
    ['a pool opens at once if the reported time has passed', createChooser([record('a')], { a: { ...closed, opensIn: 20 } }), {}, drafting, { type: 'expected', in: 0 }],
    ['an engine with too old a version opens with its next version', createChooser([record('a')], { a: { ...idle, opensIn: 700 } }), { leastVersion: 2 }, drafting, { type: 'expected', in: 650 }],
    ['the opening is unknown if no engine reports when it opens', createChooser([record('a')], { a: closed }), {}, drafting, { type: 'unknown' }],
    ['a pool is silent if no agent reports', createChooser([record('a')]), {}, drafting, { type: 'silent' }]
  ]
  for (const [name, chooser, part, service, expected] of cases) it(name, () => assert.deepEqual(chooser.opening(service, { ...need, ...part }, 1_050), expected))
})

/** The state of one incarnation of an endpoint must not apply to the next. */
describe('EndpointChooser, an endpoint that restarts with the same id', () => {
  const first = record('a', 'koshi', { born: 100 })
  const second = record('a', 'koshi', { born: 200 })
  const other = record('b', 'koshi', { models: [] })

  type Learn = (chooser: EndpointChooser) => void
  const state: [name: string, learn: Learn][] = [
    ['an earlier load report', chooser => chooser.heard(startKeyOf(first), { ...idle, version: 0 }, 1_000)],
    ['an earlier version switch', chooser => chooser.heard(startKeyOf(first), { ...idle, accepting: false }, 1_000)],
    ['an earlier connection failure', chooser => { chooser.connectionFailed(startKeyOf(first), 'connection-refused', 1_000, 1_000) }]
  ]
  for (const [name, learn] of state) {
    it(`is not affected by ${name}`, () => {
      const chooser = createChooser([first, other])
      learn(chooser)
      const before = chosen(chooser)
      chooser.setRecords([second, other])
      assert.deepEqual([before, chosen(chooser)], [undefined, 'a'])
    })
  }

  it('is not affected by earlier failures', () => {
    const others = [record('b', 'next'), record('c', 'next')]
    const chooser = createChooser([first, ...others], { [startKeyOf(first)]: idle, b: idle, c: idle })
    for (let count = 0; count < 3; count += 1) chooser.ended(startKeyOf(first), `request-${count}`, 'bad', 1_000)
    const before = chosen(chooser)
    chooser.setRecords([second, ...others])
    chooser.heard(startKeyOf(second), idle, 1_000)
    assert.deepEqual([before, chosen(chooser)], ['b', 'a'])
  })

  it('can take a request that was sent to its earlier incarnation', () => {
    assert.equal(chosen(createChooser([second]), { tried: new Set([startKeyOf(first)]) }), 'a')
  })

  it('is not affected by the load of its earlier incarnation', () => {
    const chooser = createChooser([first, record('b', 'next')], { [startKeyOf(first)]: busy, b: { ...idle, running: 6 } })
    assert.equal(chosen(chooser), 'b')
    chooser.setRecords([second, record('b', 'next')])
    chooser.heard(startKeyOf(second), idle, 1_020)
    assert.equal(chosen(chooser), 'a')
  })

  it('ignores a late load report of its earlier incarnation', () => {
    const chooser = createChooser([second])
    chooser.heard(startKeyOf(first), { ...idle, version: 0 }, 1_000)
    assert.equal(chosen(chooser), 'a')
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
      const chooser = createChooser([record('near'), record('far')])
      chooser.setRecords([record('near'), record('far')], followed)
      chooser.heard('near', near, 1_000)
      assert.equal(chosen(chooser), expected)
    })
  }
})

/** A gate that closes some endpoints for the given milliseconds, and holds permits for others that would lapse. */
function createGate (closed: Readonly<Record<string, number>>, due: readonly string[] = []): EndpointGate {
  const sparedFor = (start: string): SparedFor | undefined => closed[start] === undefined ? undefined : 'limited'
  return { quiet: false, sparedFor, isDue: start => due.includes(start), isDueUnfollowed: start => due.includes(start), opensIn: start => closed[start] ?? 0, sent: () => {} }
}

function createGatedChooser (records: readonly EndpointRecord[], gate: EndpointGate, loads: Readonly<Record<string, LoadReport>> = {}): EndpointChooser {
  const chooser = new EndpointChooser({ availabilityZone: 'koshi', regionOf: () => 'here' }, () => 0, gate)
  chooser.setRecords(records)
  for (const [id, load] of Object.entries(loads)) chooser.heard(id, load, 1_000)
  return chooser
}

describe('EndpointChooser with a gate', () => {
  const [a, b] = [record('a'), record('b')]
  const loads = { a: idle, b: busy }
  const wide = { usualObjective: 2_000 }
  const cases: [name: string, chosen: string | undefined, expected: string | undefined][] = [
    ['chooses a busier endpoint if the other is closed', chosen(createGatedChooser([a, b], createGate({ a: 500 }), loads)), 'b'],
    ['chooses no endpoint if all are closed', chosen(createGatedChooser([a, b], createGate({ a: 500, b: 700 }), loads)), undefined],
    ['uses a permit that would lapse', chosen(createGatedChooser([a, b], createGate({}, ['b']), loads), wide), 'b'],
    ['lets a permit lapse if the answer would be late', chosen(createGatedChooser([a, b], createGate({}, ['b']), loads), { usualObjective: 100 }), 'a'],
    ['chooses another plain endpoint if one is closed', chosen(createGatedChooser([a, b], createGate({ a: 500 })), {}, desk), 'b']
  ]
  for (const [name, id, expected] of cases) it(name, () => assert.equal(id, expected))

  it('uses a permit for an endpoint whose load it does not follow', () => {
    const chooser = createGatedChooser([a, b], createGate({}, ['b']), loads)
    chooser.setRecords([a, b], ({ id }) => id === 'a')
    assert.equal(chosen(chooser, wide), 'b')
  })

  const openings: [name: string, service: ServiceDescription, closed: Record<string, number>, expected: PoolOpening][] = [
    ['a pool', drafting, { a: 500, b: 700 }, { type: 'expected', in: 500 }],
    ['a plain service', desk, { a: 500, b: 700 }, { type: 'expected', in: 500 }],
    ['a plain service with an open endpoint', desk, { a: 500 }, { type: 'open' }],
    ['a service whose endpoints are all leaving', desk, { a: Infinity, b: Infinity }, { type: 'unknown' }]
  ]
  for (const [name, service, closed, expected] of openings) {
    it(`returns when the first endpoint accepts a request again: ${name}`, () => assert.deepEqual(createGatedChooser([a, b], createGate(closed), { a: idle, b: idle }).opening(service, need, 1_050), expected))
  }

  it('counts closed endpoints', () => assert.deepEqual([...createGatedChooser([a, b], createGate({ a: 500 })).spared(1_050)], [['limited', 1]]))
})

// Guards against requests in regions that their route or organisation does not allow (148 on one day), and against requests to zones
// that operators have evacuated.
describe('EndpointChooser: placement rules', () => {
  const regions: Readonly<Record<string, string>> = { koshi: 'east', bagmati: 'west' }
  const [near, west, unknown] = [record('near'), record('west', 'bagmati'), record('unknown', 'gandaki')]

  function createPlacedChooser (records: readonly EndpointRecord[], evacuated: readonly string[] = [], follows: (record: EndpointRecord) => boolean = () => true): EndpointChooser {
    const chooser = new EndpointChooser({ availabilityZone: 'koshi', regionOf: zone => regions[zone] ?? zone, knownRegionOf: zone => regions[zone] }, () => 0)
    chooser.setRecords(records, follows, new Set(evacuated))
    for (const { id } of records) chooser.heard(id, idle, 1_000)
    return chooser
  }

  const cases: [name: string, allowed: string[] | undefined, evacuated: string[], expected: string | undefined, placement: Placement][] = [
    ['any endpoint without rules', undefined, [], 'near', 'possible'],
    ['an endpoint in an allowed region', ['west'], [], 'west', 'possible'],
    ['one of several allowed regions', ['west', 'east'], [], 'near', 'possible'],
    ['none if no region is allowed by both', [], [], undefined, 'region-not-allowed'],
    ['none in a region without endpoints', ['north'], [], undefined, 'region-not-allowed'],
    ['none in a zone whose region is not known, even if a region has its name', ['gandaki'], [], undefined, 'region-not-allowed'],
    ['no endpoint of an evacuated zone', undefined, ['koshi'], 'west', 'possible'],
    ['none if the only allowed region is evacuated', ['east'], ['koshi'], undefined, 'zones-evacuated'],
    ['none if all zones are evacuated', undefined, ['koshi', 'bagmati', 'gandaki'], undefined, 'zones-evacuated'],
    ['an endpoint of a zone without a known region if no region is required', undefined, ['koshi', 'bagmati'], 'unknown', 'possible']
  ]
  for (const [name, allowed, evacuated, expected, placement] of cases) {
    for (const [service, kind] of [[drafting, 'pool'], [desk, 'plain service']] as const) {
      it(`chooses ${name} (${kind})`, () => {
        const allowedRegions = allowed === undefined ? undefined : new Set(allowed)
        const chooser = createPlacedChooser([near, west, unknown], evacuated)
        assert.deepEqual([chosen(chooser, { allowedRegions }, service), chooser.placement({ ...need, allowedRegions })], [expected, placement])
      })
    }
  }

  it('chooses no other endpoint for a retry when the only allowed one was tried', () => {
    assert.equal(chosen(createPlacedChooser([near, west]), { allowedRegions: new Set(['west']), tried: new Set(['west']) }), undefined)
  })

  it('chooses no endpoint of an evacuated zone that it does not follow', () => {
    assert.equal(chosen(createPlacedChooser([near, west], ['bagmati'], () => false)), 'near')
    assert.equal(chosen(createPlacedChooser([west], ['bagmati'], () => false)), undefined)
  })

  it('takes the opening of the pool from endpoints in allowed regions only', () => {
    const chooser = createPlacedChooser([near, west])
    chooser.heard('near', { ...idle, accepting: false, opensIn: 700 }, 1_000)
    chooser.heard('west', { ...idle, accepting: false, opensIn: 200 }, 1_000)
    const openings = [undefined, new Set(['east']), new Set(['north'])].map(allowedRegions => chooser.opening(drafting, { ...need, allowedRegions }, 1_000))
    assert.deepEqual(openings, [{ type: 'expected', in: 200 }, { type: 'expected', in: 700 }, { type: 'silent' }])
  })

  it('keeps the load of an endpoint while its zone is evacuated', () => {
    const chooser = createPlacedChooser([near, west], ['bagmati'])
    const outstanding = (): number => chooser.load('west').outstanding
    chooser.setRecords([near, west])
    chooser.sent({ record: west, expected: 1, expectedOfUsual: 1, version: 1, reportAge: 0, roundTrip: 0, candidates: 1 }, 'r1', 1, 1_000)
    chooser.setRecords([near, west], undefined, new Set(['bagmati']))
    assert.equal(outstanding(), 1)
    chooser.ended('west', 'r1', 'good', 1_100)
    assert.equal(outstanding(), 0)
  })

  it('reports that no endpoint is listed', () => assert.equal(createPlacedChooser([]).placement({ ...need, allowedRegions: new Set(['east']) }), 'none-listed'))
})

describe('EndpointChooser with late requests', () => {
  const place = { urgency: 9, late: true }
  const late = { place, late: { timeLeft: 5_900, returned: false, position: 1, shortage: 0 } }
  const full: LoadReport = { ...idle, running: 16, waiting: 2, sentRate: 0.01 }
  /** Each case guards against a late request that would be taken back, or that no queue has room for. */
  const cases: [name: string, loads: Readonly<Record<string, LoadReport>>, expected: string | undefined][] = [
    ['uses an engine with a short queue', { a: full }, 'a'],
    ['uses no engine with a long queue', { a: { ...full, waiting: 9 }, b: full }, 'b'],
    ['uses no engine that is about to close', { a: { ...full, waiting: 0, closesIn: 900 }, b: full }, 'b'],
    ['uses no engine that is too slow to end the answer in time', { a: { ...full, waiting: 0, pace: 4 }, b: full }, 'b'],
    ['uses no engine without a report', {}, undefined]
  ]
  for (const [name, loads, expected] of cases) it(name, () => assert.equal(chosen(createChooser([record('a'), record('b')], loads), late), expected))

  /** The expected time of a request in time at an engine whose queue holds five requests, of which this entry sent the given number late. */
  function expectedBehind (count: number): number {
    const chooser = createChooser([record('a')], { a: { ...full, waiting: 2 } })
    const choice = chooser.choose(drafting, need, 1_000) ?? assert.fail('none')
    for (let index = 0; index < count; index += 1) chooser.sent(choice, `late-${index}`, 500, 1_000, place)
    chooser.heard('a', { ...full, waiting: 5 }, 1_400)
    return chooser.choose(drafting, need, 1_410)?.expected ?? Number.NaN
  }

  it('expects a request in time to go before the late ones that this entry has sent', () => {
    const [behindAll, beforeThree] = [expectedBehind(0), expectedBehind(3)]
    assert.ok(beforeThree < 0.7 * behindAll, `${beforeThree} ${behindAll}`)
  })

  it('expects requests of the same urgency in their order of arrival', () => {
    const chooser = createChooser([record('a')], { a: full })
    const before = chooser.choose(drafting, need, 1_050)?.expected
    assert.equal(chooser.choose(drafting, { ...need, place: { urgency: 5, late: false } }, 1_050)?.expected, before)
  })
})
