/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { call } from '../../../lib/users-platform/caller.js'
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
