/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The services that one entry routes to, each with its endpoints and this entry's part of its retries, rebuilt from published state.
 */
import { EndpointChooser, FleetSize, isEarlierStart, RetryAllowance, startOf, UsualObjective, type EndpointRecord, type LoadReport, type Place, type PublishedState, type RetryTerms, type ServiceDescription } from '@drumdrift/core'
import { parseAddress } from '../settings/address.js'

/** One service at one entry. */
export interface ServiceUnit {
  description: ServiceDescription
  readonly chooser: EndpointChooser
  readonly retries: RetryAllowance
  readonly objective: UsualObjective
}

/** The endpoint that an agent stands beside. */
interface AgentPlace {
  readonly service: string
  readonly record: EndpointRecord
}

/** All services of one entry. */
export class ServiceUnits {
  private readonly _units = new Map<string, ServiceUnit>()
  /** Endpoints by the address of the agent beside them. */
  private readonly _byAgent = new Map<string, AgentPlace>()
  private readonly _fleet = new FleetSize(() => new Set([...this._byAgent.values()].map(({ record }) => record.availabilityZone)).size)

  /**
   * @param _retryTerms What retries may add to the load of a service.
   * @param _agentPort The port at which agents listen on their instances.
   */
  constructor (private readonly _place: Place, private readonly _retryTerms: RetryTerms, private readonly _agentPort: number) {}

  get (service: string): ServiceUnit | undefined { return this._units.get(service) }

  /** Addresses of the agents beside engines of pools. */
  get agents (): ReadonlySet<string> { return new Set(this._byAgent.keys()) }

  /** Takes what is published. */
  apply (state: PublishedState): void {
    const endpoints = state.endpoints()
    this._byAgent.clear()
    for (const description of state.configuration?.services ?? []) {
      const unit = this._units.get(description.name) ?? this._newUnit(description)
      unit.description = description
      this._units.set(description.name, unit)
      const records = endpoints.filter(({ service }) => service === description.name)
      unit.chooser.setRecords(records)
      if (description.pool === undefined) continue
      for (const record of records) this._byAgent.set(`${parseAddress(record.address).host}:${this._agentPort}`, { service: description.name, record })
    }
  }

  private _newUnit (description: ServiceDescription): ServiceUnit {
    const retries = new RetryAllowance(this._retryTerms, now => this._fleet.estimate(now))
    return { description, chooser: new EndpointChooser(this._place, Math.random), retries, objective: new UsualObjective() }
  }

  /** Requests in a millisecond that go to the pool of an agent. */
  sentRate (agent: string, now: number): number {
    const endpoint = this._byAgent.get(agent)
    return endpoint === undefined ? 0 : this._units.get(endpoint.service)?.chooser.sentRate(now) ?? 0
  }

  /** The model that the pool of an agent serves; nothing when it is not known. */
  modelOf (agent: string): string | undefined {
    const endpoint = this._byAgent.get(agent)
    return endpoint === undefined ? undefined : this._units.get(endpoint.service)?.description.pool?.models[0]?.name
  }

  /** A measurement of the way to an agent, which is that to the engine beside it, began or ended. */
  measured (agent: string, step: 'begun' | 'ended', now: number): void {
    const endpoint = this._byAgent.get(agent)
    if (endpoint !== undefined) this._units.get(endpoint.service)?.chooser.measured(startOf(endpoint.record), step, now)
  }

  /**
   * An agent told the load of the engine beside it.
   *
   * @returns Whether what it tells of the fleet can be true; the load counts all the same.
   */
  heard (agent: string, load: LoadReport, now: number): boolean {
    const endpoint = this._byAgent.get(agent)
    if (endpoint === undefined) return true
    this._hearLoad(endpoint, load, now)
    return load.entries === undefined || this._fleet.heard(endpoint.record.availabilityZone, load.entries, now)
  }

  /** A late report of an earlier start says nothing of the one that is listed; one of a later start says that this one is gone. */
  private _hearLoad ({ service, record }: AgentPlace, load: LoadReport, now: number): void {
    const chooser = this._units.get(service)?.chooser
    if (isEarlierStart(load.born, record.born)) return
    if (isEarlierStart(record.born, load.born)) chooser?.avoid(startOf(record), 'wrong-instance', now)
    else chooser?.heard(startOf(record), load, now)
  }
}
