/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import type { ClientRequest } from 'node:http'

/** The largest number of informational responses (1xx, RFC 9110, 15.2) before the answer to one request. */
export const MAX_INFORMATIONAL_RESPONSES = 16

/**
 * Bounds the informational responses to a request. Node reads any number of them, and a timeout for silence does not end them.
 *
 * @param exceed Called once with a description; ends the request.
 * @example
 * limitInformationalResponses(request, detail => request.destroy(new Error(detail)))
 */
export function limitInformationalResponses (request: ClientRequest, exceed: (detail: string) => void): void {
  let count = 0
  request.on('information', () => {
    count += 1
    if (count === MAX_INFORMATIONAL_RESPONSES + 1) exceed(`more than ${MAX_INFORMATIONAL_RESPONSES} informational responses`)
  })
}
