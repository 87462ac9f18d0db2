/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import { setTimeout as pause } from 'node:timers/promises'

/** Shorter waits are skipped, in milliseconds: a timer is not more accurate. */
const MIN_WAIT_MILLISECONDS = 1

/**
 * Waits for each arrival of a Poisson process and yields when it was due. Delays of this process do not lower the rate.
 *
 * @param from When the process begins, in milliseconds of `performance.now()`.
 * @param until When it ends; asked before each arrival.
 * @param random Random numbers in [0, 1).
 * @example
 * for await (const due of poissonArrivals(performance.now(), () => endsAt, 60, Math.random)) send(due)
 */
export async function * poissonArrivals (from: number, until: () => number, perSecond: number, random: () => number): AsyncGenerator<number, void> {
  for (let due = from; ;) {
    due += -Math.log(1 - random()) * 1_000 / perSecond
    if (due >= until()) return
    const wait = due - performance.now()
    if (wait > MIN_WAIT_MILLISECONDS) await pause(wait)
    yield due
  }
}
