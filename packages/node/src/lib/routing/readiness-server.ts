/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Answers the load balancer's readiness checks on a separate address.
 */
import type { Server } from 'node:http'
import { createBoundedServer } from '../bounded-server.js'
import { closeIdleAfterReading } from '../idle-connections.js'
import { listenAt } from '../listen.js'

/** The readiness server of one process. */
export class ReadinessServer {
  private readonly _server: Server

  /**
   * @param _address The address to listen on.
   * @param path The path of the readiness check; all other requests get status 404.
   * @param ready Whether the process currently accepts requests.
   */
  constructor (private readonly _address: string, path: string, ready: () => boolean) {
    this._server = createBoundedServer((request, response) => {
      const matches = request.method === 'GET' && request.url?.split('?')[0] === path
      response.writeHead(!matches ? 404 : ready() ? 200 : 503, { 'content-length': '0' }).end()
    })
    closeIdleAfterReading(this._server)
  }

  listen (): Promise<void> { return listenAt(this._server, this._address) }

  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}
