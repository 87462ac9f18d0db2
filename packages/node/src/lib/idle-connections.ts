/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Lets a server close a connection as idle only after the bytes that wait on it are read. After the process did not run for a while, the
 * idle timeout expires before a request is read that has arrived in the meantime.
 *
 * @example
 * closeIdleAfterReading(createServer({ keepAliveTimeout: 15_000 }, handle))
 */
export function closeIdleAfterReading (server: Server): void {
  server.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket
    setImmediate(() => { if (socket.bytesRead === bytesRead) socket.destroy() })
  })
}
