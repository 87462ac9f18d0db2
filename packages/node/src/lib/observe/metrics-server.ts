/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Serves metrics over HTTP for a process that has no other HTTP server. */
import type { Server } from 'node:http'
import { createBoundedServer } from '../bounded-server.js'
import { listenAt } from '../listen.js'
import type { Histograms } from './histograms.js'
import { metricsText, type Counters } from './metrics.js'

/** An HTTP server with the single path `/metrics`. */
export class MetricsServer {
  private readonly _server: Server

  constructor (private readonly _address: string, counters: Counters, histograms: Histograms) {
    this._server = createBoundedServer((request, response) => {
      if (request.url !== '/metrics') {
        response.writeHead(404).end()
        return
      }
      metricsText(counters, histograms).then(text => response.end(text))
    })
  }

  listen (): Promise<void> { return listenAt(this._server, this._address) }

  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}
