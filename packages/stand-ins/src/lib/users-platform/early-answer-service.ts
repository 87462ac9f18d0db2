/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for a service that answers a request after its first bytes, and reads no more of it. */
import type { Socket } from 'node:net'
import { fieldOf, RawService } from './raw-service.js'

/** A request, as far as it was read. */
export interface BegunRequest {
  /** The header lines that identify an answer as one of the service to this request. */
  readonly signature: string
  /** The last event that the caller has received; 0 for none. */
  readonly lastEvent: number
}

/** Writes an answer to a connection. */
export type EarlyAnswer = (socket: Socket, request: BegunRequest) => void

/** A service on loopback that answers early. */
export class EarlyAnswerService extends RawService {
  /** Number of requests that were answered. */
  requests = 0

  /** @param _answer Answers each request. */
  constructor (private readonly _answer: EarlyAnswer, id: string) { super(id) }

  protected override handle (socket: Socket, request: string): void {
    socket.pause()
    this.requests += 1
    this._answer(socket, { signature: this.signatureFor(request), lastEvent: Number(fieldOf(request, 'last-event-id') ?? 0) })
  }
}
