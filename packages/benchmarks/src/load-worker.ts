/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A load generator process of the requests benchmark: sends chat calls to an address and reports times and failures. */
import { Agent, request } from 'node:http'
import { callerKey } from './lib/fleet.js'

/** The load to generate. */
interface Order {
  readonly address: string
  /** The number of concurrent calls of a closed loop; 0 for open-loop arrivals. */
  readonly concurrency: number
  readonly callsPerSecond: number
  readonly seconds: number
  readonly tokens: number
}

const connections = new Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: 512 })

function call (order: Order, due: number): Promise<{ first: number, whole: boolean }> {
  const [host, port] = order.address.split(':')
  const body = JSON.stringify({ model: 'drafting', messages: [{ role: 'user', content: 'Plan' }], max_tokens: order.tokens, stream: true })
  const headers = { authorization: `Bearer ${callerKey('hall-1')}`, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  return new Promise(resolve => {
    const outgoing = request({ host, port, path: '/v1/chat/completions', method: 'POST', headers, agent: connections }, response => {
      let first = 0
      let tail = ''
      response.on('data', (piece: Buffer) => {
        if (first === 0) first = performance.now() - due
        tail = piece.toString('latin1').slice(-20)
      })
      response.on('close', () => resolve({ first, whole: response.statusCode === 200 && tail.includes('[DONE]') }))
    })
    outgoing.on('error', () => resolve({ first: 0, whole: false }))
    outgoing.end(body)
  })
}

async function closedLoop (order: Order, record: (result: { first: number, whole: boolean }) => void): Promise<void> {
  const end = performance.now() + order.seconds * 1000
  await Promise.all(Array.from({ length: order.concurrency }, async () => {
    while (performance.now() < end) record(await call(order, performance.now()))
  }))
}

async function openLoop (order: Order, record: (result: { first: number, whole: boolean }) => void): Promise<void> {
  const startedAt = performance.now()
  const calls: Promise<void>[] = []
  for (let index = 0; index < order.seconds * order.callsPerSecond; index += 1) {
    const due = startedAt + index * 1000 / order.callsPerSecond
    const wait = due - performance.now()
    if (wait > 0) await new Promise(resolve => setTimeout(resolve, wait))
    calls.push(call(order, due).then(record))
  }
  await Promise.all(calls)
}

process.on('message', (order: Order) => {
  const firsts: number[] = []
  let failed = 0
  const record = ({ first, whole }: { first: number, whole: boolean }): void => {
    if (whole) firsts.push(first)
    else failed += 1
  }
  const work = order.concurrency > 0 ? closedLoop(order, record) : openLoop(order, record)
  work.then(() => process.send?.({ firsts, failed }))
})
process.on('disconnect', () => process.exit(0))
