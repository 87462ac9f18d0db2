/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Deterministic subsetting (Site Reliability Engineering, chapter 20). Each entry uses only a subset of the endpoints,
 * which limits the number of connections, and the number of entries per endpoint is balanced to within one.
 */
import { rendezvousOrder } from './rendezvous.js'

/**
 * Returns the endpoints that an entry uses.
 *
 * @param index The index of the entry among the entries of its zone.
 * @param size The number of endpoints in a subset. All endpoints are returned if there are no more than this.
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
