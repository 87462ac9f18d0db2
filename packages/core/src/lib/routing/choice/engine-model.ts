/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A model of a batching engine: how long a request that is sent now waits for its first token. Engines work in passes;
 * a pass reads some prompt tokens and, where requests write, plays some decoding steps. The figures come from the
 * pool's own description.
 */
import type { PoolDescription } from '../published/routing-configuration.js'

/** What an engine is doing, as far as is known. */
export interface EngineWork {
  /** Requests that write. */
  readonly running: number
  /** Requests that were sent and have not begun. */
  readonly waiting: number
  /** Prompt tokens of the requests that have not begun. */
  readonly waitingTokens: number
}

/** A pool that is not known, or whose description names no rate, is taken to read this many prompt tokens in a millisecond. */
export const ASSUMED_READ_RATE = 10

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

/** The time that an engine takes for a request of usual size from its first token to its last, in milliseconds. */
export function usualWriteTime (pool: PoolDescription, running: number): number {
  const prompts = running * readTime(pool, pool.usualPromptTokens)
  return pool.usualAnswerTokens * stepTime(pool, running) + prompts
}

/** The prompt tokens that an engine reads in a millisecond, also while its pool is not known yet. */
export function readRate (pool: PoolDescription | undefined): number {
  return pool !== undefined && pool.promptTokensPerMillisecond > 0 ? pool.promptTokensPerMillisecond : ASSUMED_READ_RATE
}

/** The time to read so many prompt tokens, in milliseconds. */
export function readTime (pool: PoolDescription, tokens: number): number { return tokens / readRate(pool) }

/**
 * The time until the first token of a request that is sent now, in milliseconds, at the engine's published speed.
 *
 * @example
 * const wait = firstTokenTime(pool, { running: 12, waiting: 1, waitingTokens: 900 }, 1_290)
 */
export function firstTokenTime (pool: PoolDescription, work: EngineWork, promptTokens: number): number {
  const tokens = work.waitingTokens + promptTokens
  const passes = Math.max(1, Math.ceil(tokens / Math.max(1, pool.promptTokensPerStep * pool.stride)))
  const writePerPass = work.running > 0 ? pool.stride * stepTime(pool, work.running) : 0
  // A request comes, on average, in the middle of a pass, and its first event closes the pass that it joins.
  const passTime = (passes + 0.5) * writePerPass + pool.stride * stepTime(pool, work.running + 1)
  return readTime(pool, tokens) + passTime + slotWait(pool, work)
}

/** The time until a slot is free for a request behind those that wait, in milliseconds. */
function slotWait (pool: PoolDescription, work: EngineWork): number {
  const over = work.running + work.waiting + 1 - pool.slots
  if (over <= 0) return 0
  return over * usualWriteTime(pool, pool.slots) / pool.slots
}
