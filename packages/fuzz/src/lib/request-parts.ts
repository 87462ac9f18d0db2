/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The parts of the request world that a variant may replace by one that lacks a protection. */
import { AdmissionController, AnswerStream, ClaimKeeper, keepersOf, OnceAttempt, type KeeperPolicy, type Keepers } from '@drumdrift/core'

/** The parts whose protections a variant may remove. */
export interface RequestParts {
  readonly admissionController: (incarnation: string, slots: number) => AdmissionController
  readonly keeper: (incarnation: string, policy: KeeperPolicy) => ClaimKeeper
  readonly keepers: (agents: readonly string[], organisation: string, id: string) => Keepers
  readonly attempt: (name: string, agent: string, keepers: Keepers, bodyDigest: string) => OnceAttempt
  readonly stream: () => AnswerStream<string>
  /** Whether an agent drains when the instance list marks it as leaving. */
  readonly followsInstanceList: boolean
  /** Whether frames are bound to the call that they answer; otherwise, late frames go to the entry's newest call. */
  readonly bindsFramesToCall: boolean
  /** How long a planned stop waits for requests in progress, in milliseconds; Infinity for no limit. */
  readonly stopTimeout: number
  /** The outcome that an unanswered attempt is reported as. */
  readonly lostOutcome: 'unknown' | 'not-run'
}

/** The product's own parts. */
export const realRequestParts: RequestParts = {
  admissionController: (incarnation, slots) => new AdmissionController(incarnation, slots),
  keeper: (incarnation, policy) => new ClaimKeeper(incarnation, policy),
  keepers: keepersOf,
  attempt: (name, agent, keepers, bodyDigest) => new OnceAttempt(name, agent, keepers, bodyDigest),
  stream: () => new AnswerStream<string>(),
  followsInstanceList: true,
  bindsFramesToCall: true,
  stopTimeout: Infinity,
  lostOutcome: 'unknown'
}
