/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides whether a load report differs enough from what its receivers extrapolate from the previous one to be sent. Every report
 * goes to every follower, so redundant reports would be most of the control traffic's cost on small instances.
 */
import type { LoadReport } from './endpoint-load.js'

/** Tolerated error of the unread prompt tokens: about half a prompt of typical size, or 25 ms of prefill. */
const UNREAD_TOLERANCE = 500
/** With at most this many free slots, every change of the number of running requests is reported. */
const FEW_FREE_SLOTS = 3
/** Tolerated change of the number of running requests while more slots are free and one request matters little. */
const RUNNING_TOLERANCE = 1
/** Tolerated shift of an engine's opening, in milliseconds: the retries of callers are spread over a longer time. */
const OPENING_TOLERANCE = 300
/** Tolerated shift of the time at which an engine stops accepting requests, in milliseconds: one or two polls of its agent. */
const CLOSING_TOLERANCE = 150
/** Tolerated relative change of the pace. */
const PACE_TOLERANCE = 0.05

/** The inputs of the comparison. */
export interface LoadComparison {
  /** The report that was sent last. */
  readonly told: LoadReport
  /** Milliseconds since it was sent. */
  readonly age: number
  /** The engine's prefill rate, in prompt tokens per millisecond. */
  readonly readRate: number
  /** The number of requests that the engine can run concurrently. */
  readonly slots: number
}

/**
 * Whether a new report must be sent, compared with what receivers expect from the last one.
 *
 * @example
 * if (shouldSendReport(load, { told, age: 100, readRate: 20, slots: 16 })) send(load)
 */
export function shouldSendReport (load: LoadReport, { told, age, readRate, slots }: LoadComparison): boolean {
  if (load.born !== told.born || load.version !== told.version || load.accepting !== told.accepting || load.verified !== told.verified || load.waiting !== told.waiting) return true
  if ((load.closesIn === undefined) !== (told.closesIn === undefined)) return true
  if ((load.opensIn === undefined) !== (told.opensIn === undefined)) return true
  if (hasShifted(load.opensIn, told.opensIn, age, OPENING_TOLERANCE)) return true
  if (hasShifted(load.closesIn, told.closesIn, age, CLOSING_TOLERANCE)) return true
  if (Math.abs(load.pace - told.pace) > PACE_TOLERANCE * told.pace) return true
  const expectedUnread = Math.max(0, (told.unreadTokens ?? 0) - age * readRate)
  if (Math.abs((load.unreadTokens ?? 0) - expectedUnread) > UNREAD_TOLERANCE) return true
  const nearlyFull = Math.max(load.running, told.running) >= slots - FEW_FREE_SLOTS
  return Math.abs(load.running - told.running) > (nearlyFull ? 0 : RUNNING_TOLERANCE)
}

/** Whether a planned time has moved by more than the tolerance from the time that was reported. */
function hasShifted (planned: number | undefined, reported: number | undefined, age: number, tolerance: number): boolean {
  return Math.abs((planned ?? 0) - Math.max(0, (reported ?? 0) - age)) > tolerance
}
