/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Starts an HTTP or TCP server at an address from the settings. */
import type { Server } from 'node:net'
import { parseAddress } from './settings/address.js'

/**
 * Listens at an address. Rejects if the server cannot listen there.
 *
 * @example
 * await listenAt(server, '10.0.0.7:7400')
 */
export function listenAt (server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
}
