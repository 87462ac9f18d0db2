/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import type { SuspectNews } from '@drumdrift/core'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { Counters } from '../../../lib/observe/metrics.js'
import { SuspectExchange } from '../../../lib/routing/suspect-exchange.js'

const fingerprint = '00000000000000fa'

function lossOf (start: string): SuspectNews { return { losses: [{ fingerprint, start, age: 0 }], answers: [] } }

describe('SuspectExchange', () => {
  let now = 0
  let sent: SuspectNews[]
  let heldBack: string[]
  let logLines: string[]
  let exchange: SuspectExchange

  beforeEach(() => {
    mock.timers.enable({ apis: ['setInterval'] })
    mock.method(performance, 'now', () => now)
    now = 1_000
    sent = []
    heldBack = []
    logLines = []
    const output = new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => {
      logLines.push(bytes.toString('utf8'))
      callback(null, bytes.length)
    })
    exchange = new SuspectExchange({
      log: new Log('debug', {}, output), counters: new Counters(), send: news => sent.push(news), onHeldBack: held => heldBack.push(held)
    })
  })
  afterEach(() => {
    exchange.close()
    mock.timers.reset()
    mock.restoreAll()
  })

  function advance (milliseconds: number): void {
    now += milliseconds
    mock.timers.tick(milliseconds)
  }

  /** The lost starts in all messages that were sent to agents. */
  function sentLosses (): string[] { return sent.flatMap(({ losses }) => losses.map(({ start }) => start)) }

  it('shares the loss of an endpoint once it has not shown in time that it is alive', () => {
    exchange.lost(fingerprint, 'a', now)
    advance(600)
    assert.deepEqual(sent, [])
    advance(100)
    assert.deepEqual(sentLosses(), ['a'])
    advance(1_000)
    assert.equal(sent.length, 1)
  })

  it('does not share the loss of an endpoint that proves to be alive', () => {
    exchange.lost(fingerprint, 'a', now)
    exchange.recordAlive('a', now + 100)
    advance(1_000)
    assert.deepEqual(sent, [])
  })

  it('reports once that a request is held back, whichever entries saw the losses', () => {
    exchange.lost(fingerprint, 'a', now)
    exchange.receive(lossOf('b'), 'agent-1')
    assert.deepEqual(heldBack, [])
    exchange.receive(lossOf('c'), 'agent-2')
    exchange.receive(lossOf('d'), 'agent-2')
    assert.deepEqual([heldBack, exchange.standing(fingerprint, now)], [[fingerprint], 'held-back'])
    assert.equal(logLines.join('').match(/event=request-held-back .*fingerprint=00000000000000fa source=told lost=a,b,c/g)?.length, 1)
  })

  it('relays losses that make a request suspect, and no others', () => {
    exchange.receive(lossOf('a'), 'agent-1')
    assert.deepEqual(sent, [])
    exchange.receive(lossOf('b'), 'agent-1')
    assert.deepEqual(sentLosses(), ['b'])
    exchange.receive(lossOf('b'), 'agent-2')
    assert.equal(sent.length, 1)
  })

  it('shares an answer that clears a request, and no others', () => {
    exchange.answered(fingerprint, now)
    exchange.lost(fingerprint, 'a', now + 10)
    exchange.answered(fingerprint, now + 20)
    assert.deepEqual(sent, [])
    for (const start of ['b', 'c', 'd']) exchange.lost(fingerprint, start, now + 30)
    exchange.answered(fingerprint, now + 40)
    assert.deepEqual(sent, [{ losses: [], answers: [{ fingerprint, age: 0 }] }])
  })

  it('clears a held-back request that another entry saw answered, and relays the answer', () => {
    for (const start of ['a', 'b', 'c']) exchange.receive(lossOf(start), 'agent-1')
    sent.length = 0
    now += 50
    exchange.receive({ losses: [], answers: [{ fingerprint, age: 10 }] }, 'agent-1')
    now += 60_000
    assert.deepEqual([exchange.standing(fingerprint, now), sent.length], ['clear', 1])
  })

  it('rejects malformed messages', () => {
    exchange.receive({ losses: [{ ...lossOf('a').losses[0], age: 'x' }], answers: [] }, 'agent-1')
    assert.match(logLines.join(''), /event=peer-malformed/)
    assert.deepEqual(exchange.snapshot().losses, [])
  })
})
