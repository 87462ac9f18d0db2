/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import type { PublishedChange } from '@drumdrift/core'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { Counters } from '../../../lib/observe/metrics.js'
import { PeerPool } from '../../../lib/peer/pool.js'
import type { PublishedStore, StoreChanges, StoreFailure } from '../../../lib/routing/ports.js'
import { PublishedFeed } from '../../../lib/routing/published-feed.js'

const PAUSE = 150
const log = new Log('error', { role: 'test' }, new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => { setImmediate(() => callback(null, bytes.length)) }))
const record = { id: 'a', service: 'pool', address: '10.0.0.1:80', availabilityZone: 'koshi', slots: 4, draining: false, models: [] }
const endpointChange: PublishedChange = { type: 'endpoint', revision: 2, record }
const versionChange: PublishedChange = { type: 'wanted-version', revision: 3, wanted: { model: 'm', version: 2 } }

/** Returns an empty read, then responds to each watch with the next change or failure after a delay; the last watch hangs. */
class StoreFake implements PublishedStore {
  readonly respondedAt: number[] = []
  private _upTo = 1

  constructor (private readonly _responses: (readonly [after: number, change: PublishedChange | 'failure'])[]) {}

  async readWhole (): Promise<StoreChanges> { return { type: 'changes', changes: [], upTo: this._upTo, refused: [] } }

  async awaitChanges (): Promise<StoreChanges | StoreFailure> {
    const [after, change] = this._responses.shift() ?? [60_000, endpointChange]
    await new Promise(resolve => { setTimeout(resolve, after).unref() })
    if (change === 'failure') return { type: 'store-failure', reason: 'timed-out', detail: 'no answer' }
    this.respondedAt.push(performance.now())
    this._upTo += 1
    return { type: 'changes', changes: [change], upTo: this._upTo, refused: [] }
  }
}

describe('PublishedFeed', () => {
  const open: { close (): void }[] = []
  afterEach(() => { for (const each of open.splice(0)) each.close() })

  const cases: [name: string, between: (readonly [after: number, change: 'failure'])[], after: number, expected: 'when the answer before came' | 'when it came'][] = [
    ['returned immediately after a pause counts from the previous response', [], 0, 'when the answer before came'],
    ['returned after the watch has waited counts from its response', [], 700, 'when it came'],
    ['returned after a store failure counts from its response', [[400, 'failure']], 0, 'when it came']
  ]
  for (const [name, between, after, expected] of cases) {
    it(`a version ${name}`, async () => {
      const store = new StoreFake([[0, endpointChange], ...between, [after, versionChange]])
      const pool = new PeerPool({ instance: 'a', key: 'k' })
      const received = new Promise<void>(resolve => {
        const feed: PublishedFeed = new PublishedFeed({
          store, pool, log, counters: new Counters(), watches: [{ scope: 'everything', pause: PAUSE, wait: 1_000, relayed: false }], relays: { addresses: [], place: { availabilityZone: 'koshi', regionOf: zone => zone }, topics: () => [] }, peers: () => [], onChanges: () => { if (feed.state.firstNewerAt('m', 1) !== undefined) resolve() }
        })
        open.push(feed, pool)
        feed.start()
      })
      await received
      const [previous = 0, own = 0] = store.respondedAt
      const at = (open[0] as PublishedFeed).state.firstNewerAt('m', 1) ?? 0
      const wanted = expected === 'when it came' ? own : previous
      assert.ok(Math.abs(at - wanted) < PAUSE / 2, `${at} differs from ${wanted}`)
    })
  }
})
