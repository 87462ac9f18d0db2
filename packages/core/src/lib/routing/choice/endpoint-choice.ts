/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The requirements of a request on its endpoint, and the estimates for an endpoint that may be chosen for it.
 */
import type { LateTerms } from './late-placement.js'
import type { QueuePlace } from './queue-mix.js'
import type { EndpointRecord } from '../published/endpoint-record.js'

/** The location of an entry, and the mapping of availability zones to regions. */
export interface EntryLocation {
  readonly availabilityZone: string
  readonly regionOf: (availabilityZone: string) => string
  /** The region of a zone if the settings name it, for requests that may run in some regions only; by default `regionOf`. */
  readonly knownRegionOf?: ((availabilityZone: string) => string | undefined) | undefined
}

/** The requirements of a request on its endpoint. */
export interface EndpointRequirements {
  readonly promptTokens: number
  /** The expected number of tokens of the answer; 0 if unknown. */
  readonly answerTokens: number
  /** The model whose weights must be loaded; empty for plain services. */
  readonly model: string
  /** The least version that may start the request; 0 for any. */
  readonly leastVersion: number
  /** The time by which an endpoint that serves a version must have started the request; `undefined` for no bound. */
  readonly mustBeginBy: (version: number) => number | undefined
  /** The objective by which endpoints are compared, in milliseconds: see `comparedObjective`. */
  readonly usualObjective: number
  /** Its place in the queues of engines; `undefined` if the service's requests do not differ and it is in time. */
  readonly place?: QueuePlace | undefined
  /** The recent ratio of measured to modelled waits at its place; 1 by default. See `QueueWaits`. */
  readonly slowness?: number | undefined
  /** Set for a request that is late and waits behind those in time. */
  readonly late?: LateTerms | undefined
  /** Incarnations of endpoints that this request was already sent to. */
  readonly tried: ReadonlySet<string>
  /** The regions in which the request may run; `undefined` for all, which is the common case. */
  readonly allowedRegions?: ReadonlySet<string> | undefined
}

/**
 * Why placement rules leave no endpoint for a request, regardless of load and health: none is listed, none is in an allowed region, or
 * those that are belong to evacuated zones. `possible` if some endpoint is left.
 */
export type Placement = 'possible' | 'none-listed' | 'region-not-allowed' | 'zones-evacuated'

/** A chosen endpoint. */
export interface ChosenEndpoint {
  readonly record: EndpointRecord
  /** The expected time to the first event, or to the complete answer, in milliseconds. */
  readonly expected: number
  /**
   * The expected time for a prompt of at most typical size. Admission uses this estimate, since large requests would otherwise be
   * rejected first, although they are worth more.
   */
  readonly expectedOfUsual: number
  /** The version that it is assumed to serve; 0 for plain services. */
  readonly version: number
  /** The age of its last load report, in milliseconds; infinite if there is none. */
  readonly reportAge: number
  /** The longest round trip time of the last seconds, in milliseconds; 0 if it was not measured. */
  readonly roundTrip: number
  /** The number of endpoints that could have been chosen. */
  readonly candidates: number
}

/** An endpoint that may be chosen. */
export type EndpointCandidate = Omit<ChosenEndpoint, 'expectedOfUsual'>
