/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import { describe, it } from 'node:test'
import { freePorts } from '../../lib/ports.js'

/** Start of the default ephemeral port range of Linux. */
const LEAST_DRAWN_PORT = 32_768

describe('freePorts', () => {
  it('finds ports below the ephemeral range', async () => {
    const ports = await freePorts(30)
    assert.ok(ports.every(port => port < LEAST_DRAWN_PORT), `${ports}`)
  })

  it('finds no port twice', async () => {
    const ports = [...await freePorts(30), ...await freePorts(30)]
    assert.equal(new Set(ports).size, ports.length)
  })

  it('skips a port that is in use', async () => {
    const [first = 0] = await freePorts(1)
    const holder = createServer()
    await new Promise<void>(resolve => holder.listen(first + 1, '127.0.0.1', () => resolve()))
    const [second] = await freePorts(1)
    holder.close()
    assert.notEqual(second, first + 1)
  })
})
