/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Finds free ports on loopback, for processes whose settings contain a port before they listen. */
import { createServer } from 'node:net'

/**
 * Ports are below the ephemeral range (32768 and up on Linux): a port of that range could be assigned to an outgoing
 * connection between the search for it and its use.
 */
const FIRST_PORT = 12_000
const PORTS_PER_PROCESS = 40
const PORT_BLOCKS = 500

let next = 0

/**
 * Finds free ports. A process gets no port twice, also not from separate calls.
 *
 * @example
 * const [first, second] = await freePorts(2)
 */
export async function freePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = nextCandidate()
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

/** Processes with consecutive process ids start in different blocks, so that concurrent tests do not collide. */
function nextCandidate (): number {
  const offset = (process.pid % PORT_BLOCKS) * PORTS_PER_PROCESS + next
  next += 1
  return FIRST_PORT + offset % (PORT_BLOCKS * PORTS_PER_PROCESS)
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => { server.close(() => resolve(true)) })
  })
}
