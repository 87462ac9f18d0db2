/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// A request crashes every endpoint that runs it, and its caller resends it under new ids. Without fingerprints, an entry with a budget of ten
// retries did not recognise the copies as the same request: six sends crashed endpoints eight times. With them, three times.
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import type { AnswerHead, InstanceRecord, PeerReply, PeerRequest, RequestFailure } from '@drumdrift/core'
import type { AnswerSink } from '../../lib/entry/answer-sink.js'
import type { CallerRequest } from '../../lib/entry/caller-request.js'
import { RequestExecutor } from '../../lib/entry/request-executor.js'
import type { Job } from '../../lib/entry/dispatcher.js'
import { Group } from '../../lib/entry/group.js'
import type { AtMostOnceAttempts } from '../../lib/entry/at-most-once-attempts.js'
import { Histograms } from '../../lib/observe/histograms.js'
import { Counters } from '../../lib/observe/metrics.js'
import type { ReplyListener } from '../../lib/peer/connection.js'
import type { PeerPool } from '../../lib/peer/pool.js'
import { fingerprintOf } from '../../lib/request-fingerprint.js'

const ENDPOINTS = 8
const status = { incarnation: 'i', lifecycle: 'serving', version: 'v', serving: true, running: 1, slots: 4 } as const
const startReplies: PeerReply[] = [{ type: 'admitted', admission: { type: 'admitted', run: 1 }, status }, { type: 'head', head: { status: 200, headers: {}, version: 'v' } }]
const records: InstanceRecord[] = Array.from({ length: ENDPOINTS }, (_, index) => ({
  instance: `agent-${index}`, availabilityZone: 'koshi', role: 'agent', address: `10.0.0.${index}:1`, endpoint: 'pool', state: 'live'
}))

/** Agents whose endpoints crash on one body and answer any other. */
class FakeAgents {
  readonly broken: string[] = []

  constructor (private readonly _fatalBody: string) {}

  async connection (address: string): Promise<unknown> {
    return {
      open: true,
      notify: () => {},
      forget: () => {},
      ask: (_request: PeerRequest, payload: Buffer, listener: ReplyListener): number => {
        queueMicrotask(() => this._answer(address, payload, listener))
        return 1
      }
    }
  }

  private _answer (address: string, payload: Buffer, listener: ReplyListener): void {
    const fatal = payload.toString() === this._fatalBody
    if (fatal) this.broken.push(address)
    const last: PeerReply = fatal ? { type: 'broken', detail: 'the endpoint closed its connection', notRun: false, status } : { type: 'end', count: 0, status }
    for (const reply of [...startReplies, last]) listener.reply(reply, Buffer.alloc(0))
  }
}

class FakeSink implements AnswerSink {
  readonly gone = false
  readonly begun = false
  onDisconnect (): void {}
  head (_head: AnswerHead): void {}
  part (): boolean { return true }
  end (): void {}
  fail (): void {}
}

describe('RequestExecutor', () => {
  const agents = new FakeAgents('fatal')
  let group: Group<Job>
  let carrier: RequestExecutor

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] })
    agents.broken.length = 0
    group = new Group<Job>('pool', { instance: 'entry-1', availabilityZone: 'koshi' }, { choice: 'affinity', retryRatio: 0.1 }, () => 0.5)
    group.setEndpoints(records, 0)
    carrier = new RequestExecutor({
      pool: agents as unknown as PeerPool, once: undefined as unknown as AtMostOnceAttempts, patience: { admission: 1_000, firstAnswer: 1_000, betweenParts: 1_000 }, histograms: new Histograms(), counters: new Counters(), fingerprint: request => fingerprintOf('k', request)
    })
  })
  afterEach(() => mock.timers.reset())

  async function execute (id: string, body: string): Promise<RequestFailure | undefined> {
    const now = performance.now()
    const request: CallerRequest = {
      id, organisation: 'a', requestClass: 'interactive', group: 'pool', kind: 'pool', method: 'POST', path: '/', headers: {}, body: Buffer.from(body), bodyDigest: '', neverRepeat: false, streamed: true, prefix: '', receivedAt: now, deadline: now + 60_000
    }
    return await carrier.execute({ request, sink: new FakeSink() }, group)
  }

  it('holds back a request that repeatedly crashes endpoints', async () => {
    for (let count = 0; count < 5; count += 1) await execute(`fatal-${count}`, 'fatal')
    const failure = await execute('fatal-again', 'fatal')
    assert.deepEqual([agents.broken.length, failure?.code, failure?.outcome], [3, 'ends-endpoints', 'not-run'])
    assert.ok((failure?.retryAfter ?? 0) > 0)
  })

  it('runs other requests of the same caller', async () => {
    for (let count = 0; count < 5; count += 1) await execute(`fatal-${count}`, 'fatal')
    assert.equal(await execute('sound', 'sound'), undefined)
  })
})
