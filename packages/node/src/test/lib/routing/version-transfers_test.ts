/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { afterEach, describe, it } from 'node:test'
import { directInstances, switchPosition, type Manifest } from '@drumdrift/core'
import type { ChunkStaging } from '../../../lib/agent/engine-client.js'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { Counters } from '../../../lib/observe/metrics.js'
import type { RequestHandler } from '../../../lib/peer/connection.js'
import { PeerPool } from '../../../lib/peer/pool.js'
import { PeerServer } from '../../../lib/peer/server.js'
import { HoldingsPublisher } from '../../../lib/routing/chunk-holdings.js'
import type { VersionOverlap } from '../../../lib/routing/version-transfer.js'
import { VersionTransfers, type EngineView } from '../../../lib/routing/version-transfers.js'

const CHUNKS = 8
const self = { instance: '127.0.0.1:1', availabilityZone: 'koshi' }

function chunkOf (version: number, index: number): Buffer { return Buffer.from(`v${version} chunk ${index}`) }
/** Below the ephemeral port range, and apart from the ports that other tests use. */
const FIRST_PORT = 10_000
let portOffset = 0

/** Listens on the first free address that satisfies the predicate. */
async function listenOnFreePort (onRequest: RequestHandler, accepts: (address: string) => boolean): Promise<{ server: PeerServer, address: string }> {
  for (;;) {
    const address = `127.0.0.1:${FIRST_PORT + portOffset++}`
    if (!accepts(address)) continue
    const server = new PeerServer({ instance: 'peer', key: 'k', address, log, traffic: { sent: 0, received: 0 }, onRequest })
    const listens = await server.listen().then(() => true, () => false)
    if (listens) return { server, address }
  }
}

function digestOf (bytes: Buffer): string { return createHash('sha256').update(bytes).digest('hex') }
function manifestOf (version: number): Manifest {
  const chunks = Array.from({ length: CHUNKS }, (_, index) => chunkOf(version, index)).map(bytes => ({ digest: digestOf(bytes), bytes: bytes.length }))
  return { model: 'm', version: String(version), bytes: chunks.reduce((sum, { bytes }) => sum + bytes, 0), chunks }
}

/** An origin that serves the chunks of each version up to a limit. */
class OriginFake {
  readonly sentCounts = new Map<number, number>()
  limits: Readonly<Record<number, number>> = {}

  async weights (_upstream: string, kind: 'chunks' | 'manifests', identity: string): Promise<Buffer | undefined> {
    if (kind === 'manifests') return Buffer.from(JSON.stringify(manifestOf(Number(identity.split('@')[1]))))
    for (const version of [2, 3, 4]) {
      const index = manifestOf(version).chunks.findIndex(({ digest }) => digest === identity)
      const sent = this.sentCounts.get(version) ?? 0
      if (index < 0 || sent >= (this.limits[version] ?? CHUNKS)) continue
      this.sentCounts.set(version, sent + 1)
      return chunkOf(version, index)
    }
    return undefined
  }
}

/** An engine's staging memory with one slot per chunk index, shared by all versions. */
class StagingFake implements ChunkStaging {
  readonly chunksByIndex = new Map<number, Buffer>()
  /** How long it takes to stage a chunk, in milliseconds. */
  delay = 0
  private readonly _manifests = new Map<string, Buffer>()

  async staged (): Promise<ReadonlySet<string>> { return new Set([...this.chunksByIndex.values()].map(digestOf)) }
  async arrange (): Promise<ReadonlySet<string>> { return await this.staged() }
  async stage (kind: 'chunks' | 'manifests', digest: string, bytes: Buffer): Promise<boolean> {
    if (this.delay > 0) await new Promise(resolve => setTimeout(resolve, this.delay))
    if (kind === 'manifests') this._manifests.set(digest, bytes)
    else this.chunksByIndex.set(Number(bytes.toString().split(' ').at(-1)), bytes)
    return true
  }

  async readBack (kind: 'chunks' | 'manifests', digest: string): Promise<Buffer | undefined> {
    if (kind === 'manifests') return this._manifests.get(digest)
    return [...this.chunksByIndex.values()].find(bytes => digestOf(bytes) === digest)
  }

  async drop (): Promise<void> {}
  /** The versions that have chunks in the staging memory. */
  get versions (): string[] { return [...new Set([...this.chunksByIndex.values()].map(bytes => bytes.toString().split(' ')[0] ?? ''))].sort() }
}

const view: EngineView = { served: 1, ordering: false, mayBegin: () => true }
const log = new Log('error', { role: 'test' }, new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => { setImmediate(() => callback(null, bytes.length)) }))

describe('VersionTransfers', () => {
  const open: { close (): void }[] = []
  afterEach(() => { for (const each of open.splice(0)) each.close() })

  function setUp (limits: Readonly<Record<number, number>>, memory = 1_000, peers: readonly string[] = [], overlap?: VersionOverlap): { versions: VersionTransfers, origin: OriginFake, staging: StagingFake } {
    const [origin, staging, pool] = [new OriginFake(), new StagingFake(), new PeerPool({ instance: 'a', key: 'k' })]
    origin.limits = limits
    const versions = new VersionTransfers({
      self, largestBytes: 1_000_000, source: origin, pool, log, counters: new Counters(), members: () => [self, ...peers.map(instance => ({ instance, availabilityZone: 'koshi' }))], chunkDigest: 'sha256', overlap, originCopyTime: () => 100, onWhole: () => {}, manifestMatches: (identity, bytes) => JSON.parse(bytes.toString()).version === identity.split('@')[1]
    }, staging, memory)
    open.push(versions, pool)
    return { versions, origin, staging }
  }

  /** Starts a peer that announces all chunks of a version, and sends them unless it is mute. */
  async function startPeerWithAllChunks (version: number, mute = false, accepts: (address: string) => boolean = () => true): Promise<string> {
    const holdings = new HoldingsPublisher(() => ({ held: Array.from({ length: CHUNKS }, (_, index) => index), elsewhere: [] }))
    const onRequest: RequestHandler = (request, _payload, responder) => {
      if (request.type === 'follow-chunks') holdings.follow(request.identity, responder)
      if (request.type === 'manifest') responder.send({ type: 'no-chunk', reason: 'not-held' })
      if (request.type !== 'chunk' || mute) return
      const index = manifestOf(version).chunks.findIndex(({ digest }) => digest === request.digest)
      responder.send({ type: 'chunk', digest: request.digest }, chunkOf(version, index))
    }
    const { server, address } = await listenOnFreePort(onRequest, accepts)
    open.push(holdings, server)
    return address
  }

  async function until (what: string, holds: () => boolean): Promise<void> {
    for (let tries = 0; tries < 200; tries += 1) {
      if (holds()) return
      await new Promise(resolve => setTimeout(resolve, 10))
    }
    throw new Error(`timed out waiting until: ${what}`)
  }

  it('transfers one version into the staging memory', async () => {
    const { versions, staging } = setUp({})
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('version 2 is complete', () => versions.whole === 'm@2')
    assert.deepEqual([staging.chunksByIndex.size, versions.target?.version, versions.transferring], [CHUNKS, 2, false])
    assert.equal(versions.timeToWhole(1_000), 0)
  })

  // Guards against chunks that were fetched again although they had arrived, and peers that were avoided, because this process had not run.
  for (const delay of [0, 50]) {
    it(`requests each chunk once although this process does not run for a while, if an engine takes ${delay} ms to stage one`, async () => {
      const requested: string[] = []
      const held = Array.from({ length: CHUNKS }, (_, index) => index)
      const { server, address } = await listenOnFreePort((request, _payload, responder) => {
        if (request.type === 'follow-chunks') responder.send({ type: 'chunks', identity: request.identity, held, elsewhere: [] })
        if (request.type === 'manifest') responder.send({ type: 'no-chunk', reason: 'not-held' })
        if (request.type !== 'chunk') return
        requested.push(request.digest)
        responder.send({ type: 'chunk', digest: request.digest }, chunkOf(2, manifestOf(2).chunks.findIndex(({ digest }) => digest === request.digest)))
        if (requested.length === 1) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_200)
      }, () => true)
      open.push(server)
      const { versions, staging } = setUp({ 2: 0 }, 1_000, [address])
      staging.delay = delay
      versions.want({ model: 'm', version: 2 }, 1, false)
      await until('version 2 is complete', () => versions.whole === 'm@2')
      assert.equal(requested.length, CHUNKS)
    })
  }

  it('completes a nearly transferred version when a newer one is named, and transfers the newer one in parallel', async () => {
    const { versions, origin, staging } = setUp({ 2: 6 })
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('six chunks are sent', () => origin.sentCounts.get(2) === 6)
    await new Promise(resolve => setTimeout(resolve, 20))
    versions.want({ model: 'm', version: 3 }, 1, false)
    assert.equal(versions.target?.version, 2)
    origin.limits = { 3: 4 }
    await until('the older version is complete', () => versions.whole === 'm@2')
    await versions.step(view, performance.now())
    assert.deepEqual([staging.versions, versions.target?.version, versions.transferring], [['v2'], 2, true])
    assert.equal(await versions.confirmWhole(), true)
  })

  it('moves the newer version into the staging memory once it is complete, without fetching it again', async () => {
    const { versions, origin, staging } = setUp({})
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('version 2 is complete', () => versions.whole === 'm@2')
    versions.want({ model: 'm', version: 3 }, 1, false)
    await until('version 3 is held', () => versions.held('m@3').length === CHUNKS)
    assert.deepEqual(staging.versions, ['v2'])
    await versions.step(view, performance.now())
    await until('version 3 is staged', () => versions.whole === 'm@3')
    assert.deepEqual([staging.versions, versions.target?.version, origin.sentCounts.get(3)], [['v3'], 3, CHUNKS])
    assert.equal(await versions.confirmWhole(), true)
  })

  it('does not modify the staging memory while the engine executes an order', async () => {
    const { versions, staging } = setUp({})
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('version 2 is complete', () => versions.whole === 'm@2')
    versions.want({ model: 'm', version: 3 }, 1, false)
    await until('version 3 is held', () => versions.held('m@3').length === CHUNKS)
    await versions.step({ ...view, ordering: true }, performance.now())
    assert.deepEqual([staging.versions, versions.whole], [['v2'], 'm@2'])
  })

  it('immediately replaces a version whose transfer has just begun', async () => {
    const { versions, origin } = setUp({ 2: 1 })
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('one chunk is sent', () => origin.sentCounts.get(2) === 1)
    versions.want({ model: 'm', version: 3 }, 1, false)
    assert.equal(versions.target?.version, 3)
    await until('version 3 is complete', () => versions.whole === 'm@3')
  })

  it('immediately replaces a version that the engine serves', async () => {
    const { versions } = setUp({})
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('version 2 is complete', () => versions.whole === 'm@2')
    versions.want({ model: 'm', version: 3 }, 2, false)
    assert.equal(versions.target?.version, 3)
  })

  it('defers a version that exceeds its memory limit until the staging memory is free', async () => {
    const { versions, origin } = setUp({}, 10)
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('version 2 is complete', () => versions.whole === 'm@2')
    versions.want({ model: 'm', version: 3 }, 1, false)
    await new Promise(resolve => setTimeout(resolve, 200))
    assert.equal(origin.sentCounts.get(3) ?? 0, 0)
    await versions.step({ ...view, served: 2 }, performance.now())
    await until('version 3 is complete', () => versions.whole === 'm@3')
  })

  it('fetches chunks that were corrupted in the staging memory again from peers', async () => {
    const address = await startPeerWithAllChunks(2)
    const { versions, staging } = setUp({ 2: 0 }, 1_000, [address])
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('version 2 is complete', () => versions.whole === 'm@2')
    staging.chunksByIndex.set(3, Buffer.from('corrupt 3'))
    assert.equal(await versions.confirmWhole(), false)
    await until('version 2 is complete again', () => versions.whole === 'm@2')
    assert.equal(await versions.confirmWhole(), true)
  })

  const orders: [name: string, index: number][] = [['before', 1], ['after', 0]]
  for (const [name, index] of orders) {
    it(`starts the switch order when the first member of the zone is complete, if that member comes ${name} this one`, async () => {
      const isInOrder = (address: string): boolean => switchPosition(self, [self, { ...self, instance: address }], 'm@2').index === index
      const address = await startPeerWithAllChunks(2, true, isInOrder)
      const { versions } = setUp({ 2: 0 }, 1_000, [address])
      const begunAt = performance.now()
      versions.want({ model: 'm', version: 2 }, 1, false)
      await until('the peer is known to be complete', () => performance.now() - begunAt > 200 && versions.timeToWhole(1) !== undefined)
      const { firstCompleteAt } = versions.turn
      await new Promise(resolve => setTimeout(resolve, 30))
      assert.equal(versions.turn.firstCompleteAt, firstCompleteAt)
      assert.equal(versions.whole, '')
    })
  }

  // All engines would otherwise drop the older version, and switch together when the newer one arrives shortly before the deadline.
  const divisions: [name: string, skips: boolean, heldByPeer: boolean, staged: number][] = [
    ['finishes the older version beside the newer one', false, true, 2],
    ['drops the older version if the engine skips it', true, true, 3],
    ['drops the older version if most of its chunks have not left the origin', false, false, 3]
  ]
  for (const [name, skips, heldByPeer, expected] of divisions) {
    it(`${name}, where engines are divided between two versions`, async () => {
      const [older, newer] = [{ version: 2, at: 0 }, { version: 3, at: 2_000 }]
      // One of two engines skips the older version.
      const policy = { bound: 9_400, lead: 400, transferTime: 5_000 }
      const divides = (address: string): boolean => directInstances([self, { ...self, instance: address }], 'm', older, newer, policy).has(self.instance) === skips
      const silent = Array.from({ length: 20 }, (_, index) => `127.0.0.1:${index + 1}`).find(divides) ?? ''
      const address = heldByPeer ? await startPeerWithAllChunks(2, true, divides) : silent
      const { versions } = setUp({ 2: heldByPeer ? 0 : CHUNKS / 2 }, 1_000, [address], { published: () => [older, newer], policy: () => policy })
      versions.want({ model: 'm', version: 2 }, 1, false)
      if (heldByPeer) await until('the peer is known to be complete', () => versions.timeToWhole(1) !== undefined)
      else await until('half of the chunks are held', () => versions.held('m@2').length === CHUNKS / 2)
      versions.want({ model: 'm', version: 3 }, 1, false)
      assert.equal(versions.target?.version, expected)
    })
  }

  it('transfers a version that is named while another is moved into the staging memory', async () => {
    const { versions } = setUp({})
    versions.want({ model: 'm', version: 2 }, 1, false)
    await until('version 2 is complete', () => versions.whole === 'm@2')
    versions.want({ model: 'm', version: 3 }, 1, false)
    await until('version 3 is held', () => versions.held('m@3').length === CHUNKS)
    const stepped = versions.step({ ...view, served: 2 }, performance.now())
    versions.want({ model: 'm', version: 4 }, 2, false)
    await stepped
    await until('version 4 is held', () => versions.held('m@4').length === CHUNKS)
  })
})
