/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The thread of an `UnansweringListener`. */
import { createConnection, createServer, type Socket } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

/** The length of the queue of connections that the listener asks for. */
export const BACKLOG = 1
/** States of the thread. */
export const ANSWERING = 0
export const BLOCKED = 1

/** What the thread is started with. */
export interface ThreadData {
  /** The port to which connections are forwarded. */
  readonly target: number
  /** Its only element is the state of the thread. */
  readonly state: Int32Array
}

function isThreadData (data: unknown): data is ThreadData { return typeof data === 'object' && data !== null && 'state' in data && 'target' in data }

function forward (client: Socket, target: number): void {
  const endpoint = createConnection({ host: '127.0.0.1', port: target, noDelay: true })
  for (const [from, to] of [[client, endpoint], [endpoint, client]] as const) {
    from.on('error', () => to.destroy())
    from.on('close', () => to.destroy())
  }
  client.pipe(endpoint).pipe(client)
}

if (parentPort !== null && isThreadData(workerData)) {
  const port = parentPort
  const { target, state } = workerData
  const server = createServer({ noDelay: true }, client => forward(client, target))
  server.listen({ port: 0, host: '127.0.0.1', backlog: BACKLOG }, () => {
    const address = server.address()
    port.postMessage(address !== null && typeof address === 'object' ? address.port : 0)
  })
  port.on('message', () => { Atomics.wait(state, 0, BLOCKED) })
}
