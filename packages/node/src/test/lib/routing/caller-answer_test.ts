/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createServer, request, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { CallerAnswer } from '../../../lib/routing/caller-answer.js'
import type { AnswerHead } from '../../../lib/routing/ports.js'

interface Received {
  readonly status: number | undefined
  readonly body: string
  /** Whether the answer has ended as complete. */
  readonly whole: boolean
}

const head: AnswerHead = { type: 'answer', status: 200, headers: ['X-Server-Seal', 'seal'], eventStream: true }
const invalidHeads: [name: string, head: AnswerHead][] = [
  ['a status that Node does not write', { ...head, status: 0 }],
  ['the name of a header', { ...head, headers: ['a b', 'c'] }],
  ['the value of a header', { ...head, headers: ['X-Server-Seal', '\u0001'] }]
]
const failure = { status: 502, headers: [], body: 'failed' }
const cut: Received = { status: undefined, body: '', whole: false }

// Guards against answers that were noted as begun or as ended before they were written, and then could not be written.
describe('CallerAnswer', () => {
  let server: Server
  let answerWith: (answer: CallerAnswer, response: ServerResponse) => void = () => {}

  before(async () => {
    server = createServer((_request, response) => answerWith(new CallerAnswer(response, () => false), response))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  after(() => { server.close() })

  function receive (write: (answer: CallerAnswer, response: ServerResponse) => void): Promise<Received> {
    answerWith = write
    return new Promise(resolve => {
      const outgoing = request({ port: (server.address() as AddressInfo).port, agent: false }, response => {
        let body = ''
        response.on('data', data => { body += String(data) })
        response.on('error', () => {})
        response.on('close', () => resolve({ status: response.statusCode, body, whole: response.complete }))
      })
      outgoing.on('error', () => resolve(cut))
      outgoing.end()
    })
  }

  const attempts: [name: string, pass: (answer: CallerAnswer, head: AnswerHead) => void][] = [
    ['a stream', (answer, invalid) => answer.head(invalid)],
    ['a whole answer', (answer, invalid) => answer.whole(invalid, Buffer.from('body'))]
  ]
  const answers: [name: string, give: (answer: CallerAnswer) => void, expected: Received][] = [
    ['a failure', answer => answer.fail(failure), { status: 502, body: 'failed', whole: true }],
    ['a whole answer', answer => answer.whole(head, Buffer.from('other')), { status: 200, body: 'other', whole: true }],
    ['a stream', answer => {
      answer.head(head)
      answer.data(Buffer.from('event'))
      answer.end()
    }, { status: 200, body: 'event', whole: true }]
  ]
  for (const [part, invalid] of invalidHeads) {
    for (const [attempted, pass] of attempts) {
      for (const [given, give, expected] of answers) {
        it(`gives ${given} after ${attempted} that fails by ${part}`, async () => {
          const states: boolean[] = []
          const received = await receive(answer => {
            assert.throws(() => pass(answer, invalid))
            states.push(answer.begun, answer.ended)
            give(answer)
          })
          assert.deepEqual([states, received], [[false, false], expected])
        })
      }
    }
  }

  const writes: [name: string, method: 'write' | 'end', give: (answer: CallerAnswer) => void][] = [
    ['the data of a stream', 'write', answer => answer.data(Buffer.from('more'))],
    ['the end of a stream', 'end', answer => answer.end()]
  ]
  for (const [name, method, give] of writes) {
    it(`cuts an answer if ${name} cannot be written`, async () => {
      const received = await receive((answer, response) => {
        answer.head(head)
        answer.data(Buffer.from('event'))
        setTimeout(() => {
          response[method] = () => { throw new Error('not written') }
          assert.throws(() => give(answer), /not written/)
        }, 20)
      })
      assert.deepEqual(received, { status: 200, body: 'event', whole: false })
    })
  }

  it('closes the connection if not even a failure can be written', async () => {
    assert.deepEqual(await receive(answer => { assert.throws(() => answer.fail({ ...failure, status: 0 })) }), cut)
  })
})
