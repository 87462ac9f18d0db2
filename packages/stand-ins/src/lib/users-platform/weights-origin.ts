/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for the origin of weights: serves the manifest and pieces of any version of the model `m`. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { HttpService, sendJson } from '../http-service.js'

/** Number of pieces of a version, and the size of each. */
export const PIECES = 8
export const PIECE_BYTES = 4_096

/** Returns the digest that identifies a piece of weights. */
function pieceDigest (bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex')
}

/** Returns a piece of a version. */
export function pieceOf (version: number, index: number): Buffer {
  return Buffer.alloc(PIECE_BYTES, `piece ${index} of version ${version}; `)
}

/** The origin of weights, on loopback. */
export class WeightsOriginStandIn extends HttpService {
  /** Delay of each response, in milliseconds. */
  delayMilliseconds = 0

  protected async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.delayMilliseconds > 0) await pause(this.delayMilliseconds)
    const url = new URL(request.url ?? '/', 'http://origin')
    const version = Number(url.searchParams.get('version'))
    if (url.pathname === '/api/manifest/m') this._manifest(version, response)
    else if (url.pathname === '/api/piece/m') response.writeHead(200).end(pieceOf(version, Number(url.searchParams.get('sampleCount'))))
    else sendJson(response, {}, 404)
  }

  private _manifest (version: number, response: ServerResponse): void {
    const digests = Array.from({ length: PIECES }, (_, index) => pieceDigest(pieceOf(version, index)))
    sendJson(response, { model: 'm', version, chunkBytes: PIECE_BYTES, layers: 1, digests })
  }
}
