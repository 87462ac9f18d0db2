/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The decisions of drumdrift, without input or output.
 *
 * @packageDocumentation
 */
export * from './lib/admission.js'
export * from './lib/answer-stream.js'
export * from './lib/choice.js'
export * from './lib/chunk-tree.js'
export * from './lib/claims.js'
export * from './lib/concurrency-limit.js'
export * from './lib/documents.js'
export * from './lib/ejection.js'
export * from './lib/failure.js'
export * from './lib/fair-queue.js'
export * from './lib/lifecycle.js'
export * from './lib/messages.js'
export * from './lib/once-attempt.js'
export * from './lib/rendezvous.js'
export * from './lib/retry-budget.js'
export * from './lib/revision-ledger.js'
export * from './lib/rollout.js'
export * from './lib/spread.js'
export * from './lib/token-bucket.js'
export * from './lib/transfer.js'
export * from './lib/link-pacer.js'
export * from './lib/issued-id.js'
export * from './lib/engine-switch.js'
export * from './lib/joining.js'
export * from './lib/list-change.js'
export * from './lib/subset.js'
export * from './lib/neighbourhood.js'
export * from './lib/routing/attempt-course.js'
export * from './lib/routing/endpoint-chooser.js'
export * from './lib/routing/endpoint-load.js'
export * from './lib/routing/engine-model.js'
export * from './lib/routing/load-news.js'
export * from './lib/routing/event-splitter.js'
export * from './lib/routing/even-choice.js'
export * from './lib/routing/request-rate.js'
export * from './lib/routing/published-state.js'
export * from './lib/routing/routing-configuration.js'
export * from './lib/routing/chunk-places.js'
export * from './lib/routing/chunk-swarm.js'
export * from './lib/routing/swarm-policy.js'
export * from './lib/routing/early-refusal.js'
export * from './lib/routing/unread-tokens.js'
export * from './lib/routing/version-overlap.js'
export * from './lib/routing/version-switch.js'
