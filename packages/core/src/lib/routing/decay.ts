/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Exponential decay of old measurements. */

/**
 * Returns the weight of an old value, 0 to 1.
 *
 * @param elapsed Time since the measurement; negative values count as 0.
 * @param halfLife Half-life in the same unit.
 * @example
 * const rate = count * decay(now - countedAt, 1_000)
 */
export function decay (elapsed: number, halfLife: number): number {
  return 0.5 ** (Math.max(0, elapsed) / halfLife)
}

/** A half-life that passes in a number of requests, within bounds in milliseconds. */
export interface RequestHalfLife {
  readonly requests: number
  readonly min: number
  readonly max: number
}

/**
 * Returns the time in which a number of requests is sent, within bounds, in milliseconds.
 *
 * @param requestRate In requests per millisecond; 0 for none.
 * @example
 * halfLifeOf({ requests: 20, min: 4_000, max: 20_000 }, 1 / 500) // 10,000
 */
export function halfLifeOf ({ requests, min, max }: RequestHalfLife, requestRate: number): number {
  return Math.min(max, Math.max(min, requests / requestRate))
}
