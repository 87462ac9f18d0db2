/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A performance model of a batching engine that estimates the time to first token. Engines work in passes; a pass prefills some prompt
 * tokens and, if requests are generating, runs some decoding steps. The parameters come from the pool's description.
 */
import type { PoolDescription } from '../published/routing-configuration.js'

/** The estimated work of an engine. */
export interface EngineWork {
  /** Requests that generate tokens. */
  readonly running: number
  /** Requests that were sent and have not started. */
  readonly waiting: number
  /** Prompt tokens of the requests that have not started. */
  readonly waitingTokens: number
}

/** The assumed prefill rate of a pool that is unknown or does not describe it, in prompt tokens per millisecond. */
export const ASSUMED_PREFILL_RATE = 10

/**
 * The time of one decoding step, in milliseconds.
 *
 * @example
 * stepTime(pool, 16)
 */
export function stepTime (pool: PoolDescription, running: number): number {
  const context = running * (pool.usualPromptTokens + pool.usualAnswerTokens / 2)
  return pool.stepTime + pool.stepTimePerRequest * running + pool.stepTimePerThousandTokens * context / 1000
}

/** The time from the first to the last token of a request of typical size, in milliseconds. */
export function typicalGenerationTime (pool: PoolDescription, running: number): number {
  const prompts = running * prefillTime(pool, pool.usualPromptTokens)
  return pool.usualAnswerTokens * stepTime(pool, running) + prompts
}

/** The time from the first to the last token of an answer in a full engine, in milliseconds; of usual length if its length is unknown. */
export function generationTimeWhenFull (pool: PoolDescription, answerTokens: number): number {
  const typical = typicalGenerationTime(pool, pool.slots)
  return answerTokens > 0 && pool.usualAnswerTokens > 0 ? typical * answerTokens / pool.usualAnswerTokens : typical
}

/** The prefill rate of an engine, in prompt tokens per millisecond; an assumed rate if its pool is unknown. */
export function prefillRate (pool: PoolDescription | undefined): number {
  return pool !== undefined && pool.promptTokensPerMillisecond > 0 ? pool.promptTokensPerMillisecond : ASSUMED_PREFILL_RATE
}

/** The time to prefill the given number of prompt tokens, in milliseconds. */
export function prefillTime (pool: PoolDescription, tokens: number): number { return tokens / prefillRate(pool) }

/**
 * The time to first token of a request that is sent now, in milliseconds, at the speed that the pool describes.
 *
 * @example
 * const wait = firstTokenTime(pool, { running: 12, waiting: 1, waitingTokens: 900 }, 1_290)
 */
export function firstTokenTime (pool: PoolDescription, work: EngineWork, promptTokens: number): number {
  const tokens = work.waitingTokens + promptTokens
  const passes = Math.max(1, Math.ceil(tokens / Math.max(1, pool.promptTokensPerStep * pool.stride)))
  const writePerPass = work.running > 0 ? pool.stride * stepTime(pool, work.running) : 0
  // On average a request arrives in the middle of a pass, and its first event is sent at the end of the pass that it joins.
  const passTime = (passes + 0.5) * writePerPass + pool.stride * stepTime(pool, work.running + 1)
  return prefillTime(pool, tokens) + passTime + slotWait(pool, work)
}

/** The time until a slot is free for a request at the end of the queue, in milliseconds. */
function slotWait (pool: PoolDescription, work: EngineWork): number {
  const over = work.running + work.waiting + 1 - pool.slots
  if (over <= 0) return 0
  return over * typicalGenerationTime(pool, pool.slots) / pool.slots
}
