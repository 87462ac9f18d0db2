/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Who takes part in the world of requests, and what is kept of each request for the oracles. */
import type { AdmissionDoor, ClaimKeeper, Outcome } from '@drumdrift/core'
import type { Process } from './world.js'

/** An agent, as the world and its oracles see it. */
export interface Agent {
  process: Process
  door: AdmissionDoor
  keeper: ClaimKeeper
  stopping: boolean
  /** Since when the agent's leaving was known where it could hear of it; Infinity if it is not leaving. */
  leavingSince: number
  /** Requests that this incarnation has dispatched and not finished, by the oracle's own count. */
  unfinished: number
}

/** An entry. */
export interface Entry {
  process: Process
  readonly leaving: Set<string>
  attempts: number
  /** Where the frames of the newest call go. */
  newest: FrameSink | undefined
}

/** Where the frames of one answer arrive. */
export interface FrameSink {
  part (part: { sequence: number, data: string }): void
  end (count: number): void
}

/** One request of a caller, and what it was told. */
export interface Submission {
  readonly number: number
  readonly id: string
  readonly neverRepeat: boolean
  /** By the entry's own clock: no attempt begins after it. */
  readonly deadline: number
  told: 'whole' | Outcome | undefined
  /** Runs at endpoints that this submission caused. */
  runs: number
  text: string
}

/** The answer that a request must get. */
export function partsOf (id: string): string[] {
  return [0, 1, 2, 3].map(index => `${id}.${index};`)
}
