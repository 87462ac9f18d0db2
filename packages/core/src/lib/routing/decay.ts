/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What is left of a measurement that grows old. */

/**
 * The share of an old value that still counts, 0 to 1.
 *
 * @param elapsed Time since it was measured; negative counts as none.
 * @param halfLife In the same unit.
 * @example
 * const rate = count * decay(now - countedAt, 1_000)
 */
export function decay (elapsed: number, halfLife: number): number {
  return 0.5 ** (Math.max(0, elapsed) / halfLife)
}
