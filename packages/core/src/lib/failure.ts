/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Tagged values for every failure that crosses a module boundary. Callers match on `type`; operators search for the
 * stable `code` in log lines and HTTP responses.
 */

/** What is known about a request that did not receive a complete answer. */
export type Outcome = 'not-run' | 'unknown' | 'cut'

/** Stable error codes returned to callers; see docs/PROTOCOLS.md. */
export type RefusalCode =
  | 'overloaded' | 'deadline-passed' | 'unknown-model' | 'unknown-service' | 'unknown-organisation'
  | 'bad-request' | 'body-too-large' | 'no-endpoint' | 'already-claimed' | 'history-unknown' | 'id-conflict'
  | 'unknown-route' | 'timed-out' | 'outcome-unknown' | 'answer-cut' | 'leaving' | 'not-allowed' | 'engine-failed' | 'no-configuration' | 'records-full'
  | 'ends-endpoints' | 'endpoints-spared' | 'region-not-allowed' | 'zones-evacuated' | 'buffers-full' | 'gave-way'

/** A refusal or failure of a request, as returned to the caller. */
export interface RequestFailure {
  readonly type: 'request-failure'
  readonly code: RefusalCode
  readonly outcome: Outcome
  /** Milliseconds after which a retry may succeed; 0 if a retry is not useful. */
  readonly retryAfter: number
  readonly detail: string
}

/** Why a published document was rejected. */
export interface DocumentFailure {
  readonly type: 'document-failure'
  readonly reason: 'invalid' | 'wrong-source' | 'older'
  readonly detail: string
}

/** Why weights could not be fetched or verified. */
export interface WeightsFailure {
  readonly type: 'weights-failure'
  readonly reason: 'bad-manifest' | 'digest-mismatch' | 'wrong-length' | 'unavailable' | 'too-large'
  readonly detail: string
}

/** Why a peer's message or connection was rejected. */
export interface PeerFailure {
  readonly type: 'peer-failure'
  readonly reason: 'malformed' | 'oversized' | 'protocol-version' | 'wrong-key' | 'connection-lost' | 'timed-out' | 'refused'
  readonly detail: string
}

/** Why a settings file was rejected. */
export interface SettingsFailure {
  readonly type: 'settings-failure'
  readonly file: string
  readonly section: string
  readonly key: string
  readonly expected: string
}

/** Any failure that this system reports. */
export type Failure = RequestFailure | DocumentFailure | WeightsFailure | PeerFailure | SettingsFailure

/** An `Error` that carries a typed failure through promise chains. */
export class DrumdriftError extends Error {
  readonly failure: Failure

  constructor (failure: Failure) {
    super('detail' in failure ? failure.detail : failure.expected)
    this.name = 'DrumdriftError'
    this.failure = failure
  }
}

/**
 * Builds a request failure.
 *
 * @example
 * requestFailure('overloaded', 'not-run', 'queue is full', 2_000)
 */
export function requestFailure (code: RefusalCode, outcome: Outcome, detail: string, retryAfter = 0): RequestFailure {
  return { type: 'request-failure', code, outcome, retryAfter, detail }
}

/**
 * Extracts the failure from any thrown value. Unknown errors are reported as a lost connection, the most conservative
 * interpretation.
 *
 * @example
 * try { await call() } catch (error) { const failure = failureOf(error) }
 */
export function failureOf (error: unknown): Failure {
  if (error instanceof DrumdriftError) return error.failure
  const detail = error instanceof Error ? error.message : 'unknown error'
  return { type: 'peer-failure', reason: 'connection-lost', detail }
}
