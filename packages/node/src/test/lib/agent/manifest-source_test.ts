/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { rendezvousOrder, type PeerReply, type WeightsFailure } from '@drumdrift/core'
import { ManifestSource } from '../../../lib/agent/manifest-source.js'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { peerError } from '../../../lib/peer/frame.js'
import type { PeerPool } from '../../../lib/peer/pool.js'

const IDENTITY = 'm@2'
const names = rendezvousOrder(Array.from({ length: 20 }, (_, index) => `member-${index}`), IDENTITY)
const members = names.map(instance => ({ instance, availabilityZone: 'koshi' }))
const log = new Log('error', { role: 'test' }, new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => { setImmediate(() => callback(null, bytes.length)) }))

type Peer = 'gives' | 'has none' | 'gives another' | 'is silent'

const replies: Record<Peer, () => { reply: PeerReply, payload: Buffer }> = {
  gives: () => ({ reply: { type: 'manifest', digest: IDENTITY }, payload: Buffer.from(IDENTITY) }),
  'has none': () => ({ reply: { type: 'no-chunk', reason: 'not-held' }, payload: Buffer.alloc(0) }),
  'gives another': () => ({ reply: { type: 'manifest', digest: IDENTITY }, payload: Buffer.from('m@1') }),
  'is silent': () => { throw peerError('timed-out', 'no reply') }
}

describe('ManifestSource', () => {
  const cases: [name: string, rank: number, peer: Peer, platform: string | undefined, elapsed: number, expectedCalls: string[], expected: string | undefined, problem: string | undefined][] = [
    ['the first member requests it from the platform immediately', 0, 'gives', IDENTITY, 0, ['origin'], IDENTITY, undefined],
    ['members of the second level request it from the first member', 8, 'gives', IDENTITY, 0, [names[0] ?? ''], IDENTITY, undefined],
    ['members of the third level request it from the second level', 9, 'gives', IDENTITY, 0, [names[1] ?? ''], IDENTITY, undefined],
    ['a member whose parent has no manifest waits for the delay of its rank', 8, 'has none', IDENTITY, 159, [names[0] ?? ''], undefined, undefined],
    ['a member whose parent has no manifest requests it from the platform after the delay', 8, 'has none', IDENTITY, 160, [names[0] ?? '', 'origin'], IDENTITY, undefined],
    ['a member whose parent does not reply requests it from the platform after the delay', 8, 'is silent', IDENTITY, 160, [names[0] ?? '', 'origin'], IDENTITY, undefined],
    ['a manifest from a peer that does not match is rejected', 1, 'gives another', IDENTITY, 20, [names[0] ?? '', 'origin'], IDENTITY, undefined],
    ['a manifest from the platform that does not match is rejected and reported', 0, 'gives', 'm@1', 0, ['origin', 'store'], undefined, 'digest-mismatch'],
    ['a manifest that no source has is reported as unavailable', 0, 'gives', undefined, 0, ['origin', 'store'], undefined, 'unavailable']
  ]
  for (const [name, rank, peer, platform, elapsed, expectedCalls, expected, problem] of cases) {
    it(name, async () => {
      const [calls, problems] = [[] as string[], [] as WeightsFailure[]]
      const pool = { call: async (address: string) => { calls.push(address); return replies[peer]() } } as unknown as PeerPool
      const source = new ManifestSource({
        self: members[rank] ?? { instance: '', availabilityZone: '' },
        members: () => members,
        addressOf: instance => instance,
        pool,
        platform: { weights: async upstream => { calls.push(upstream); return platform === undefined ? undefined : Buffer.from(platform) } },
        log,
        copies: 1,
        matches: (identity, bytes) => bytes.toString() === identity,
        onProblem: failure => problems.push(failure)
      })
      const bytes = await source.fetch(IDENTITY, elapsed)
      assert.deepEqual([bytes?.toString(), calls, problems[0]?.reason], [expected, expectedCalls, problem])
    })
  }
})
