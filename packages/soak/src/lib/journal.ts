/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Records of one soak from callers, endpoints and the store, and the faults injected. All times are in milliseconds of `performance.now()`. */
import type { AnswerShape, CallKind, CallerResponse, Reading, WrongPiece } from '@drumdrift/stand-ins'
import type { FaultKind } from './fault-plan.js'

/** A call and its result. */
export interface CallRecord {
  readonly id: string
  readonly kind: CallKind
  readonly key: string
  /** Instance of the entry that received the call. */
  readonly entry: string
  readonly sentAt: number
  readonly endedAt: number
  /** The response, with each padding in its body replaced by its length. */
  readonly answer: CallerResponse
  /** Shape of the answer that the caller asked for; `undefined` for the usual one. For a plain answer, the number of events is 1. */
  readonly shape?: AnswerShape | undefined
  /** How the caller reads; `undefined` if at once. */
  readonly reading?: Reading | undefined
}

/** A request that an endpoint received. */
export interface EndpointArrival {
  readonly id: string
  readonly endpoint: string
  readonly service: string
  readonly at: number
  /** When the endpoint started to run the request, after it had waited in its queue. */
  readonly begunAt: number
  readonly ran: boolean
  /** Version of the endpoint's weights at `begunAt`; 1 for a plain service. */
  readonly version: number
}

/** A drain or removal of an endpoint that the store has acknowledged. */
export interface EndpointDeparture {
  readonly endpoint: string
  readonly kind: 'draining' | 'gone'
  readonly at: number
}

/** A write of the configuration. */
export interface ConfigurationWrite {
  readonly version: number
  readonly at: number
  /** Target service of the route `moving`. */
  readonly movingTo: string
  readonly keys: readonly string[]
}

/** A published version of the model. */
export interface PublishedVersion {
  readonly version: number
  readonly at: number
}

/** A version that an engine switched to. */
export interface VersionLoad {
  readonly endpoint: string
  readonly version: number
  readonly at: number
  /** The pieces that were missing, corrupted or of another version. */
  readonly wrongPieces: readonly WrongPiece[]
}

/** Target of a fault: the store, links that several processes use, a process by its instance, or an endpoint by its name. */
export type FaultTarget = 'store' | 'links' | string

/** An injected fault, from its start until its target has recovered. */
export interface Disturbance {
  readonly kind: FaultKind
  readonly target: FaultTarget
  readonly from: number
  readonly to: number
}

/** An exit of a process. */
export interface ProcessExit {
  /** Instance of the process. */
  readonly process: string
  readonly at: number
  /** How the soak ended the process; `nothing` if it exited by itself. */
  readonly exitRequest: 'stop' | 'kill' | 'nothing'
  /** Exit code; `null` if a signal ended the process. */
  readonly code: number | null
  /** Time from the stop request to the exit; 0 without a request. */
  readonly took: number
  /** Whether the process had started up, which is taken from output since its start. */
  readonly startedUp: boolean
}

/** All records that the promises are checked against. */
export interface Journal {
  readonly calls: readonly CallRecord[]
  readonly arrivals: readonly EndpointArrival[]
  readonly departures: readonly EndpointDeparture[]
  readonly configurations: readonly ConfigurationWrite[]
  readonly versions: readonly PublishedVersion[]
  readonly loads: readonly VersionLoad[]
  readonly disturbances: readonly Disturbance[]
  readonly processExits: readonly ProcessExit[]
  /** Time after which no fault was injected. */
  readonly faultsEndedAt: number
  /** Entries that accepted no new callers at the end of the calm period after the last fault. */
  readonly unready: readonly string[]
  /** Engines that did not have the newest version at the end of that period. */
  readonly outdated: readonly string[]
}

/**
 * Returns the name of an endpoint from the id of one of its starts.
 *
 * @example
 * endpointNameOf('desk-1.2') // 'desk-1'
 */
export function endpointNameOf (start: string): string { return start.replace(/\.\d+$/, '') }

/** Start of the targets that are crowds. */
const CROWD_TARGET = 'crowd-at-'

/**
 * Returns the target of a crowd at an entry.
 *
 * @example
 * crowdTargetOf('entry-1') // 'crowd-at-entry-1'
 */
export function crowdTargetOf (entry: string): FaultTarget { return `${CROWD_TARGET}${entry}` }

/** Returns the entry that a crowd is at; `undefined` for other targets. */
export function crowdedEntryOf (target: FaultTarget): string | undefined { return target.startsWith(CROWD_TARGET) ? target.slice(CROWD_TARGET.length) : undefined }

/** Bound of a version, in milliseconds. */
export const VERSION_BOUND_MILLISECONDS = 3_000
/** Time without faults of an entry and the store after which bounds on time apply to the entry, in milliseconds. */
export const SETTLE_MILLISECONDS = 3_000

/**
 * Returns whether a fault affected one of the targets in a time span.
 *
 * @example
 * const calm = !isDisturbed(journal, ['store', 'entry-1'], named.at, arrival.at)
 */
export function isDisturbed ({ disturbances }: Pick<Journal, 'disturbances'>, targets: readonly FaultTarget[], since: number, until: number): boolean {
  return disturbances.some(({ target, from, to }) => targets.includes(target) && from <= until && to >= since)
}

/**
 * Returns whether no fault affected an entry, links of several processes or the store within the settle time before a point in time.
 *
 * @example
 * if (isSettled(journal, call.entry, call.sentAt)) holdToBounds(call)
 */
export function isSettled (journal: Pick<Journal, 'disturbances'>, entry: string, at: number): boolean {
  return !isDisturbed(journal, [entry, 'links', 'store'], at - SETTLE_MILLISECONDS, at)
}
