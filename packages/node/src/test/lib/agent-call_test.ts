/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import type { PeerReply, PeerRequest } from '@drumdrift/core'
import { AgentCall, type CallConnection, type CallEnd } from '../../lib/entry/agent-call.js'
import type { Reply, ReplyListener } from '../../lib/peer/connection.js'

const status = { incarnation: 'i', lifecycle: 'serving', version: 'v', serving: true, running: 1, slots: 4 } as const
const admitted: PeerReply = { type: 'admitted', admission: { type: 'admitted', run: 1 }, status }
const head: PeerReply = { type: 'head', head: { status: 200, headers: {}, version: 'v' } }
const end = (count: number): PeerReply => ({ type: 'end', count, status })
const part = (sequence: number): PeerReply => ({ type: 'part', sequence, events: 1 })

class FakeConnection implements CallConnection {
  readonly open = true
  readonly sent: PeerRequest[] = []
  listener: ReplyListener | undefined
  constructor (private readonly _isAgentAlive: boolean) {}
  ask (_request: PeerRequest, _payload: Buffer | undefined, listener: ReplyListener): number {
    this.listener = listener
    return 1
  }

  async call (): Promise<Reply> {
    if (!this._isAgentAlive) throw new Error('timed out')
    return { reply: { type: 'done' }, payload: Buffer.alloc(0) }
  }

  notify (request: PeerRequest): void { this.sent.push(request) }
  forget (): void {}
}

type Step = PeerReply | 'lost' | 'stop' | number

/** What is true of a silent call: another endpoint can take it, or its agent still answers. */
type Silence = 'can-move' | 'agent-alive' | 'agent-silent'

/** Replays replies and pauses (in milliseconds). Returns how the call ended and what the caller received. */
async function replay (steps: readonly Step[], silence: Silence = 'can-move'): Promise<{ ended: CallEnd['type'] | 'open', text: string, hungUp: boolean }> {
  const connection = new FakeConnection(silence === 'agent-alive')
  let text = ''
  let ended: CallEnd['type'] | 'open' = 'open'
  const call = new AgentCall(connection, { admission: 1_000, firstAnswer: 3_000, betweenParts: 500 }, {
    status: () => {},
    admitted: () => {},
    head: () => {},
    pieces: pieces => {
      text += pieces.map(piece => piece.bytes.toString()).join('')
      return true
    },
    canMove: () => silence === 'can-move'
  })
  call.send({ type: 'status' }, Buffer.alloc(0)).then(result => { ended = result.type })
  for (const step of steps) {
    if (typeof step === 'number') mock.timers.tick(step)
    else if (step === 'lost') connection.listener?.lost()
    else if (step === 'stop') call.stop()
    else connection.listener?.reply(step, Buffer.from(step.type === 'part' ? 'abc'[step.sequence] ?? '' : ''))
    // A timeout expires after the event loop has polled for events.
    await new Promise(resolve => setImmediate(resolve))
  }
  return { ended, text, hungUp: connection.sent.some(request => request.type === 'hang-up') }
}

describe('AgentCall', () => {
  beforeEach(() => mock.timers.enable({ apis: ['setTimeout'] }))
  afterEach(() => mock.timers.reset())

  const cases: [name: string, steps: Step[], ended: CallEnd['type'] | 'open', text: string, hungUp: boolean][] = [
    ['a complete answer', [admitted, head, part(0), part(1), end(2)], 'whole', 'ab', false],
    ['parts out of order', [admitted, head, part(1), end(2), part(0)], 'whole', 'ab', false],
    ['an answer without its end', [admitted, head, part(0), 499], 'open', 'a', false],
    ['a timeout between parts', [admitted, head, part(0), 500], 'silent', 'a', true],
    ['a timeout before the first part', [admitted, 3_000], 'silent', '', true],
    ['a timeout before the admission', [1_000], 'silent', '', true],
    ['a restart of the timeout by the admission and the head', [999, admitted, 2_999, head, 2_999], 'open', '', false],
    ['a refusal', [{ type: 'admitted', admission: { type: 'refused', reason: 'busy' }, status }], 'refused', '', false],
    ['a broken answer', [admitted, head, part(0), { type: 'broken', detail: 'x', notRun: false, status }], 'broken', 'a', false],
    // Guards against heads that cannot be written to a caller, whatever agent sent them.
    ['a status that HTTP does not define', [admitted, { type: 'head', head: { status: 0, headers: {}, version: '' } }, part(0), end(1)], 'broken', '', true],
    ['a header that cannot be written', [admitted, { type: 'head', head: { status: 200, headers: { 'x-odd': '\u0001' }, version: '' } }, part(0), end(1)], 'broken', '', true],
    ['an endpoint that could not be reached', [admitted, { type: 'broken', detail: 'x', notRun: true, status }], 'not-reached', '', false],
    ['a lost connection', [admitted, 'lost'], 'lost', '', false],
    ['a caller that disconnects', [admitted, 'stop'], 'stopped', '', true],
    ['an end with a wrong count of parts', [admitted, head, part(0), part(1), end(1)], 'broken', 'ab', true],
    ['replies after the end', [admitted, head, part(0), end(1), part(1), 'lost'], 'whole', 'a', false]
  ]
  const silences: [name: string, steps: Step[], silence: Silence, ended: CallEnd['type'] | 'open', text: string, hungUp: boolean][] = [
    ['an answer that goes on after several timeouts', [admitted, head, part(0), 500, 500, 500, part(1), end(2)], 'agent-alive', 'whole', 'ab', false],
    ['an answer that begins after several timeouts', [admitted, 3_000, 3_000, head, part(0), end(1)], 'agent-alive', 'whole', 'a', false],
    ['a timeout with a silent agent', [admitted, head, part(0), 500], 'agent-silent', 'silent', 'a', true],
    ['a timeout before the admission, which is not awaited', [1_000], 'agent-alive', 'silent', '', true]
  ]
  for (const [name, steps, silence, ended, text, hungUp] of silences) it(name, async () => assert.deepEqual(await replay(steps, silence), { ended, text, hungUp }))
  for (const [name, steps, ended, text, hungUp] of cases) it(name, async () => assert.deepEqual(await replay(steps), { ended, text, hungUp }))
})
