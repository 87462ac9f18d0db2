/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides for one service at one entry whether a request starts in time, waits as a late one, or is refused. A request that cannot be in
 * time, but can still be answered before its caller's deadline, is worth more than a refusal, as long as it delays none in time.
 */
import type { ChosenEndpoint, EndpointRequirements } from '../choice/endpoint-choice.js'
import type { QueuePlace } from '../choice/queue-mix.js'
import type { ServiceDescription } from '../published/routing-configuration.js'
import { AdmissionOrder, type RequestRank } from './admission-order.js'
import { decideAdmission } from './early-refusal.js'
import { QueueWaits } from './queue-waits.js'

/** A request for admission; times in milliseconds. */
export interface AdmissionRequest extends RequestRank {
  readonly service: ServiceDescription
  readonly need: EndpointRequirements
  /** The route's objective. */
  readonly objective: number
  /** The time until the caller's deadline. */
  readonly timeLeft: number
  /** The time since the caller's first try. */
  readonly sinceFirstTry: number
}

/** How a request is admitted. */
export type RequestAdmission =
  | { readonly type: 'in-time' | 'late', readonly choice: ChosenEndpoint }
  /** No endpoint may take it. */
  | { readonly type: 'no-endpoint' }
  /** Every endpoint is expected to answer too late; `expected` is the time at the best one. */
  | { readonly type: 'overloaded', readonly expected: number }
  /** It could be in time, but gives way to others, and no engine has a later turn for it. */
  | { readonly type: 'gave-way', readonly expected: number }

/** Chooses an endpoint: see `EndpointChooser`. */
export interface AdmissionChooser {
  choose (service: ServiceDescription, need: EndpointRequirements, now: number): ChosenEndpoint | undefined
}

/** A request has returned after a refusal if its caller's first try is at least this long ago; deadlines vary by less. */
const MIN_RETURN_TIME = 50
/** A plain answer must be expected within this share of the remaining time; its endpoint rejects it at once if it is full. */
const PLAIN_DEADLINE_SHARE = 0.8

/** The admission to one service at one entry. */
export class ServiceAdmission {
  readonly order = new AdmissionOrder()
  /** By the urgency that engines are told. */
  private readonly _waits = new Map<number, QueueWaits>()

  constructor (private readonly _chooser: AdmissionChooser) {}

  /**
   * Decides on a new request.
   *
   * @example
   * const admission = unit.admission.decide({ service, need, objective: 402, timeLeft: 5_900, sinceFirstTry: 0, urgency: 1, organisation: 'north' }, now)
   */
  decide (request: AdmissionRequest, now: number): RequestAdmission {
    const { service, objective } = request
    const need = this.need(request, false, now)
    const choice = this._chooser.choose(service, need, now)
    if (choice === undefined) return { type: 'no-endpoint' }
    const input = { expected: choice.expectedOfUsual, objective, usualObjective: need.usualObjective }
    const hasRoom = decideAdmission(input).type === 'start'
    if (service.pool !== undefined) this.order.observe(request.organisation, hasRoom, now)
    if (hasRoom && decideAdmission({ ...input, boundFactor: service.pool === undefined ? 1 : this.order.boundFactor(request, now) }).type === 'start') return { type: 'in-time', choice }
    const late = this._chooseLate(request, choice, now)
    return late === undefined ? { type: hasRoom ? 'gave-way' : 'overloaded', expected: choice.expected } : { type: 'late', choice: late }
  }

  /** The requirements of a request with its place in the queues of engines. */
  need ({ need, timeLeft, sinceFirstTry, urgency }: Pick<AdmissionRequest, 'need' | 'timeLeft' | 'sinceFirstTry' | 'urgency'>, late: boolean, now: number): EndpointRequirements {
    const place = this.order.place(urgency, late)
    const slowness = this._slownessAt(place, now)
    return late ? { ...need, place, slowness, late: { timeLeft, returned: sinceFirstTry >= MIN_RETURN_TIME, position: this.order.position(urgency), shortage: this.order.shortage(now) } } : { ...need, place, slowness }
  }

  /** Records that a request was sent, with the time to its first event that was expected. */
  sent (request: string, place: QueuePlace, expected: number, now: number): void { if (this._passes(place)) this._waitsOf(place.urgency).sent(request, expected, now) }

  /** Records that a request has begun. */
  begun (request: string, now: number): void { for (const waits of this._waits.values()) waits.begun(request, now) }

  /** Records that an attempt has ended, whether it had begun or not. */
  ended (request: string, now: number): void { for (const waits of this._waits.values()) waits.ended(request, now) }

  /** Whether requests of a place may be passed by others. */
  private _passes ({ urgency, late }: QueuePlace): boolean { return late || this.order.isPassed(urgency) }

  private _slownessAt (place: QueuePlace, now: number): number {
    const slowness = this._passes(place) ? this._waits.get(place.urgency)?.slowness(now) ?? 1 : 1
    return place.late ? slowness : Math.max(1, slowness)
  }

  private _waitsOf (urgency: number): QueueWaits {
    const waits = this._waits.get(urgency) ?? new QueueWaits()
    this._waits.set(urgency, waits)
    return waits
  }

  /** The urgency that an engine is told: of every request if the service's requests differ, and of late ones; otherwise `undefined`. */
  urgencyFor (urgency: number, late: boolean): number | undefined {
    return late || this.order.differs ? this.order.place(urgency, late).urgency : undefined
  }

  private _chooseLate (request: AdmissionRequest, choice: ChosenEndpoint, now: number): ChosenEndpoint | undefined {
    const { service, timeLeft } = request
    if (service.pool === undefined) return choice.expected <= PLAIN_DEADLINE_SHARE * timeLeft ? choice : undefined
    return this._chooser.choose(service, this.need(request, true, now), now)
  }
}
