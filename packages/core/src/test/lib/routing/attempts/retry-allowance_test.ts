/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RetryPurpose } from '../../../../lib/routing/attempts/attempt-course.js'
import { RetryAllowance } from '../../../../lib/routing/attempts/retry-allowance.js'

const terms = { ratio: 0.2, slack: 100, window: 10_000 }

/** Retries that can be made after so many requests. */
function spendable (entries: number | undefined, requests: number, purpose: RetryPurpose): number {
  const allowance = new RetryAllowance(terms, () => entries, 0)
  for (let count = 0; count < requests; count += 1) allowance.requested(0)
  let spent = 0
  while (allowance.trySpend(purpose, 0)) spent += 1
  return spent
}

describe('RetryAllowance', () => {
  const cases: [name: string, entries: number | undefined, requests: number, purpose: RetryPurpose, expected: number][] = [
    ['a process begins with nothing', 9, 0, 'go-on', 0],
    ['0.18 of a retry are earned with each request', 9, 6, 'go-on', 1],
    ['nine entries save half of a ninth of the slack each', 9, 10_000, 'go-on', 5],
    ['a quarter of that is kept for streams that have begun', 9, 10_000, 'begin', 4],
    ['ninety-eight entries save up one each at least', 98, 10_000, 'go-on', 1],
    ['one retry can be saved up and spent on anything', 98, 10_000, 'begin', 1],
    ['as one of four hundred while the number of entries is not known', undefined, 10_000, 'go-on', 1]
  ]
  for (const [name, entries, requests, purpose, expected] of cases) it(name, () => assert.equal(spendable(entries, requests, purpose), expected))

  it('gives up what was saved when more entries are known of', () => {
    let entries = 2
    const allowance = new RetryAllowance(terms, () => entries, 0)
    for (let count = 0; count < 1_000; count += 1) allowance.requested(0)
    entries = 90
    let spent = 0
    while (allowance.trySpend('go-on', 0)) spent += 1
    assert.equal(spent, 1)
  })

  it('earns half of its part of the slack in the time for which that holds', () => {
    const allowance = new RetryAllowance(terms, () => 9, 0)
    let spent = 0
    for (let now = 0; now <= 10_000; now += 100) if (allowance.trySpend('go-on', now)) spent += 1
    assert.equal(spent, 5)
  })

  it('earns no more in a long rest than it may save', () => {
    const allowance = new RetryAllowance(terms, () => 9, 0)
    let spent = 0
    while (allowance.trySpend('go-on', 1_000_000)) spent += 1
    assert.equal(spent, 5)
  })
})
