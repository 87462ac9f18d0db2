/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * drumdrift as a library: settings, the two processes, and the modules that tools build on.
 *
 * @packageDocumentation
 */
export * from './lib/agent/agent.js'
export * from './lib/agent/digest.js'
export * from './lib/entry/entry.js'
export * from './lib/observe/bounded-output.js'
export * from './lib/observe/histograms.js'
export * from './lib/observe/log.js'
export * from './lib/observe/metrics.js'
export * from './lib/operator/language.js'
export * from './lib/peer/connection.js'
export * from './lib/peer/frame.js'
export * from './lib/peer/pool.js'
export * from './lib/peer/server.js'
export * from './lib/platform/http-client.js'
export * from './lib/settings/address.js'
export * from './lib/settings/or-exit.js'
export * from './lib/settings/page.js'
export * from './lib/settings/schema.js'
export * from './lib/settings/settings.js'
export * from './lib/agent/endpoint-words.js'
export * from './lib/agent/engine-client.js'
export * from './lib/platform/platform-client.js'
export * from './lib/own-daemons.js'
export * from './lib/run-daemon.js'
export * from './lib/routing/endpoint-call.js'
export * from './lib/routing/placed-staging.js'
export * from './lib/routing/ports.js'
export * from './lib/routing/published-feed.js'
export * from './lib/routing/route-entry.js'
export * from './lib/routing/weights-agent.js'
