/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against an agent that forwards an endpoint's answers without reading its notices: a limit in requests a second, a rest, or that
// it is leaving. Admission then considers only slots and switches, and all 40 of 40 requests reach the endpoint at once: with a limit of
// 1.1 a second, after it asked for 5 s of rest, and after it announced that it leaves.
import assert from 'node:assert/strict'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { AdmissionController, EndpointLimits, EndpointNotices, LinkPacer, type EndpointStatus, type ForwardedRequest } from '@drumdrift/core'
import { RequestRunner } from '../../../lib/agent/request-runner.js'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { Counters } from '../../../lib/observe/metrics.js'
import { NoticeLog } from '../../../lib/observe/notice-log.js'
import type { PeerConnection, Responder } from '../../../lib/peer/connection.js'

const request: ForwardedRequest = { id: 'r', organisation: 'o', method: 'POST', path: '/', headers: {}, priority: 1, resumeAfter: 0, version: '', remaining: 1_000 }
const status: EndpointStatus = { incarnation: 'a.1', lifecycle: 'serving', version: '', serving: true, running: 0, slots: 8 }
const ATTEMPTS = 40
const log = new Log('debug', { role: 'test' }, new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => { callback(null, bytes.length) }))

describe('RequestRunner with an endpoint that limits its requests', () => {
  let endpoint: Server
  let requestCount: number
  let answer: (response: ServerResponse) => void
  let admissionController: AdmissionController
  let runner: RequestRunner

  beforeEach(async () => {
    requestCount = 0
    endpoint = createServer((_request, response) => {
      requestCount += 1
      answer(response)
    })
    await new Promise<void>(resolve => { endpoint.listen(0, '127.0.0.1', resolve) })
    const notices = new EndpointNotices(new EndpointLimits(() => 1, () => 0))
    admissionController = new AdmissionController('a.1', 8, notices, 'desk')
    admissionController.setServing(true)
    runner = new RequestRunner({
      endpointAddress: `127.0.0.1:${(endpoint.address() as AddressInfo).port}`, endpoint: 'desk', notices, noticeLog: new NoticeLog(log, new Counters()), admissionController, pacer: new LinkPacer(1e9, performance.now()), counters: new Counters(), status: () => status, fence: () => 0
    })
  })
  afterEach(() => {
    endpoint.close()
    endpoint.closeAllConnections()
  })

  /** Runs one request if it is admitted. Returns how it ended. */
  async function attempt (): Promise<'end' | 'broken' | undefined> {
    const admission = admissionController.run(performance.now())
    if (admission.type !== 'admitted') return undefined
    return await new Promise(resolve => {
      const connection = { onEnd: () => () => {}, backlog: 0 } as unknown as PeerConnection
      const responder = { connection, call: 1, send: reply => { if (reply.type === 'end' || reply.type === 'broken') resolve(reply.type) } } as Responder
      runner.start(admission.run, request, Buffer.alloc(0), responder)
    })
  }

  const cases: [name: string, status: number, headers: Record<string, string>, maxRequests: number][] = [
    ['announces a limit', 200, { 'x-request-limit': '1.1' }, 3],
    ['asks for a rest', 503, { 'retry-after': '5' }, 1],
    ['announces that it leaves', 200, { 'x-leaving': '1' }, 1]
  ]
  for (const [name, code, headers, maxRequests] of cases) {
    it(`sends no more requests than allowed when the endpoint ${name}`, async () => {
      answer = response => { response.writeHead(code, headers).end('answer') }
      for (let count = 0; count < ATTEMPTS; count += 1) await attempt()
      assert.ok(requestCount <= maxRequests, `${requestCount} requests reached the endpoint`)
    })
  }

  // An answer that ended with its connection when its endpoint crashed was taken for whole, even within an event.
  const EVENT = 'data: piece\n\n'
  const endings: [name: string, type: string, body: string, end: (socket: Socket) => void, expected: 'end' | 'broken'][] = [
    ['ends with its connection', 'text/plain', 'answer', socket => socket.end(), 'broken'],
    ['is a stream that ends with its connection', 'text/event-stream', EVENT, socket => socket.end(), 'end'],
    ['is a stream that ends within an event', 'text/event-stream', `${EVENT}data: pie`, socket => socket.end(), 'broken'],
    ['is a stream without any event', 'text/event-stream', '', socket => socket.end(), 'broken'],
    ['ends with a reset', 'text/plain', 'answer', socket => socket.resetAndDestroy(), 'broken'],
    ['ends with the crash of its endpoint', 'text/plain', 'answer', () => crash(), 'broken'],
    ['is a stream that ends with the crash of its endpoint', 'text/event-stream', EVENT, () => crash(), 'broken']
  ]
  for (const [name, type, body, end, expected] of endings) {
    it(`reports ${expected} if an answer without a length ${name}`, async () => {
      answer = ({ socket }) => {
        socket?.write(`HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nConnection: close\r\n\r\n${body}`)
        setTimeout(() => { if (socket !== null) end(socket) }, 20)
      }
      assert.equal(await attempt(), expected)
    })
  }

  // Guards against answers that an entry cannot write: their callers got a success made up of the rest, or none.
  const oddHeads = ['HTTP/1.1 000 OK', 'HTTP/1.1 099 OK', 'HTTP/1.1 600 OK', 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other']
  for (const head of oddHeads) {
    it(`reports broken for an answer with ${head.split('\r\n')[0]}`, async () => {
      answer = ({ socket }) => { socket?.write(`${head}\r\nContent-Length: 6\r\n\r\nanswer`) }
      assert.equal(await attempt(), 'broken')
    })
  }

  const fields = 'Content-Type: text/event-stream\r\n'
  const chunked = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`
  const framed: [name: string, text: string][] = [
    ['a length', 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer'],
    ['chunks', `HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n${chunked}${chunked}0\r\n\r\n`],
    ['a trailer', `HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n${chunked}0\r\nX-End: 1\r\n\r\n`],
    ['an informational head', `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n${fields}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`]
  ]
  const cuts: [name: string, cut: (socket: Socket) => void][] = [['closed', socket => socket.end()], ['reset', socket => socket.resetAndDestroy()], ['malformed', socket => socket.end('\0\r\n\r\n\0')]]
  for (const [name, text] of framed) {
    for (const [how, cut] of cuts) {
      it(`reports broken if an answer with ${name} is ${how} after any of its bytes`, async () => {
        const ends = new Set<string | undefined>()
        for (let length = 0; length < text.length; length += 1) {
          // Any bytes are part of a body with a length, and after the last chunk the body is whole.
          if (how === 'malformed' && (text.includes('chunked') ? /\r\n0\r/ : /\r\n\r\n(?!HTTP)/).test(text.slice(0, length))) break
          answer = ({ socket }) => { socket?.write(text.slice(0, length), () => cut(socket)) }
          ends.add(await attempt())
        }
        assert.deepEqual(ends, new Set(['broken']))
      })
    }
  }

  // Guards against answers that were cut at the deadline although they had arrived while the agent did not run.
  it('delivers an answer that is ready at the deadline, although this process did not run', async () => {
    answer = response => {
      response.end('answer')
      setImmediate(() => { Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, request.remaining + 500) })
    }
    assert.equal(await attempt(), 'end')
  })

  function crash (): void {
    endpoint.close()
    endpoint.closeAllConnections()
  }
})
