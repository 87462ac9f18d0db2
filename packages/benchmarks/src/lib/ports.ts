/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Free ports on loopback. */
import { createServer } from 'node:net'

/**
 * Finds free ports, all different.
 *
 * @example
 * const [first, second] = await freePorts(2)
 */
export async function freePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(server))
  })))
  const ports = servers.map(server => (server.address() as { port: number }).port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}
