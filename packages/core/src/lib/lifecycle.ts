/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The lifecycle of an agent or entry is a one-way lattice: serving < draining < stopped. Orders that race, repeat or
 * arrive late all join to the same end, so two operators need no lock. Only a new incarnation starts over.
 */

/** How far a process has left. */
export type Lifecycle = 'serving' | 'draining' | 'stopped'

const order: Record<Lifecycle, number> = { serving: 0, draining: 1, stopped: 2 }

/**
 * The later of two lifecycles.
 *
 * @example
 * joinLifecycle('draining', 'serving') // 'draining'
 */
export function joinLifecycle (left: Lifecycle, right: Lifecycle): Lifecycle {
  return order[left] >= order[right] ? left : right
}
