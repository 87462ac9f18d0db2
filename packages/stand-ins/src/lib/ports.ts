/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Free ports on loopback, for processes whose settings name a port before they listen. */
import { createServer } from 'node:net'

/**
 * Ports are taken below the range from which systems draw the ports of outgoing connections (32768 and up on Linux):
 * one drawn from that range could be given to a connection between the search and the use of it.
 */
const FIRST_PORT = 12_000
const PORTS_PER_PROCESS = 40
const PORT_BLOCKS = 500

let next = 0

/**
 * Finds free ports, all different, also from those that it found earlier in this process.
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

/** Processes with neighbouring identifiers begin in different blocks, so that tests that run together do not meet. */
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
