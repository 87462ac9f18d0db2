/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Chooses an endpoint for a request. Endpoints in the entry's own availability zone are preferred. Prompts that share a
 * prefix go to the same endpoint unless it is much busier than the others (consistent hashing with bounded loads,
 * Mirrokni et al. 2018); otherwise the less loaded of two random endpoints is chosen (Mitzenmacher 2001). Reported
 * loads are stale, so the requests that this entry has sent since the last report are added to them.
 */
import type { AdmissionRefusal } from './admission.js'
import { rendezvousTop } from './rendezvous.js'

/** The status that an agent reports with every answer. */
export interface EndpointStatus {
  readonly incarnation: string
  readonly lifecycle: 'serving' | 'draining' | 'stopped'
  /** The manifest digest that is served; empty if none, and for plain services. */
  readonly version: string
  readonly serving: boolean
  readonly running: number
  readonly slots: number
}

/** Selection policies. `affinity` is the default; the others serve as baselines in benchmarks. */
export type ChoicePolicy = 'affinity' | 'two-choices' | 'least-reported' | 'round-robin' | 'random'

/** An endpoint that can be chosen. */
export interface Candidate {
  readonly instance: string
  readonly availabilityZone: string
}

interface EndpointState {
  status: EndpointStatus | undefined
  /** The number of requests that this entry has in flight to the instance. */
  inFlight: number
  /** The value of `inFlight` when the last report arrived. */
  inFlightAtReport: number
  excludedUntil: number
}

/** The load of an endpoint, as a multiple of the mean, above which prefix affinity is not applied. */
const AFFINITY_LOAD_FACTOR = 1.25
/** The number of endpoints in rendezvous order that a prefix may be routed to. */
const AFFINITY_ENDPOINTS = 2
/** How long an endpoint is excluded after a refusal, in milliseconds. A busy endpoint soon has a free slot again. */
const REFUSAL_EXCLUSION_MILLISECONDS = 250
const BUSY_EXCLUSION_MILLISECONDS = 20

type Chooser = (choice: EndpointChoice, candidates: readonly string[], prefix: string) => string

const choosers: Record<ChoicePolicy, Chooser> = {
  affinity: (choice, candidates, prefix) => choice.byAffinity(candidates, prefix),
  'two-choices': (choice, candidates) => choice.byTwoChoices(candidates),
  'least-reported': (choice, candidates) => choice.byLeastReported(candidates),
  'round-robin': (choice, candidates) => choice.byRoundRobin(candidates),
  random: (choice, candidates) => choice.byRandom(candidates)
}

/** Tracks the endpoints of one group as seen by one entry, and chooses among them. */
export class EndpointChoice {
  private readonly _endpoints = new Map<string, EndpointState>()
  private _roundRobinCounter = 0

  /**
   * @param _random Draws from [0, 1); seeded in tests.
   */
  constructor (private readonly _self: Candidate, private readonly _random: () => number, private readonly _policy: ChoicePolicy = 'affinity') {}

  /**
   * Chooses among candidates that are listed, not ejected and not already tried for this request.
   *
   * @param prefix The start of the prompt; empty if there is none.
   * @returns The instance, or `undefined` if no candidate accepts requests.
   *
   * @example
   * const instance = choice.choose(candidates, prompt.slice(0, 256), now)
   */
  choose (candidates: readonly Candidate[], prefix: string, now: number): string | undefined {
    const available = candidates.filter(candidate => this._isAvailable(candidate.instance, now))
    const own = available.filter(candidate => candidate.availabilityZone === this._self.availabilityZone)
    const withFreeSlots = own.filter(candidate => this.load(candidate.instance) < 1)
    const pool = withFreeSlots.length > 0 ? withFreeSlots : this._otherZonesFirst(available, own)
    if (pool.length === 0) return undefined
    return choosers[this._policy](this, pool.map(candidate => candidate.instance), prefix)
  }

  /**
   * The load as a fraction of the slots: the last report, adjusted by the requests that this entry has sent and
   * completed since.
   */
  load (instance: string): number {
    const state = this._endpoints.get(instance)
    if (state === undefined) return 0
    const change = state.inFlight - state.inFlightAtReport
    const running = Math.max(state.inFlight, (state.status?.running ?? 0) + change)
    return running / Math.max(1, state.status?.slots ?? 8)
  }

  /** The last status received from an instance. */
  status (instance: string): EndpointStatus | undefined { return this._endpoints.get(instance)?.status }

  /** The total number of slots of `instances`; `assumed` is used for each instance without a status. */
  slots (instances: readonly string[], assumed: number): number {
    return instances.reduce((sum, instance) => sum + (this._endpoints.get(instance)?.status?.slots ?? assumed), 0)
  }

  sent (instance: string): void { this._endpointState(instance).inFlight += 1 }
  ended (instance: string): void {
    const state = this._endpointState(instance)
    state.inFlight = Math.max(0, state.inFlight - 1)
  }

  /** Records a status that was received with an answer. */
  updateStatus (instance: string, status: EndpointStatus): void {
    const state = this._endpointState(instance)
    state.status = status
    state.inFlightAtReport = state.inFlight
  }

  /** Records that an instance refused to start a request. */
  refused (instance: string, reason: AdmissionRefusal, now: number): void {
    this._endpointState(instance).excludedUntil = now + (reason === 'busy' ? BUSY_EXCLUSION_MILLISECONDS : REFUSAL_EXCLUSION_MILLISECONDS)
  }

  /** Removes instances that are no longer listed and have no requests in flight. */
  retain (instances: ReadonlySet<string>): void {
    for (const [instance, state] of this._endpoints) {
      if (!instances.has(instance) && state.inFlight === 0) this._endpoints.delete(instance)
    }
  }

  byAffinity (candidates: readonly string[], prefix: string): string {
    if (prefix === '') return this.byTwoChoices(candidates)
    const mean = candidates.reduce((sum, instance) => sum + this.load(instance), 0) / candidates.length
    for (const instance of rendezvousTop(candidates, prefix, AFFINITY_ENDPOINTS)) {
      if (this.load(instance) <= mean * AFFINITY_LOAD_FACTOR + this._slotShare(instance)) return instance
    }
    return this.byTwoChoices(candidates)
  }

  byTwoChoices (candidates: readonly string[]): string {
    const first = this.byRandom(candidates)
    const second = this.byRandom(candidates)
    return this.load(second) < this.load(first) ? second : first
  }

  byLeastReported (candidates: readonly string[]): string {
    const reported = (instance: string): number => this._endpoints.get(instance)?.status?.running ?? 0
    return candidates.reduce((best, instance) => reported(instance) < reported(best) ? instance : best)
  }

  byRoundRobin (candidates: readonly string[]): string {
    this._roundRobinCounter += 1
    return candidates[this._roundRobinCounter % candidates.length] ?? ''
  }

  byRandom (candidates: readonly string[]): string {
    return candidates[Math.floor(this._random() * candidates.length)] ?? ''
  }

  /** Endpoints in other zones with free slots; if there are none, those in the own zone, even if full. */
  private _otherZonesFirst (available: readonly Candidate[], own: readonly Candidate[]): readonly Candidate[] {
    const others = available.filter(candidate => candidate.availabilityZone !== this._self.availabilityZone && this.load(candidate.instance) < 1)
    if (others.length > 0) return others
    return own.length > 0 ? own : available
  }

  private _isAvailable (instance: string, now: number): boolean {
    const state = this._endpoints.get(instance)
    if (state === undefined) return true
    if (state.excludedUntil > now) return false
    return state.status === undefined || state.status.lifecycle === 'serving'
  }

  private _slotShare (instance: string): number {
    return 1 / Math.max(1, this._endpoints.get(instance)?.status?.slots ?? 8)
  }

  private _endpointState (instance: string): EndpointState {
    const state = this._endpoints.get(instance) ?? { status: undefined, inFlight: 0, inFlightAtReport: 0, excludedUntil: 0 }
    this._endpoints.set(instance, state)
    return state
  }
}
