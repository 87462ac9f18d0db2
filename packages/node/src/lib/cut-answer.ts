/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import type { ServerResponse } from 'node:http'

/**
 * Closes the connection of an answer before its end, so that it does not look complete. An answer to a request of HTTP/1.0 has no chunks, and
 * may end with its connection: only a reset tells that it was cut.
 *
 * @example
 * endpoint.on('lost', () => cutAnswer(response))
 */
export function cutAnswer (response: ServerResponse): void {
  if (response.req.httpVersion === '1.0') response.socket?.resetAndDestroy()
  response.destroy()
}
