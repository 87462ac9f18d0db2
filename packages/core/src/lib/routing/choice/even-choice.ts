/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Choosing among endpoints when other choosers hold the same, slightly old view: if all took the best one, it would be
 * the worst a moment later. Each draws at random instead, with the odds that spread the requests which all of them
 * send together so that every endpoint ends up equally loaded.
 */

/** What the odds rest on. */
export interface EvenChoice {
  /** The cost of each endpoint as it was last seen, in milliseconds. */
  readonly costs: readonly number[]
  /** What one more request adds to the cost of its endpoint, in milliseconds. */
  readonly step: number
  /** Requests that the other choosers have sent since this view was made; 0 or more. */
  readonly requests: number
}

/**
 * The cost up to which the requests fill the endpoints, the cheapest first.
 *
 * @example
 * levelOf({ costs: [100, 140], step: 40, requests: 3 }) // 180: two more on the first, one on the second
 */
export function levelOf ({ costs, step, requests }: EvenChoice): number {
  const sorted = [...costs].sort((left, right) => left - right)
  let room = requests * step
  let level = sorted[0] ?? 0
  for (let filled = 1; filled < sorted.length; filled++) {
    const next = sorted[filled] ?? level
    const needed = (next - level) * filled
    if (needed >= room) return level + room / filled
    room -= needed
    level = next
  }
  return level + room / Math.max(1, sorted.length)
}

/**
 * Draws the index of an endpoint; one at or above the level is never drawn. Without others it is the cheapest.
 *
 * @param draw A random number in [0, 1).
 * @example
 * const index = chooseEvenly({ costs: [100, 140], step: 40, requests: 3 }, Math.random())
 */
export function chooseEvenly (choice: EvenChoice, draw: number): number {
  const level = levelOf(choice)
  const odds = choice.costs.map(cost => Math.max(0, level - cost))
  const total = odds.reduce((sum, part) => sum + part, 0)
  let left = draw * total
  for (const [index, part] of odds.entries()) {
    left -= part
    if (left < 0) return index
  }
  return choice.costs.indexOf(Math.min(...choice.costs))
}
