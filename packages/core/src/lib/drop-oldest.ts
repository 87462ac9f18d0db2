/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */

/**
 * Deletes the entries of a map or set that were added first, until no more than a number are left.
 *
 * @example
 * const answeredAt = new Map([['a', 1], ['b', 2]])
 * dropOldest(answeredAt, 1) // leaves 'b'
 */
export function dropOldest (stored: Pick<Set<string>, 'size' | 'delete'> & { keys (): Iterable<string> }, limit: number): void {
  if (stored.size <= limit) return
  for (const oldest of stored.keys()) {
    if (stored.size <= limit) return
    stored.delete(oldest)
  }
}
