/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { Counters } from '../../../lib/observe/metrics.js'
import type { CallerAnswer } from '../../../lib/routing/caller-answer.js'
import { RouteFront, type RouteFrontOptions } from '../../../lib/routing/route-front.js'

/** More than the buffers of the operating system take for a caller that reads nothing, in bytes. */
const LARGE = 48_000_000
const PIECE = Buffer.alloc(1_000_000)
const REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'

describe('a server for callers that stops', () => {
  let front: RouteFront
  let address: string
  let begun: CallerAnswer[]

  beforeEach(async () => {
    const probe = createServer().listen(0, '127.0.0.1')
    await once(probe, 'listening')
    address = `127.0.0.1:${(probe.address() as AddressInfo).port}`
    await new Promise(resolve => probe.close(resolve))
    begun = []
    front = new RouteFront({
      address,
      dialect: { readCaller: () => ({ id: 'request-1' }), writeFailure: (_id: string, { code }: { readonly code: string }) => ({ status: 503, headers: [], body: code }) },
      table: () => ({ configuration: { limits: { bodyBytes: PIECE.length }, version: 1 }, match: () => ({ type: 'match', route: { timeout: 1_000 }, organisation: undefined }) }),
      begin: (_request: unknown, answer: CallerAnswer) => ({
        done: Promise.resolve(),
        start: () => {
          begun.push(answer)
          answer.whole({ type: 'answer', status: 200, headers: [], eventStream: false }, Buffer.alloc(LARGE, 'x'))
        }
      }),
      bufferBound: Infinity,
      limits: { connections: 100, pipelined: 16, costlyBodies: 2, overheadFactor: 16, restPieces: 8_192 },
      random: () => 0.5,
      log: new Log('error', { role: 'test' }, new BoundedOutput(1, 1_000, (_descriptor, bytes, callback) => { callback(null, bytes.length) })),
      counters: new Counters()
    } as unknown as RouteFrontOptions)
    await front.listen()
  })
  afterEach(() => { front.close() })

  async function open (): Promise<Socket> {
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1')
    socket.on('error', () => {})
    await once(socket, 'connect')
    return socket
  }

  /** Reads a connection to its end. Returns the number of bytes of the body, and whether the other side ended it in an orderly way. */
  async function readRest (socket: Socket): Promise<{ readonly bytes: number, readonly orderly: boolean }> {
    let bytes = 0
    let orderly = false
    let head: number | undefined
    socket.on('data', (data: Buffer) => {
      head ??= data.indexOf('\r\n\r\n') + 4
      bytes += data.length
    }).on('end', () => { orderly = true }).resume()
    if (!socket.closed) await once(socket, 'close')
    return { bytes: bytes - (head ?? 0), orderly }
  }

  async function stopped (stopAt?: number): Promise<void> {
    front.leave(stopAt)
    front.stopListening()
    await front.waitUntilIdle()
    front.close()
  }

  for (const leavesAt of ['before', 'after'] as const) {
    // Guards against answers that were dropped because they had been written, but not sent.
    it(`sends its answers: the stop begins ${leavesAt} the answer`, { timeout: 20_000 }, async () => {
      const caller = (await open()).pause()
      if (leavesAt === 'before') front.leave()
      caller.write(REQUEST)
      while (begun.length === 0) await pause(5)
      const stop = stopped()
      await pause(100)
      const received = await readRest(caller)
      assert.deepEqual(received, { bytes: LARGE, orderly: true })
      await stop
    })
  }

  it('closes idle connections in an orderly way, and begins no request that arrives on them', { timeout: 20_000 }, async () => {
    const idle = await open()
    await pause(20)
    const received = readRest(idle)
    const stop = stopped()
    idle.write(REQUEST)
    assert.deepEqual(await received, { bytes: 0, orderly: true })
    await stop
    assert.equal(begun.length, 0)
  })

  const remaining: [left: number, status: string][] = [[500, '503 Service Unavailable'], [5_000, '200 OK']]
  for (const [left, status] of remaining) {
    it(`answers a request whose head arrives during the stop with ${status} if ${left} ms are left`, { timeout: 20_000 }, async () => {
      const caller = await open()
      caller.write(REQUEST.slice(0, 10))
      await pause(50)
      const stop = stopped(performance.now() + left)
      caller.write(REQUEST.slice(10))
      const [first] = await once(caller, 'data') as [Buffer]
      assert.match(first.toString('latin1'), new RegExp(`^HTTP/1.1 ${status}\r\n[^]*Connection: close`))
      await readRest(caller)
      await stop
    })
  }

  const unsendablePaths: [name: string, path: string][] = [['a tab', '/\t'], ['a form feed', '/\f'], ['a form feed before a query', '/a\fb?c']]
  for (const [name, path] of unsendablePaths) {
    it(`rejects a path that cannot be sent: ${name}`, async () => {
      const caller = await open()
      front.leave()
      caller.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`)
      assert.deepEqual(await readRest(caller), { bytes: 'bad-request'.length, orderly: true })
      assert.equal(begun.length, 0)
    })
  }

  it('processes no request after an answer that announced the close of its connection', { timeout: 20_000 }, async () => {
    const caller = (await open()).pause()
    front.leave()
    caller.write(REQUEST)
    while (begun.length === 0) await pause(5)
    caller.write(REQUEST)
    assert.deepEqual(await readRest(caller), { bytes: LARGE, orderly: true })
    assert.equal(begun.length, 1)
  })

  it('sends a refusal to a caller that is still sending its body', { timeout: 20_000 }, async () => {
    const caller = await open()
    front.leave()
    caller.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${2 * LARGE}\r\n\r\n`)
    const received = readRest(caller)
    for (let sent = 0; sent < LARGE && !caller.destroyed; sent += PIECE.length) if (!caller.write(PIECE)) await Promise.race([once(caller, 'drain'), received])
    assert.deepEqual(await received, { bytes: 'body-too-large'.length, orderly: true })
  })
})
