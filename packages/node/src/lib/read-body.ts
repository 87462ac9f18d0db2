/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads the body of a request within bounds on its size, on what it costs to read, and on the time that it takes. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { requestFailure, type PausableReader, type ReadTurns, type RequestFailure } from '@drumdrift/core'
import { BodyBuffer } from './body-buffer.js'
import { IoTimeout } from './io-timeout.js'

/** A body, or why there is none. */
export type ReadBody =
  | { readonly type: 'whole', readonly bytes: Buffer }
  | { readonly type: 'too-large' }
  /** Its chunks take far more bytes than what they carry. */
  | { readonly type: 'too-costly' }
  /** It did not arrive in time. */
  | { readonly type: 'late' }
  /** The connection was lost, or the body was given up. */
  | { readonly type: 'lost', readonly detail: string }

/** The refusals of bodies that are not read to their end. */
export const bodyFailures: Readonly<Record<Exclude<ReadBody['type'], 'whole' | 'lost'>, (bodyBytes: number) => RequestFailure>> = {
  'too-large': bodyBytes => requestFailure('body-too-large', 'not-run', `the body exceeds the limit of ${bodyBytes} bytes`),
  'too-costly': () => requestFailure('bad-request', 'not-run', 'the chunks of the body take far more bytes than they carry'),
  late: () => requestFailure('deadline-passed', 'not-run', 'the body did not arrive before the deadline')
}

/** The bounds of one body. */
export interface BodyBounds {
  /** The largest length, in bytes. */
  readonly largest: number
  /** The largest number of bytes that its connection may receive for one byte of it, beyond {@link FREE_OVERHEAD}. */
  readonly overheadFactor: number
  /** Within how many milliseconds it must arrive; infinite for no bound. */
  readonly within: number
  /** Divides the time of the process among bodies that are costly to read. */
  readonly turns: ReadTurns
  /** Receives the number of bytes that are held, and whether the body is complete. Returns false to give it up. */
  readonly onProgress: (held: number, complete: boolean) => boolean
}

/** Bytes that a connection may receive beside a body, for the request's head and for what follows it. */
const FREE_OVERHEAD = 256 * 1024

/**
 * Reads a body. One that is given up is not read any further: see {@link dropRest}.
 *
 * @example
 * const body = await readBody(request, { largest: 65_536, overheadFactor: 8, within: 5_000, turns, onProgress: () => true })
 */
export function readBody (request: IncomingMessage, bounds: BodyBounds): Promise<ReadBody> {
  const body = new BodyBuffer(Math.min(bounds.largest, Number(request.headers['content-length'] ?? bounds.largest)))
  const { socket } = request
  const receivedBefore = socket.bytesRead
  return new Promise(resolve => {
    const turn = bounds.turns.begin(pausable(socket))
    const timeout = Number.isFinite(bounds.within) ? new IoTimeout(() => settle({ type: 'late' }), bounds.within) : undefined
    const settle = (result: ReadBody): void => {
      request.off('data', read)
      body.clear()
      timeout?.cancel()
      turn.end()
      resolve(result)
    }
    const read = (piece: Buffer): void => {
      if (body.length + piece.length > bounds.largest) return settle({ type: 'too-large' })
      body.append(piece)
      if (socket.bytesRead - receivedBefore > FREE_OVERHEAD + bounds.overheadFactor * body.length) return settle({ type: 'too-costly' })
      if (!bounds.onProgress(body.capacity, false)) return settle({ type: 'lost', detail: 'given up' })
      turn.read(piece.length)
    }
    request.on('data', read)
    request.on('end', () => {
      if (bounds.onProgress(body.capacity, true)) settle({ type: 'whole', bytes: body.take() })
    })
    request.on('error', error => settle({ type: 'lost', detail: error.message }))
    request.on('close', () => settle({ type: 'lost', detail: 'closed' }))
  })
}

/** Pauses a connection for longer than until the next read: Node resumes it whenever the request that it carries has been read so far. */
function pausable (socket: Socket): PausableReader {
  return {
    pause: () => {
      socket.pause()
      socket.resume = () => socket
    },
    // Not at once: bytes that were read already would be parsed before the process turns to other connections.
    resume: () => {
      setImmediate(() => {
        delete (socket as Partial<Pick<Socket, 'resume'>>).resume
        socket.resume()
      })
    }
  }
}

/**
 * Reads and drops the rest of a request that is answered before its end, and closes the connection after a number of pieces. An answer to a
 * request that is not read can get lost when its connection is closed. The end of the answer bounds the time: see `HttpConnections`.
 *
 * @example
 * dropRest(request, 8_192)
 */
export function dropRest (request: IncomingMessage, pieces: number): void {
  let rest = pieces
  request.on('data', () => {
    rest -= 1
    if (rest < 0) request.socket.destroy()
  })
  // Otherwise, Node drops the rest without a bound once the answer is sent.
  request.read(0)
}
