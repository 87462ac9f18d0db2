/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What a process costs its node, by its own reading. */
import type { ProcessCost } from '@drumdrift/core'
import type { Traffic } from '../peer/connection.js'

const MICROSECONDS = 1_000

/**
 * Reads what this process has cost so far.
 *
 * @example
 * const cost = readCost(traffic)
 */
export function readCost (traffic: Traffic): ProcessCost {
  const { user, system } = process.cpuUsage()
  const { rss, heapUsed } = process.memoryUsage()
  return { processorMilliseconds: Math.round((user + system) / MICROSECONDS), residentBytes: rss, heapBytes: heapUsed, controlBytes: traffic.sent + traffic.received }
}
