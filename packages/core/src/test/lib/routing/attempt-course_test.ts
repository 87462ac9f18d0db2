/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AttemptCourse, type AttemptEnd } from '../../../lib/routing/attempt-course.js'
import type { Route } from '../../../lib/routing/routing-configuration.js'

type Bounds = Pick<Route, 'kind' | 'maxAttempts' | 'resumable'>

const safe: Bounds = { kind: 'safe', maxAttempts: 2, resumable: false }
const unsafe: Bounds = { kind: 'unsafe', maxAttempts: 2, resumable: false }
const stream: Bounds = { kind: 'streaming', maxAttempts: 2, resumable: true }
const fixedStream: Bounds = { kind: 'streaming', maxAttempts: 2, resumable: false }

const full: AttemptEnd = { type: 'not-run', reason: 'full' }
const unconnected: AttemptEnd = { type: 'not-run', reason: 'not-connected' }
const broken: AttemptEnd = { type: 'broken', detail: 'reset' }
const cut: AttemptEnd = { type: 'cut', detail: 'reset' }
const stalled: AttemptEnd = { type: 'stalled', detail: 'silent' }

function answered (status: number): AttemptEnd { return { type: 'answered', status } }

/** What the last of some attempts leads to. */
function last (route: Bounds, ends: readonly AttemptEnd[], options: { begun?: boolean, timeLeft?: boolean, budget?: number } = {}): string {
  const course = new AttemptCourse(route)
  let budget = options.budget ?? 10
  let step = ''
  for (const end of ends) {
    if (options.begun === true) course.begun()
    const next = course.ended(end, { timeLeft: options.timeLeft ?? true, spendRetry: () => budget-- > 0 })
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
    ['a stream that broke later goes on elsewhere', last(stream, [cut], { begun: true }), 'resume'],
    ['a stream that may not be resumed ends cut', last(fixedStream, [cut], { begun: true }), 'cut'],
    ['a stream that may not be resumed does not start again', last(fixedStream, [broken]), 'unknown'],
    ['without time nothing is tried', last(safe, [full], { timeLeft: false }), 'not-run'],
    ['without budget nothing is tried', last(safe, [broken], { budget: 0 }), 'unknown'],
    ['without budget a failure is passed on', last(safe, [answered(503)], { budget: 0 }), 'pass-on']
  ]
  for (const [name, step, expected] of cases) it(name, () => assert.equal(step, expected))
})
