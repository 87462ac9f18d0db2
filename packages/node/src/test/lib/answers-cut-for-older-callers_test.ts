/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against callers that take a part of an answer for a complete one: to a request of HTTP/1.0, an answer has no chunks and ends with its
// connection, which was ended in an orderly way also when the answer was cut.
import assert from 'node:assert/strict'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { requestFailure } from '@drumdrift/core'
import { HttpAnswerSink } from '../../lib/entry/answer-sink.js'
import { HttpConnections } from '../../lib/http-connections.js'
import { Counters } from '../../lib/observe/metrics.js'
import { CallerAnswer } from '../../lib/routing/caller-answer.js'

const EVENT = Buffer.from('data: piece\n\n')
const failure = requestFailure('answer-cut', 'unknown', 'cut')

type Version = '1.0' | '1.1'
/** How a caller sees the end of its answer. */
type End = 'complete' | 'cut'

/** Sends a part of an answer, and returns what goes on with it. */
type Begin = (response: ServerResponse, connections: HttpConnections) => () => void

function beginStream (response: ServerResponse): CallerAnswer {
  const answer = new CallerAnswer(response, () => false)
  answer.head({ type: 'answer', status: 200, headers: [], eventStream: true })
  answer.data(EVENT)
  return answer
}

function beginSink (response: ServerResponse): HttpAnswerSink {
  const sink = new HttpAnswerSink(response, 'r')
  sink.head({ status: 200, headers: {}, version: '' }, 'agent-1')
  sink.part(EVENT)
  return sink
}

const endings: readonly { readonly name: string, readonly begin: Begin, readonly end: End }[] = [
  { name: 'the routing entry ends', begin: response => { const answer = beginStream(response); return () => answer.end() }, end: 'complete' },
  { name: 'the routing entry cuts', begin: response => { const answer = beginStream(response); return () => answer.cut() }, end: 'cut' },
  { name: 'the routing entry fails', begin: response => { const answer = beginStream(response); return () => answer.fail({ status: 502, headers: [], body: '' }) }, end: 'cut' },
  { name: 'the entry of the first data plane ends', begin: response => { const sink = beginSink(response); return () => sink.end() }, end: 'complete' },
  { name: 'the entry of the first data plane fails', begin: response => { const sink = beginSink(response); return () => sink.fail(failure) }, end: 'cut' },
  { name: 'a stop breaks off', begin: (response, connections) => { beginStream(response); return () => connections.destroy() }, end: 'cut' }
]

/** Sends a request and returns how the answer ends for a caller of that version. */
function endFor (port: number, version: Version): Promise<End> {
  const isCompleteBy: Record<Version, (received: string, wasReset: boolean) => boolean> = {
    '1.0': (_received, wasReset) => !wasReset,
    1.1: received => received.endsWith('0\r\n\r\n')
  }
  return new Promise(resolve => {
    let received = ''
    let wasReset = false
    const socket = connect(port, '127.0.0.1')
    socket.on('data', bytes => { received += bytes.toString('latin1') })
    socket.on('error', () => { wasReset = true })
    socket.on('close', () => resolve(isCompleteBy[version](received, wasReset) ? 'complete' : 'cut'))
    socket.write(`GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`)
  })
}

describe('an answer that', () => {
  for (const version of ['1.0', '1.1'] as const) {
    for (const { name, begin, end } of endings) {
      it(`${name} is ${end} for a caller of HTTP/${version}`, { timeout: 5_000 }, async () => {
        const server = createServer()
        const connections = new HttpConnections(server, { connections: 8, pipelined: 8, onFull: () => false, counters: new Counters() })
        server.on('request', (_request, response: ServerResponse) => {
          connections.begin(response, () => {})
          const goOn = begin(response, connections)
          // The caller has read the part by then.
          setTimeout(goOn, 20)
        })
        await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
        const seen = await endFor((server.address() as AddressInfo).port, version)
        server.close()
        assert.equal(seen, end)
      })
    }
  }
})
