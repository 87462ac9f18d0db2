/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Soak test of the production programs under injected faults.
 *
 * @packageDocumentation
 */
export * from './lib/fault-plan.js'
export * from './lib/journal.js'
export * from './lib/promises.js'
export * from './lib/soak-options.js'
export * from './lib/soak-run.js'
