/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What a request needs of its endpoint, and what is expected of an endpoint that might be chosen for it.
 */
import type { EndpointRecord } from '../published/endpoint-record.js'

/** Where an entry stands, and which region each zone belongs to. */
export interface Place {
  readonly availabilityZone: string
  readonly regionOf: (availabilityZone: string) => string
}

/** What a request needs of its endpoint. */
export interface Need {
  readonly promptTokens: number
  /** Tokens that the answer is expected to have; 0 where nothing is known. */
  readonly answerTokens: number
  /** The model whose weights must be loaded; empty for plain services. */
  readonly model: string
  /** The least version that may begin the request; 0 for any. */
  readonly leastVersion: number
  /** When an endpoint that serves a version must have begun; nothing for no bound. */
  readonly mustBeginBy: (version: number) => number | undefined
  /** What requests of the service want on average, in milliseconds: see `UsualObjective`. */
  readonly usualObjective: number
  /** Starts of endpoints that have had this request. */
  readonly tried: ReadonlySet<string>
}

/** A chosen endpoint. */
export interface Choice {
  readonly record: EndpointRecord
  /** Milliseconds until the first event, or the whole answer, is expected. */
  readonly expected: number
  /**
   * The same for a request whose prompt is of usual size at most. Requests are admitted by this, since large ones would
   * otherwise be the first to be refused, and they are worth more.
   */
  readonly expectedOfUsual: number
  /** The version that it is taken to serve; 0 for plain services. */
  readonly version: number
  /** The age of what it reported of its load, in milliseconds; infinite for none. */
  readonly reportAge: number
  /** The longest way there and back of the last seconds, in milliseconds; 0 when it is not measured. */
  readonly roundTrip: number
  /** Endpoints that could have been chosen. */
  readonly candidates: number
}

/** An endpoint that might be chosen. */
export type EndpointCandidate = Omit<Choice, 'expectedOfUsual'>
