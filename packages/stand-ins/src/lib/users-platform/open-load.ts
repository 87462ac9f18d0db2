/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Load that arrives at random times, whatever became of earlier requests. */
import { poissonArrivals } from '../poisson-arrivals.js'

/** What became of a request. */
export interface LoadOutcome {
  /** When it was due, in milliseconds of `performance.now()`. */
  readonly submittedAt: number
  readonly served: boolean
}

/**
 * Sends requests at a mean rate and waits for all of them.
 *
 * @param until When to stop, in milliseconds of `performance.now()`; asked before each request.
 * @param random Random numbers in [0, 1).
 * @param send Sends one request and returns whether it was served.
 * @example
 * const outcomes = await sendAtRate(() => endsAt, 60, Math.random, async () => (await ask(address, request)).status === 200)
 */
export async function sendAtRate (until: () => number, perSecond: number, random: () => number, send: () => Promise<boolean>): Promise<LoadOutcome[]> {
  const outcomes: Promise<LoadOutcome>[] = []
  for await (const submittedAt of poissonArrivals(performance.now(), until, perSecond, random)) outcomes.push(send().then(served => ({ submittedAt, served })))
  return await Promise.all(outcomes)
}

/**
 * Returns the share of requests that were served; 1 if there are none.
 *
 * @example
 * shareServed([{ submittedAt: 0, served: true }, { submittedAt: 1, served: false }]) // 0.5
 */
export function shareServed (outcomes: readonly LoadOutcome[]): number {
  return outcomes.length === 0 ? 1 : outcomes.filter(({ served }) => served).length / outcomes.length
}
