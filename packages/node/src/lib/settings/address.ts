/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Parses addresses. An address is an IPv4 address with a port; host names are not resolved. */
import { isIPv4 } from 'node:net'

/** An IPv4 address and a port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/**
 * Checks whether a text is an IPv4 address with a port.
 *
 * @example
 * isAddress('10.0.0.7:7400') // true
 */
export function isAddress (text: string): boolean {
  const { host, port } = parseAddress(text)
  return isIPv4(host) && Number.isInteger(port) && port >= 0 && port <= 65_535
}

/**
 * Splits an address into host and port. The port is `NaN` if it is not a number.
 *
 * @example
 * parseAddress('10.0.0.7:7400') // { host: '10.0.0.7', port: 7400 }
 */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  const port = /^\d+$/.test(text.slice(colon + 1)) ? Number(text.slice(colon + 1)) : Number.NaN
  return { host: text.slice(0, Math.max(0, colon)), port }
}
