/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The real parts of the request world, which a variant may replace by one that lacks a protection. */
import { AdmissionDoor, AnswerStream, ClaimKeeper, keepersOf, OnceAttempt, type KeeperPolicy, type Keepers } from '@drumdrift/core'

/** The parts whose protections a variant may take out. */
export interface RequestParts {
  readonly door: (incarnation: string, slots: number) => AdmissionDoor
  readonly keeper: (incarnation: string, policy: KeeperPolicy) => ClaimKeeper
  readonly keepers: (agents: readonly string[], organisation: string, id: string) => Keepers
  readonly attempt: (name: string, agent: string, keepers: Keepers, bodyDigest: string) => OnceAttempt
  readonly stream: () => AnswerStream<string>
  /** Whether an agent that is told of its leaving by the instance list heeds it. */
  readonly heedsList: boolean
  /** Whether a late frame may reach another request than its own. */
  readonly framesByCall: boolean
  /** How long a planned stop waits for what runs; Infinity for as long as it takes. */
  readonly stopPatience: number
  /** What an attempt that was not answered counts as. */
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
