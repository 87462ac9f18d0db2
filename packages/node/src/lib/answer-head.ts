/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Checks the head of an answer before it is accepted. Node's parser accepts heads that its server refuses to write, so a head that is not
 * checked fails while it is passed on.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http'

const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599

/**
 * Returns whether a status is one of HTTP's final ones (RFC 9110, 15): no informational one, and none outside the defined classes.
 */
function isFinalStatus (status: number): boolean { return status >= MIN_FINAL_STATUS && status <= MAX_STATUS }

/**
 * Returns why the head of an answer cannot be passed on, or `undefined` if it can.
 *
 * @param headers Alternating names and values.
 * @example
 * headFault(0, []) // 'status 0 is not a final status of HTTP'
 */
export function headFault (status: number, headers: readonly string[]): string | undefined {
  if (!isFinalStatus(status)) return `status ${status} is not a final status of HTTP`
  try {
    for (let index = 0; index < headers.length; index += 2) {
      const name = headers[index] ?? ''
      validateHeaderName(name)
      validateHeaderValue(name, headers[index + 1] ?? '')
    }
    return undefined
  } catch (error) {
    return error instanceof Error ? error.message : 'a header is invalid'
  }
}
