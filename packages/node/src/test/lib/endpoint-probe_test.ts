/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { probeEndpoint } from '../../lib/endpoint-probe.js'

describe('probeEndpoint', () => {
  it('finds an endpoint that accepts connections, and one that has ended', async () => {
    const server = createServer(socket => socket.on('error', () => {}))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    assert.equal(await probeEndpoint(address, 1_000), 'listening')
    await new Promise(resolve => server.close(resolve))
    assert.equal(await probeEndpoint(address, 1_000), 'refused')
  })

  it('does not wait for longer than the timeout', async () => {
    assert.equal(await probeEndpoint('127.0.0.1:1', 0).then(result => result !== 'listening'), true)
  })
})
