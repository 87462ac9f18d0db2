/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Draws what callers ask for: the kind of a call, the shape of its answer and how fast the caller reads it. */
import type { AnswerShape, CallKind, Reading } from '@drumdrift/stand-ins'
import { drawBetween, drawWeighted } from './draws.js'

/** What a caller asks for. */
export interface Demand {
  readonly kind: CallKind
  /** `undefined` for the worker's usual shape. */
  readonly shape: AnswerShape | undefined
  /** `undefined` if the caller reads at once. */
  readonly reading: Reading | undefined
}

/** Relative frequency of each kind. Only streams run on engines, whose versions change. */
const weights: Record<CallKind, number> = { safe: 4, unsafe: 4, stream: 4, 'waiting-stream': 4, moving: 4, large: 1 }
/** Share of the streams that take seconds. */
const LONG_STREAM_SHARE = 0.4
/** Shares of the callers of long streams and of large answers that read slowly. */
const SLOW_STREAM_READER_SHARE = 0.25
const SLOW_LARGE_READER_SHARE = 0.6
/** Share of the slow callers that read in blocks; the others pause once. */
const READING_IN_BLOCKS_SHARE = 0.5
const MIN_EVENT_PAUSE_MILLISECONDS = 20
const MAX_EVENT_PAUSE_MILLISECONDS = 100
const MIN_STREAM_MILLISECONDS = 700
const MAX_STREAM_MILLISECONDS = 2_000
/** Sizes of answers, and of the events of a stream that is read slowly, of which more than the sockets hold waits in the entry. */
const MIN_LARGE_BYTES = 4_000_000
const MAX_LARGE_BYTES = 14_000_000
const MIN_EVENT_BYTES = 50_000
const MAX_EVENT_BYTES = 120_000
const LARGE_EVENT_PAUSE_MILLISECONDS = 25
/** How much longer slow reading takes than the answer itself. All reading ends before the timeout of the route. */
const MIN_EXTRA_READING_MILLISECONDS = 500
const MAX_EXTRA_READING_MILLISECONDS = 2_500
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Draws one demand.
 *
 * @example
 * const { kind, shape, reading } = drawDemand(seededRandom(7))
 */
export function drawDemand (random: () => number): Demand {
  const kind = drawWeighted(random, weights)
  if (kind === 'large') return drawLargeAnswer(random)
  const isLongStream = (kind === 'stream' || kind === 'waiting-stream') && random() < LONG_STREAM_SHARE
  return isLongStream ? drawLongStream(random, kind) : { kind, shape: undefined, reading: undefined }
}

function drawLargeAnswer (random: () => number): Demand {
  const paddingBytes = Math.round(drawBetween(random, MIN_LARGE_BYTES, MAX_LARGE_BYTES))
  const reading = random() < SLOW_LARGE_READER_SHARE ? drawReading(random, paddingBytes, 0) : undefined
  return { kind: 'large', shape: { events: 1, eventPauseMilliseconds: 0, paddingBytes }, reading }
}

function drawLongStream (random: () => number, kind: CallKind): Demand {
  const duration = drawBetween(random, MIN_STREAM_MILLISECONDS, MAX_STREAM_MILLISECONDS)
  if (random() < SLOW_STREAM_READER_SHARE) return drawLargeStream(random, kind, duration)
  const eventPauseMilliseconds = Math.round(drawBetween(random, MIN_EVENT_PAUSE_MILLISECONDS, MAX_EVENT_PAUSE_MILLISECONDS))
  const shape = { events: Math.round(duration / eventPauseMilliseconds), eventPauseMilliseconds, paddingBytes: 0 }
  return { kind, shape, reading: undefined }
}

function drawLargeStream (random: () => number, kind: CallKind, duration: number): Demand {
  const events = Math.round(duration / LARGE_EVENT_PAUSE_MILLISECONDS)
  const paddingBytes = Math.round(drawBetween(random, MIN_EVENT_BYTES, MAX_EVENT_BYTES))
  return { kind, shape: { events, eventPauseMilliseconds: LARGE_EVENT_PAUSE_MILLISECONDS, paddingBytes }, reading: drawReading(random, events * paddingBytes, duration) }
}

/** Draws a reading that takes somewhat longer than the answer itself. */
function drawReading (random: () => number, bytes: number, durationMilliseconds: number): Reading {
  const pauseMilliseconds = durationMilliseconds + drawBetween(random, MIN_EXTRA_READING_MILLISECONDS, MAX_EXTRA_READING_MILLISECONDS)
  const readsInBlocks = random() < READING_IN_BLOCKS_SHARE
  return readsInBlocks ? { type: 'in-blocks', rate: bytes / pauseMilliseconds * MILLISECONDS_PER_SECOND } : { type: 'after-pause', pauseMilliseconds }
}
