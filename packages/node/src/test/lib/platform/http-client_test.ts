/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { failureOf } from '@drumdrift/core'
import { requestHttp } from '../../../lib/platform/http-client.js'

const TIMEOUT = 200
const DURATION = 400
const INTERVAL = 50
/** More than the buffers of a connection hold, in bytes. */
const UPLOAD_BYTES = 6_000_000
const HEAD = 'HTTP/1.1 200 OK\r\n'

/** Sends parts of an answer at intervals. */
function sendEach (socket: Socket, part: string, count: number): void {
  socket.write(`${HEAD}content-length: ${part.length * count}\r\n\r\n`)
  let sent = 0
  const timer = setInterval(() => {
    sent += 1
    socket.write(part)
    if (sent === count || socket.destroyed) clearInterval(timer)
  }, INTERVAL)
}

/** Blocks the event loop, so that timers run before what has arrived meanwhile is read. */
function block (milliseconds: number): void { Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds) }

describe('requestHttp', () => {
  const cases: [name: string, answer: (socket: Socket) => void, result: string][] = [
    ['a whole answer', socket => { socket.write(`${HEAD}content-length: 6\r\n\r\nanswer`) }, '6 bytes'],
    ['a whole answer that other bytes follow', socket => { socket.write(`${HEAD}content-length: 6\r\n\r\nanswer and more`) }, '6 bytes'],
    ['an answer that waits to be read after the process was paused', socket => { socket.write(`${HEAD}content-length: 6\r\n\r\nanswer`); block(2 * TIMEOUT) }, '6 bytes'],
    ['an answer that takes long because it is large', socket => sendEach(socket, 'a'.repeat(2_000), 2 * DURATION / INTERVAL), '32000 bytes'],
    ['an answer that drips', socket => sendEach(socket, 'a', 4 * DURATION / INTERVAL), 'timed-out'],
    ['no answer', () => {}, 'timed-out'],
    ['an answer that is too large', socket => { socket.write(`${HEAD}\r\n${'a'.repeat(40_001)}`) }, 'oversized'],
    // Such a call was never settled: the error came before its listeners.
    ['a malformed body in the same turn as the head', socket => { socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\nno chunk\r\n`) }, 'connection-lost'],
    // Guards against callers that take an answer with a status that HTTP does not define, or wait for one that has no end.
    ['the status 000', socket => { socket.write('HTTP/1.1 000 OK\r\ncontent-length: 6\r\n\r\nanswer') }, 'malformed'],
    ['the status 099', socket => { socket.write('HTTP/1.1 099 OK\r\ncontent-length: 6\r\n\r\nanswer') }, 'malformed'],
    ['the status 600', socket => { socket.write('HTTP/1.1 600 OK\r\ncontent-length: 6\r\n\r\nanswer') }, 'malformed'],
    ['the status 101', socket => { socket.write('HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n') }, 'malformed'],
    ['an answer that is cut', socket => { socket.end(`${HEAD}content-length: 6\r\n\r\nans`) }, 'connection-lost']
  ]
  for (const [name, answer, result] of cases) {
    it(`results in ${result} for ${name}`, { timeout: 5_000 }, async () => {
      const server = createServer(socket => {
        socket.on('error', () => {})
        socket.once('data', () => answer(socket))
      })
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const { port } = server.address() as AddressInfo
      const call = requestHttp(`127.0.0.1:${port}`, { path: '/', timeout: TIMEOUT, duration: DURATION, maxBytes: 40_000, keepAlive: false })
      const seen = await call.then(({ body }) => `${body.length} bytes`, error => {
        const failure = failureOf(error)
        return failure.type === 'peer-failure' ? failure.reason : failure.type
      })
      server.close()
      assert.equal(seen, result)
    })
  }

  // Guards against an error that nobody handles, after the answer to a request of which the other side reads no more.
  const closings: [name: string, close: (socket: Socket, answer: string) => void][] = [
    ['resets', (socket, answer) => { socket.write(answer); socket.resetAndDestroy() }],
    ['closes', (socket, answer) => { socket.write(answer); socket.destroy() }],
    ['ends and closes', (socket, answer) => { socket.end(answer, () => socket.destroy()) }]
  ]
  for (const keepAlive of [true, false]) {
    for (const [name, close] of closings) {
      it(`handles all errors if the other side answers an upload and ${name} its connection, with keepAlive: ${keepAlive}`, { timeout: 5_000 }, async () => {
        const server = createServer({ allowHalfOpen: true }, socket => {
          socket.on('error', () => {})
          socket.once('data', () => {
            socket.pause()
            close(socket, `${HEAD}content-length: 6\r\n\r\nanswer`)
          })
        })
        await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
        const { port } = server.address() as AddressInfo
        const { body } = await requestHttp(`127.0.0.1:${port}`, { method: 'PUT', path: '/', body: Buffer.alloc(UPLOAD_BYTES), keepAlive })
        await new Promise(resolve => setTimeout(resolve, INTERVAL))
        server.close()
        assert.equal(body.toString('latin1'), 'answer')
      })
    }
  }

  it('rejects a path that cannot be sent, and starts no timeout', async () => {
    await assert.rejects(requestHttp('127.0.0.1:1', { path: '/a b', duration: 1 }), { code: 'ERR_UNESCAPED_CHARACTERS' })
    await new Promise(resolve => setTimeout(resolve, INTERVAL))
  })
})
