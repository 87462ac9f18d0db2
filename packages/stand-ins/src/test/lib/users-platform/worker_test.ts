/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { ask, call } from '../../../lib/users-platform/caller.js'
import { PIECES, pieceOf } from '../../../lib/users-platform/weights-origin.js'
import { UsersWorkerStandIn } from '../../../lib/users-platform/worker.js'

describe('UsersWorkerStandIn with a queue', () => {
  let worker: UsersWorkerStandIn

  beforeEach(async () => {
    worker = new UsersWorkerStandIn('pool-1.1', 'm')
    worker.queueMilliseconds = 1_000
    await worker.listen(0)
  })
  afterEach(() => { worker.close() })

  async function waitFor (holds: () => boolean): Promise<void> {
    for (let tries = 0; tries < 250 && !holds(); tries += 1) await new Promise(resolve => setTimeout(resolve, 20))
    assert.ok(holds())
  }

  const cases: [name: string, closes: boolean, expected: { ran: boolean, status: number }][] = [
    ['runs a request on the version that is loaded when its turn comes', false, { ran: true, status: 200 }],
    ['removes a request whose connection closes', true, { ran: false, status: 0 }]
  ]
  for (const [name, closes, expected] of cases) {
    it(name, async () => {
      const caller = new AbortController()
      const answer = call(worker.address, { id: 'call-1', kind: 'stream', key: 'key-1', signal: caller.signal })
      await waitFor(() => worker.calls === 1)
      worker.version = 2
      if (closes) caller.abort()
      await waitFor(() => worker.arrivals.length === 1)
      const { ran, version, at, begunAt } = worker.arrivals[0] ?? assert.fail()
      assert.deepEqual({ ran, status: (await answer).status, version, waited: begunAt > at }, { ...expected, version: 2, waited: true })
    })
  }
})

describe('UsersWorkerStandIn that serves version 2', () => {
  const cases: [expected: string | undefined, status: number][] = [[undefined, 200], ['2', 200], ['1', 421], ['3', 421]]
  for (const [expected, status] of cases) {
    it(`answers ${status} to a request that demands version ${expected ?? 'none'}`, async () => {
      const worker = new UsersWorkerStandIn('pool-1.1', 'm')
      worker.version = 2
      await worker.listen(0)
      const response = await fetch(`http://${worker.address}/stream/`, { headers: expected === undefined ? {} : { 'x-expect-version': expected } })
      await response.text()
      worker.close()
      assert.deepEqual([response.status, worker.arrivals[0]?.ran], [status, status === 200])
    })
  }
})

describe('UsersWorkerStandIn that is ordered to load version 2', () => {
  const cases: [name: string, prepare: (worker: UsersWorkerStandIn) => void, wrong: { index: number, isCorrupted: boolean }[] | undefined][] = [
    ['tells that no piece is wrong', () => {}, []],
    ['tells the piece that is missing', worker => { worker.staged.delete(3) }, [{ index: 3, isCorrupted: false }]],
    ['tells the piece that was corrupted', worker => { worker.corruptPiece(3) }, [{ index: 3, isCorrupted: true }]],
    ['tells the piece of another version, which was corrupted', worker => {
      worker.staged.set(3, pieceOf(1, 3))
      worker.corruptPiece(3)
    }, [{ index: 3, isCorrupted: false }]],
    ['does not take an order after it has crashed', worker => {
      worker.orderDelays = [20]
      setTimeout(() => { worker.crashNow() }, 10)
    }, undefined]
  ]
  for (const [name, prepare, wrong] of cases) {
    it(name, async () => {
      const worker = new UsersWorkerStandIn('pool-1.1', 'm')
      await worker.listen(0)
      for (let index = 0; index < PIECES; index += 1) worker.staged.set(index, pieceOf(2, index))
      prepare(worker)
      await ask(worker.address, { path: '/api/order', body: JSON.stringify({ op: 'start', model: 'm', version: 2 }) })
      await pause(30)
      worker.close()
      assert.deepEqual(worker.versionSwitches[0]?.wrongPieces.map(({ index, corruptedAt }) => ({ index, isCorrupted: corruptedAt !== undefined })), wrong)
    })
  }
})
