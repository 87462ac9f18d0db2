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

/** Returns a piece of a version; pieces of a version by their index. */
export type PieceSource = (version: number, index: number) => Buffer

/** Returns a piece of a version, by default. All pieces differ. */
export function pieceOf (version: number, index: number): Buffer {
  return Buffer.alloc(PIECE_BYTES, `piece ${index} of version ${version}; `)
}

/** The origin of weights, on loopback. */
export class WeightsOriginStandIn extends HttpService {
  /** Delay of each response, in milliseconds. */
  delayMilliseconds = 0
  pieceOf: PieceSource = pieceOf
  /** The number of pieces sent. */
  sentPieces = 0
  /** The number of manifests sent. */
  sentManifests = 0
  /** Returns the body that is sent for a manifest; `count` numbers the manifests from 1. */
  spoilManifest: (body: string, count: number) => string = body => body

  protected async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.delayMilliseconds > 0) await pause(this.delayMilliseconds)
    const url = new URL(request.url ?? '/', 'http://origin')
    const version = Number(url.searchParams.get('version'))
    if (url.pathname === '/api/manifest/m') this._manifest(version, response)
    else if (url.pathname === '/api/piece/m') this._piece(version, Number(url.searchParams.get('sampleCount')), response)
    else sendJson(response, {}, 404)
  }

  private _piece (version: number, index: number, response: ServerResponse): void {
    this.sentPieces += 1
    response.writeHead(200).end(this.pieceOf(version, index))
  }

  private _manifest (version: number, response: ServerResponse): void {
    this.sentManifests += 1
    const digests = Array.from({ length: PIECES }, (_, index) => pieceDigest(this.pieceOf(version, index)))
    const body = JSON.stringify({ model: 'm', version, chunkBytes: PIECE_BYTES, layers: 1, digests })
    response.writeHead(200, { 'content-type': 'application/json' }).end(this.spoilManifest(body, this.sentManifests))
  }
}
