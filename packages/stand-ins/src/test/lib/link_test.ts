/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createConnection, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Link, type LinkMode } from '../../lib/link.js'
import { freePorts } from '../../lib/ports.js'

describe('Link', () => {
  let server: Server
  let link: Link
  let client: Socket
  /** Data received by the target and by the caller. */
  let received: { target: string, caller: string }

  beforeEach(async () => {
    received = { target: '', caller: '' }
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', bytes => {
        received.target += bytes.toString('utf8')
        socket.write(bytes)
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const [port = 0] = await freePorts(1)
    link = new Link(port, (server.address() as AddressInfo).port)
    await link.listen()
    client = createConnection({ host: '127.0.0.1', port })
    client.on('data', bytes => { received.caller += bytes.toString('utf8') })
    client.on('error', () => {})
  })
  afterEach(() => {
    client.destroy()
    link.close()
    server.close()
  })

  async function waitFor (holds: () => boolean): Promise<void> {
    for (let tries = 0; tries < 250 && !holds(); tries += 1) await new Promise(resolve => setTimeout(resolve, 20))
    assert.ok(holds(), JSON.stringify(received))
  }

  it('forwards data in both directions', async () => {
    client.write('a')
    await waitFor(() => received.caller === 'a')
  })

  const swallowing: [mode: LinkMode, target: string][] = [['deaf', 'a'], ['mute', 'ab']]
  for (const [mode, target] of swallowing) {
    it(`drops data of one direction in mode ${mode}, and closes the incomplete connection in mode pass`, async () => {
      client.write('a')
      await waitFor(() => received.caller === 'a')
      link.set(mode)
      client.write('b')
      await waitFor(() => received.target === target)
      await new Promise(resolve => setTimeout(resolve, 60))
      assert.deepEqual([received, client.closed], [{ target, caller: 'a' }, false])
      link.set('pass')
      await waitFor(() => client.closed)
    })
  }

  it('does not delay data that is sent after the delay ended for longer than the data before it', async () => {
    link.set('delay')
    client.write('a')
    await new Promise(resolve => setTimeout(resolve, 60))
    link.set('pass')
    link.delayMilliseconds = 60_000
    client.write('b')
    await waitFor(() => received.caller === 'ab')
  })

  it('silences open connections for good, and forwards the data of later ones', async () => {
    client.write('a')
    await waitFor(() => received.caller === 'a')
    link.silenceOpenConnections()
    client.write('b')
    const later = createConnection({ host: '127.0.0.1', port: Number(link.address.split(':')[1]) })
    later.write('c')
    await waitFor(() => received.target === 'ac')
    link.set('pass')
    later.destroy()
    await new Promise(resolve => setTimeout(resolve, 60))
    assert.deepEqual([received, client.closed], [{ target: 'ac', caller: 'a' }, false])
  })

  it('keeps the order of delayed data and data sent after the delay ended', async () => {
    link.set('delay')
    client.write('a')
    await new Promise(resolve => setTimeout(resolve, 60))
    assert.equal(received.target, '')
    link.set('pass')
    client.write('b')
    await waitFor(() => received.caller === 'ab')
  })
})
