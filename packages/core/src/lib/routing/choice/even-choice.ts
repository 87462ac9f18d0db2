/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Randomised choice among endpoints by several choosers that share the same slightly stale view: if all took the cheapest
 * endpoint, it would be overloaded a moment later (herding). Each chooser draws at random instead, with weights that spread the
 * requests of all choosers so that every endpoint ends up equally loaded.
 */

/** The inputs of the random weights. */
export interface EvenChoice {
  /** The last known cost of each endpoint, in milliseconds. */
  readonly costs: readonly number[]
  /** The cost that one more request adds to its endpoint, in milliseconds. */
  readonly step: number
  /** The number of requests that other choosers have sent since this view was taken; 0 or more. */
  readonly requests: number
}

/**
 * The common cost level that results when the requests fill the endpoints, the cheapest first (water filling).
 *
 * @example
 * levelOf({ costs: [100, 140], step: 40, requests: 3 }) // 180: two more on the first, one on the second
 */
export function levelOf ({ costs, step, requests }: EvenChoice): number {
  const sorted = [...costs].sort((left, right) => left - right)
  let remaining = requests * step
  let level = sorted[0] ?? 0
  for (let filled = 1; filled < sorted.length; filled++) {
    const next = sorted[filled] ?? level
    const needed = (next - level) * filled
    if (needed >= remaining) return level + remaining / filled
    remaining -= needed
    level = next
  }
  return level + remaining / Math.max(1, sorted.length)
}

/**
 * Draws the index of an endpoint, with weights proportional to the distance below the level. An endpoint at or above the level is
 * never drawn. Returns the cheapest endpoint if no other chooser has sent requests.
 *
 * @param draw A random number in [0, 1).
 * @example
 * const index = chooseEvenly({ costs: [100, 140], step: 40, requests: 3 }, Math.random())
 */
export function chooseEvenly (choice: EvenChoice, draw: number): number {
  const level = levelOf(choice)
  const weights = choice.costs.map(cost => Math.max(0, level - cost))
  const total = weights.reduce((sum, part) => sum + part, 0)
  let remainder = draw * total
  for (const [index, part] of weights.entries()) {
    remainder -= part
    if (remainder < 0) return index
  }
  return choice.costs.indexOf(Math.min(...choice.costs))
}
