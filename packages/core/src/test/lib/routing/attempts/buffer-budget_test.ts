/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BufferBudget, type BufferAccount } from '../../../../lib/routing/attempts/buffer-budget.js'

describe('BufferBudget', () => {
  /** Opens accounts at times 0, 1, ... and applies the steps; returns the indices of those that were ended, in order. */
  function play (bound: number, accounts: number, steps: (open: readonly BufferAccount[]) => void): { ended: number[], held: number, accepts: boolean } {
    const budget = new BufferBudget(bound)
    const ended: number[] = []
    const open = Array.from({ length: accounts }, (_, index) => budget.open(() => ended.push(index), index))
    steps(open)
    return { ended, held: budget.held, accepts: budget.accepts }
  }
  const answer = (bytes: number): { request: number, awaitingCaller: number } => ({ request: 0, awaitingCaller: bytes })
  const request = (bytes: number): { request: number, awaitingCaller: number } => ({ request: bytes, awaitingCaller: 0 })

  // Without a bound, 500 callers that read nothing exhaust the memory of an entry, and all other callers lose their answers.
  const cases: [name: string, result: ReturnType<typeof play>, expected: ReturnType<typeof play>][] = [
    ['ends nothing below the bound', play(100, 2, ([first, second]) => { first?.set(answer(50)); second?.set(answer(50)) }), { ended: [], held: 100, accepts: false }],
    ['ends the caller without progress for the longest time', play(100, 3, open => open.forEach(account => account.set(answer(40)))), { ended: [0], held: 80, accepts: false }],
    ['spares a caller that read something meanwhile', play(100, 3, open => { open[0]?.progressed(9); open.forEach(account => account.set(answer(40))) }), { ended: [1], held: 80, accepts: false }],
    ['ends as many as needed', play(100, 4, open => open.forEach((account, index) => account.set(answer(index < 3 ? 30 : 95)))), { ended: [0, 1, 2], held: 95, accepts: false }],
    ['never ends a request that is being answered', play(100, 2, ([first, second]) => { first?.set(request(90)); second?.set(answer(20)) }), { ended: [1], held: 90, accepts: false }],
    ['refuses new requests while only requests that are being answered exceed the bound', play(100, 1, ([only]) => only?.set(request(300))), { ended: [], held: 300, accepts: false }],
    ['accepts new requests once buffers are released', play(100, 2, ([first, second]) => { first?.set(answer(60)); second?.set(answer(30)); first?.close() }), { ended: [], held: 30, accepts: true }],
    ['counts a change of the same exchange once', play(100, 1, ([only]) => { only?.set(answer(60)); only?.set(answer(70)) }), { ended: [], held: 70, accepts: true }],
    ['has no bound by default', play(Infinity, 1, ([only]) => only?.set(answer(1e12))), { ended: [], held: 1e12, accepts: true }]
  ]
  for (const [name, result, expected] of cases) it(name, () => assert.deepEqual(result, expected))

  // Callers that stop short of the end of their bodies would otherwise keep what they hold, while those that come next are refused.
  const room: [name: string, held: readonly number[], now: number, expected: { ended: number[], accepts: boolean }][] = [
    ['while there is room', [40, 30], 10_000, { ended: [], accepts: true }],
    ['from the caller without progress for the longest time', [40, 40], 10_000, { ended: [0], accepts: true }],
    ['from as many as needed', [10, 10, 70], 10_000, { ended: [0, 1], accepts: true }],
    ['from no caller that made progress just now', [40, 40], 100, { ended: [], accepts: false }]
  ]
  for (const [name, held, now, expected] of room) {
    it(`makes room for a new request ${name}`, () => {
      const budget = new BufferBudget(100)
      const ended: number[] = []
      held.forEach((bytes, index) => budget.open(() => ended.push(index), index).set(answer(bytes)))
      const accepts = budget.makeRoom(now)
      assert.deepEqual({ ended, accepts }, expected)
    })
  }

  // Without a share of their own, attempts at a few endpoints that never end an event would have other requests refused.
  const attempts: [name: string, bytes: readonly number[], expected: { ended: number[], held: number, accepts: boolean }][] = [
    ['below their share', [20, 30], { ended: [], held: 50, accepts: true }],
    ['above their share, the largest first', [5, 30, 15, 6], { ended: [1], held: 26, accepts: true }],
    ['as many as needed', [5, 20, 20, 45], { ended: [3], held: 45, accepts: true }],
    ['one that is larger than the share', [5, 200], { ended: [1], held: 5, accepts: true }]
  ]
  for (const [name, bytes, expected] of attempts) {
    it(`ends attempts that hold parts of answers: ${name}`, () => {
      const budget = new BufferBudget(100)
      const ended: number[] = []
      const accounts = bytes.map((_, index) => budget.openAttempt(() => ended.push(index)))
      accounts.forEach((account, index) => account.set(bytes[index] ?? 0))
      assert.deepEqual({ ended, held: budget.held, accepts: budget.accepts }, expected)
      for (const account of accounts) {
        account.close()
        account.set(10)
      }
      assert.equal(budget.held, 0)
    })
  }
})
