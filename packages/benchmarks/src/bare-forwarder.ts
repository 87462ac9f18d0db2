/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The baseline of the requests benchmark: forwards requests to the engines round-robin, without any other processing. */
import { Agent, createServer, request } from 'node:http'

const [listen = '0', ...engines] = process.argv.slice(2)
const connections = new Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: 256 })
let turn = 0

createServer((incoming, response) => {
  const port = engines[turn++ % engines.length]
  const outgoing = request({ host: '127.0.0.1', port, method: incoming.method, path: incoming.url, headers: incoming.headers, agent: connections }, answer => {
    response.writeHead(answer.statusCode ?? 502, answer.headers)
    answer.pipe(response)
  })
  outgoing.on('error', () => response.destroy())
  incoming.pipe(outgoing)
}).listen(Number(listen), '127.0.0.1')
