/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { CallerResponse } from '@drumdrift/stand-ins'
import type { CallRecord, Disturbance, EndpointArrival, Journal, VersionLoad } from '../../lib/journal.js'
import { judge, promiseNames } from '../../lib/promises.js'

const events = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}\ndata: piece\n\n`)

function eventsUpTo (last: number, padding = ''): string {
  return Array.from({ length: last }, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} of desk-1.1${padding}\n\n`).join('')
}

function answer (status: number, part: Partial<CallerResponse> = {}): CallerResponse {
  return { status, headers: { 'x-server-seal': 'seal-of-desk-1.1' }, body: 'answer of desk-1.1', whole: true, reused: false, ...part }
}

function call (part: Partial<CallRecord>): CallRecord {
  return { id: 'call-1', kind: 'safe', key: 'steady', entry: 'entry-1', sentAt: 10_000, endedAt: 10_050, answer: answer(200), ...part }
}

function arrival (part: Partial<EndpointArrival> = {}): EndpointArrival {
  return { id: 'call-1', endpoint: 'desk-1.1', service: 'desk', at: 10_020, begunAt: 10_020, ran: true, version: 1, ...part }
}

function journal (part: Partial<Journal>): Journal {
  return {
    calls: [call({})],
    arrivals: [arrival()],
    departures: [],
    configurations: [{ version: 1, at: 0, movingTo: 'desk', keys: ['steady'] }],
    versions: [],
    loads: [],
    disturbances: [],
    processExits: [{ process: 'entry-1', at: 60_000, exitRequest: 'stop', code: 0, took: 100, startedUp: true }],
    faultsEndedAt: 50_000,
    unready: [],
    outdated: [],
    ...part
  }
}

const refused = call({ kind: 'unsafe', answer: answer(503) })
const configurationsToArchive = [{ version: 1, at: 0, movingTo: 'desk', keys: ['steady'] }, { version: 2, at: 5_000, movingTo: 'archive', keys: ['steady'] }]
const interrupted = call({ answer: answer(0, { whole: false }) })
const stop: Disturbance = { kind: 'entry-stops', target: 'entry-1', from: 10_030, to: 11_000 }
const storeOutage: Disturbance = { kind: 'store-down', target: 'store', from: 9_000, to: 9_500 }
const moved = call({ id: 'call-2', kind: 'moving', sentAt: 6_000, endedAt: 6_050, answer: answer(200, { headers: { 'x-server-seal': 'seal-of-archive-1.1' }, body: 'answer of archive-1.1' }) })
const movedArrival = arrival({ id: 'call-2', endpoint: 'archive-1.1', service: 'archive', at: 6_020 })
const versions = [{ version: 2, at: 7_000 }]
const load: VersionLoad = { endpoint: 'pool-1.1', version: 2, at: 10_000, wrongPieces: [] }
const crowd: Disturbance = { kind: 'crowd-of-open-bodies', target: 'crowd-at-entry-1', from: 45_000, to: 50_000 }
const inPool = arrival({ service: 'pool' })
const long = { events: 30, eventPauseMilliseconds: 50, paddingBytes: 0 }
const longStream = call({ kind: 'stream', shape: long, endedAt: 11_600, answer: answer(200, { body: eventsUpTo(30), whole: false }) })
const failed = call({ kind: 'stream', answer: answer(502), endedAt: 11_000 })
const large = { events: 1, eventPauseMilliseconds: 0, paddingBytes: 8_000_000 }
const readSlowly = call({ kind: 'large', shape: large, reading: { type: 'in-blocks', rate: 4_000_000 }, endedAt: 12_100, answer: answer(200, { whole: false }) })
/** Cannot be read within the 7.5 s that an entry has left after the stop. */
const readTooSlowly = call({ kind: 'large', shape: large, reading: { type: 'in-blocks', rate: 1_000_000 }, endedAt: 17_550, answer: answer(200, { whole: false }) })
const silence: Disturbance = { kind: 'engines-silent', target: 'engines', from: 10_010, to: 12_000 }
const pausedEntry: Disturbance = { kind: 'entry-paused', target: 'entry-1', from: 10_010, to: 12_000 }
const killedEntry: Disturbance = { kind: 'entry-killed', target: 'entry-1', from: 11_590, to: 12_000 }
const stopExit = { process: 'entry-1', at: 17_600, exitRequest: 'stop', code: 1, took: 7_570, startedUp: true } as const
const selfExit = { process: 'entry-1', at: 20_000, exitRequest: 'nothing', code: 1, took: 0, startedUp: true } as const

/** Calls of one kind after the last fault. Those that fail do not reach an endpoint. */
function callsAfterFaults (kind: CallRecord['kind'], count: number, status: number): CallRecord[] {
  return Array.from({ length: count }, () => call({ id: status === 200 ? 'call-1' : 'call-2', kind, sentAt: 54_000, endedAt: 54_050, answer: answer(status) }))
}

describe('judge', () => {
  const cases: [name: string, part: Partial<Journal>, expected: string[]][] = [
    ['a served call', {}, []],
    ['a refusal of a request that has run', { calls: [refused] }, ['not-run']],
    ['a refusal of a repeatable request that has run', { calls: [call({ answer: answer(503) })] }, []],
    ['a refusal of a request that an endpoint refused', { calls: [refused], arrivals: [arrival({ ran: false })] }, []],
    ['a request that may not be repeated and runs twice', { calls: [call({ kind: 'unsafe' })], arrivals: [arrival(), arrival({ endpoint: 'desk-2.1' })] }, ['once']],
    ['a repeatable request that runs twice', { arrivals: [arrival(), arrival({ endpoint: 'desk-2.1' })] }, []],
    ['an answer of another endpoint', { calls: [call({ answer: answer(200, { body: 'answer of desk-2.1' }) })] }, ['own-answer']],
    ['an answer signed by an endpoint that did not run the request', { arrivals: [arrival({ endpoint: 'desk-2.1' })] }, ['own-answer']],
    ['a success of a request that no endpoint ran', { arrivals: [] }, ['own-answer']],
    ['a complete stream', { calls: [call({ kind: 'stream', answer: answer(200, { body: events.join('') }) })] }, []],
    ['a stream that lacks an event but ends as complete', { calls: [call({ kind: 'stream', answer: answer(200, { body: events.slice(1).join('') }) })] }, ['own-answer']],
    ['a stream that repeats an event', { calls: [call({ kind: 'stream', answer: answer(200, { body: [...events, events[5]].join('') }) })] }, ['own-answer']],
    ['a stream that is cut and recognisable as incomplete', { calls: [call({ kind: 'stream', answer: answer(200, { body: events[0] ?? '', whole: false }) })] }, ['whole']],
    ['a stream that is cut, recognisable as incomplete, by the crash of its endpoint', { calls: [call({ kind: 'stream', answer: answer(200, { body: events[0] ?? '', whole: false }) })], disturbances: [{ kind: 'endpoint-crashes', target: 'desk-1', from: 10_000, to: 14_000 }] }, []],
    ['a request that reaches an endpoint after the drain bound', { departures: [{ endpoint: 'desk-1.1', kind: 'draining', at: 8_000 }] }, ['drain']],
    ['a request that reaches an endpoint within the drain bound', { departures: [{ endpoint: 'desk-1.1', kind: 'draining', at: 8_500 }] }, []],
    ['a request to a removed endpoint from an entry that could not reach the store', { departures: [{ endpoint: 'desk-1.1', kind: 'gone', at: 8_000 }], disturbances: [storeOutage] }, []],
    ['a route that leads to the former service after the bound', { calls: [call({ kind: 'moving' })], configurations: configurationsToArchive }, ['in-force']],
    ['a route that leads to the former service within the bound', { calls: [call({ kind: 'moving', sentAt: 6_500, endedAt: 6_550 })], configurations: configurationsToArchive }, []],
    ['a revoked key that is accepted', { calls: [call({ key: 'old' })] }, ['in-force']],
    ['a valid key that is refused', { calls: [call({ answer: answer(401) })], arrivals: [] }, ['in-force']],
    ['a revoked key that is refused', { calls: [call({ key: 'old', answer: answer(401) })], arrivals: [] }, []],
    ['a route that is not found', { calls: [call({ answer: answer(404) })], arrivals: [] }, ['in-force']],
    ['a process that returns to an older configuration', { calls: [moved, call({ kind: 'moving', sentAt: 6_200, endedAt: 6_250 })], arrivals: [movedArrival, arrival({ at: 6_220 })], configurations: configurationsToArchive }, ['never-back']],
    ['a process that applies an older configuration after a restart', { calls: [moved, call({ kind: 'moving', sentAt: 6_200, endedAt: 6_250 })], arrivals: [movedArrival, arrival({ at: 6_220 })], configurations: configurationsToArchive, processExits: [{ process: 'entry-1', at: 6_100, exitRequest: 'kill', code: null, took: 1, startedUp: true }] }, []],
    ['a request that starts on an old version after the bound', { arrivals: [inPool], versions }, ['version']],
    ['a request that starts on an old version within the bound', { arrivals: [inPool], versions: [{ version: 2, at: 7_500 }] }, []],
    ['a request that arrives in time and waits until after the bound', { arrivals: [arrival({ service: 'pool', begunAt: 10_600 })], versions: [{ version: 2, at: 7_500 }] }, ['version']],
    ['a request that starts after the bound of the first of two newer versions', { arrivals: [inPool], versions: [...versions, { version: 3, at: 9_000 }] }, ['version']],
    ['a request on an old version whose engine had a slow link', { arrivals: [inPool], versions, disturbances: [{ kind: 'endpoint-way-slow', target: 'desk-1', from: 7_500, to: 8_000 }] }, []],
    ['a request on an old version long after the link of its entry to the store was cut', { arrivals: [inPool], versions: [{ version: 2, at: 3_000 }], disturbances: [{ kind: 'store-way-cut', target: 'entry-1', from: 4_000, to: 6_900 }] }, ['version']],
    ['a request on an old version within the bound from the end of such a cut', { arrivals: [inPool], versions: [{ version: 2, at: 3_000 }], disturbances: [{ kind: 'store-way-cut', target: 'entry-1', from: 4_000, to: 7_100 }] }, []],
    ['a request on an old version from an entry that came back before', { arrivals: [inPool], versions, disturbances: [{ kind: 'entry-killed', target: 'entry-1', from: 6_500, to: 7_100 }] }, []],
    ['a request on an old version long after its entry came back', { arrivals: [inPool], versions: [{ version: 2, at: 6_000 }], disturbances: [{ kind: 'entry-killed', target: 'entry-1', from: 6_500, to: 6_900 }] }, ['version']],
    ['a request on an old version after the store was down', { arrivals: [inPool], versions, disturbances: [{ ...storeOutage, from: 4_500, to: 5_000 }] }, []],
    ['a request on an old version long after the store was down', { arrivals: [inPool], versions, disturbances: [{ ...storeOutage, from: 3_500, to: 4_000 }] }, ['version']],
    ['a request on an old version long after connections went silent', { arrivals: [inPool], versions, disturbances: [{ kind: 'peers-way-silent', target: 'links', from: 6_950, to: 6_950 }] }, ['version']],
    ['a request on an old version while messages of peers are delayed', { arrivals: [inPool], versions, disturbances: [{ kind: 'peers-way-slow', target: 'links', from: 6_950, to: 9_000 }] }, ['version']],
    ['a request on an old version while answers of the store are delayed', { arrivals: [inPool], versions, disturbances: [{ kind: 'store-way-slow', target: 'entry-1', from: 6_950, to: 9_000 }] }, ['version']],
    ['a switch to a version that lacks a piece', { loads: [{ ...load, wrongPieces: [{ index: 3, corruptedAt: undefined }] }] }, ['whole-version']],
    ['a switch to a complete version', { loads: [load] }, []],
    ['a switch to a version with a piece that was corrupted shortly before', { loads: [{ ...load, wrongPieces: [{ index: 3, corruptedAt: 7_000 }] }] }, []],
    ['a switch to a version with a piece that was corrupted long before', { loads: [{ ...load, wrongPieces: [{ index: 3, corruptedAt: 6_999 }] }] }, ['whole-version']],
    ['a switch to a version that lacks a piece, and another was corrupted shortly before', { loads: [{ ...load, wrongPieces: [{ index: 3, corruptedAt: 9_000 }, { index: 4, corruptedAt: undefined }] }] }, ['whole-version']],
    ['an engine that does not load the newest version after the last fault', { outdated: ['pool-1'] }, ['newest-version']],
    ['a call that the stop of an entry interrupts', { calls: [interrupted], disturbances: [stop] }, ['finished']],
    ['a call interrupted by a stop before it reached an endpoint', { calls: [interrupted], arrivals: [], disturbances: [stop] }, []],
    ['a call interrupted by a stop whose endpoint crashes too', { calls: [interrupted], disturbances: [stop, { kind: 'endpoint-crashes', target: 'desk-1', from: 10_000, to: 14_000 }] }, []],
    ['a stream that the stop of an entry interrupts after its head', { calls: [longStream], disturbances: [stop] }, ['finished']],
    ['a large answer that is read slowly, in time, and interrupted by a stop', { calls: [readSlowly], disturbances: [stop] }, ['finished']],
    ['a large answer that cannot be read before the stop timeout', { calls: [readTooSlowly], disturbances: [stop] }, []],
    ['a large answer that cannot be read in time but is interrupted earlier', { calls: [{ ...readTooSlowly, endedAt: 14_500 }], disturbances: [stop] }, ['finished']],
    ['a large answer that cannot be read in time and is interrupted after its entry has been started again', { calls: [{ ...readTooSlowly, sentAt: 14_000 }], disturbances: [stop] }, ['whole']],
    ['a call that fails while its entry stops', { calls: [failed], disturbances: [stop, silence] }, ['finished']],
    ['a call that is interrupted by a stop after a pause of its entry', { calls: [longStream], disturbances: [pausedEntry, { ...stop, from: 11_000 }] }, ['finished']],
    ['a stream interrupted by a stop whose endpoint had a stalled link', { calls: [longStream], disturbances: [stop, { kind: 'endpoint-way-stalls', target: 'desk-1', from: 10_000, to: 11_000 }] }, ['finished']],
    ['a stream that is interrupted while all engines are silent', { calls: [longStream], disturbances: [silence] }, ['whole']],
    ['a call that fails while all engines are silent', { calls: [failed], disturbances: [silence] }, ['whole']],
    ['a stream that is interrupted while its entry is paused', { calls: [longStream], disturbances: [pausedEntry] }, ['whole']],
    ['a stream that is interrupted long before a stop of another entry', { calls: [longStream], disturbances: [{ ...stop, target: 'entry-2' }] }, ['whole']],
    ['a large answer that is read slowly and interrupted', { calls: [readSlowly] }, ['whole']],
    ['a large answer that cannot be read in time, without a stop', { calls: [{ ...readTooSlowly, endedAt: 14_500 }] }, ['whole']],
    ['a stream that ends at the timeout of its route after a silence', { calls: [{ ...longStream, endedAt: 15_000 }], arrivals: [inPool], disturbances: [silence] }, []],
    ['a stream that ends at the timeout of its route after a silence of endpoints that it did not reach', { calls: [{ ...longStream, endedAt: 15_000 }], disturbances: [silence] }, ['whole']],
    ['a stream that ends at the timeout of its route after a pause of its entry', { calls: [{ ...longStream, endedAt: 15_000 }], disturbances: [pausedEntry] }, []],
    ['a stream that ends at the timeout of its route after a stall of its link', { calls: [{ ...longStream, endedAt: 15_000 }], disturbances: [{ kind: 'endpoint-way-stalls', target: 'desk-1', from: 10_000, to: 13_000 }] }, []],
    ['a stream that ends at the timeout of its route although nothing delayed it', { calls: [{ ...longStream, endedAt: 15_000 }] }, ['whole']],
    ['a stream that ends shortly before the timeout of its route', { calls: [{ ...longStream, endedAt: 14_900 }], arrivals: [inPool], disturbances: [silence] }, ['whole']],
    ['a stream whose entry is killed', { calls: [longStream], disturbances: [killedEntry] }, []],
    ['a stream whose entry was killed before', { calls: [longStream], disturbances: [{ ...killedEntry, from: 8_000, to: 9_900 }] }, ['whole']],
    ['a stream whose endpoint crashes', { calls: [longStream], disturbances: [{ kind: 'endpoint-crashes', target: 'desk-1', from: 11_500, to: 15_000 }] }, []],
    ['a stream that is interrupted while another endpoint crashes', { calls: [longStream], disturbances: [{ kind: 'endpoint-crashes', target: 'desk-2', from: 11_500, to: 15_000 }] }, ['whole']],
    ['a stream whose link to the endpoint is cut', { calls: [longStream], disturbances: [{ kind: 'endpoint-way-cut', target: 'desk-1', from: 11_500, to: 12_000 }] }, []],
    ['a stream that fails while links to the store are cut', { calls: [longStream], disturbances: [{ kind: 'store-way-cut', target: 'entry-1', from: 10_000, to: 12_000 }] }, ['whole']],
    ['a request that failed before it had begun on an old version', { calls: [failed], arrivals: [inPool], versions: [{ version: 2, at: 9_000 }] }, []],
    ['a request that failed on an old version long before its bound', { calls: [failed], arrivals: [inPool], versions: [{ version: 2, at: 10_000 }] }, ['whole']],
    ['the same by an entry that had lost contact', { calls: [failed], arrivals: [inPool], versions: [{ version: 2, at: 10_000 }], disturbances: [{ kind: 'all-way-slow', target: 'links', from: 9_000, to: 9_900 }] }, []],
    ['a request that failed while it waited in a queue, shortly before the bound of a version', { calls: [failed], arrivals: [arrival({ service: 'pool', begunAt: 11_500, ran: false, version: 2 })], versions: [{ version: 2, at: 9_000 }] }, []],
    ['a request that failed while it waited in a queue, without a newer version', { calls: [failed], arrivals: [arrival({ service: 'pool', begunAt: 11_500, ran: false })], versions: [{ version: 1, at: 1_000 }] }, ['whole']],
    ['a stream that had begun on an old version and is interrupted', { calls: [longStream], arrivals: [inPool], versions: [{ version: 2, at: 9_000 }] }, ['whole']],
    ['a long stream that is complete', { calls: [{ ...longStream, answer: answer(200, { body: eventsUpTo(30) }) }] }, []],
    ['a long stream that lacks its end', { calls: [{ ...longStream, answer: answer(200, { body: eventsUpTo(29) }) }] }, ['own-answer']],
    ['a stream of large events that is complete', { calls: [{ ...longStream, shape: { ...long, paddingBytes: 50_000 }, answer: answer(200, { body: eventsUpTo(30, '(50000)') }) }] }, []],
    ['a stream that lacks bytes within its events', { calls: [{ ...longStream, shape: { ...long, paddingBytes: 50_000 }, answer: answer(200, { body: eventsUpTo(30, '(49999)') }) }] }, ['own-answer']],
    ['a large answer that is complete', { calls: [{ ...readSlowly, answer: answer(200, { body: 'answer of desk-1.1(8000000)' }) }] }, []],
    ['a large answer that lacks bytes and ends as complete', { calls: [{ ...readSlowly, answer: answer(200, { body: 'answer of desk-1.1(7999999)' }) }] }, ['own-answer']],
    ['a large answer that is read slowly and ends after its timeout', { calls: [{ ...readSlowly, endedAt: 15_600, answer: answer(200, { body: 'answer of desk-1.1(8000000)' }) }] }, []],
    ['a call that is answered after its timeout', { calls: [call({ endedAt: 12_600 })] }, ['answered']],
    ['a call that is answered after its timeout by an entry that was paused', { calls: [call({ endedAt: 12_600 })], disturbances: [{ kind: 'entry-paused', target: 'entry-1', from: 10_010, to: 12_000 }] }, []],
    ['a process that exits by itself', { processExits: [selfExit] }, ['process']],
    ['a process that stops with a failure code', { processExits: [{ ...selfExit, exitRequest: 'stop' }] }, ['process']],
    ['a process that stops after the grace period', { processExits: [{ ...selfExit, exitRequest: 'stop', code: 0, took: 8_100 }] }, ['process']],
    ['a process that stops after the grace period, for a part of which it was paused', { processExits: [{ ...selfExit, exitRequest: 'stop', code: 0, took: 8_100 }], disturbances: [{ ...pausedEntry, from: 11_500, to: 12_500 }] }, []],
    ['a process that stops after the grace period and was paused before', { processExits: [{ ...selfExit, exitRequest: 'stop', code: 0, took: 8_100 }], disturbances: [{ ...pausedEntry, from: 9_000, to: 11_800 }] }, ['process']],
    ['a process that cuts the answer of a caller who could not read it in time', { calls: [readTooSlowly], disturbances: [stop], processExits: [stopExit] }, []],
    ['a process that cuts the answer of a caller who reads slowly but in time', { calls: [{ ...readTooSlowly, reading: { type: 'in-blocks', rate: 2_000_000 } }], disturbances: [stop], processExits: [stopExit] }, ['finished', 'process']],
    ['a process that cuts an answer although the slow reader had left before', { calls: [{ ...readTooSlowly, endedAt: 14_500 }], disturbances: [{ ...killedEntry, from: 9_000, to: 14_500 }], processExits: [stopExit] }, ['process']],
    ['a process that the stop signal kills', { processExits: [{ ...selfExit, exitRequest: 'stop', code: null }] }, ['process']],
    ['a process that the stop signal kills before it has started up', { processExits: [{ ...selfExit, exitRequest: 'stop', code: null, startedUp: false }] }, []],
    ['a process that exits by itself before it has started up', { processExits: [{ ...selfExit, startedUp: false }] }, ['process']],
    ['a process that was killed', { processExits: [{ ...selfExit, exitRequest: 'kill', code: null }] }, []],
    ['callers who are not served after the last fault', { calls: callsAfterFaults('safe', 1, 502) }, ['served']],
    ['a kind of call that is not served after the last fault, among many others', { calls: [...callsAfterFaults('safe', 1_000, 200), ...callsAfterFaults('unsafe', 40, 502)] }, ['served']],
    ['a few calls of a kind that are not served after the last fault', { calls: [...callsAfterFaults('safe', 1_000, 200), ...callsAfterFaults('unsafe', 4, 502)] }, []],
    ['callers of an entry who are not served after a crowd has left', { faultsEndedAt: 100_000, disturbances: [crowd], calls: callsAfterFaults('safe', 15, 503) }, ['served-after-crowd']],
    ['callers of an entry who are served after a crowd has left', { faultsEndedAt: 100_000, disturbances: [crowd], calls: callsAfterFaults('safe', 15, 200) }, []],
    ['callers of another entry who are not served after a crowd has left', { faultsEndedAt: 100_000, disturbances: [{ ...crowd, target: 'crowd-at-entry-2' }], calls: callsAfterFaults('safe', 15, 503) }, []],
    ['callers who are not served shortly after a crowd has left', { faultsEndedAt: 100_000, disturbances: [{ ...crowd, to: 51_100 }], calls: callsAfterFaults('safe', 15, 503) }, []],
    ['callers who are not served in another fault after a crowd has left', { faultsEndedAt: 100_000, disturbances: [crowd, { ...silence, from: 53_000, to: 56_000 }], calls: callsAfterFaults('safe', 15, 503) }, []],
    ['callers who are not served beside a crowd at another entry', { faultsEndedAt: 100_000, disturbances: [crowd, { ...crowd, target: 'crowd-at-entry-2', from: 53_000, to: 56_000 }], calls: callsAfterFaults('safe', 15, 503) }, ['served-after-crowd']],
    ['a call that is answered after its timeout beside a crowd', { calls: [call({ endedAt: 12_600 })], disturbances: [{ ...crowd, from: 9_000, to: 13_000 }] }, ['answered']],
    ['a call that is interrupted beside a crowd', { calls: [interrupted], disturbances: [{ ...crowd, from: 9_000, to: 13_000 }] }, ['whole']],
    ['an entry that accepts no callers after the last fault', { unready: ['entry-1'] }, ['ready']]
  ]
  for (const [name, part, expected] of cases) {
    it(`judges ${name}`, () => { assert.deepEqual(judge(journal(part)).map(({ promise }) => promise), expected) })
  }

  it('has a case that breaks each promise', () => {
    assert.deepEqual([...new Set(cases.flatMap(([, , expected]) => expected))].sort(), [...promiseNames].sort())
  })
})
