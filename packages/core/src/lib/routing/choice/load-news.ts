/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Whether a report of an engine's load says anything that those who have the one before do not already expect. Every
 * report goes to every entry, so those that say nothing are most of what control costs on small instances.
 */
import type { LoadReport } from './endpoint-load.js'

/** Prompt tokens that a report may be wrong by: about half a prompt of usual size, some 25 ms of reading. */
const UNREAD_TOLERANCE = 500
/** A free slot more or less matters little while so many are free. */
const SLOTS_NEARLY_FULL = 3
const RUNNING_TOLERANCE = 1
/** An engine may open so much sooner or later than told, in milliseconds: callers come back spread over more. */
const OPENING_TOLERANCE = 300
/** An engine may stop to take new work so much sooner or later than told, in milliseconds: a look of its agent or two. */
const CLOSING_TOLERANCE = 150
/** The share by which the pace may change untold. */
const PACE_TOLERANCE = 0.05

/** What the comparison rests on. */
export interface LoadExpectation {
  /** The report that was told last. */
  readonly told: LoadReport
  /** Milliseconds since then. */
  readonly age: number
  /** Prompt tokens that the engine reads in a millisecond. */
  readonly readRate: number
  /** Requests that it runs at once. */
  readonly slots: number
}

/**
 * Compares a new report with what was told.
 *
 * @example
 * if (isLoadNews(load, { told, age: 100, readRate: 20, slots: 16 })) tell(load)
 */
export function isLoadNews (load: LoadReport, { told, age, readRate, slots }: LoadExpectation): boolean {
  if (load.born !== told.born || load.version !== told.version || load.accepting !== told.accepting || load.waiting !== told.waiting) return true
  if ((load.closesIn === undefined) !== (told.closesIn === undefined)) return true
  if ((load.opensIn === undefined) !== (told.opensIn === undefined)) return true
  if (hasMoved(load.opensIn, told.opensIn, age, OPENING_TOLERANCE)) return true
  if (hasMoved(load.closesIn, told.closesIn, age, CLOSING_TOLERANCE)) return true
  if (Math.abs(load.pace - told.pace) > PACE_TOLERANCE * told.pace) return true
  const expectedUnread = Math.max(0, (told.unreadTokens ?? 0) - age * readRate)
  if (Math.abs((load.unreadTokens ?? 0) - expectedUnread) > UNREAD_TOLERANCE) return true
  const nearlyFull = Math.max(load.running, told.running) >= slots - SLOTS_NEARLY_FULL
  return Math.abs(load.running - told.running) > (nearlyFull ? 0 : RUNNING_TOLERANCE)
}

/** Whether a moment that was told to be so far ahead is now expected sooner or later than that. */
function hasMoved (ahead: number | undefined, told: number | undefined, age: number, tolerance: number): boolean {
  return Math.abs((ahead ?? 0) - Math.max(0, (told ?? 0) - age)) > tolerance
}
