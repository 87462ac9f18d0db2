/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against answers that end with their connection and look complete although it was reset: if their last bytes and the reset are read in
// one turn of the event loop, libuv reports the end of the connection and no error.
import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { describe, it } from 'node:test'
import { outcomeOf, readers, type Outcome } from '../answer-readers.js'

const EVENT = 'data: piece\n\n'
const STREAM = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
/** Time from the head of an answer to its body, in milliseconds. */
const BODY_DELAY = 20

interface Framing {
  readonly name: string
  readonly head: string
  readonly body: string
  /** What ends the answer; empty if its connection does. */
  readonly rest: string
}

const framings: readonly Framing[] = [
  { name: 'without a length or chunks', head: `${STREAM}\r\n`, body: EVENT, rest: '' },
  { name: 'of HTTP/1.0', head: 'HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n', body: EVENT, rest: '' },
  { name: 'with a length', head: `${STREAM}Content-Length: ${2 * EVENT.length}\r\n\r\n`, body: EVENT, rest: EVENT },
  { name: 'in chunks', head: `${STREAM}Transfer-Encoding: chunked\r\n\r\n`, body: `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`, rest: '0\r\n\r\n' }
]

const requests = { 'a short request': Buffer.from('question'), 'an upload that is not read': Buffer.alloc(6_000_000) } as const
type RequestName = keyof typeof requests
const allRequests = Object.keys(requests) as RequestName[]

/** How a connection ends with the last bytes of an answer. */
interface Ending {
  readonly name: string
  readonly end: (socket: Socket, bytes: string) => void
  /** What an answer is that has no other end. */
  readonly outcome: Outcome
  readonly to: readonly RequestName[]
}

const endings: readonly Ending[] = [
  { name: 'reset', end: (socket, bytes) => { socket.write(bytes); socket.resetAndDestroy() }, outcome: 'cut', to: allRequests },
  // The operating system resets a connection that is closed before everything is read.
  { name: 'closed', end: (socket, bytes) => { socket.write(bytes); socket.destroy() }, outcome: 'cut', to: ['an upload that is not read'] },
  { name: 'ended', end: (socket, bytes) => { socket.end(bytes) }, outcome: 'whole', to: allRequests },
  { name: 'ended and then closed', end: (socket, bytes) => { socket.end(bytes, () => socket.destroy()) }, outcome: 'whole', to: allRequests }
]

interface Case {
  readonly name: string
  readonly answer: (socket: Socket) => void
  readonly outcome: Outcome
}

function casesOf ({ name: framing, head, body, rest }: Framing, { name: ending, end, outcome }: Ending): readonly Case[] {
  const isFramed = rest !== ''
  const sendLater = (socket: Socket, bytes: string): void => {
    socket.write(head)
    setTimeout(() => end(socket, bytes), BODY_DELAY)
  }
  return [
    { name: `${framing}, ${ending} within the answer`, answer: socket => end(socket, head + body), outcome: isFramed ? 'cut' : outcome },
    { name: `${framing}, ${ending} within the answer, some time after its head`, answer: socket => sendLater(socket, body), outcome: isFramed ? 'cut' : outcome },
    ...isFramed
      ? [
          { name: `${framing}, ${ending} after the answer`, answer: (socket: Socket) => end(socket, head + body + rest), outcome: 'whole' as const },
          { name: `${framing}, ${ending} after the answer, some time after its head`, answer: (socket: Socket) => sendLater(socket, body + rest), outcome: 'whole' as const }
        ]
      : []
  ]
}

describe('an answer', () => {
  for (const [reader, read] of Object.entries(readers)) {
    for (const ending of endings) {
      for (const { name, answer, outcome } of framings.flatMap(framing => casesOf(framing, ending))) {
        for (const request of ending.to) {
          it(`${name}, to ${request}, is ${outcome} for ${reader}`, { timeout: 5_000 }, async () => {
            assert.equal(await outcomeOf(read, requests[request], answer), outcome)
          })
        }
      }
    }
  }
})
