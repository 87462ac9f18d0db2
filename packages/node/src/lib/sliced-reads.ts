/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Lets an HTTP server parse what it reads from a connection in slices. Node parses up to 64 KiB at once: some hundred pipelined requests, or
 * ten thousand chunks of one byte, although the first of them may have paused or closed the connection. With some hundred connections, what
 * it creates for them does not fit into memory.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** The number of bytes that are parsed at once. */
const SLICE_BYTES = 4 * 1024

/**
 * Slices the reads of all connections of a server.
 *
 * @example
 * sliceReads(createServer(handle))
 */
export function sliceReads (server: Server): void {
  server.on('connection', (socket: Socket) => {
    const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[]
    if (parse === undefined) return
    socket.off('data', parse)
    socket.on('data', (bytes: Buffer) => parseSlices(socket, bytes, slice => parse.call(socket, slice)))
  })
}

function parseSlices (socket: Socket, bytes: Buffer, parse: (slice: Buffer) => void): void {
  for (let at = 0; at < bytes.length && !socket.destroyed; at += SLICE_BYTES) {
    // The rest is read again once the connection is resumed.
    if (socket.isPaused()) return socket.unshift(bytes.subarray(at))
    parse(bytes.subarray(at, at + SLICE_BYTES))
  }
}
