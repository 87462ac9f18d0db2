/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for a plain service that counts the runs of each request id. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { HttpService, readAll, sendJson } from './http-service.js'

/** A plain service on loopback. */
export class PlainService extends HttpService {
  /** Number of runs by request id. */
  readonly runs: Record<string, number> = {}

  /**
   * @param _duration Processing time of each request, in milliseconds.
   */
  constructor (private readonly _duration = 20) {
    super(100_000)
  }

  protected override async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readAll(request)
    const id = String(request.headers['x-request-id'] ?? '')
    this.runs[id] = (this.runs[id] ?? 0) + 1
    await pause(this._duration)
    sendJson(response, { id, path: request.url, received: body.length })
  }
}
