/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ChunkMember } from '../../lib/chunk-tree.js'
import type { Manifest } from '../../lib/documents.js'
import { defaultTransferPolicy, Transfer, type FetchProblem, type TransferEffect } from '../../lib/transfer.js'

type Fetch = Extract<TransferEffect, { type: 'fetch' }>

const members: ChunkMember[] = Array.from({ length: 6 }, (_, index) => ({ instance: `agent-${index}`, availabilityZone: `zone-${index % 2}` }))
const manifest: Manifest = { model: 'chat', version: 'v1', bytes: 80, chunks: Array.from({ length: 8 }, (_, index) => ({ digest: `d${index}`, bytes: 10 })) }
const self = members[5] as ChunkMember

function start (held: string[] = [], window = 3): Transfer {
  return new Transfer(self, members, 'manifest', manifest, new Set(held), { ...defaultTransferPolicy, window })
}

function fetches (effects: readonly TransferEffect[]): Fetch[] {
  return effects.filter((effect): effect is Fetch => effect.type === 'fetch')
}

/** Runs a transfer until it is complete or `until` is reached; `answer` returns the outcome of each fetch. */
function runTransfer (transfer: Transfer, answer: (fetch: Fetch, now: number) => FetchProblem | 'good' | 'silence', until = 60_000): { whole: boolean, fetched: Fetch[], took: number } {
  const fetched: Fetch[] = []
  let open: Fetch[] = []
  let now = 0
  const take = (effects: readonly TransferEffect[]): void => {
    for (const effect of effects) {
      if (effect.type === 'fetch') open.push(effect)
      if (effect.type === 'abandon') open = open.filter(fetch => fetch.attempt !== effect.attempt)
    }
  }
  while (!transfer.whole && now < until) {
    take(transfer.tick(now))
    for (const fetch of open) {
      const result = answer(fetch, now)
      if (result === 'silence') continue
      fetched.push(fetch)
      open = open.filter(other => other !== fetch)
      take(result === 'good' ? transfer.chunkReceived(fetch.attempt, now) : transfer.failed(fetch.attempt, result, now))
    }
    now += 50
  }
  return { whole: transfer.whole, fetched, took: now }
}

describe('Transfer', () => {
  it('fills its window and fetches from a peer or the origin first', () => {
    const effects = fetches(start().tick(0))
    assert.equal(effects.length, 3)
    assert.ok(effects.every(fetch => fetch.source.kind === 'peer' || fetch.source.kind === 'origin'))
  })

  it('fetches each chunk once without failures', () => {
    const { whole, fetched } = runTransfer(start(), () => 'good')
    assert.ok(whole)
    assert.equal(fetched.length, manifest.chunks.length)
  })

  it('does not fetch chunks that are already held', () => {
    const { whole, fetched } = runTransfer(start(['d0', 'd3', 'd7']), () => 'good')
    assert.ok(whole)
    assert.deepEqual(fetched.map(fetch => fetch.digest).sort(), ['d1', 'd2', 'd4', 'd5', 'd6'])
  })

  const failures: [name: string, answer: (fetch: Fetch, now: number) => FetchProblem | 'good' | 'silence'][] = [
    ['all peers are unreachable', fetch => fetch.source.kind === 'peer' ? 'unreachable' : 'good'],
    ['no peer holds a chunk', fetch => fetch.source.kind === 'peer' ? 'not-held' : 'good'],
    ['all peers stall', fetch => fetch.source.kind === 'peer' ? 'silence' : 'good'],
    ['all peers send corrupt chunks', fetch => fetch.source.kind === 'peer' ? 'corrupt' : 'good'],
    ['the origin has no chunk and the store does', fetch => fetch.source.kind === 'origin' ? 'not-held' : 'good'],
    ['one peer sends corrupt chunks', fetch => fetch.source.kind === 'peer' && fetch.source.instance === 'agent-1' ? 'corrupt' : 'good'],
    ['all sources are unreachable for 20 s', (_fetch, now) => now < 20_000 ? 'unreachable' : 'good']
  ]
  for (const [name, answer] of failures) {
    it(`completes although ${name}`, () => {
      assert.ok(runTransfer(start(), answer).whole)
    })
  }

  it('skips a failed peer and abandons its other fetches', () => {
    const transfer = start([], 8)
    const asked = fetches(transfer.tick(0)).filter(fetch => fetch.source.kind === 'peer')
    const first = asked[0] as Fetch
    const sameSource = asked.filter(fetch => JSON.stringify(fetch.source) === JSON.stringify(first.source))
    const effects = transfer.failed(first.attempt, 'unreachable', 10)
    const abandoned = effects.filter(effect => effect.type === 'abandon').length
    assert.equal(abandoned, sameSource.length - 1)
    assert.ok(fetches(effects).every(fetch => JSON.stringify(fetch.source) !== JSON.stringify(first.source)))
  })

  it('extends the timeout on progress signals and abandons the fetch without them', () => {
    const outcomes = [true, false].map(signals => {
      const transfer = start([], 1)
      const [fetch] = fetches(transfer.tick(0))
      for (let now = 100; now < 4_000; now += 100) {
        if (signals) transfer.chunkPending(fetch?.attempt ?? 0, now)
        if (transfer.tick(now).some(effect => effect.type === 'abandon' && effect.attempt === fetch?.attempt)) return 'abandoned'
      }
      return 'waiting'
    })
    assert.deepEqual(outcomes, ['waiting', 'abandoned'])
  })

  it('staggers reads from the origin by rank when all peers are unreachable', () => {
    const times = members.map(member => {
      const transfer = new Transfer(member, members, 'manifest', manifest, new Set(['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7']), defaultTransferPolicy)
      return runTransfer(transfer, fetch => fetch.source.kind === 'peer' ? 'unreachable' : 'good').took
    })
    assert.ok(new Set(times).size >= 3, `ended at ${times.join(', ')}`)
  })

  it('abandons all fetches when cancelled', () => {
    const transfer = start()
    const asked = fetches(transfer.tick(0))
    const effects = transfer.cancel()
    assert.deepEqual(effects.map(effect => effect.type), asked.map(() => 'abandon'))
    assert.deepEqual(transfer.tick(100), [])
    assert.deepEqual(transfer.chunkReceived(asked[0]?.attempt ?? 0, 100), [], 'a late chunk is ignored')
  })
})
