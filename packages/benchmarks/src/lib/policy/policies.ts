/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Engine selection policies that the simulation compares: the product's own, earlier versions of it, and baselines. */
import { decideAdmission, EndpointChooser, firstTokenTime, type ChosenEndpoint, type EndpointRecord, type EngineWork, type LoadReport, type PoolDescription, type ServiceDescription } from '@drumdrift/core'

/** The names of the selection policies. */
export const policyNames = ['by-room', 'soonest', 'soonest-unread-unknown', 'least-connections', 'random', 'sees-all'] as const
/** The name of a selection policy. */
export type PolicyName = typeof policyNames[number]

/** A request that an entry has to place. */
export interface RoutedRequest {
  readonly id: string
  readonly promptTokens: number
  /** Milliseconds. */
  readonly objective: number
}

/** The engine selection of one entry. */
export interface EntryPolicy {
  /** Returns the index of an engine, or `undefined` to refuse the request. */
  choose (request: RoutedRequest, tried: ReadonlySet<number>, now: number): number | undefined
  firstTokenReceived (engine: number, request: RoutedRequest, now: number): void
  responseEnded (engine: number, request: RoutedRequest, outcome: 'served' | 'refused', now: number): void
  reportReceived (engine: number, report: LoadReport, now: number): void
}

/** The inputs of a policy. */
export interface PolicyInputs {
  readonly pool: PoolDescription
  /** The engines that the entry may send to. */
  readonly engines: readonly number[]
  readonly random: () => number
  /** The current work of an engine, including requests in transit to it; a real entry cannot see this. */
  readonly work: (engine: number) => EngineWork
}

/** The name of the simulated pool's model. */
export const MODEL = 'model'
/** The availability zone of all simulated processes. */
export const ZONE = 'zone'

/** The product's chooser with early refusal; `_filterReport` reduces a load report to what the chooser receives. */
class ChooserPolicy implements EntryPolicy {
  private readonly _chooser: EndpointChooser
  private readonly _service: ServiceDescription
  private readonly _choices = new Map<string, ChosenEndpoint>()

  constructor (inputs: PolicyInputs, private readonly _filterReport: (report: LoadReport) => LoadReport) {
    this._chooser = new EndpointChooser({ availabilityZone: ZONE, regionOf: zone => zone }, inputs.random)
    this._chooser.setRecords(inputs.engines.map(recordOf))
    this._service = { name: 'pool', maxConnections: Infinity, pool: inputs.pool }
  }

  choose (request: RoutedRequest, tried: ReadonlySet<number>, now: number): number | undefined {
    const requirements = { promptTokens: request.promptTokens, answerTokens: 0, model: MODEL, leastVersion: 0, mustBeginBy: () => undefined, usualObjective: request.objective, tried: new Set([...tried].map(String)) }
    const choice = this._chooser.choose(this._service, requirements, now)
    if (choice === undefined || decideAdmission({ expected: choice.expectedOfUsual, objective: request.objective, usualObjective: request.objective }).type === 'refuse') return undefined
    this._chooser.sent(choice, request.id, request.promptTokens, now)
    this._choices.set(request.id, choice)
    return Number(choice.record.id)
  }

  firstTokenReceived (engine: number, { id }: RoutedRequest, now: number): void {
    this._chooser.load(String(engine)).begun(id, this._choices.get(id)?.expected, now)
  }

  responseEnded (engine: number, { id }: RoutedRequest, outcome: 'served' | 'refused', now: number): void {
    this._choices.delete(id)
    if (outcome === 'refused') this._chooser.skip(String(engine), 'refused', now)
    this._chooser.ended(String(engine), id, outcome === 'served' ? 'good' : 'unclear', now)
  }

  reportReceived (engine: number, report: LoadReport, now: number): void { this._chooser.heard(String(engine), this._filterReport(report), now) }
}

/** Uses only which engines accept requests and how many requests of this entry they have outstanding. */
class CountingPolicy implements EntryPolicy {
  private readonly _outstanding: number[] = []
  private readonly _closed = new Set<number>()

  constructor (private readonly _inputs: PolicyInputs, private readonly _pick: (open: readonly number[], outstanding: readonly number[]) => number | undefined) {}

  choose (_request: RoutedRequest, tried: ReadonlySet<number>): number | undefined {
    const open = this._inputs.engines.filter(index => !this._closed.has(index) && !tried.has(index))
    const engine = this._pick(open, this._outstanding)
    if (engine !== undefined) this._add(engine, 1)
    return engine
  }

  firstTokenReceived (): void {}
  responseEnded (engine: number): void { this._add(engine, -1) }
  reportReceived (engine: number, { accepting }: LoadReport): void {
    if (accepting) this._closed.delete(engine)
    else this._closed.add(engine)
  }

  private _add (engine: number, count: number): void {
    this._outstanding[engine] = (this._outstanding[engine] ?? 0) + count
  }
}

/** Uses the exact current work of every engine: chooses the one with the earliest first token, and refuses a request that would be late. */
class OmniscientPolicy implements EntryPolicy {
  constructor (private readonly _inputs: PolicyInputs) {}

  choose ({ promptTokens, objective }: RoutedRequest, tried: ReadonlySet<number>): number | undefined {
    const { engines, pool, work } = this._inputs
    const times = engines.filter(index => !tried.has(index)).map(index => ({ index, time: firstTokenTime(pool, work(index), promptTokens) }))
    const soonest = times.reduce((best, each) => each.time < best.time ? each : best)
    return soonest.time <= objective ? soonest.index : undefined
  }

  firstTokenReceived (): void {}
  responseEnded (): void {}
  reportReceived (): void {}
}

/** Creates the engine selection of one entry, by policy. */
export const entryPolicies: Record<PolicyName, (inputs: PolicyInputs) => EntryPolicy> = {
  'by-room': inputs => new ChooserPolicy(inputs, report => report),
  soonest: inputs => new ChooserPolicy(inputs, report => ({ ...report, sentRate: undefined })),
  'soonest-unread-unknown': inputs => new ChooserPolicy(inputs, report => ({ ...report, sentRate: undefined, unreadTokens: undefined })),
  'least-connections': inputs => new CountingPolicy(inputs, (open, outstanding) => {
    const minimum = Math.min(...open.map(index => outstanding[index] ?? 0))
    return pickRandom(open.filter(index => (outstanding[index] ?? 0) === minimum), inputs.random())
  }),
  random: inputs => new CountingPolicy(inputs, open => pickRandom(open, inputs.random())),
  'sees-all': inputs => new OmniscientPolicy(inputs)
}

function pickRandom (engines: readonly number[], random: number): number | undefined { return engines[Math.floor(random * engines.length)] }

/** The record of a simulated engine. */
export function recordOf (index: number): EndpointRecord {
  return { id: String(index), service: 'pool', address: `10.0.0.${index}:80`, availabilityZone: ZONE, slots: 0, draining: false, models: [{ model: MODEL, version: 1 }] }
}
