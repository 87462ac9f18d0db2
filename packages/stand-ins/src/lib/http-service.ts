/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Base class for HTTP stand-ins, with a rate limit and simulated outages. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { TokenBucket } from '@drumdrift/core'

/** Simulated condition of a stand-in. */
export type Behaviour = 'normal' | 'down' | 'slow' | 'stale'

const SLOW_DELAY_MILLISECONDS = 1_000
const LOOPBACK_ADDRESS = '127.0.0.1'

/** An HTTP stand-in, on loopback by default. */
export abstract class HttpService {
  behaviour: Behaviour = 'normal'
  /** Number of requests received. A long poll counts as one. */
  calls = 0
  private readonly _server: Server
  private readonly _bucket: TokenBucket

  /**
   * @param callsPerSecond Requests above this rate are answered with 429.
   */
  constructor (callsPerSecond = 2_000) {
    this._bucket = new TokenBucket(callsPerSecond, callsPerSecond, performance.now())
    this._server = createServer((request, response) => { this._handle(request, response) })
    this._server.keepAliveTimeout = 30_000
  }

  listen (port: number, host = LOOPBACK_ADDRESS): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, () => resolve())
    })
  }

  /** The address that the server listens on. Available after `listen` has resolved. */
  get address (): string {
    const { address, port } = this._server.address() as AddressInfo
    return `${address}:${port}`
  }

  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Sets the headers that all responses have in common. */
  protected setCommonHeaders (_response: ServerResponse): void {}

  protected abstract answer (request: IncomingMessage, response: ServerResponse): void | Promise<void>

  private _handle (request: IncomingMessage, response: ServerResponse): void {
    this.calls += 1
    if (this.behaviour === 'down') {
      request.socket.destroy()
      return
    }
    this.setCommonHeaders(response)
    if (!this._bucket.trySpend(1, performance.now())) {
      response.writeHead(429).end()
      return
    }
    const delay = this.behaviour === 'slow' ? SLOW_DELAY_MILLISECONDS : 0
    setTimeout(() => { this._answer(request, response) }, delay)
  }

  /** Sends the response. A caller that disconnects before its request has been read gets none. */
  private async _answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.answer(request, response)
    } catch (error) {
      if (!request.destroyed) throw error
    }
  }
}

/** Reads the complete body of a request. */
export async function readAll (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/** Sends a JSON response. */
export function sendJson (response: ServerResponse, value: unknown, status = 200): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
