/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Measures the resources that this process uses on its node. */
import type { ProcessCost } from '@drumdrift/core'
import type { Traffic } from '../peer/connection.js'

const MICROSECONDS_PER_MILLISECOND = 1_000

/**
 * Returns the processor time, memory and control traffic of this process.
 *
 * @example
 * const cost = readCost(traffic)
 */
export function readCost (traffic: Traffic): ProcessCost {
  const { user, system } = process.cpuUsage()
  const { rss, heapUsed } = process.memoryUsage()
  return { processorMilliseconds: Math.round((user + system) / MICROSECONDS_PER_MILLISECOND), residentBytes: rss, heapBytes: heapUsed, controlBytes: traffic.sent + traffic.received }
}
