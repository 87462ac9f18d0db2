/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** An HTTP server for short answers to requests without a body, which bounds what its clients may hold. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { descriptorLimit } from './descriptor-limit.js'
import { sliceReads } from './sliced-reads.js'

/** The largest number of open connections, and their share of the file descriptors. Beyond it, the one with the oldest request is closed. */
const MAX_CONNECTIONS = 64
const DESCRIPTOR_SHARE = 0.05
/** The largest number of requests that one connection may send before they are answered. */
const MAX_PIPELINED = 4
const MAX_HEAD_BYTES = 8 * 1024

/**
 * Creates the server. A connection is closed after the answer to a request with a body.
 *
 * @example
 * const server = createBoundedServer((request, response) => response.end('ready'))
 */
export function createBoundedServer (handle: (request: IncomingMessage, response: ServerResponse) => void): Server {
  const largest = Math.max(1, Math.min(MAX_CONNECTIONS, Math.floor(DESCRIPTOR_SHARE * descriptorLimit())))
  /** The number of unanswered requests of each connection, in order of the last request or of the start. */
  const unanswered = new Map<Socket, number>()
  const server = createServer({ maxHeaderSize: MAX_HEAD_BYTES }, (request, response) => {
    const { socket } = request
    const count = unanswered.get(socket)
    if (count === undefined) return
    if (count >= MAX_PIPELINED) return close(socket)
    unanswered.delete(socket)
    unanswered.set(socket, count + 1)
    response.on('close', () => { if (unanswered.has(socket)) unanswered.set(socket, (unanswered.get(socket) ?? 1) - 1) })
    if (hasBody(request)) closeAfter(response)
    handle(request, response)
  })
  const close = (socket: Socket): void => {
    unanswered.delete(socket)
    socket.destroy()
  }
  sliceReads(server)
  server.on('connection', socket => {
    const [oldest] = unanswered.keys()
    if (unanswered.size >= largest && oldest !== undefined) close(oldest)
    unanswered.set(socket, 0)
    socket.on('close', () => unanswered.delete(socket))
  })
  return server
}

function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}

function closeAfter (response: ServerResponse): void {
  const { socket } = response.req
  response.shouldKeepAlive = false
  response.on('finish', () => socket.destroy())
}
