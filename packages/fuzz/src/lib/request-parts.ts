/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The parts of the request world that a variant may replace by one that lacks a protection. */
import { AdmissionDoor, AnswerStream, ClaimKeeper, keepersOf, OnceAttempt, type KeeperPolicy, type Keepers } from '@drumdrift/core'

/** The parts whose protections a variant may remove. */
export interface RequestParts {
  readonly door: (incarnation: string, slots: number) => AdmissionDoor
  readonly keeper: (incarnation: string, policy: KeeperPolicy) => ClaimKeeper
  readonly keepers: (agents: readonly string[], organisation: string, id: string) => Keepers
  readonly attempt: (name: string, agent: string, keepers: Keepers, bodyDigest: string) => OnceAttempt
  readonly stream: () => AnswerStream<string>
  /** Whether an agent drains when the instance list marks it as leaving. */
  readonly heedsList: boolean
  /** Whether frames are bound to the call that they answer; otherwise, late frames go to the entry's newest call. */
  readonly framesByCall: boolean
  /** How long a planned stop waits for requests in progress, in milliseconds; Infinity for no limit. */
  readonly stopPatience: number
  /** The outcome that an unanswered attempt is reported as. */
  readonly lostMeans: 'unknown' | 'not-run'
}

/** The product's own parts. */
export const realRequestParts: RequestParts = {
  door: (incarnation, slots) => new AdmissionDoor(incarnation, slots),
  keeper: (incarnation, policy) => new ClaimKeeper(incarnation, policy),
  keepers: keepersOf,
  attempt: (name, agent, keepers, bodyDigest) => new OnceAttempt(name, agent, keepers, bodyDigest),
  stream: () => new AnswerStream<string>(),
  heedsList: true,
  framesByCall: true,
  stopPatience: Infinity,
  lostMeans: 'unknown'
}
