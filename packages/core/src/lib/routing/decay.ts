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
