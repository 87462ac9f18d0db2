/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Opens the connections on which HTTP requests are sent. */
import { Agent } from 'node:http'
import { createConnection, type Socket, type TcpNetConnectOpts } from 'node:net'

/**
 * Opens a connection. Its errors reach the request that uses it at that time.
 *
 * @example
 * const socket = openConnection({ host: '10.0.0.7', port: 8000, noDelay: true })
 */
export function openConnection (options: TcpNetConnectOpts): Socket {
  const socket = createConnection(options)
  // Node listens for no errors from the failure of a request's body, if its answer is whole, until the connection is released.
  socket.on('error', () => {})
  return socket
}

/**
 * An agent of Node's HTTP client that opens its connections by {@link openConnection}.
 *
 * @example
 * const connections = new ConnectionAgent({ keepAlive: true })
 */
export class ConnectionAgent extends Agent {
  override createConnection (options: object): Socket { return openConnection(options as TcpNetConnectOpts) }
}
