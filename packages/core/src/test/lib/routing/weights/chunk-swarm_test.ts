/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ChunkMember } from '../../../../lib/chunk-tree.js'
import type { Manifest } from '../../../../lib/documents.js'
import { ChunkPlaces } from '../../../../lib/routing/weights/chunk-places.js'
import { ChunkSwarm } from '../../../../lib/routing/weights/chunk-swarm.js'
import { defaultSwarmPolicy, type SwarmLimit } from '../../../../lib/routing/weights/swarm-policy.js'
import type { TransferEffect } from '../../../../lib/transfer.js'

const CHUNKS = 12
/** By then every member has stepped in at the origin for a chunk that nobody holds. */
const LONGEST_PATIENCE = 2 * defaultSwarmPolicy.originCopyTime + defaultSwarmPolicy.stepInPatience + 5 * defaultSwarmPolicy.originStagger
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

/** Lets these chunks arrive and all that the member asks for after them, until it asks for nothing more. */
function arriveAll (swarm: ChunkSwarm, first: readonly Fetch[], now: number): void {
  let pending = [...first]
  while (pending.length > 0) pending = pending.flatMap(({ attempt }) => fetches(swarm.arrived(attempt, now)))
}

/** Chunks whose turn in the member's zone is the member's own, and the others. */
const places = new ChunkPlaces(self, members)
const all = Array.from({ length: CHUNKS }, (_, index) => index)
const own = all.filter(index => places.turn(index).inZone === 0)
const others = all.filter(index => places.turn(index).inZone > 0)

describe('ChunkPlaces', () => {
  it('gives each chunk to one member of the fleet and to one of each zone', () => {
    for (const chunk of all) {
      const turns = members.map(member => new ChunkPlaces(member, members).turn(chunk))
      assert.equal(turns.filter(({ overall }) => overall === 0).length, 1)
      assert.equal(turns.filter(({ inZone }) => inZone === 0).length, 2)
      assert.deepEqual(turns.map(({ overall }) => overall).sort(), [0, 1, 2, 3, 4, 5])
    }
  })

  it('tells for each chunk the member whose turn is the first', () => {
    for (const chunk of all) {
      const [reader] = members.filter(member => new ChunkPlaces(member, members).turn(chunk).overall === 0)
      assert.equal(places.reader(chunk), reader?.instance)
    }
  })

  it('makes each member the predecessor of one other of its zone', () => {
    for (const zone of ['koshi', 'bagmati']) {
      const ring = members.filter(({ availabilityZone }) => availabilityZone === zone)
      const predecessors = ring.map(member => new ChunkPlaces(member, members).predecessor)
      assert.deepEqual(predecessors.sort(), ring.map(({ instance }) => instance).sort())
    }
    assert.equal(new ChunkPlaces(self, [self]).predecessor, self.instance)
  })

  it('gives all members the same share', () => {
    for (const member of members) {
      const mine = all.filter(chunk => new ChunkPlaces(member, members).turn(chunk).overall === 0)
      assert.equal(mine.length, CHUNKS / members.length)
    }
  })
})

describe('ChunkSwarm', () => {
  it('reads from the origin only the chunks whose turn it has', () => {
    const swarm = newSwarm()
    const started = fetches(swarm.tick(0))
    assert.ok(started.length > 0)
    for (const { index, source } of started) {
      assert.equal(source.kind, 'origin')
      assert.equal(places.turn(index).overall, 0)
    }
  })

  it('reads from the origin in place of members that cannot be reached', () => {
    const swarm = newSwarm()
    for (const { instance } of members) if (instance !== self.instance) swarm.peerLost(instance)
    const read = new Set<number>()
    let pending = fetches(swarm.tick(0))
    while (pending.length > 0) {
      for (const { index } of pending) read.add(index)
      pending = fetches(pending.flatMap(({ attempt }) => swarm.arrived(attempt, 1)))
    }
    assert.equal(read.size, CHUNKS)
  })

  it('steps in at the origin when a chunk has not come for long', () => {
    const swarm = newSwarm()
    arriveAll(swarm, fetches(swarm.tick(0)), 0)
    const now = LONGEST_PATIENCE
    const late = fetches(swarm.tick(now))
    assert.ok(late.some(({ index }) => places.turn(index).overall > 0))
  })

  it('does not step in for a chunk that some member holds by hearsay, until that is old', () => {
    const swarm = newSwarm()
    const ofOthers = all.filter(index => places.turn(index).overall > 0)
    swarm.heardOf(ofOthers, LONGEST_PATIENCE - 100)
    arriveAll(swarm, fetches(swarm.tick(0)), 0)
    assert.deepEqual(fetches(swarm.tick(LONGEST_PATIENCE)), [])
    assert.deepEqual(swarm.elsewhere(LONGEST_PATIENCE), ofOthers)
    assert.ok(fetches(swarm.tick(LONGEST_PATIENCE + 2_500)).length > 0)
  })

  it('does not step in while the origin fails it too, nor as soon as it is back', () => {
    const swarm = newSwarm()
    const patience = LONGEST_PATIENCE
    let failing = fetches(swarm.tick(0))
    while (failing.length > 0) failing = failing.flatMap(({ attempt }) => fetches(swarm.failed(attempt, 'not-held', patience)))
    const atReturn = fetches(swarm.tick(patience + 200))
    assert.ok(atReturn.length > 0)
    for (const { index } of atReturn) assert.equal(places.turn(index).overall, 0)
    arriveAll(swarm, atReturn, patience + 300)
    assert.ok(fetches(swarm.tick(2 * patience)).some(({ index }) => places.turn(index).overall > 0))
  })

  it('pulls from its own zone when both zones hold a chunk', () => {
    const swarm = newSwarm()
    swarm.peerHolds(far, all)
    swarm.peerHolds(near, all)
    const started = fetches(swarm.tick(0))
    assert.equal(started.length, defaultSwarmPolicy.peerWindow)
    assert.deepEqual([...new Set(started.map(sourceOf))], [near])
  })

  const neighbours = ['koshi-2', 'koshi-3']
  const [before = '', after = ''] = [places.predecessor, neighbours.find(name => name !== places.predecessor)]
  const rings: [name: string, arrange: (swarm: ChunkSwarm) => void, expected: string][] = [
    ['its predecessor before others', () => {}, before],
    ['another when the predecessor cannot be reached', swarm => swarm.peerLost(before), after]
  ]
  for (const [name, arrange, expected] of rings) {
    it(`pulls from ${name}`, () => {
      const swarm = newSwarm()
      for (const neighbour of neighbours) swarm.peerHolds(neighbour, others)
      arrange(swarm)
      const [first] = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
      assert.equal(first === undefined ? '' : sourceOf(first), expected)
    })
  }

  it('brings chunks of its own turn into the zone, and leaves the others to whose turn it is for a while', () => {
    const swarm = newSwarm()
    swarm.peerHolds(far, all)
    const started = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
    assert.ok(started.length > 0)
    for (const { index } of started) assert.ok(own.includes(index))
    for (const { attempt } of started) swarm.arrived(attempt, 10)
    const later = fetches(swarm.tick(10 + 2 * defaultSwarmPolicy.zoneStagger))
    assert.ok([...later].some(({ index }) => others.includes(index)))
  })

  it('asks another holder when one says that it has the chunk no more', () => {
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
    it(`passes a peer over for a while after ${problem}`, () => {
      const swarm = newSwarm()
      swarm.peerHolds(near, others)
      const started = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
      for (const { attempt } of started) swarm.failed(attempt, problem, 1)
      assert.deepEqual(fetches(swarm.tick(2)).filter(effect => effect.source.kind === 'peer'), [])
      swarm.peerHolds(near, others)
      assert.ok(fetches(swarm.tick(10_000)).some(effect => sourceOf(effect) === near))
    })
  }

  it('gives up a pull that takes too long, and asks elsewhere', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, others)
    const [pull] = fetches(swarm.tick(0)).filter(effect => effect.source.kind === 'peer')
    swarm.peerHolds('koshi-3', others)
    const effects = swarm.tick(defaultSwarmPolicy.peerTimeout)
    assert.ok(effects.some(effect => effect.type === 'abandon' && effect.attempt === pull?.attempt))
    assert.ok(fetches(effects).some(effect => sourceOf(effect) === 'koshi-3'))
  })

  const shares: [name: string, held: readonly number[], peers: readonly number[], expected: number][] = [
    ['nothing', [], [], 0],
    ['what it holds', [0, 1, 2], [], 0.25],
    ['what peers hold', [], [0, 1, 2], 0.25],
    ['either, counted once', [0, 1, 2], [2, 3, 4, 5], 0.5],
    ['everything', [0, 1], all, 1]
  ]
  for (const [name, held, peers, expected] of shares) {
    it(`knows the share of chunks that somebody has: ${name}`, () => {
      const swarm = newSwarm(new Set(held.map(index => manifest.chunks[index]?.digest ?? '')))
      swarm.peerHolds(near, peers)
      assert.equal(swarm.known, expected)
    })
  }

  it('knows which peers hold everything', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, all)
    swarm.peerHolds(far, all.slice(1))
    assert.deepEqual(swarm.wholePeers, [near])
    swarm.peerHolds(far, all)
    swarm.peerLost(near)
    assert.deepEqual(swarm.wholePeers, [far])
  })

  const limits: [name: string, limit: SwarmLimit | undefined, peers: number, origin: number][] = [
    ['the policy without a limit', undefined, defaultSwarmPolicy.peerWindow, defaultSwarmPolicy.originWindow],
    ['a limit', { peers: 2, origin: 0 }, 2, 0],
    ['nothing', { peers: 0, origin: 0 }, 0, 0],
    ['the policy before a higher limit', { peers: 99, origin: 99 }, defaultSwarmPolicy.peerWindow, defaultSwarmPolicy.originWindow]
  ]
  for (const [name, limit, peers, origin] of limits) {
    it(`asks for as many at once as allowed by ${name}`, () => {
      const swarm = newSwarm()
      swarm.limit(limit)
      swarm.peerHolds(near, others)
      const started = fetches(swarm.tick(0))
      assert.equal(started.filter(effect => effect.source.kind === 'peer').length, Math.min(peers, others.length))
      assert.equal(started.filter(effect => effect.source.kind === 'origin').length, origin)
    })
  }

  it('is whole when every chunk has arrived, and says so once', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, all)
    const seen: TransferEffect[] = []
    let pending = swarm.tick(0)
    for (let now = 1; now < 100 && pending.length > 0; now += 1) {
      seen.push(...pending)
      pending = fetches(pending).flatMap(({ attempt }) => swarm.arrived(attempt, now))
    }
    assert.equal(seen.filter(effect => effect.type === 'whole').length, 1)
    assert.equal(swarm.progress, 1)
    assert.deepEqual(swarm.tick(200), [])
  })

  it('fetches nothing that is held already', () => {
    const swarm = newSwarm(new Set(manifest.chunks.map(({ digest }) => digest)))
    assert.deepEqual(swarm.tick(0).map(({ type }) => type), ['whole'])
  })

  it('abandons everything when the version is no longer wanted', () => {
    const swarm = newSwarm()
    swarm.peerHolds(near, all)
    const started = fetches(swarm.tick(0))
    assert.deepEqual(swarm.cancel().map(effect => effect.type === 'abandon' && effect.attempt), started.map(({ attempt }) => attempt))
    assert.deepEqual(swarm.tick(1), [])
  })
})
