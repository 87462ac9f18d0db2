/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What one soak saw: from callers, endpoints and the store, and which faults it caused. All times are of one clock, in milliseconds. */
import type { CallKind, SeenAnswer } from '@drumdrift/stand-ins'
import type { FaultKind } from './fault-plan.js'

/** One call of a caller, and what became of it. */
export interface CallRecord {
  readonly id: string
  readonly kind: CallKind
  readonly key: string
  /** The instance of the entry that it was sent to. */
  readonly entry: string
  readonly sentAt: number
  readonly endedAt: number
  readonly answer: SeenAnswer
}

/** One request that reached an endpoint. */
export interface EndpointArrival {
  readonly id: string
  readonly endpoint: string
  readonly service: string
  readonly at: number
  readonly ran: boolean
  /** The version of the endpoint's weights; 1 where it has none. */
  readonly version: number
}

/** Something that the store has acknowledged of an endpoint. */
export interface EndpointEnd {
  readonly endpoint: string
  readonly says: 'draining' | 'gone'
  readonly at: number
}

/** A configuration that was written. */
export interface ConfigurationWrite {
  readonly version: number
  readonly at: number
  /** The service that the moving route leads to. */
  readonly movingTo: string
  readonly keys: readonly string[]
}

/** A version that was named. */
export interface VersionNamed {
  readonly version: number
  readonly at: number
}

/** A version that an engine took over. */
export interface VersionLoad {
  readonly endpoint: string
  readonly version: number
  /** Whether all of it was there, unspoilt. */
  readonly whole: boolean
}

/** Whom a fault concerns: the store, a process by its instance, or an endpoint by its name. */
export type FaultTarget = 'store' | string

/** A fault while it lasted, and until what it concerns was well again. */
export interface Disturbance {
  readonly kind: FaultKind
  readonly target: FaultTarget
  readonly from: number
  readonly to: number
}

/** An end of a process. */
export interface ProcessEnd {
  /** The instance. */
  readonly process: string
  readonly at: number
  /** Whether the soak asked for it, and how. */
  readonly asked: 'stop' | 'kill' | 'nothing'
  /** Nothing when it was ended by a signal. */
  readonly code: number | null
  /** Since it was asked to stop; 0 when it was not. */
  readonly took: number
  /** Whether it had come up: it had written something since it was started. */
  readonly up: boolean
}

/** Everything that is judged. */
export interface Journal {
  readonly calls: readonly CallRecord[]
  readonly arrivals: readonly EndpointArrival[]
  readonly ends: readonly EndpointEnd[]
  readonly configurations: readonly ConfigurationWrite[]
  readonly versions: readonly VersionNamed[]
  readonly loads: readonly VersionLoad[]
  readonly disturbances: readonly Disturbance[]
  readonly processEnds: readonly ProcessEnd[]
  /** From when on no fault was caused any more. */
  readonly calmFrom: number
  /** Entries that took no new callers long after the last fault. */
  readonly unready: readonly string[]
}

/** How long an entry and the store have to have been undisturbed before a bound on time is held against the entry. */
export const SETTLE_TIME = 3_000

/**
 * Whether something disturbed one of some targets in a span.
 *
 * @example
 * const calm = !isDisturbed(journal, ['store', 'entry-1'], named.at, arrival.at)
 */
export function isDisturbed ({ disturbances }: Pick<Journal, 'disturbances'>, targets: readonly FaultTarget[], since: number, until: number): boolean {
  return disturbances.some(({ target, from, to }) => targets.includes(target) && from <= until && to >= since)
}

/**
 * Whether nothing disturbed an entry or the store within the settle time before a moment.
 *
 * @example
 * if (isSettled(journal, call.entry, call.sentAt)) holdToBounds(call)
 */
export function isSettled (journal: Pick<Journal, 'disturbances'>, entry: string, at: number): boolean {
  return !isDisturbed(journal, [entry, 'store'], at - SETTLE_TIME, at)
}
