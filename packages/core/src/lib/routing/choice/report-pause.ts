/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * How often one follower is told how busy an engine is. Every engine's report goes to every entry that follows it, though an
 * entry chooses among all its engines only as often as requests come to it: reports that come more often than that are never
 * looked at, and with many entries they are most of what control costs.
 */

/** Reports for each choice that a follower makes. */
const REPORTS_PER_CHOICE = 1
/**
 * The longest pause, in milliseconds: a follower that hardly sends anything may begin to at any moment, and its first choices
 * rest on what it was told last.
 */
const LONGEST_PAUSE = 200

/**
 * The pause between two reports to a follower, in milliseconds.
 *
 * @param sentRate Requests in a millisecond that it sends to the engine's pool: each is a choice.
 * @example
 * reportPause(0.01) // 100: ten requests a second
 */
export function reportPause (sentRate: number): number {
  if (!(sentRate > 0)) return LONGEST_PAUSE
  return Math.min(LONGEST_PAUSE, 1 / (REPORTS_PER_CHOICE * sentRate))
}
