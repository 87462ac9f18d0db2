/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import type { IncomingMessage } from 'node:http'

/**
 * Returns whether an answer declares where it ends (RFC 9112, 6.3), so that its end does not depend on the connection closing.
 *
 * @example
 * if (!isFramed(response)) checkThatEndpointIsAlive()
 */
export function isFramed ({ headers, statusCode = 0 }: Pick<IncomingMessage, 'headers' | 'statusCode'>): boolean {
  const bodiless = statusCode === 204 || statusCode === 304
  return bodiless || headers['content-length'] !== undefined || endsInChunks(headers['transfer-encoding'])
}

/** Whether the last transfer coding is `chunked`; after any other one, the answer ends with its connection. */
function endsInChunks (transferEncoding: string | undefined): boolean {
  return transferEncoding?.split(',').at(-1)?.trim().toLowerCase() === 'chunked'
}
