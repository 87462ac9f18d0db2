/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Deterministic subsets (Site Reliability Engineering, chapter 20): each entry uses a part of the endpoints only, so that
 * connections and choices stay few, and each endpoint is used by as many entries as any other, give or take one.
 */
import { rendezvousOrder } from './rendezvous.js'

/**
 * The endpoints that one entry uses.
 *
 * @param index The entry's place among the entries of its zone.
 * @param size Endpoints in a subset; all of them when there are no more.
 * @example
 * endpointSubset(3, endpoints, 24)
 */
export function endpointSubset (index: number, endpoints: readonly string[], size: number): readonly string[] {
  if (endpoints.length <= size) return endpoints
  const subsets = Math.floor(endpoints.length / size)
  const round = Math.floor(index / subsets)
  const shuffled = rendezvousOrder(endpoints, `subset round ${round}`)
  const start = (index % subsets) * size
  return shuffled.slice(start, start + size)
}
