/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Shapes of answers that callers choose for each request. Entries pass the header on to the worker. */
import type { IncomingHttpHeaders } from 'node:http'

/** Length, pace and size of an answer. */
export interface AnswerShape {
  /** Number of events of a stream. */
  readonly events: number
  /** Time between two events, in milliseconds. */
  readonly eventPauseMilliseconds: number
  /** Number of bytes that follow the text of a plain answer, or of each event. */
  readonly paddingBytes: number
}

const HEADER = 'x-answer-shape'
const PADDING = '.'

/**
 * Returns the header that asks a worker for a shape.
 *
 * @example
 * await ask(entry.address, { path: '/stream/', headers: writeShape({ events: 40, eventPauseMilliseconds: 50, paddingBytes: 0 }) })
 */
export function writeShape ({ events, eventPauseMilliseconds, paddingBytes }: AnswerShape): Record<string, string> {
  return { [HEADER]: `${events},${eventPauseMilliseconds},${paddingBytes}` }
}

/**
 * Returns the shape that a request asks for.
 *
 * @param usual Shape of requests that ask for none.
 * @example
 * const { events } = readShape(request.headers, { events: 6, eventPauseMilliseconds: 5, paddingBytes: 0 })
 */
export function readShape (headers: IncomingHttpHeaders, usual: AnswerShape): AnswerShape {
  const text = headers[HEADER]
  if (text === undefined) return usual
  const [events = 0, eventPauseMilliseconds = 0, paddingBytes = 0] = String(text).split(',').map(Number)
  return { events, eventPauseMilliseconds, paddingBytes }
}

/**
 * Returns the padding of a text.
 *
 * @example
 * response.end(`answer of desk-1${paddingOf(shape)}`)
 */
export function paddingOf ({ paddingBytes }: Pick<AnswerShape, 'paddingBytes'>): string { return PADDING.repeat(paddingBytes) }

/**
 * Replaces each padding in a body by its length in parentheses, so that large bodies can be kept.
 *
 * @example
 * condensePadding('answer of desk-1....') // 'answer of desk-1(4)'
 */
export function condensePadding (body: string): string { return body.replace(/\.{2,}/g, padding => `(${padding.length})`) }
