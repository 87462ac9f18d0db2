/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The state that an entry keeps for one pool or service: its queue, its concurrency limit, and the load and health of its
 * endpoints.
 */
import {
  ConcurrencyLimit, Ejection, EndpointChoice, endpointSubset, FairQueue, RetryBudget, type Candidate, type ChoicePolicy, type EndpointStatus, type InstanceRecord
} from '@drumdrift/core'
import { StartInterval } from './start-interval.js'

/** Maximum number of endpoints of one zone that an entry uses. */
const SUBSET_SIZE = 24
/** Slots that an endpoint is assumed to have until it reports its status. */
const ASSUMED_SLOTS = 8
const MIN_LIMIT = 1
/** Weight of the newest sample in the exponentially weighted moving average of request durations. */
const DURATION_SMOOTHING = 0.1
/** Initial value of the mean request duration, in milliseconds. */
const INITIAL_DURATION_MILLISECONDS = 300

/** The state of one group at one entry. */
export class Group<Item> {
  readonly queue = new FairQueue<Item>()
  readonly budget: RetryBudget
  readonly choice: EndpointChoice
  readonly limit = new ConcurrencyLimit(MIN_LIMIT, ASSUMED_SLOTS)
  readonly inProgress = new Map<string, number>()
  private readonly _ejection = new Ejection()
  private _records: readonly InstanceRecord[] = []
  private _running = 0
  private _meanDuration = INITIAL_DURATION_MILLISECONDS
  /** Interval between starts, overall and for each organisation with queued requests. */
  private readonly _startPace = new StartInterval()
  private readonly _organisationPaces = new Map<string, StartInterval>()

  constructor (readonly name: string, self: Candidate, policy: { readonly choice: ChoicePolicy, readonly retryRatio: number }, random: () => number) {
    this.choice = new EndpointChoice(self, random, policy.choice)
    this.budget = new RetryBudget(policy.retryRatio)
  }

  get running (): number { return this._running }
  /** Whether the group has any endpoint. */
  get hasEndpoints (): boolean { return this._records.length > 0 }

  /**
   * Sets the endpoints of the group to a subset per zone of those listed.
   *
   * @param listed Endpoints that are live and not draining.
   * @param index The index of this entry among the entries of its zone.
   */
  setEndpoints (listed: readonly InstanceRecord[], index: number): void {
    const records = zoneSubsets(listed, index)
    this._records = records
    const names = new Set(records.map(record => record.instance))
    this.choice.retain(names)
    this._ejection.retain(names)
    this._updateLimit()
  }

  /** Chooses an endpoint that is not in `tried` and, unless `version` is empty, serves that version. */
  choose (prefix: string, tried: ReadonlySet<string>, version: string, now: number): InstanceRecord | undefined {
    const untried = this._records.filter(record => !tried.has(record.instance) && this._hasVersion(record.instance, version))
    const usable = new Set(this._ejection.usable(untried.map(record => record.instance), now))
    const instance = this.choice.choose(untried.filter(record => usable.has(record.instance)), prefix, now)
    return this._records.find(record => record.instance === instance)
  }

  /** Records that a request of an organisation starts. */
  started (organisation: string, now: number): void {
    this._startPace.started(this.queue.size > 0, now)
    this._paceOf(organisation).started(this.queue.sizeOf(organisation) > 0, now)
    if (this.queue.sizeOf(organisation) === 0) this._organisationPaces.delete(organisation)
    this._running += 1
    this.inProgress.set(organisation, (this.inProgress.get(organisation) ?? 0) + 1)
  }

  /**
   * Records that a request of an organisation has ended.
   *
   * @param duration Milliseconds since its start.
   */
  ended (organisation: string, duration: number): void {
    this._running -= 1
    this._meanDuration += DURATION_SMOOTHING * (duration - this._meanDuration)
    const remaining = (this.inProgress.get(organisation) ?? 1) - 1
    if (remaining > 0) this.inProgress.set(organisation, remaining)
    else this.inProgress.delete(organisation)
  }

  /** Estimates how long a new request of an organisation would be queued at the present rate of starts, in milliseconds. */
  expectedWait (organisation: string, weightOf: (organisation: string) => number): number {
    if (this._running < this.limit.limit && this.queue.size === 0) return 0
    const ownWeight = weightOf(organisation)
    const otherWeight = this.queue.waitingWeight(weightOf) - (this.queue.sizeOf(organisation) > 0 ? ownWeight : 0)
    const ahead = Math.min(this.queue.size, this.queue.sizeOf(organisation) * (ownWeight + otherWeight) / ownWeight)
    const overallWait = (ahead + 1) * Math.max(this._startPace.interval, this._meanDuration / this.limit.limit)
    const organisationWait = (this.queue.sizeOf(organisation) + 1) * (this._organisationPaces.get(organisation)?.interval ?? 0)
    return Math.max(overallWait, organisationWait)
  }

  callStarted (instance: string): void {
    this.choice.sent(instance)
    this._ejection.chosen(instance)
  }

  updateStatus (instance: string, status: EndpointStatus): void {
    this.choice.updateStatus(instance, status)
    this._updateLimit()
  }

  /** Records that a call to an instance has ended. */
  callEnded (instance: string, health: 'good' | 'bad' | 'unclear', now: number): void {
    this.choice.ended(instance)
    if (health === 'good') this._ejection.succeeded(instance)
    else if (health === 'bad') this._ejection.failed(instance, now)
    else this._ejection.ended(instance)
  }

  private _paceOf (organisation: string): StartInterval {
    const pace = this._organisationPaces.get(organisation) ?? new StartInterval()
    this._organisationPaces.set(organisation, pace)
    return pace
  }

  private _hasVersion (instance: string, version: string): boolean {
    return version === '' || this.choice.status(instance)?.version === version
  }

  private _updateLimit (): void {
    this.limit.setMaximum(this.choice.slots(this._records.map(record => record.instance), ASSUMED_SLOTS))
  }
}

function zoneSubsets (records: readonly InstanceRecord[], index: number): InstanceRecord[] {
  const zones = new Set(records.map(record => record.availabilityZone))
  const kept = new Set([...zones].flatMap(zone => {
    const members = records.filter(record => record.availabilityZone === zone)
    return endpointSubset(index, members.map(record => record.instance), SUBSET_SIZE)
  }))
  return records.filter(record => kept.has(record.instance))
}
