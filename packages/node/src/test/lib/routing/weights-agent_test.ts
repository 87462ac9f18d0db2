/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import type { ModelVersion, PeerRequest, PublishedChange, RoutingConfiguration } from '@drumdrift/core'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { PeerPool } from '../../../lib/peer/pool.js'
import type { EngineReport, PublishedStore, ReadFreshness, StoreChanges, StoreFailure, StoreScope, WeightsPlatform } from '../../../lib/routing/ports.js'
import { WeightsAgent } from '../../../lib/routing/weights-agent.js'
import { checkSettings } from '../../../lib/settings/settings.js'

/** Below the ephemeral port range, and apart from the ports that other tests use. */
let nextPort = 11_000

const configuration: RoutingConfiguration = {
  version: 1,
  routes: [],
  services: [{
    name: 'pool',
    maxConnections: 10,
    pool: { slots: 4, stride: 1, stepTime: 1, stepTimePerRequest: 0, stepTimePerThousandTokens: 0, promptTokensPerMillisecond: 10, promptTokensPerStep: 100, usualPromptTokens: 100, usualAnswerTokens: 10, models: [{ name: 'm', warmUp: 0 }], layers: 1, chunks: 1, chunkBytes: 8 }
  }],
  organisations: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 }
}

const published: Record<StoreScope, readonly PublishedChange[]> = {
  everything: [],
  operators: [],
  configuration: [{ type: 'configuration', revision: 1, configuration }],
  versions: [],
  evacuations: [],
  endpoints: [{ type: 'endpoint', revision: 2, record: { id: 'engine-1', service: 'pool', address: '127.0.0.1:1', availabilityZone: 'koshi', slots: 4, draining: false, models: [] } }]
}

/** A store without a wanted version. */
class StoreFake implements PublishedStore {
  readonly readings: [scope: StoreScope, freshness: ReadFreshness][] = []
  watches = 0

  /**
   * @param _listed Whether reads of the endpoint list succeed.
   */
  constructor (private readonly _listed: boolean) {}

  async readWhole (scope: StoreScope, freshness: ReadFreshness): Promise<StoreChanges | StoreFailure> {
    this.readings.push([scope, freshness])
    if (scope === 'endpoints' && !this._listed) return { type: 'store-failure', reason: 'timed-out', detail: 'no answer' }
    return { type: 'changes', changes: published[scope], upTo: 3, refused: [] }
  }

  async awaitChanges (): Promise<StoreChanges> {
    this.watches += 1
    return { type: 'changes', changes: [], upTo: 3, refused: [] }
  }
}

const report: EngineReport = { running: 0, waiting: 0, contextTokens: 0, models: [{ model: 'm', version: 1 }], busy: false, pace: 1 }

function platformWith (store: PublishedStore, staged: readonly string[]): WeightsPlatform {
  return {
    store,
    engine: {
      useModel: () => {},
      report: async () => report,
      order: async (_wanted: ModelVersion) => 'refused',
      occupiedPlaces: async () => staged.map((_text, place) => place),
      read: async place => Buffer.from(staged[place] ?? ''),
      write: async () => 'written'
    },
    manifests: { add: () => {}, manifest: () => undefined },
    source: { setOrigin: () => {}, weights: async () => undefined },
    chunkDigest: 'sha256',
    manifestMatches: () => true
  }
}

describe('WeightsAgent', () => {
  const open: { close (): unknown }[] = []
  afterEach(async () => { for (const each of open.splice(0)) await each.close() })

  async function start (listed: boolean, staged: readonly string[]): Promise<{ store: StoreFake, lines: string[], address: string }> {
    const [store, lines, address] = [new StoreFake(listed), [] as string[], `127.0.0.1:${nextPort++}`]
    const log = new Log('info', { role: 'test' }, new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => {
      lines.push(bytes.toString())
      setImmediate(() => callback(null, bytes.length))
    }))
    const settings = checkSettings(`
[process]
instance = agent-1
availability-zone = koshi
address = ${address}
[platform]
availability-zones = koshi
store-address = 127.0.0.1:1
[peers]
key = k
agent-port = 1
[endpoint]
name = pool
address = 127.0.0.1:1
[weights]
link-megabits-per-second = 10
`, 'agent.ini', 'weights-agent')
    const agent = new WeightsAgent(settings, log, () => platformWith(store, staged))
    await agent.start()
    open.push({ close: () => agent.stop() })
    return { store, lines, address }
  }

  async function startWithEntry (): Promise<{ store: StoreFake, lines: string[], ask: (request: PeerRequest) => Promise<unknown> }> {
    const { store, lines, address } = await start(true, [])
    const pool = new PeerPool({ instance: 'entry-1', key: 'k' })
    open.push(pool)
    await until('the first version is wanted', () => lines.join('').includes('event=version-wanted'))
    return { store, lines, ask: async request => await pool.call(address, request, { timeout: 1_000 }) }
  }

  async function until (what: string, holds: () => boolean): Promise<void> {
    for (let tries = 0; tries < 200; tries += 1) {
      if (holds()) return
      await new Promise(resolve => setTimeout(resolve, 10))
    }
    throw new Error(`timed out waiting until: ${what}`)
  }

  it('learns the wanted version from an entry, without watching the store', async () => {
    const { store, lines, ask } = await startWithEntry()
    await ask({ type: 'ping', named: { model: 'm', version: 2, age: 50 } })
    assert.ok(lines.join('').includes('version=2'))
    assert.deepEqual([store.watches, new Set(store.readings.map(([, freshness]) => freshness))], [0, new Set(['may-be-old'])])
  })

  const startCases: [name: string, listed: boolean, staged: readonly string[], expected: boolean][] = [
    ['starts the transfer once the other members are known', true, [], true],
    ['waits for the other members while nothing is staged', false, [], false],
    ['does not wait for the other members if chunks are staged', false, ['digest'], true]
  ]
  for (const [name, listed, staged, expected] of startCases) {
    it(name, async () => {
      const { lines } = await start(listed, staged)
      await until('the staging memory is read', () => lines.join('').includes('event=staging-read'))
      await new Promise(resolve => setTimeout(resolve, 50))
      assert.equal(lines.join('').includes('event=version-wanted'), expected)
    })
  }

  const ignored: [name: string, named: unknown, logged: boolean][] = [
    ['an older version', { model: 'm', version: 1, age: 50 }, false],
    ['a version without a number', { model: 'm', age: 50 }, true],
    ['a version without a model', { version: 2, age: 50 }, true],
    ['a version without an age', { model: 'm', version: 2 }, true]
  ]
  for (const [name, named, logged] of ignored) {
    it(`ignores ${name}`, async () => {
      const { lines, ask } = await startWithEntry()
      await ask({ type: 'ping', named } as PeerRequest)
      await new Promise(resolve => setTimeout(resolve, 20))
      assert.deepEqual([lines.join('').includes('event=peer-malformed'), lines.join('').match(/event=version-wanted/g)?.length], [logged, 1])
    })
  }
})
