/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The readers of HTTP answers, for tests of what they take for a whole answer. */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { AdmissionController, EndpointLimits, EndpointNotices, LinkPacer, type ForwardedRequest } from '@drumdrift/core'
import { RequestRunner } from '../lib/agent/request-runner.js'
import { BoundedOutput } from '../lib/observe/bounded-output.js'
import { Log } from '../lib/observe/log.js'
import { Counters } from '../lib/observe/metrics.js'
import { NoticeLog } from '../lib/observe/notice-log.js'
import type { PeerConnection, Responder } from '../lib/peer/connection.js'
import { requestHttp } from '../lib/platform/http-client.js'
import { EndpointCall } from '../lib/routing/endpoint-call.js'

/** `cut`: there was no whole answer. */
export type Outcome = 'whole' | 'cut'
/** Sends a request and reads its answer. */
export type Reader = (address: string, body: Buffer) => Promise<Outcome>

const TIMEOUT = 2_000
const log = new Log('debug', { role: 'test' }, new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => { callback(null, bytes.length) }))

function readByCall (address: string, body: Buffer): Promise<Outcome> {
  const headers = ['host', 'endpoint', 'content-length', String(body.length)]
  const call = new EndpointCall({ address, method: 'POST', path: '/', headers, body, connectTimeout: TIMEOUT }, {
    connected: () => {},
    readHead: ({ statusCode = 0 }) => ({ type: 'answer', status: statusCode, headers: [], eventStream: true }),
    head: () => {},
    data: () => {}
  })
  return call.ended.then(({ type }) => type === 'whole' ? 'whole' : 'cut')
}

async function readByClient (address: string, body: Buffer, keepAlive: boolean): Promise<Outcome> {
  return await requestHttp(address, { method: 'POST', path: '/', body, keepAlive, timeout: TIMEOUT }).then(() => 'whole', () => 'cut')
}

async function readByAgent (address: string, body: Buffer): Promise<Outcome> {
  const notices = new EndpointNotices(new EndpointLimits(() => 1, () => 0))
  const admissionController = new AdmissionController('a.1', 1, notices, 'desk')
  admissionController.setServing(true)
  const runner = new RequestRunner({
    endpointAddress: address,
    endpoint: 'desk',
    notices,
    noticeLog: new NoticeLog(log, new Counters()),
    admissionController,
    pacer: new LinkPacer(1e9, performance.now()),
    counters: new Counters(),
    status: () => ({ incarnation: 'a.1', lifecycle: 'serving', version: '', serving: true, running: 0, slots: 1 }),
    fence: () => 0
  })
  const admission = admissionController.run(performance.now())
  assert.ok(admission.type === 'admitted')
  const request: ForwardedRequest = { id: 'r', organisation: 'o', method: 'POST', path: '/', headers: {}, priority: 1, resumeAfter: 0, version: '', remaining: TIMEOUT }
  return await new Promise(resolve => {
    const connection = { onEnd: () => () => {}, backlog: 0 } as unknown as PeerConnection
    const outcomes: Partial<Record<string, Outcome>> = { end: 'whole', broken: 'cut' }
    const send = ({ type }: { readonly type: string }): void => {
      const outcome = outcomes[type]
      if (outcome !== undefined) resolve(outcome)
    }
    runner.start(admission.run, request, body, { connection, call: 1, send } as unknown as Responder)
  })
}

/** All readers, by name. */
export const readers: Record<string, Reader> = {
  'a call to an endpoint': readByCall,
  'the client of store, origin and engine': (address, body) => readByClient(address, body, true),
  'the client of store, origin and engine, without kept connections': (address, body) => readByClient(address, body, false),
  'an agent': readByAgent
}

/** Answers one request, of which only the first bytes are read, and returns what the reader has. */
export async function outcomeOf (read: Reader, body: Buffer, answer: (socket: Socket) => void): Promise<Outcome> {
  const server = createServer({ allowHalfOpen: true }, socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.pause()
      answer(socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const outcome = await read(`127.0.0.1:${(server.address() as AddressInfo).port}`, body)
  server.close()
  return outcome
}
