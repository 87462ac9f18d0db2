/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Rendezvous (highest random weight) hashing: every process that holds the same member list orders it alike,
 * without talking, and one member's coming or going moves only its own share.
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
 * Orders members for one subject, the best first. Ties break by name, so the order is total.
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
 * The first `count` members of the rendezvous order.
 *
 * @example
 * rendezvousTop(agents, requestId, 5)
 */
export function rendezvousTop (members: readonly string[], subject: string, count: number): string[] {
  return rendezvousOrder(members, subject).slice(0, count)
}
