/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Derives the identity of a process in the spread of documents from its settings. */
import type { SpreadSelf } from '@drumdrift/core'
import type { Settings } from './settings/settings.js'

/**
 * Returns the settings that the spread of documents needs.
 *
 * @example
 * const spread = new Spread(spreadSelf(settings), Math.random, performance.now())
 */
export function spreadSelf (settings: Settings): SpreadSelf {
  return {
    instance: settings.text('process', 'instance'),
    availabilityZone: settings.text('process', 'availability-zone'),
    address: settings.text('process', 'address'),
    seeds: settings.list('peers', 'seeds'),
    source: settings.text('platform', 'source')
  }
}
