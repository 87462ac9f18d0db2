/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The services to which one entry routes, each with its endpoints and the entry's share of the retry budget. They follow the
 * published state.
 */
import { EndpointChooser, type EndpointGate, enginesToFollow, FirstTryEstimator, FleetSize, isEarlierStart, RetryAllowance, startKeyOf, ServiceAdmission, urgenciesOf, UsualObjective, type EndpointCondition, type EndpointRecord, type EndpointRequirements, type EvidenceReport, type LoadReport, type EntryLocation, type PublishedState, type RetryLimits, type ServiceDescription, type AgentZone } from '@drumdrift/core'
import { stalledTime } from '../periodic-tasks.js'
import { parseAddress } from '../settings/address.js'

/** The routing state of one service at one entry. */
export interface ServiceUnit {
  description: ServiceDescription
  readonly chooser: EndpointChooser
  readonly retries: RetryAllowance
  readonly objective: UsualObjective
  readonly firstTries: FirstTryEstimator
  readonly admission: ServiceAdmission
}

/** The longest interval at which an agent polls its engine, in milliseconds: see the pauses of the engine switcher. */
const MAX_POLL_INTERVAL = 100

/**
 * How long the first report of an engine is awaited, in milliseconds. Until then it counts as one that reports: a process that starts
 * hears its engines one after the other, and told each agent so far that it shared its requests among very few.
 */
const FIRST_REPORT_TIMEOUT = 3_000

/** The requirements that every endpoint of a service meets unless something keeps all requests from it. */
const ANY_REQUEST: EndpointRequirements = { promptTokens: 0, answerTokens: 0, model: '', leastVersion: 0, mustBeginBy: () => undefined, usualObjective: 0, tried: new Set() }

/** The endpoint on the instance of an agent, and its service. */
interface AgentEndpoint {
  readonly service: string
  readonly record: EndpointRecord
}

/** The routing state of all services at one entry. */
export class ServiceUnits {
  private readonly _units = new Map<string, ServiceUnit>()
  /** Endpoints by the address of their agent. */
  private readonly _byAgent = new Map<string, AgentEndpoint>()
  private _followed: ReadonlySet<string> = new Set()
  /** Since when the engine of each followed agent is followed. */
  private _followedSince: ReadonlyMap<string, number> = new Map()
  private _zones: readonly AgentZone[] = []
  private readonly _fleet = new FleetSize(() => this._zones)

  /**
   * @param _self The name of this entry.
   * @param _retryTerms The limits on the load that retries add to a service.
   * @param _agentPort The port on which agents listen on their instances.
   * @param _gate Decides which endpoints may be sent requests, according to their notices.
   */
  constructor (private readonly _self: string, private readonly _place: EntryLocation, private readonly _retryTerms: RetryLimits, private readonly _agentPort: number, private readonly _gate: EndpointGate) {}

  /** Returns the estimated number of entries of the deployment, or `undefined` if no agent has reported yet. */
  entries (now: number): number | undefined { return this._fleet.estimate(now) }

  /** Returns what other entries should hear about the endpoints of plain services, each result once. */
  takeEvidence (now: number): EvidenceReport[] {
    return [...this._units.values()].flatMap(({ description, chooser }) => description.pool === undefined ? chooser.takeEvidence(now) : [])
  }

  /** Adds what other entries report of endpoints. */
  hearEvidence (reports: readonly EvidenceReport[], now: number): void {
    for (const { description, chooser } of this._units.values()) {
      if (description.pool === undefined) for (const report of reports) chooser.hear(report, now)
    }
  }

  get (service: string): ServiceUnit | undefined { return this._units.get(service) }

  /** The numbers of listed endpoints of a service by what keeps requests from them now: see `EndpointChooser.conditions`. */
  conditionsOf (service: string, now: number): ReadonlyMap<EndpointCondition, number> {
    const unit = this._units.get(service)
    return unit === undefined ? new Map() : unit.chooser.conditions(unit.description, ANY_REQUEST, now)
  }

  /** The addresses of the agents of all pools. */
  get agents (): ReadonlySet<string> { return new Set(this._byAgent.keys()) }
  /** The addresses of the agents whose engines this entry follows and sends requests to. */
  get followed (): ReadonlySet<string> { return this._followed }

  /** Applies the published state. */
  apply (state: PublishedState): void {
    const endpoints = state.endpoints()
    this._byAgent.clear()
    const followed = new Set<string>()
    for (const description of state.configuration?.services ?? []) {
      const unit = this._units.get(description.name) ?? this._newUnit(description)
      unit.description = description
      unit.admission.order.setUrgencies(urgenciesOf(description.name, state.configuration))
      this._units.set(description.name, unit)
      const records = endpoints.filter(({ service }) => service === description.name)
      if (description.pool === undefined) unit.chooser.setRecords(records, undefined, state.evacuatedZones)
      else this._applyPool(unit, records, state.evacuatedZones, followed)
    }
    this._followed = followed
    const now = performance.now()
    this._followedSince = new Map([...followed].map(agent => [agent, this._followedSince.get(agent) ?? now]))
    this._zones = this._countZones()
  }

  /** The engines of evacuated zones are not followed, so that this entry follows as many of the others instead. */
  private _applyPool ({ description, chooser }: ServiceUnit, records: readonly EndpointRecord[], evacuatedZones: ReadonlySet<string>, followed: Set<string>): void {
    for (const record of records) this._byAgent.set(this._agentAddress(record), { service: description.name, record })
    const engines = records.filter(({ availabilityZone }) => !evacuatedZones.has(availabilityZone)).map(record => ({ agent: this._agentAddress(record), availabilityZone: record.availabilityZone }))
    const chosen = enginesToFollow(this._self, this._place.availabilityZone, engines)
    for (const agent of chosen) followed.add(agent)
    chooser.setRecords(records, record => chosen.has(this._agentAddress(record)), evacuatedZones)
  }

  private _agentAddress ({ address }: EndpointRecord): string { return `${parseAddress(address).host}:${this._agentPort}` }

  private _countZones (): AgentZone[] {
    const zones = new Map<string, { availabilityZone: string, listed: number, followed: number }>()
    for (const [agent, { record: { availabilityZone } }] of this._byAgent) {
      const zone = zones.get(availabilityZone) ?? { availabilityZone, listed: 0, followed: 0 }
      zone.listed += 1
      if (this._followed.has(agent)) zone.followed += 1
      zones.set(availabilityZone, zone)
    }
    return [...zones.values()]
  }

  private _newUnit (description: ServiceDescription): ServiceUnit {
    const retries = new RetryAllowance(this._retryTerms, now => this.entries(now), performance.now())
    const chooser = new EndpointChooser(this._place, Math.random, this._gate)
    return { description, chooser, retries, objective: new UsualObjective(), firstTries: new FirstTryEstimator(), admission: new ServiceAdmission(chooser) }
  }

  /** Returns the rate of requests to the pool of an agent, per millisecond, and the number of engines that share them. */
  poolTraffic (agent: string, now: number): { readonly sentRate: number, readonly followed: number } {
    const unit = this._units.get(this._byAgent.get(agent)?.service ?? '')
    return unit === undefined ? { sentRate: 0, followed: 0 } : { sentRate: unit.chooser.sentRate(now), followed: Math.max(1, this._sharingCount(unit, now)) }
  }

  /** The number of followed engines of a service that report, or whose first report is awaited. */
  private _sharingCount ({ description, chooser }: ServiceUnit, now: number): number {
    let count = 0
    for (const [agent, since] of this._followedSince) {
      const endpoint = this._byAgent.get(agent)
      if (endpoint?.service !== description.name) continue
      if (now - since < FIRST_REPORT_TIMEOUT || chooser.load(startKeyOf(endpoint.record)).report(now) !== undefined) count += 1
    }
    return count
  }

  /** Returns the model that the pool of an agent serves, or `undefined` if it is not known. */
  modelOf (agent: string): string | undefined {
    const endpoint = this._byAgent.get(agent)
    return endpoint === undefined ? undefined : this._units.get(endpoint.service)?.description.pool?.models[0]?.name
  }

  /** Records that a round-trip measurement to an agent, and so to the engine on its instance, began or ended. */
  recordPing (agent: string, step: 'begun' | 'ended', now: number): void {
    const endpoint = this._byAgent.get(agent)
    if (endpoint !== undefined) this._units.get(endpoint.service)?.chooser.measured(startKeyOf(endpoint.record), step, now, stalledTime())
  }

  /**
   * Records the load that an agent reports.
   *
   * @returns Whether the reported number of entries is plausible; the load is used either way.
   */
  recordLoad (agent: string, load: LoadReport, now: number): boolean {
    const endpoint = this._byAgent.get(agent)
    if (endpoint === undefined) return true
    this._updateChooser(endpoint, load, now)
    // An agent that has just started counts no entries yet.
    return load.entries === undefined || load.entries === 0 || this._fleet.heard(endpoint.record.availabilityZone, agent, load.entries, now)
  }

  /**
   * Returns the start that a report proves to have been alive, and at what time: the report may be older than its arrival by the
   * polling interval and the network latency. Returns `undefined` if the report is of another start than the listed one.
   */
  lastProvenAlive (agent: string, { born }: LoadReport, now: number): { readonly start: string, readonly at: number } | undefined {
    const { record, service } = this._byAgent.get(agent) ?? {}
    if (record === undefined || record.born !== born) return undefined
    const roundTrip = this._units.get(service ?? '')?.chooser.load(startKeyOf(record)).longestRoundTrip(now) ?? 0
    return { start: startKeyOf(record), at: now - MAX_POLL_INTERVAL - roundTrip }
  }

  /** Ignores a late report of an earlier start than the listed one. A report of a later start shows that the listed one has ended. */
  private _updateChooser ({ service, record }: AgentEndpoint, load: LoadReport, now: number): void {
    const chooser = this._units.get(service)?.chooser
    if (isEarlierStart(load.born, record.born)) return
    if (isEarlierStart(record.born, load.born)) chooser?.skip(startKeyOf(record), 'wrong-instance', now)
    else chooser?.heard(startKeyOf(record), load, now, stalledTime())
  }
}
