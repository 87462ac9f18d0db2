/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RetryPurpose } from '../../../../lib/routing/attempts/attempt-tracker.js'
import { RetryAllowance } from '../../../../lib/routing/attempts/retry-allowance.js'

const terms = { ratio: 0.2, slack: 100, window: 10_000 }

/** The number of retries available after some requests. */
function spendable (entries: number | undefined, requests: number, purpose: RetryPurpose): number {
  const allowance = new RetryAllowance(terms, () => entries, 0)
  for (let count = 0; count < requests; count += 1) allowance.requested(0)
  let spent = 0
  while (allowance.trySpend(purpose, 0)) spent += 1
  return spent
}

describe('RetryAllowance', () => {
  const cases: [name: string, entries: number | undefined, requests: number, purpose: RetryPurpose, expected: number][] = [
    ['starts empty', 9, 0, 'go-on', 0],
    ['earns 0.18 of a retry with each request', 9, 6, 'go-on', 1],
    ['saves up half of a ninth of the slack for each of nine entries', 9, 10_000, 'go-on', 5],
    ['reserves a quarter of the capacity for resuming streams', 9, 10_000, 'begin', 4],
    ['saves up at least one retry for each of ninety-eight entries', 98, 10_000, 'go-on', 1],
    ['allows a single saved retry for either purpose', 98, 10_000, 'begin', 1],
    ['assumes four hundred entries while their number is unknown', undefined, 10_000, 'go-on', 1]
  ]
  for (const [name, entries, requests, purpose, expected] of cases) it(name, () => assert.equal(spendable(entries, requests, purpose), expected))

  it('reduces the balance when more entries become known', () => {
    let entries = 2
    const allowance = new RetryAllowance(terms, () => entries, 0)
    for (let count = 0; count < 1_000; count += 1) allowance.requested(0)
    entries = 90
    let spent = 0
    while (allowance.trySpend('go-on', 0)) spent += 1
    assert.equal(spent, 1)
  })

  it('earns half of its share of the slack in one window', () => {
    const allowance = new RetryAllowance(terms, () => 9, 0)
    let spent = 0
    for (let now = 0; now <= 10_000; now += 100) if (allowance.trySpend('go-on', now)) spent += 1
    assert.equal(spent, 5)
  })

  it('earns no more than its capacity while idle', () => {
    const allowance = new RetryAllowance(terms, () => 9, 0)
    let spent = 0
    while (allowance.trySpend('go-on', 1_000_000)) spent += 1
    assert.equal(spent, 5)
  })
})
