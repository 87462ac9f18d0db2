/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Waits for something for a limited time. */
import { IoTimeout } from './io-timeout.js'

/**
 * Resolves when a promise has settled or a time has passed.
 *
 * @param milliseconds Negative counts as 0.
 * @example
 * await settledWithin(connections.closed, 500)
 */
export async function settledWithin (promise: Promise<unknown>, milliseconds: number): Promise<void> {
  let timeout: IoTimeout | undefined
  const expired = new Promise<void>(resolve => { timeout = new IoTimeout(resolve, Math.max(0, milliseconds)) })
  await Promise.race([promise.then(() => {}, () => {}), expired])
  timeout?.cancel()
}
