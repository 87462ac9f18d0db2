/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ChunkMember } from '../../../../lib/chunk-tree.js'
import type { Manifest } from '../../../../lib/documents.js'
import { ChunkAssignment } from '../../../../lib/routing/weights/chunk-assignment.js'
import { ChunkSwarm } from '../../../../lib/routing/weights/chunk-swarm.js'
import { defaultSwarmPolicy, type SwarmLimit } from '../../../../lib/routing/weights/swarm-policy.js'
import type { TransferEffect } from '../../../../lib/transfer.js'

const CHUNKS = 12
/** Time after which every member has taken over at the origin for a chunk that no member holds, in milliseconds. */
const LONGEST_TAKEOVER_DELAY = 2 * defaultSwarmPolicy.originCopyTime + defaultSwarmPolicy.takeoverDelay + 5 * defaultSwarmPolicy.originStagger
const manifest: Manifest = {
  model: 'm', version: '2', bytes: CHUNKS * 10, chunks: Array.from({ length: CHUNKS }, (_, index) => ({ digest: `digest-${index}`, bytes: 10 }))
}
const members: ChunkMember[] = ['koshi', 'bagmati'].flatMap(zone => [1, 2, 3].map(number => ({ instance: `${zone}-${number}`, availabilityZone: zone })))
const [self] = members as [ChunkMember]
const near = 'koshi-2'
const far = 'bagmati-1'

function newSwarm (held: ReadonlySet<string> = new Set()): ChunkSwarm {
  return new ChunkSwarm(self, members, 'm@2', manifest, held, () => 0)
}

type Fetch = Extract<TransferEffect, { type: 'fetch' }>

function fetches (effects: readonly TransferEffect[]): Fetch[] { return effects.filter(effect => effect.type === 'fetch') }
function sourceOf ({ source }: Fetch): string { return source.kind === 'peer' ? source.instance : source.kind }

/** Completes the given fetches and all that follow from them, until the member requests no more chunks. */
function completeAll (swarm: ChunkSwarm, first: readonly Fetch[], now: number): void {
  let pending = [...first]
  while (pending.length > 0) pending = pending.flatMap(({ attempt }) => fetches(swarm.chunkReceived(attempt, now)))
}

/** Chunks that the member pulls into its zone (`own`), and the others. */
const places = new ChunkAssignment(self, members)
const all = Array.from({ length: CHUNKS }, (_, index) => index)
const own = all.filter(index => places.ranks(index).inZone === 0)
const others = all.filter(index => places.ranks(index).inZone > 0)

describe('ChunkAssignment', () => {
  it('assigns each chunk to one member of the fleet and to one of each zone', () => {
    for (const chunk of all) {
      const turns = members.map(member => new ChunkAssignment(member, members).ranks(chunk))
      assert.equal(turns.filter(({ overall }) => overall === 0).length, 1)
      assert.equal(turns.filter(({ inZone }) => inZone === 0).length, 2)
      assert.deepEqual(turns.map(({ overall }) => overall).sort(), [0, 1, 2, 3, 4, 5])
    }
  })

  it('returns the member with overall rank 0 as the reader of each chunk', () => {
    for (const chunk of all) {
      const [reader] = members.filter(member => new ChunkAssignment(member, members).ranks(chunk).overall === 0)
      assert.equal(places.originReader(chunk), reader?.instance)
    }
  })

  it('makes each member the predecessor of one other member of its zone', () => {
    for (const zone of ['koshi', 'bagmati']) {
      const ring = members.filter(({ availabilityZone }) => availabilityZone === zone)
      const predecessors = ring.map(member => new ChunkAssignment(member, members).predecessor)
      assert.deepEqual(predecessors.sort(), ring.map(({ instance }) => instance).sort())
    }
    assert.equal(new ChunkAssignment(self, [self]).predecessor, self.instance)
  })

  it('assigns the same number of chunks to all members', () => {
    for (const member of members) {
      const assigned = all.filter(chunk => new ChunkAssignment(member, members).ranks(chunk).overall === 0)
      assert.equal(assigned.length, CHUNKS / members.length)
    }
  })
})

describe('ChunkSwarm', () => {
  it('reads only its assigned chunks from the origin', () => {
    const swarm = newSwarm()
    const started = fetches(swarm.tick(0))
    assert.ok(started.length > 0)
    for (const { index, source } of started) {
      assert.equal(source.kind, 'origin')
      assert.equal(places.ranks(index).overall, 0)
    }
  })

  it('reads from the origin in place of unreachable members', () => {
    const swarm = newSwarm()
    for (const { instance } of members) if (instance !== self.instance) swarm.peerLost(instance)
    const read = new Set<number>()
    let pending = fetches(swarm.tick(0))
    while (pending.length > 0) {
      for (const { index } of pending) read.add(index)
      pending = fetches(pending.flatMap(({ attempt }) => swarm.chunkReceived(attempt, 1)))
    }
    assert.equal(read.size, CHUNKS)
  })

  // Members that transfer another version first would otherwise be waited for.
  it('assigns chunks to the given readers only', () => {
    const swarm = newSwarm()
    swarm.setReaders(new Set([self.instance]))
    const read = new Set<number>()
    for (let pending = fetches(swarm.tick(0)); pending.length > 0; pending = fetches(pending.flatMap(({ attempt }) => swarm.chunkReceived(attempt, 1)))) {
      for (const { index } of pending) read.add(index)
    }
    assert.equal(read.size, CHUNKS)
    const other = newSwarm()
    other.setReaders(new Set([near]))
    assert.deepEqual(fetches(other.tick(0)), [])
    other.setReaders(undefined)
    assert.ok(fetches(other.tick(1)).length > 0)
  })

  // Requests that queue at one peer leave other links idle.
  it('spreads pulls over the peers of its zone that hold chunks', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, all)
    swarm.peerHolds('koshi-3', all)
    const started = fetches(swarm.tick(0)).map(sourceOf)
    for (const peer of [near, 'koshi-3']) assert.equal(started.filter(source => source === peer).length, defaultSwarmPolicy.peerWindow / 2)
  })

  it('takes over at the origin if a chunk is overdue', () => {
    const swarm = newSwarm()
    completeAll(swarm, fetches(swarm.tick(0)), 0)
    const now = LONGEST_TAKEOVER_DELAY
    const late = fetches(swarm.tick(now))
    assert.ok(late.some(({ index }) => places.ranks(index).overall > 0))
  })

  it('does not take over a chunk that is reported at another member until the report expires', () => {
    const swarm = newSwarm()
    const ofOthers = all.filter(index => places.ranks(index).overall > 0)
    swarm.peerReports(ofOthers, LONGEST_TAKEOVER_DELAY - 100)
    completeAll(swarm, fetches(swarm.tick(0)), 0)
    assert.deepEqual(fetches(swarm.tick(LONGEST_TAKEOVER_DELAY)), [])
    assert.deepEqual(swarm.elsewhere(LONGEST_TAKEOVER_DELAY), ofOthers)
    assert.ok(fetches(swarm.tick(LONGEST_TAKEOVER_DELAY + 2_500)).length > 0)
  })

  it('does not take over while its own reads from the origin fail, nor immediately after the origin recovers', () => {
    const swarm = newSwarm()
    const delay = LONGEST_TAKEOVER_DELAY
    let failing = fetches(swarm.tick(0))
    while (failing.length > 0) failing = failing.flatMap(({ attempt }) => fetches(swarm.failed(attempt, 'not-held', delay)))
    const afterRecovery = fetches(swarm.tick(delay + 200))
    assert.ok(afterRecovery.length > 0)
    for (const { index } of afterRecovery) assert.equal(places.ranks(index).overall, 0)
    completeAll(swarm, afterRecovery, delay + 300)
    assert.ok(fetches(swarm.tick(2 * delay)).some(({ index }) => places.ranks(index).overall > 0))
  })

  it('pulls from its own zone if both zones hold a chunk', () => {
    const swarm = newSwarm()
    swarm.peerHolds(far, all)
    swarm.peerHolds(near, all)
    const started = fetches(swarm.tick(0))
    assert.equal(started.length, defaultSwarmPolicy.peerWindow)
    assert.deepEqual([...new Set(started.map(sourceOf))], [near])
  })

  const neighbours = ['koshi-2', 'koshi-3']
  const [predecessor = '', otherNeighbour = ''] = [places.predecessor, neighbours.find(name => name !== places.predecessor)]
  const neighbourCases: [name: string, setUp: (swarm: ChunkSwarm) => void, expected: string][] = [
    ['its predecessor rather than others', () => {}, predecessor],
    ['another peer if the predecessor is unreachable', swarm => swarm.peerLost(predecessor), otherNeighbour]
  ]
  for (const [name, setUp, expected] of neighbourCases) {
    it(`pulls from ${name}`, () => {
      const swarm = newSwarm()
      for (const neighbour of neighbours) swarm.peerHolds(neighbour, others)
      setUp(swarm)
      const [first] = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
      assert.equal(first === undefined ? '' : sourceOf(first), expected)
    })
  }

  it('pulls its assigned chunks into the zone, and the others only after a delay', () => {
    const swarm = newSwarm()
    swarm.peerHolds(far, all)
    const started = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
    assert.ok(started.length > 0)
    for (const { index } of started) assert.ok(own.includes(index))
    for (const { attempt } of started) swarm.chunkReceived(attempt, 10)
    const later = fetches(swarm.tick(10 + 2 * defaultSwarmPolicy.zoneStagger))
    assert.ok([...later].some(({ index }) => others.includes(index)))
  })

  it('requests a chunk from another peer if the first one no longer holds it', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, [others[0] ?? 0])
    const [pull] = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
    assert.ok(pull !== undefined)
    swarm.peerHolds('koshi-3', [pull.index])
    const next = fetches(swarm.failed(pull.attempt, 'not-held', 5)).find(({ index }) => index === pull.index)
    assert.equal(next === undefined ? '' : sourceOf(next), 'koshi-3')
  })

  const problems: [problem: 'timed-out' | 'unreachable' | 'corrupt' | 'not-yet'][] = [['timed-out'], ['unreachable'], ['corrupt'], ['not-yet']]
  for (const [problem] of problems) {
    it(`backs off from a peer after ${problem}`, () => {
      const swarm = newSwarm()
      swarm.peerHolds(near, others)
      const started = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
      for (const { attempt } of started) swarm.failed(attempt, problem, 1)
      assert.deepEqual(fetches(swarm.tick(2)).filter(effect => effect.source.kind === 'peer'), [])
      swarm.peerHolds(near, others)
      assert.ok(fetches(swarm.tick(10_000)).some(effect => sourceOf(effect) === near))
    })
  }

  it('abandons a pull that times out, and requests the chunk from another peer', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, others)
    const [pull] = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
    swarm.peerHolds('koshi-3', others)
    const effects = swarm.tick(defaultSwarmPolicy.peerTimeout)
    assert.ok(effects.some(effect => effect.type === 'abandon' && effect.attempt === pull?.attempt))
    assert.ok(fetches(effects).some(effect => sourceOf(effect) === 'koshi-3'))
  })

  const shares: [name: string, held: readonly number[], peers: readonly number[], expected: number][] = [
    ['no chunks', [], [], 0],
    ['chunks of its own', [0, 1, 2], [], 0.25],
    ['chunks of peers', [], [0, 1, 2], 0.25],
    ['chunks of both, counted once', [0, 1, 2], [2, 3, 4, 5], 0.5],
    ['all chunks', [0, 1], all, 1]
  ]
  for (const [name, held, peers, expected] of shares) {
    it(`reports the share of chunks that any member holds: ${name}`, () => {
      const swarm = newSwarm(new Set(held.map(index => manifest.chunks[index]?.digest ?? '')))
      swarm.peerHolds(near, peers)
      assert.equal(swarm.availableShare, expected)
    })
  }

  it('lists the peers that hold all chunks', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, all)
    swarm.peerHolds(far, all.slice(1))
    assert.deepEqual(swarm.completePeers, [near])
    swarm.peerHolds(far, all)
    swarm.peerLost(near)
    assert.deepEqual(swarm.completePeers, [far])
  })

  const limits: [name: string, limit: SwarmLimit | undefined, peers: number, origin: number][] = [
    ['the policy if there is no limit', undefined, defaultSwarmPolicy.peerWindow, defaultSwarmPolicy.originWindow],
    ['a limit', { peers: 2, origin: 0 }, 2, 0],
    ['a limit of zero', { peers: 0, origin: 0 }, 0, 0],
    ['the policy if the limit is higher', { peers: 99, origin: 99 }, defaultSwarmPolicy.peerWindow, defaultSwarmPolicy.originWindow]
  ]
  for (const [name, limit, peers, origin] of limits) {
    it(`makes as many concurrent requests as allowed by ${name}`, () => {
      const swarm = newSwarm()
      swarm.limit(limit)
      swarm.peerHolds(near, others)
      const started = fetches(swarm.tick(0))
      assert.equal(started.filter(effect => effect.source.kind === 'peer').length, Math.min(peers, others.length))
      assert.equal(started.filter(effect => effect.source.kind === 'origin').length, origin)
    })
  }

  it('reports completion once, after the last chunk was received', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, all)
    const seen: TransferEffect[] = []
    let pending = swarm.tick(0)
    for (let now = 1; now < 100 && pending.length > 0; now += 1) {
      seen.push(...pending)
      pending = fetches(pending).flatMap(({ attempt }) => swarm.chunkReceived(attempt, now))
    }
    assert.equal(seen.filter(effect => effect.type === 'whole').length, 1)
    assert.equal(swarm.progress, 1)
    assert.deepEqual(swarm.tick(200), [])
  })

  it('fetches no chunks that are already held', () => {
    const swarm = newSwarm(new Set(manifest.chunks.map(({ digest }) => digest)))
    assert.deepEqual(swarm.tick(0).map(({ type }) => type), ['whole'])
  })

  it('abandons all pulls if the version is no longer wanted', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, all)
    const started = fetches(swarm.tick(0))
    assert.deepEqual(swarm.cancel().map(effect => effect.type === 'abandon' && effect.attempt), started.map(({ attempt }) => attempt))
    assert.deepEqual(swarm.tick(1), [])
  })
})
