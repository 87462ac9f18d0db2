/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AttemptCourse, type AttemptEnd } from '../../../../lib/routing/attempts/attempt-course.js'
import type { Route } from '../../../../lib/routing/published/routing-configuration.js'

type Bounds = Pick<Route, 'kind' | 'maxAttempts' | 'resumable'>

const safe: Bounds = { kind: 'safe', maxAttempts: 2, resumable: false }
const unsafe: Bounds = { kind: 'unsafe', maxAttempts: 2, resumable: false }
const stream: Bounds = { kind: 'streaming', maxAttempts: 2, resumable: true }
const fixedStream: Bounds = { kind: 'streaming', maxAttempts: 2, resumable: false }

const full: AttemptEnd = { type: 'not-run', reason: 'full' }
const unconnected: AttemptEnd = { type: 'not-run', reason: 'not-connected' }
const broken: AttemptEnd = { type: 'broken', connection: 'lost', detail: 'reset' }
const stalled: AttemptEnd = { type: 'stalled', detail: 'silent' }

function answered (status: number, asStream = false): AttemptEnd { return { type: 'answered', status, stream: asStream } }

/** What the last of some attempts leads to. */
function last (route: Bounds, ends: readonly AttemptEnd[], options: { begun?: boolean, timeLeft?: boolean, suspect?: boolean, elsewhere?: boolean, budget?: number } = {}): string {
  const course = new AttemptCourse(route)
  let budget = options.budget ?? 10
  let step = ''
  for (const end of ends) {
    if (options.begun === true) course.begun()
    const next = course.ended(end, { timeLeft: options.timeLeft ?? true, suspect: options.suspect ?? false, elsewhere: () => options.elsewhere ?? true, spendRetry: () => budget-- > 0 })
    step = next.type === 'give-up' ? next.outcome : next.type
  }
  return step
}

describe('AttemptCourse', () => {
  const cases: [name: string, step: string, expected: string][] = [
    ['a whole answer is passed on', last(safe, [answered(200)]), 'pass-on'],
    ['a caller\'s own mistake is passed on', last(safe, [answered(404)]), 'pass-on'],
    ['a failure of an endpoint is tried elsewhere where that is safe', last(safe, [answered(500)]), 'try-next'],
    ['a second failure is passed on', last(safe, [answered(500), answered(500)]), 'pass-on'],
    ['a failure of an unsafe request is passed on', last(unsafe, [answered(500)]), 'pass-on'],
    ['an unsafe request that did not run is tried elsewhere', last(unsafe, [full]), 'try-next'],
    ['an unsafe request that may have run is given up as unknown', last(unsafe, [broken]), 'unknown'],
    ['an unsafe request that is silent is given up as unknown', last(unsafe, [stalled]), 'unknown'],
    ['two refusals are proof that nothing ran', last(unsafe, [full, full]), 'not-run'],
    ['a loss after a refusal is no such proof', last(unsafe, [full, broken]), 'unknown'],
    ['a refusal after a loss is no such proof', last(safe, [broken, full]), 'unknown'],
    ['a connection that never opened does not count as an attempt', last({ ...unsafe, maxAttempts: 1 }, [unconnected, unconnected]), 'try-next'],
    ['an endpoint that refused counts as an attempt', last({ ...unsafe, maxAttempts: 1 }, [full]), 'not-run'],
    ['a stream that broke before its first event starts elsewhere', last(stream, [broken]), 'try-next'],
    ['a stream that broke later goes on elsewhere', last(stream, [broken], { begun: true }), 'resume'],
    ['a stream that may not be resumed ends cut', last(fixedStream, [broken], { begun: true }), 'cut'],
    ['a stream that may not be resumed does not start again', last(fixedStream, [broken]), 'unknown'],
    ['without time nothing is tried', last(safe, [full], { timeLeft: false }), 'not-run'],
    ['what may end endpoints is tried at no other', last(stream, [broken], { suspect: true }), 'unknown'],
    ['what may end endpoints and did not run is tried at no other', last(safe, [full], { suspect: true }), 'not-run'],
    ['a stream that may end endpoints is cut', last(stream, [broken], { begun: true, suspect: true }), 'cut'],
    ['without budget nothing is tried', last(safe, [broken], { budget: 0 }), 'unknown'],
    ['without budget a failure is passed on', last(safe, [answered(503)], { budget: 0 }), 'pass-on']
  ]
  for (const [name, step, expected] of cases) it(name, () => assert.equal(step, expected))

  it('spends no retry where no other endpoint can take the request', () => {
    let spent = 0
    new AttemptCourse(safe).ended(full, { timeLeft: true, suspect: false, elsewhere: () => false, spendRetry: () => { spent += 1; return true } })
    assert.equal(spent, 0)
  })
})

/**
 * Everything that can come together: what the caller has, how the attempt ended, and what is left: attempts, budget, time and
 * another endpoint, or all of them but one.
 */
describe('AttemptCourse, the whole table for a resumable stream', () => {
  type Left = 'all' | 'no attempt' | 'no budget' | 'no time' | 'no endpoint'
  const lefts: readonly Left[] = ['all', 'no attempt', 'no budget', 'no time', 'no endpoint']
  type Expected = readonly [all: string, noAttempt: string, noBudget: string, noTime: string, noEndpoint: string]
  const same = (step: string): Expected => [step, step, step, step, step]
  const orElse = (step: string, otherwise: string): Expected => [step, otherwise, otherwise, otherwise, otherwise]

  const table: [end: string, attempt: AttemptEnd, nothing: Expected, events: Expected][] = [
    ['a whole stream', answered(200, true), same('pass-on'), same('pass-on')],
    ['a success that is no stream', answered(200), same('pass-on'), orElse('resume', 'cut')],
    ['a success without content', answered(204), same('pass-on'), orElse('resume', 'cut')],
    ['a redirection', answered(302), same('pass-on'), orElse('resume', 'cut')],
    ['a rejection', answered(404), same('pass-on'), orElse('resume', 'cut')],
    ['a rejection that is sent as a stream', answered(404, true), same('pass-on'), orElse('resume', 'cut')],
    ['a failure', answered(500), orElse('try-next', 'pass-on'), orElse('resume', 'cut')],
    ['a failure that is sent as a stream', answered(500, true), orElse('try-next', 'pass-on'), orElse('resume', 'cut')],
    ['a failure at the deadline', answered(504), orElse('try-next', 'pass-on'), orElse('resume', 'cut')],
    ['a full endpoint', full, orElse('try-next', 'not-run'), orElse('resume', 'cut')],
    ['another instance', { type: 'not-run', reason: 'wrong-instance' }, orElse('try-next', 'not-run'), orElse('resume', 'cut')],
    ['another version', { type: 'not-run', reason: 'wrong-version' }, orElse('try-next', 'not-run'), orElse('resume', 'cut')],
    ['a refusal', { type: 'not-run', reason: 'refused' }, orElse('try-next', 'not-run'), orElse('resume', 'cut')],
    ['no connection', unconnected, ['try-next', 'try-next', 'try-next', 'not-run', 'not-run'], ['resume', 'resume', 'resume', 'cut', 'cut']],
    ['a broken connection', broken, orElse('try-next', 'unknown'), orElse('resume', 'cut')],
    ['a silent endpoint', stalled, orElse('try-next', 'unknown'), orElse('resume', 'cut')]
  ]
  for (const [end, attempt, nothing, events] of table) {
    for (const [begun, expected] of [[false, nothing], [true, events]] as const) {
      for (const [index, left] of lefts.entries()) {
        it(`${end}, ${begun ? 'events' : 'nothing'} passed on, ${left} left: ${expected[index]}`, () => {
          const route = { ...stream, maxAttempts: left === 'no attempt' ? 1 : 2 }
          const step = last(route, [attempt], { begun, timeLeft: left !== 'no time', elsewhere: left !== 'no endpoint', budget: left === 'no budget' ? 0 : 1 })
          assert.equal(step, expected[index])
        })
      }
    }
  }
})
