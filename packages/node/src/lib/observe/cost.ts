/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Measures the resources that this process uses on its node. */
import { performance } from 'node:perf_hooks'
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

/**
 * Returns what this process has used since its start, by the names of the metrics. The number of wakes shows whether processor time goes
 * to frequent wakes or to the work in them: an idle process has several hundred microseconds for each.
 *
 * @example
 * for (const [name, value] of Object.entries(readUsage())) console.log(name, value)
 */
export function readUsage (): Record<'processor_user_milliseconds' | 'processor_system_milliseconds' | 'event_loop_wakes' | 'resident_bytes', number> {
  const { user, system } = process.cpuUsage()
  return {
    processor_user_milliseconds: Math.round(user / MICROSECONDS_PER_MILLISECOND),
    processor_system_milliseconds: Math.round(system / MICROSECONDS_PER_MILLISECOND),
    event_loop_wakes: performance.nodeTiming.uvMetricsInfo.loopCount,
    resident_bytes: process.memoryUsage.rss()
  }
}
