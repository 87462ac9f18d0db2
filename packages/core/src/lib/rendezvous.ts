/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Rendezvous (highest random weight) hashing. Every process with the same member list computes the same order without
 * communication, and adding or removing a member affects only the subjects assigned to it.
 */
import murmurhash from 'murmurhash'

/**
 * A 32-bit hash of `text` under `seed`.
 *
 * @example
 * hash32('instance-7', hash32('zone-a'))
 */
export function hash32 (text: string, seed = 0): number {
  return murmurhash.v3(text, seed)
}

/**
 * Orders members for one subject by descending weight. Ties are broken by name, so the order is total.
 *
 * @example
 * rendezvousOrder(['a', 'b', 'c'], 'request-1') // the same on every process
 */
export function rendezvousOrder (members: readonly string[], subject: string): string[] {
  const seed = hash32(subject)
  return members
    .map(member => ({ member, weight: hash32(member, seed) }))
    .sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
    .map(entry => entry.member)
}

/**
 * Returns the first `count` members of the rendezvous order.
 *
 * @example
 * rendezvousTop(agents, requestId, 5)
 */
export function rendezvousTop (members: readonly string[], subject: string, count: number): string[] {
  return rendezvousOrder(members, subject).slice(0, count)
}
