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

const fatal = '00000000000000fa'

function lossOf (start: string): SuspectNews { return { losses: [{ fingerprint: fatal, start, age: 0 }], answers: [] } }

describe('SuspectExchange', () => {
  let now = 0
  let told: SuspectNews[]
  let heldBack: string[]
  let lines: string[]
  let exchange: SuspectExchange

  beforeEach(() => {
    mock.timers.enable({ apis: ['setInterval'] })
    mock.method(performance, 'now', () => now)
    now = 1_000
    told = []
    heldBack = []
    lines = []
    const output = new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => {
      lines.push(bytes.toString('utf8'))
      callback(null, bytes.length)
    })
    exchange = new SuspectExchange({
      log: new Log('debug', {}, output), counters: new Counters(), tell: news => told.push(news), onHeldBack: fingerprint => heldBack.push(fingerprint)
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
  function lost (): string[] { return told.flatMap(({ losses }) => losses.map(({ start }) => start)) }

  it('shares the loss of an endpoint once it has not shown in time that it is alive', () => {
    exchange.lost(fatal, 'a', now)
    advance(600)
    assert.deepEqual(told, [])
    advance(100)
    assert.deepEqual(lost(), ['a'])
    advance(1_000)
    assert.equal(told.length, 1)
  })

  it('does not share the loss of an endpoint that proves to be alive', () => {
    exchange.lost(fatal, 'a', now)
    exchange.lived('a', now + 100)
    advance(1_000)
    assert.deepEqual(told, [])
  })

  it('reports once that a request is held back, whichever entries saw the losses', () => {
    exchange.lost(fatal, 'a', now)
    exchange.heard(lossOf('b'), 'agent-1')
    assert.deepEqual(heldBack, [])
    exchange.heard(lossOf('c'), 'agent-2')
    exchange.heard(lossOf('d'), 'agent-2')
    assert.deepEqual([heldBack, exchange.standing(fatal, now)], [[fatal], 'held-back'])
    assert.equal(lines.join('').match(/event=request-held-back .*fingerprint=00000000000000fa source=told lost=a,b,c/g)?.length, 1)
  })

  it('relays losses that make a request suspect, and no others', () => {
    exchange.heard(lossOf('a'), 'agent-1')
    assert.deepEqual(told, [])
    exchange.heard(lossOf('b'), 'agent-1')
    assert.deepEqual(lost(), ['b'])
    exchange.heard(lossOf('b'), 'agent-2')
    assert.equal(told.length, 1)
  })

  it('shares an answer that clears a request, and no others', () => {
    exchange.answered(fatal, now)
    exchange.lost(fatal, 'a', now + 10)
    exchange.answered(fatal, now + 20)
    assert.deepEqual(told, [])
    for (const start of ['b', 'c', 'd']) exchange.lost(fatal, start, now + 30)
    exchange.answered(fatal, now + 40)
    assert.deepEqual(told, [{ losses: [], answers: [{ fingerprint: fatal, age: 0 }] }])
  })

  it('clears a held-back request that another entry saw answered, and relays the answer', () => {
    for (const start of ['a', 'b', 'c']) exchange.heard(lossOf(start), 'agent-1')
    told.length = 0
    now += 50
    exchange.heard({ losses: [], answers: [{ fingerprint: fatal, age: 10 }] }, 'agent-1')
    now += 60_000
    assert.deepEqual([exchange.standing(fatal, now), told.length], ['clear', 1])
  })

  it('rejects malformed messages', () => {
    exchange.heard({ losses: [{ ...lossOf('a').losses[0], age: 'x' }], answers: [] }, 'agent-1')
    assert.match(lines.join(''), /event=peer-malformed/)
    assert.deepEqual(exchange.known().losses, [])
  })
})
