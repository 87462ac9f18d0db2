/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { checkConfiguration, requestFailure, type AnswerHead, type InstanceRecord, type RequestFailure } from '@drumdrift/core'
import type { AnswerSink } from '../../lib/entry/answer-sink.js'
import type { CallerRequest } from '../../lib/entry/caller-request.js'
import { Dispatcher } from '../../lib/entry/dispatcher.js'
import { Histograms } from '../../lib/observe/histograms.js'
import { Counters } from '../../lib/observe/metrics.js'

const record: InstanceRecord = { instance: 'agent-1', availabilityZone: 'koshi', role: 'agent', address: '10.0.0.1:1', endpoint: 'booking', state: 'live' }
const checked = checkConfiguration({ models: {}, pools: {}, services: { booking: {} }, organisations: { a: {}, b: { inProgress: 1 } } })

class FakeSink implements AnswerSink {
  gone = false
  readonly begun = false
  failure: RequestFailure | undefined
  private _listener = (): void => {}
  onDisconnect (listener: () => void): void { this._listener = listener }
  disconnect (): void {
    this.gone = true
    this._listener()
  }

  head (_head: AnswerHead): void {}
  part (): boolean { return true }
  end (): void {}
  fail (failure: RequestFailure): void { this.failure = failure }
}

/** A dispatcher with one endpoint, whose requests end when the test ends them. */
class DispatcherFixture {
  readonly started: { id: string, end: (failure?: RequestFailure) => void }[] = []
  readonly dispatcher: Dispatcher

  constructor (queueLength = 100) {
    this.dispatcher = new Dispatcher(
      { instance: 'entry-1', availabilityZone: 'koshi' },
      { maxQueueLength: queueLength, maxWait: 2_000, choice: 'affinity', queueing: 'fair', retryRatio: 0.1 },
      async job => await new Promise(resolve => this.started.push({ id: job.request.id, end: resolve })),
      new Histograms(),
      new Counters()
    )
    if ('value' in checked) this.dispatcher.apply(checked.value, [record])
  }

  submit (id: string, organisation = 'a', group = 'booking'): FakeSink {
    const sink = new FakeSink()
    const now = performance.now()
    const request: CallerRequest = {
      id, organisation, requestClass: 'interactive', group, kind: 'service', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0), bodyDigest: '', neverRepeat: false, streamed: false, prefix: '', receivedAt: now, deadline: now + 10_000
    }
    this.dispatcher.submit({ request, sink })
    return sink
  }
}

describe('Dispatcher', () => {
  let fixture: DispatcherFixture
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
    fixture = new DispatcherFixture()
  })
  afterEach(() => {
    fixture.dispatcher.close()
    mock.timers.reset()
  })

  it('starts up to its limit and queues the rest', async () => {
    for (let index = 0; index < 10; index += 1) fixture.submit(`r${index}`)
    assert.equal(fixture.started.length, 8)
    fixture.started[0]?.end()
    await new Promise(resolve => setImmediate(resolve))
    assert.equal(fixture.started.length, 9)
    assert.equal(fixture.dispatcher.inProgress, 9)
  })

  it('immediately refuses a request for an unknown group as not run', () => {
    const sink = fixture.submit('r', 'a', 'nothing')
    assert.deepEqual([sink.failure?.code, sink.failure?.outcome], ['no-endpoint', 'not-run'])
  })

  it('enforces the concurrency limit of an organisation', () => {
    fixture.submit('one', 'b')
    fixture.submit('two', 'b')
    fixture.submit('three', 'a')
    assert.deepEqual(fixture.started.map(({ id }) => id), ['one', 'three'])
  })

  it('removes a queued request whose caller disconnects', () => {
    const sinks = Array.from({ length: 10 }, (_, index) => fixture.submit(`r${index}`))
    sinks[9]?.disconnect()
    assert.equal(fixture.dispatcher.inProgress, 9)
  })

  it('immediately refuses requests that would wait too long, with a retry time', () => {
    const sinks = Array.from({ length: 100 }, (_, index) => fixture.submit(`r${index}`))
    const refused = sinks.filter(sink => sink.failure !== undefined)
    assert.ok(refused.length > 20, `${refused.length}`)
    assert.ok(refused.every(sink => sink.failure?.code === 'overloaded' && sink.failure.outcome === 'not-run' && sink.failure.retryAfter > 0))
  })

  it('reports the failure of a request to its caller and releases its slot', async () => {
    const sink = fixture.submit('r')
    fixture.started[0]?.end(requestFailure('outcome-unknown', 'unknown', 'x'))
    await new Promise(resolve => setImmediate(resolve))
    assert.equal(sink.failure?.code, 'outcome-unknown')
    assert.equal(fixture.dispatcher.inProgress, 0)
  })
})
