/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The participants of the request world, and the record of each request that the oracles check. */
import type { AdmissionController, ClaimKeeper, Outcome } from '@drumdrift/core'
import type { Process } from './world.js'

/** An agent with the state that the oracles need. */
export interface Agent {
  process: Process
  admissionController: AdmissionController
  keeper: ClaimKeeper
  stopping: boolean
  /** When the agent first received the notice that it drains; Infinity if it does not drain. */
  drainingSince: number
  /** Requests that this incarnation has dispatched and not finished, counted independently of the agent. */
  unfinished: number
}

/** An entry. */
export interface Entry {
  process: Process
  readonly leaving: Set<string>
  attempts: number
  /** Receives the frames of the newest call. */
  newestSink: FrameSink | undefined
}

/** Receives the frames of one answer. */
export interface FrameSink {
  part (part: { sequence: number, data: string }): void
  end (count: number): void
}

/** One request of a caller, and its outcome as reported to the caller. */
export interface Submission {
  readonly number: number
  readonly id: string
  readonly neverRepeat: boolean
  /** By the entry's own clock; no attempt begins after it. */
  readonly deadline: number
  outcome: 'whole' | Outcome | undefined
  /** Number of executions at endpoints that this submission caused. */
  runs: number
  text: string
}

/** Returns the parts of the correct answer to a request. */
export function expectedParts (id: string): string[] {
  return [0, 1, 2, 3].map(index => `${id}.${index};`)
}
