/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for a service whose answers never end, until their connection closes. */
import type { Socket } from 'node:net'
import { RawService } from './raw-service.js'

/** What the service sends without end. */
export type EndlessPart =
  | 'head' | 'header-line' | 'informational-responses' | 'unsigned-body' | 'body' | 'unframed-body' | 'event' | 'events' | 'comment-lines'
  | 'chunk-extension' | 'trailer' | 'after-answer' | 'no-protocol'

/** `fast`: as fast as the bytes are read. `drip`: one byte each 100 ms. */
export type EndlessPace = 'fast' | 'drip'

/** An answer: what precedes the endless part, and what is repeated in it. */
interface EndlessAnswer {
  readonly start: string
  readonly repeated: string
}

const BLOCK_BYTES = 64 * 1024
const DRIP_INTERVAL_MILLISECONDS = 100
const FILLER = 'a'.repeat(BLOCK_BYTES)
const CHUNKED = 'transfer-encoding: chunked\r\n'
const EVENT_STREAM = 'content-type: text/event-stream\r\n'

function head (fields: string): string { return `HTTP/1.1 200 OK\r\n${fields}\r\n` }
function chunk (text: string): string { return `${text.length.toString(16)}\r\n${text}\r\n` }
function stream (repeated: string, start = ''): (signature: string) => EndlessAnswer {
  return signature => ({ start: head(`${signature}${EVENT_STREAM}${CHUNKED}`) + (start === '' ? '' : chunk(start)), repeated: chunk(repeated) })
}

/** @param signature The header lines that identify an answer as one of the service to the request. */
const answers: Record<EndlessPart, (signature: string) => EndlessAnswer> = {
  head: signature => ({ start: `HTTP/1.1 200 OK\r\n${signature}`, repeated: 'x-field: value\r\n' }),
  'header-line': signature => ({ start: `HTTP/1.1 200 OK\r\n${signature}x-field: `, repeated: FILLER }),
  'informational-responses': () => ({ start: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n' }),
  'unsigned-body': () => ({ start: head(CHUNKED), repeated: chunk(FILLER) }),
  body: signature => ({ start: head(signature + CHUNKED), repeated: chunk(FILLER) }),
  'unframed-body': signature => ({ start: head(signature), repeated: FILLER }),
  event: stream(FILLER, 'id: 1\ndata: '),
  events: stream('data: piece\n\n'.repeat(1_000)),
  'comment-lines': stream(':\n'.repeat(1_000)),
  'chunk-extension': signature => ({ start: `${head(signature + CHUNKED)}1;`, repeated: FILLER }),
  trailer: signature => ({ start: `${head(signature + CHUNKED)}${chunk('answer')}0\r\n`, repeated: 'x-field: value\r\n' }),
  'after-answer': signature => ({ start: `${head(`${signature}content-length: 6\r\n`)}answer`, repeated: FILLER }),
  'no-protocol': () => ({ start: '', repeated: FILLER })
}

type Writer = (socket: Socket, answer: EndlessAnswer) => void

const writers: Record<EndlessPace, Writer> = {
  fast: (socket, { start, repeated }) => {
    const block = Buffer.from(repeated.repeat(Math.max(1, Math.floor(BLOCK_BYTES / repeated.length))))
    const write = (): void => { while (!socket.destroyed && socket.write(block)); }
    socket.on('drain', write)
    socket.write(start)
    write()
  },
  drip: (socket, { start, repeated }) => {
    let next = 0
    const timer = setInterval(() => {
      socket.write(repeated.charAt(next % repeated.length))
      next += 1
    }, DRIP_INTERVAL_MILLISECONDS)
    socket.on('close', () => clearInterval(timer))
    socket.write(start)
  }
}

/** A service on loopback whose answers never end. */
export class EndlessService extends RawService {
  pace: EndlessPace = 'fast'
  private _sentOnClosed = 0

  /**
   * @param part What it sends without end.
   * @param id Identifies it in its signature.
   */
  constructor (public part: EndlessPart, id = 'endless') { super(id) }

  /** Number of open connections. */
  get connections (): number { return this.sockets.size }
  /** Number of bytes sent on all connections. */
  get sent (): number { return [...this.sockets].reduce((sum, { bytesWritten }) => sum + bytesWritten, this._sentOnClosed) }

  protected override handle (socket: Socket, request: string): void {
    socket.on('close', () => { this._sentOnClosed += socket.bytesWritten })
    writers[this.pace](socket, answers[this.part](this.signatureFor(request)))
    socket.resume()
  }
}
