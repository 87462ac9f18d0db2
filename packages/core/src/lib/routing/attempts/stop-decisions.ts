/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Which requests a process accepts while it stops, and how it ends those that it cannot wait for. */
import { requestFailure, type RequestFailure } from '../../failure.js'

/**
 * Bounds of the random retry delay of a caller whose request was not run because the process stops, in milliseconds. Its next connection
 * usually reaches another process; the jitter spreads the connections of many callers.
 */
const MIN_RETRY_DELAY = 20
const MAX_RETRY_DELAY = 200

/** What is known of a request when the process has to end it. */
export type ProgressAtStop = 'not-run' | 'may-have-run' | 'answer-begun'

const endings: Record<ProgressAtStop, (draw: number) => RequestFailure> = {
  'not-run': draw => refusalOfStop(draw),
  'may-have-run': () => requestFailure('outcome-unknown', 'unknown', 'this process stops'),
  'answer-begun': () => requestFailure('answer-cut', 'cut', 'this process stops')
}

/**
 * Whether a process that no longer accepts connections accepts a request on an open one: only if the request is certain to end before
 * the process does.
 *
 * @param deadline When the request ends at the latest, in milliseconds of the same clock as `stopAt`.
 * @param stopAt When the process ends what is still in progress.
 * @example
 * acceptsBeforeStop(5_000, 6_000) // true
 */
export function acceptsBeforeStop (deadline: number, stopAt: number): boolean { return deadline <= stopAt }

/**
 * The refusal of a request that has not run because the process stops.
 *
 * @param draw A random number in [0, 1).
 * @example
 * refusalOfStop(Math.random())
 */
export function refusalOfStop (draw: number): RequestFailure {
  const retryAfter = Math.round(MIN_RETRY_DELAY + draw * (MAX_RETRY_DELAY - MIN_RETRY_DELAY))
  return requestFailure('leaving', 'not-run', 'this process stops', retryAfter)
}

/**
 * How a request ends that is still in progress when the process has to end.
 *
 * @param draw A random number in [0, 1).
 * @example
 * endingAtStop('may-have-run', Math.random()).code // 'outcome-unknown'
 */
export function endingAtStop (progress: ProgressAtStop, draw: number): RequestFailure { return endings[progress](draw) }
