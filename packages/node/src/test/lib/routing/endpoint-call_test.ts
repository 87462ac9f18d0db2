/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { after, before, describe, it } from 'node:test'
import type { NotRunReason } from '@drumdrift/core'
import { requestHttp } from '../../../lib/platform/http-client.js'
import { EndpointCall, type EndpointCallEnd, type EndpointRequest } from '../../../lib/routing/endpoint-call.js'

type Ending = 'closed' | 'reset'

describe('a call to an endpoint', () => {
  let server: Server
  let bytes = ''
  let ending: Ending = 'closed'
  let address: string

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => socket.write(bytes, () => { ending === 'closed' ? socket.end() : setTimeout(() => socket.resetAndDestroy(), 1) }))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  after(() => { server.close() })

  /** Returns the end of a call, and the body that was received. */
  async function call (part: Partial<EndpointRequest> = {}): Promise<{ readonly end: EndpointCallEnd, readonly body: string }> {
    let body = ''
    const end = await new EndpointCall({ address, method: 'GET', path: '/', headers: ['host', 'endpoint'], body: Buffer.alloc(0), connectTimeout: 5_000, ...part }, {
      connected: () => {},
      readHead: ({ statusCode = 0 }) => ({ type: 'answer', status: statusCode, headers: [], eventStream: false }),
      head: () => {},
      data: data => { body += data.toString('latin1') }
    }).ended
    return { end, body }
  }

  const unsendable: [name: string, part: Partial<EndpointRequest>, reason: NotRunReason][] = [
    ['a header with a line break', { headers: ['host', 'endpoint', 'x-expected', 'i\r\nodd'] }, 'unsendable'],
    ['a header outside of Latin-1', { headers: ['host', 'endpoint', 'x-expected', 'i-\u20ac'] }, 'unsendable'],
    ['a path with a form feed', { path: '/\f' }, 'unsendable'],
    ['a port out of range', { address: '127.0.0.1:99999' }, 'connection-failed'],
    ['an address without a port', { address: '127.0.0.1' }, 'connection-failed']
  ]
  for (const [name, part, reason] of unsendable) {
    it(`has not run if it cannot be sent: ${name}`, async () => {
      assert.deepEqual(await call(part), { end: { type: 'not-run', reason }, body: '' })
    })
  }

  const head = (fields: string): string => `HTTP/1.1 200 OK\r\nX-Server-Seal: 1\r\n${fields}\r\n`
  const body = 'the body'
  const answers: [name: string, text: string, framed: boolean][] = [
    ['a length', `${head('Content-Length: 8\r\n')}${body}`, true],
    ['chunks', `${head('Transfer-Encoding: chunked\r\n')}4\r\nthe \r\n4;x=y\r\nbody\r\n0\r\n\r\n`, true],
    ['chunks and a trailer', `${head('Transfer-Encoding: chunked\r\nTrailer: X-End\r\n')}8\r\n${body}\r\n0\r\nX-End: 1\r\n\r\n`, true],
    ['an informational head before it', `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${head('Content-Length: 8\r\n')}${body}`, true],
    ['a transfer coding other than chunks', `${head('Transfer-Encoding: gzip\r\n')}${body}`, false],
    ['no end of its own', `${head('')}${body}`, false]
  ]
  for (const [name, text, framed] of answers) {
    for (const how of ['closed', 'reset'] as const) {
      it(`takes no part of an answer for a whole one: with ${name}, ${how} after each byte`, async () => {
        ending = how
        const taken: number[] = []
        for (let length = 0; length < text.length; length += 1) {
          bytes = text.slice(0, length)
          const answer = await call()
          if (answer.end.type === 'whole' && answer.end.framed) taken.push(length)
          const other = await requestHttp(address, { path: '/', keepAlive: false }).catch(() => undefined)
          // Only the connection ends an answer without a length or chunks; what its head declares is known once the head is complete.
          if (other !== undefined && (framed || length < text.length - body.length)) taken.push(length)
        }
        assert.deepEqual(taken, [])
      })
    }

    it(`takes a whole answer: with ${name}`, async () => {
      [ending, bytes] = ['closed', text]
      assert.deepEqual(await call(), { end: { type: 'whole', framed }, body })
      assert.equal((await requestHttp(address, { path: '/', keepAlive: false })).body.toString('latin1'), body)
    })
  }
})
