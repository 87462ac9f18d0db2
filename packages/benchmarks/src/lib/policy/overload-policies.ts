/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Admission policies that the simulation of overload compares: the product's, the rule before it, and first come, first served. */
import { decideAdmission, EndpointChooser, retryAfter, ServiceAdmission, UsualObjective, type ChosenEndpoint, type EndpointRequirements, type LoadReport, type PoolDescription, type QueuePlace, type ServiceDescription } from '@drumdrift/core'
import { recordOf, MODEL, ZONE } from './policies.js'

/** The names of the admission policies. */
export const overloadPolicyNames = ['ordered', 'in-time-only', 'first-come'] as const
/** The name of an admission policy. */
export type OverloadPolicyName = typeof overloadPolicyNames[number]

/** A request to be placed; times in milliseconds of virtual time. */
export interface OverloadRequest {
  readonly id: string
  readonly promptTokens: number
  readonly answerTokens: number
  /** The caller's estimate of the answer's length. */
  readonly hint: number
  readonly urgency: number
  readonly objective: number
  readonly organisation: string
  readonly firstTryAt: number
  readonly deadline: number
}

/** Where a request is sent, and the urgency that the engine is told. */
export interface Placement {
  readonly engine: number
  readonly urgency: number | undefined
}

/** The inputs of a policy. */
export interface OverloadInputs {
  readonly pool: PoolDescription
  readonly engines: readonly number[]
  readonly random: () => number
  readonly urgencies: readonly number[]
}

/** The admission of one entry. */
export interface OverloadEntry {
  /** Returns `undefined` to refuse the request. */
  place (request: OverloadRequest, tried: ReadonlySet<number>, now: number): Placement | undefined
  begun (engine: number, id: string, now: number): void
  ended (engine: number, id: string, outcome: 'served' | 'refused', now: number): void
  reportReceived (engine: number, report: LoadReport, now: number): void
  sentRate (now: number): number
  /** The retry delay of a refused caller; by default, that of the rule before. */
  retryDelay? (request: OverloadRequest, now: number): number
}

/** Uses the product's chooser; the subclasses decide on admission. */
abstract class ChoosingEntry implements OverloadEntry {
  protected readonly chooser: EndpointChooser
  protected readonly service: ServiceDescription
  private readonly _usual = new UsualObjective()
  private readonly _choices = new Map<string, ChosenEndpoint>()

  constructor (protected readonly inputs: OverloadInputs) {
    this.chooser = new EndpointChooser({ availabilityZone: ZONE, regionOf: zone => zone }, inputs.random)
    this.chooser.setRecords(inputs.engines.map(recordOf))
    this.service = { name: 'pool', maxConnections: Infinity, pool: inputs.pool }
  }

  protected abstract decide (request: OverloadRequest, need: EndpointRequirements, isFirst: boolean, now: number): { readonly choice: ChosenEndpoint, readonly urgency: number | undefined, readonly place?: QueuePlace | undefined } | undefined

  place (request: OverloadRequest, tried: ReadonlySet<number>, now: number): Placement | undefined {
    const usualObjective = this._usual.observe(request.objective)
    const need = { promptTokens: request.promptTokens, answerTokens: request.hint, model: MODEL, leastVersion: 0, mustBeginBy: () => undefined, usualObjective, tried: new Set([...tried].map(String)) }
    const decision = this.decide(request, need, tried.size === 0, now)
    if (decision === undefined) return undefined
    this.chooser.sent(decision.choice, request.id, request.promptTokens, now, decision.place)
    this._choices.set(request.id, decision.choice)
    return { engine: Number(decision.choice.record.id), urgency: decision.urgency }
  }

  begun (engine: number, id: string, now: number): void { this.chooser.load(String(engine)).begun(id, this._choices.get(id)?.expected, now) }

  ended (engine: number, id: string, outcome: 'served' | 'refused', now: number): void {
    this._choices.delete(id)
    if (outcome === 'refused') this.chooser.skip(String(engine), 'refused', now)
    this.chooser.ended(String(engine), id, outcome === 'served' ? 'good' : 'unclear', now)
  }

  reportReceived (engine: number, report: LoadReport, now: number): void { this.chooser.heard(String(engine), report, now) }
  sentRate (now: number): number { return this.chooser.sentRate(now) }
}

/** The product's order of admission. */
class OrderedEntry extends ChoosingEntry {
  private readonly _admission = new ServiceAdmission(this.chooser)
  private readonly _late = new Set<string>()

  constructor (inputs: OverloadInputs) {
    super(inputs)
    this._admission.order.setUrgencies(inputs.urgencies)
  }

  protected override decide (request: OverloadRequest, need: EndpointRequirements, isFirst: boolean, now: number): ReturnType<ChoosingEntry['decide']> {
    const terms = { ...request, need, service: this.service, timeLeft: request.deadline - now, sinceFirstTry: now - request.firstTryAt }
    if (!isFirst) {
      const late = this._late.has(request.id)
      const choice = this.chooser.choose(this.service, this._admission.need(terms, late, now), now)
      return choice === undefined ? undefined : this._placed(request, choice, late, now)
    }
    const admission = this._admission.decide(terms, now)
    if (admission.type !== 'in-time' && admission.type !== 'late') return undefined
    return this._placed(request, admission.choice, admission.type === 'late', now)
  }

  private _placed ({ id, urgency }: OverloadRequest, choice: ChosenEndpoint, late: boolean, now: number): ReturnType<ChoosingEntry['decide']> {
    if (late) this._late.add(id)
    else this._late.delete(id)
    const place = this._admission.order.place(urgency, late)
    this._admission.sent(id, place, choice.expected, now)
    return { choice, place, urgency: this._admission.urgencyFor(urgency, late) }
  }

  retryDelay ({ urgency, objective, firstTryAt, deadline }: OverloadRequest, now: number): number {
    return retryAfter({ patience: deadline - now, objective: firstTryAt + objective - now, position: this._admission.order.returnPosition(urgency) }, this.inputs.random(), { type: 'open' })
  }

  override begun (engine: number, id: string, now: number): void {
    super.begun(engine, id, now)
    this._admission.begun(id, now)
  }

  override ended (engine: number, id: string, outcome: 'served' | 'refused', now: number): void {
    super.ended(engine, id, outcome, now)
    this._admission.ended(id, now)
  }
}

/** The rule before: only requests that are expected in time, without urgencies. */
class InTimeOnlyEntry extends ChoosingEntry {
  protected override decide ({ objective }: OverloadRequest, need: EndpointRequirements, isFirst: boolean, now: number): ReturnType<ChoosingEntry['decide']> {
    const choice = this.chooser.choose(this.service, need, now)
    if (choice === undefined) return undefined
    if (isFirst && decideAdmission({ expected: choice.expectedOfUsual, objective, usualObjective: need.usualObjective }).type === 'refuse') return undefined
    return { choice, urgency: undefined }
  }
}

/** Sends every request to the engine that is expected to begin it first. */
class FirstComeEntry extends ChoosingEntry {
  protected override decide (_request: OverloadRequest, need: EndpointRequirements, _isFirst: boolean, now: number): ReturnType<ChoosingEntry['decide']> {
    const choice = this.chooser.choose(this.service, need, now)
    return choice === undefined ? undefined : { choice, urgency: undefined }
  }
}

/** Creates the admission of one entry, by policy. */
export const overloadPolicies: Record<OverloadPolicyName, (inputs: OverloadInputs) => OverloadEntry> = {
  ordered: inputs => new OrderedEntry(inputs),
  'in-time-only': inputs => new InTimeOnlyEntry(inputs),
  'first-come': inputs => new FirstComeEntry(inputs)
}
