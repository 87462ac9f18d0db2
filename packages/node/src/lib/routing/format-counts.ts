/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */

/**
 * Formats counts by name as the value of a log field.
 *
 * @example
 * formatCounts(new Map([['limited', 2], ['resting', 1]])) // 'limited:2,resting:1'
 */
export function formatCounts (counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name}:${count}`).join(',')
}
