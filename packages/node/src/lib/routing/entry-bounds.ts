/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The bounds on the work of a route entry that its settings name. */
import type { ColdBounds, RetryLimits } from '@drumdrift/core'
import type { Settings } from '../settings/settings.js'

/**
 * The share of the machine's memory that may hold buffers for callers. The heap of the process may grow to 160 MB, so this is what
 * remains on instances of 200 MB.
 */
const BUFFER_SHARE_OF_MEMORY = 0.2
const BYTES_PER_MEGABYTE = 1_000_000
const MILLISECONDS_PER_SECOND = 1_000

/** The largest number of bytes that may be buffered for all callers together; infinite if the memory of the machine is not given. */
export function bufferBoundOf (settings: Settings): number {
  const memory = settings.number('process', 'memory-megabytes')
  return memory === 0 ? Infinity : BUFFER_SHARE_OF_MEMORY * memory * BYTES_PER_MEGABYTE
}

/** The limit on requests to cold endpoints; `undefined` unless both settings are given. */
export function coldBoundsOf (settings: Settings): ColdBounds | undefined {
  const isGiven = settings.text('requests', 'cold-rate-factor') !== '' && settings.text('requests', 'cold-rate-slack') !== ''
  return isGiven ? { factor: settings.number('requests', 'cold-rate-factor'), slack: settings.number('requests', 'cold-rate-slack') } : undefined
}

/** The limits on retries of all entries together. */
export function retryLimitsOf (settings: Settings): RetryLimits {
  const number = (key: string): number => settings.number('requests', key)
  return { ratio: number('retry-ratio'), slack: number('retry-slack'), window: number('retry-window-seconds') * MILLISECONDS_PER_SECOND }
}
