/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClaimKeeper, ClaimQuorum, keepersOf, requiredConfirmations, type ClaimReply } from '../../lib/claims.js'
import { formatIssuedId, parseIssuedId } from '../../lib/issued-id.js'

const policy = { repeatWindow: 1_000, recordsPerOrganisation: 2 }

function listedKeeper (): ClaimKeeper {
  const keeper = new ClaimKeeper('agent-1.aa', policy)
  keeper.listed(0)
  return keeper
}

describe('ClaimKeeper', () => {
  it('confirms only the first attempt for an id', () => {
    const keeper = listedKeeper()
    assert.equal(keeper.claim('o', 'id', 'one', 'b', 2_000).type, 'vouched')
    assert.equal(keeper.claim('o', 'id', 'one', 'b', 2_000).type, 'vouched', 'a repeated claim of the same attempt')
    assert.deepEqual(keeper.claim('o', 'id', 'two', 'b', 2_000), { type: 'seen', attempt: 'one', bodyDigest: 'b' })
    assert.equal(keeper.claim('p', 'id', 'two', 'b', 2_000).type, 'vouched', 'ids are scoped to their organisation')
  })

  it('records claims without confirming them until it has been listed for the repeat window', () => {
    const keeper = new ClaimKeeper('agent-1.aa', policy)
    assert.deepEqual(keeper.claim('o', 'a', 'one', 'b', 0), { type: 'young', wait: 1_000 })
    keeper.listed(100)
    assert.deepEqual(keeper.claim('o', 'b', 'one', 'b', 400), { type: 'young', wait: 700 })
    assert.equal(keeper.claim('o', 'b', 'two', 'b', 1_200).type, 'seen')
  })

  it('refuses claims at its bound and deletes records after the repeat window', () => {
    const keeper = listedKeeper()
    keeper.claim('o', 'a', 'one', 'b', 2_000)
    keeper.claim('o', 'b', 'one', 'b', 2_000)
    assert.equal(keeper.claim('o', 'c', 'one', 'b', 2_000).type, 'full')
    assert.equal(keeper.claim('p', 'c', 'one', 'b', 2_000).type, 'vouched', 'the bound applies per organisation')
    assert.equal(keeper.claim('o', 'c', 'one', 'b', 3_500).type, 'vouched')
  })

  it('releases a claim only for the attempt that made it', () => {
    const keeper = listedKeeper()
    keeper.claim('o', 'id', 'one', 'b', 2_000)
    keeper.release('o', 'id', 'two')
    assert.equal(keeper.claim('o', 'id', 'two', 'b', 2_000).type, 'seen')
    keeper.release('o', 'id', 'one')
    assert.equal(keeper.claim('o', 'id', 'two', 'b', 2_000).type, 'vouched')
  })

  const issued: [name: string, incarnation: string, now: number, expected: ClaimReply['type']][] = [
    ['confirms an id that names its incarnation at once', 'agent-1.aa', 501, 'vouched'],
    ['rejects an id of another incarnation', 'agent-1.bb', 501, 'stranger'],
    ['rejects an id of another keeper', 'agent-2.aa', 501, 'stranger'],
    ['rejects an id older than the repeat window', 'agent-1.aa', 1_600, 'stranger']
  ]
  for (const [name, incarnation, now, expected] of issued) {
    it(`issued ids: ${name}`, () => {
      const keeper = new ClaimKeeper('agent-1.aa', policy)
      const id = formatIssuedId('r', [{ instance: incarnation.split('.')[0] ?? '', incarnation, at: 500 }])
      assert.equal(keeper.claim('o', id, 'one', 'b', now).type, expected)
    })
  }
})

describe('issued ids', () => {
  it('are parsed as formatted', () => {
    const keepers = [{ instance: 'agent-1', incarnation: 'agent-1.aa', at: 5 }, { instance: 'agent-2', incarnation: 'agent-2.bb', at: 7 }]
    assert.deepEqual(parseIssuedId(formatIssuedId('r1', keepers)), keepers)
  })
  for (const id of ['', 'notice-42', 'issued1', 'issued1,r', 'issued1,,a~b~1', 'issued1,r,a~b~x', 'issued1,r,a~b~1,a~c~2']) {
    it(`are not parsed from ${JSON.stringify(id)}`, () => assert.equal(parseIssuedId(id), undefined))
  }
})

describe('keepersOf', () => {
  const agents = Array.from({ length: 12 }, (_, index) => `agent-${index}`)
  it('returns the same five keepers for any list order, four of which must confirm', () => {
    const keepers = keepersOf(agents, 'o', 'id')
    assert.equal(keepers.instances.length, 5)
    assert.equal(keepers.needed, 4)
    assert.deepEqual(keepersOf([...agents].reverse(), 'o', 'id'), keepers)
  })
  it('returns the keepers named by an issued id, a majority of which must confirm', () => {
    const id = formatIssuedId('r', [1, 2, 3, 4, 5].map(number => ({ instance: `x-${number}`, incarnation: `x-${number}.a`, at: 0 })))
    assert.deepEqual(keepersOf(agents, 'o', id), { instances: ['x-1', 'x-2', 'x-3', 'x-4', 'x-5'], needed: 3 })
  })
  it('requires all of fewer than four keepers', () => {
    assert.deepEqual([1, 2, 3, 4, 5].map(requiredConfirmations), [1, 2, 3, 3, 4])
  })
})

describe('ClaimQuorum', () => {
  const vouched: ClaimReply = { type: 'vouched' }
  const recent: ClaimReply = { type: 'young', wait: 300 }
  const other = (bodyDigest: string): ClaimReply => ({ type: 'seen', attempt: 'other', bodyDigest })
  const cases: [name: string, replies: (ClaimReply | 'unreachable')[], verdict: string][] = [
    ['too few replies yet', [vouched, vouched, vouched], 'open'],
    ['four of five confirm', [vouched, vouched, vouched, vouched], 'granted'],
    ['one is unreachable', [vouched, 'unreachable', vouched, vouched, vouched], 'granted'],
    ['two are unreachable', [vouched, 'unreachable', 'unreachable', vouched, vouched], 'unreachable'],
    ['one is not listed long enough', [vouched, recent, vouched, vouched, vouched], 'granted'],
    ['two are not listed long enough', [recent, recent, vouched, vouched], 'young'],
    ['one has recorded another attempt', [vouched, other('b')], 'seen'],
    ['one has recorded another attempt with a different body', [vouched, other('c')], 'conflict'],
    ['two have reached their bound', [{ type: 'full' }, { type: 'full' }, vouched, vouched, vouched], 'full']
  ]
  for (const [name, replies, verdict] of cases) {
    it(`${name}: ${verdict}`, () => {
      const quorum = new ClaimQuorum(['a', 'b', 'c', 'd', 'e'], 4, 'mine', 'b')
      replies.forEach((reply, index) => quorum.take('abcde'[index] ?? '', reply))
      assert.equal(quorum.verdict(), verdict)
    })
  }
})
