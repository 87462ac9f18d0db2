/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Draws from a random number generator. */

/** Returns a number between two others, evenly distributed. */
export function drawBetween (random: () => number, min: number, max: number): number { return min + random() * (max - min) }

/**
 * Returns a time until the next of events that are independent of each other, in the unit of their mean distance.
 *
 * @example
 * for (let at = drawPause(random, 500); at < 60_000; at += drawPause(random, 500)) schedule(at)
 */
export function drawPause (random: () => number, mean: number): number { return -Math.log(1 - random()) * mean }

/**
 * Returns one of some names.
 *
 * @param weights Relative frequency of each.
 * @example
 * const kind = drawWeighted(random, { safe: 4, large: 1 })
 */
export function drawWeighted<Name extends string> (random: () => number, weights: Readonly<Record<Name, number>>): Name {
  const names = Object.keys(weights) as Name[]
  let left = random() * names.reduce((sum, name) => sum + weights[name], 0)
  for (const name of names) {
    left -= weights[name]
    if (left < 0) return name
  }
  return names.at(-1) as Name
}
