/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Policies on suspect requests, for the model of a fleet. */
import { SuspectRequests, type SuspectStatus } from '@drumdrift/core'

/** The prefix of the fingerprints of fatal requests. */
export const FATAL = 'fa'

/** Never suspects a request. */
class NeverSuspects extends SuspectRequests {
  override standing (): SuspectStatus { return 'clear' }
}

/** Recognises fatal requests in advance. */
class Omniscient extends SuspectRequests {
  override standing (fingerprint: string): SuspectStatus { return fingerprint.startsWith(FATAL) ? 'held-back' : 'clear' }
}

/** How entries treat suspect requests. */
export interface SuspectPolicy {
  readonly suspects: () => SuspectRequests
  /** Whether entries share reports of suspect requests through agents. */
  readonly shares: boolean
  /** Whether entries confirm the crash of an endpoint by connecting to it. */
  readonly probes: boolean
  /** Whether prompts are evaluated by their parts. */
  readonly parts: boolean
  /** Whether a request that was lost is retried although a part of its prompt was not answered lately. */
  readonly retriesUnknownParts: boolean
}

/** The policies that are compared; the product's own is `whole-fleet`. */
export const suspectPolicies = {
  none: { suspects: () => new NeverSuspects(), shares: false, probes: false, parts: true, retriesUnknownParts: true },
  'each-entry-alone': { suspects: () => new SuspectRequests(), shares: false, probes: true, parts: true, retriesUnknownParts: true },
  'whole-requests': { suspects: () => new SuspectRequests(), shares: true, probes: true, parts: false, retriesUnknownParts: true },
  'crashes-awaited': { suspects: () => new SuspectRequests(), shares: true, probes: false, parts: true, retriesUnknownParts: true },
  'unknown-parts-once': { suspects: () => new SuspectRequests(), shares: true, probes: true, parts: true, retriesUnknownParts: false },
  'whole-fleet': { suspects: () => new SuspectRequests(), shares: true, probes: true, parts: true, retriesUnknownParts: true },
  oracle: { suspects: () => new Omniscient(), shares: false, probes: false, parts: true, retriesUnknownParts: true }
} satisfies Record<string, SuspectPolicy>

/** The name of a policy. */
export type SuspectPolicyName = keyof typeof suspectPolicies
