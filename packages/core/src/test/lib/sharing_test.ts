/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConcurrencyLimit } from '../../lib/concurrency-limit.js'
import { FairQueue, type RequestClass } from '../../lib/fair-queue.js'
import { LinkPacer } from '../../lib/link-pacer.js'
import { RetryBudget } from '../../lib/retry-budget.js'
import { TokenBucket } from '../../lib/token-bucket.js'

const DEADLINE = 10_000

function fill (queue: FairQueue<number>, organisation: string, weight: number, count: number, requestClass: RequestClass = 'interactive'): void {
  for (let index = 0; index < count; index += 1) queue.add(index, { organisation, requestClass, weight, now: 0, deadline: DEADLINE })
}

function takeMany (queue: FairQueue<number>, count: number): Map<string, number> {
  const taken = new Map<string, number>()
  for (let index = 0; index < count; index += 1) {
    const waiting = queue.take()
    if (waiting !== undefined) taken.set(waiting.organisation, (taken.get(waiting.organisation) ?? 0) + 1)
  }
  return taken
}

describe('FairQueue', () => {
  const cases: [name: string, flows: [organisation: string, weight: number, count: number][], taken: Record<string, number>][] = [
    ['gives equal weights equal shares regardless of load', [['a', 1, 1000], ['b', 1, 100]], { a: 50, b: 50 }],
    ['shares in proportion to weights', [['a', 3, 1000], ['b', 1, 1000]], { a: 75, b: 25 }],
    ['gives the unused share to the others', [['a', 1, 1000], ['b', 1, 10]], { a: 90, b: 10 }]
  ]
  for (const [name, flows, taken] of cases) {
    it(name, () => {
      const queue = new FairQueue<number>()
      for (const [organisation, weight, count] of flows) fill(queue, organisation, weight, count)
      const result = takeMany(queue, 100)
      for (const [organisation, count] of Object.entries(taken)) assert.ok(Math.abs((result.get(organisation) ?? 0) - count) <= 1, JSON.stringify([...result]))
    })
  }
  it('gives no credit to an organisation for the time before its first request', () => {
    const queue = new FairQueue<number>()
    fill(queue, 'a', 1, 500)
    takeMany(queue, 200)
    fill(queue, 'b', 1, 500)
    const result = takeMany(queue, 100)
    assert.ok(Math.abs((result.get('b') ?? 0) - 50) <= 1)
  })
  it('serves batch alongside interactive with a smaller share', () => {
    const queue = new FairQueue<number>()
    fill(queue, 'a', 1, 200, 'interactive')
    fill(queue, 'a', 1, 200, 'batch')
    const classes = Array.from({ length: 100 }, () => queue.take()?.requestClass)
    assert.ok(Math.abs(classes.filter(taken => taken === 'batch').length - 20) <= 1)
  })
  it('skips organisations that are not ready and keeps their position', () => {
    const queue = new FairQueue<number>()
    fill(queue, 'a', 1, 1)
    fill(queue, 'b', 1, 1)
    assert.equal(queue.take(organisation => organisation !== 'a')?.organisation, 'b')
    assert.equal(queue.take()?.organisation, 'a')
  })
  it('expires requests past their deadline and removes cancelled ones', () => {
    const queue = new FairQueue<number>()
    const gone = queue.add(1, { organisation: 'a', requestClass: 'batch', weight: 1, now: 0, deadline: 50 })
    queue.add(2, { organisation: 'a', requestClass: 'batch', weight: 1, now: 0, deadline: 60 })
    queue.add(3, { organisation: 'a', requestClass: 'batch', weight: 1, now: 0, deadline: 90 })
    assert.ok(queue.remove(gone))
    assert.ok(!queue.remove(gone))
    assert.deepEqual(queue.expire(60).map(waiting => waiting.item), [2])
    assert.equal(queue.size, 1)
  })
})

describe('RetryBudget', () => {
  it('adds at most a tenth of the load beyond its reserve', () => {
    const budget = new RetryBudget()
    let retries = 0
    for (let request = 0; request < 1000; request += 1) {
      budget.attempted()
      while (budget.trySpend()) retries += 1
    }
    assert.ok(retries <= 110, `${retries}`)
    assert.ok(retries >= 100, `${retries}`)
  })
})

describe('ConcurrencyLimit', () => {
  it('allows all visible slots until an endpoint refuses as busy', () => {
    const limit = new ConcurrencyLimit(1, 8)
    assert.equal(limit.limit, 8)
    limit.setMaximum(100)
    assert.equal(limit.limit, 100)
    limit.refused(0)
    limit.setMaximum(200)
    assert.equal(limit.limit, 85)
  })
  it('decreases once per burst of refusals and increases while it is used', () => {
    const limit = new ConcurrencyLimit(1, 100)
    for (let index = 0; index < 20; index += 1) limit.refused(1000 + index)
    assert.equal(limit.limit, 85)
    for (let index = 0; index < 500; index += 1) limit.succeeded(85)
    assert.ok(limit.limit > 88)
    limit.setMaximum(10)
    assert.equal(limit.limit, 10)
  })
  it('does not increase while idle and never falls below its minimum', () => {
    const limit = new ConcurrencyLimit(2, 40)
    limit.refused(0)
    const before = limit.limit
    limit.succeeded(1)
    assert.equal(limit.limit, before)
    for (let now = 1_000; now < 100_000; now += 1000) limit.refused(now)
    assert.equal(limit.limit, 2)
  })
})

describe('TokenBucket', () => {
  it('can be overdrawn and returns the time until the balance recovers', () => {
    const bucket = new TokenBucket(1000, 100, 0)
    bucket.spend(600, 0)
    assert.equal(bucket.wait(0), 500)
    assert.equal(bucket.trySpend(1, 400), false)
    assert.equal(bucket.wait(500), 0)
    assert.equal(bucket.trySpend(100, 5_000), true, 'the balance is limited to the burst')
    assert.equal(bucket.trySpend(1, 5_000), false)
  })
})

describe('LinkPacer', () => {
  it('limits transfers to the rate that live answers leave', () => {
    const rate = 1_000_000
    const sentWithin = (live: number): number => {
      const pacer = new LinkPacer(rate, 0)
      let sent = 0
      for (let now = 0; now < 1_000; now += 1) {
        pacer.live(live / 1_000, now)
        if (pacer.upload(10_000, now) === 0) sent += 10_000
      }
      return sent
    }
    assert.ok(Math.abs(sentWithin(0) - rate) < rate * 0.05)
    assert.ok(Math.abs(sentWithin(rate * 0.4) - rate * 0.6) < rate * 0.05)
    assert.ok(sentWithin(rate * 2) < rate * 0.05)
  })
  it('reduces the share while answers queue up and restores it afterwards', () => {
    const pacer = new LinkPacer(1000, 0)
    for (let now = 0; now < 2_000; now += 100) pacer.adapt(true, now)
    assert.equal(pacer.share, 0.1)
    for (let now = 2_000; now < 6_000; now += 100) pacer.adapt(false, now)
    assert.equal(pacer.share, 1)
  })
})
