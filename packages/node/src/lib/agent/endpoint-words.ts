/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads the headers by which an endpoint beside an agent announces its limit or its departure (docs/PROTOCOLS.md). */
import type { IncomingHttpHeaders } from 'node:http'
import type { EndpointNotice } from '@drumdrift/core'

const LIMIT_HEADER = 'x-request-limit'
const LEAVING_HEADER = 'x-leaving'
const SERVICE_UNAVAILABLE = 503
const MILLISECONDS_PER_SECOND = 1_000
const DECIMAL = /^\d+(\.\d+)?$/

/**
 * Reads a non-negative decimal number. Returns `undefined` if the header is absent.
 *
 * @example
 * readDecimal('1.1') // 1.1
 */
export function readDecimal (text: string | string[] | undefined): number | 'unreadable' | undefined {
  if (text === undefined) return undefined
  return typeof text === 'string' && DECIMAL.test(text) ? Number(text) : 'unreadable'
}

/**
 * Reads a number of seconds and returns milliseconds. Returns `undefined` if the header is absent.
 *
 * @example
 * readSeconds('0.25') // 250
 */
export function readSeconds (text: string | string[] | undefined): number | 'unreadable' | undefined {
  const seconds = readDecimal(text)
  return typeof seconds === 'number' ? seconds * MILLISECONDS_PER_SECOND : seconds
}

/**
 * Reads the notice in the status and headers of an endpoint's answer.
 *
 * @example
 * const { limit } = readNotice(200, { 'x-request-limit': '1.1' })
 */
export function readNotice (status: number, headers: IncomingHttpHeaders): EndpointNotice {
  return {
    limit: readDecimal(headers[LIMIT_HEADER]),
    leaving: headers[LEAVING_HEADER] === '1',
    rest: status === SERVICE_UNAVAILABLE ? readSeconds(headers['retry-after']) : undefined
  }
}
