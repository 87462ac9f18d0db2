/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The lifecycle of an agent or entry is a lattice: serving < draining < stopped. Concurrent, repeated and late commands
 * all join to the same state, so operators need no lock. Only a new incarnation starts at serving again.
 */

/** The lifecycle state of a process. */
export type Lifecycle = 'serving' | 'draining' | 'stopped'

const order: Record<Lifecycle, number> = { serving: 0, draining: 1, stopped: 2 }

/**
 * Returns the later of two lifecycle states.
 *
 * @example
 * joinLifecycle('draining', 'serving') // 'draining'
 */
export function joinLifecycle (left: Lifecycle, right: Lifecycle): Lifecycle {
  return order[left] >= order[right] ? left : right
}
