/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-ins for the platform and for endpoints, for tests and benchmarks. @packageDocumentation */
export * from './lib/endpoint-host-client.js'
export * from './lib/host-messages.js'
export * from './lib/http-service.js'
export * from './lib/link.js'
export * from './lib/model-engine.js'
export * from './lib/plain-service.js'
export * from './lib/ports.js'
export * from './lib/published-service.js'
export * from './lib/poisson-arrivals.js'
export * from './lib/seeded-random.js'
export * from './lib/shared-link.js'
export * from './lib/unanswering-listener.js'
export * from './lib/weight-source.js'
export * from './lib/users-platform/answer-shape.js'
export * from './lib/users-platform/caller.js'
export * from './lib/users-platform/configuration.js'
export * from './lib/users-platform/early-answer-service.js'
export * from './lib/users-platform/endless-service.js'
export * from './lib/users-platform/endless-services.js'
export type * from './lib/users-platform/endless-services-thread.js'
export * from './lib/users-platform/key-value-store.js'
export * from './lib/users-platform/weights-origin.js'
export * from './lib/users-platform/open-load.js'
export * from './lib/users-platform/raw-clients.js'
export * from './lib/users-platform/restarting-workers.js'
export * from './lib/users-platform/worker.js'
export * from './lib/weights.js'
