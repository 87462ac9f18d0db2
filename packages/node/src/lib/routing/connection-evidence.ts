/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What a connection to an endpoint shows, for the choice of endpoints and for operators. */
import { startKeyOf, type ConnectionFailure, type EndpointChooser, type EndpointRecord } from '@drumdrift/core'
import type { Log } from '../observe/log.js'

/** Where the evidence goes. */
export interface EvidenceSinks {
  readonly chooser: EndpointChooser
  readonly log: Log
}

/**
 * Records that a connection to an endpoint opened.
 *
 * @example
 * recordOpened({ chooser, log }, choice.record)
 */
export function recordOpened ({ chooser, log }: EvidenceSinks, record: EndpointRecord): void {
  if (chooser.connected(startKeyOf(record))) log.info('endpoint-reachable', { endpoint: record.id })
}

/**
 * Records that a connection to an endpoint did not open, or not in time.
 *
 * @param begunAt When it was begun, by this process's clock.
 * @example
 * recordUnopened({ chooser, log }, choice.record, 'connection-refused', begunAt, performance.now())
 */
export function recordUnopened ({ chooser, log }: EvidenceSinks, record: EndpointRecord, reason: ConnectionFailure, begunAt: number, now: number): void {
  if (chooser.connectionFailed(startKeyOf(record), reason, begunAt, now)) log.warn('endpoint-unreachable', { endpoint: record.id, reason })
}
