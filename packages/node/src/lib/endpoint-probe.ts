/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Checks whether an endpoint still accepts connections, without sending it a request. */
import { createConnection } from 'node:net'
import { parseAddress } from './settings/address.js'
import { SilenceTimeout } from './silence-timeout.js'

/** The usual timeout of a probe, in milliseconds. */
export const PROBE_TIMEOUT = 250

/** `listening`: a connection opened. `refused`: nothing listens at the address. `silent`: neither is known in time. */
export type ProbeResult = 'listening' | 'refused' | 'silent'

/**
 * Opens a connection to an endpoint and closes it at once.
 *
 * @param timeout In milliseconds.
 * @example
 * if (await probeEndpoint('10.0.0.7:8000') === 'refused') markAsCrashed()
 */
export function probeEndpoint (address: string, timeout = PROBE_TIMEOUT): Promise<ProbeResult> {
  const { host, port } = parseAddress(address)
  return new Promise(resolve => {
    const socket = createConnection({ host, port, noDelay: true })
    const finish = (result: ProbeResult): void => {
      silence.cancel()
      socket.destroy()
      resolve(result)
    }
    const silence = new SilenceTimeout(() => finish('silent'), timeout)
    socket.once('connect', () => finish('listening'))
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
