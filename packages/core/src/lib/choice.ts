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

interface Known {
  status: EndpointStatus | undefined
  /** The number of requests that this entry has in flight to the instance. */
  outstanding: number
  /** The value of `outstanding` when the last report arrived. */
  outstandingAtReport: number
  avoidUntil: number
}

/** The load of an endpoint, as a multiple of the mean, above which prefix affinity is not applied. */
const AFFINITY_BOUND = 1.25
/** The number of endpoints in rendezvous order that a prefix may be routed to. */
const AFFINITY_ENDPOINTS = 2
/** How long an endpoint is excluded after a refusal, in milliseconds. A busy endpoint soon has a free slot again. */
const AVOID_AFTER_REFUSAL = 250
const AVOID_AFTER_BUSY = 20

type Chooser = (choice: EndpointChoice, candidates: readonly string[], prefix: string) => string

const choosers: Record<ChoicePolicy, Chooser> = {
  affinity: (choice, candidates, prefix) => choice.byAffinity(candidates, prefix),
  'two-choices': (choice, candidates) => choice.byTwoChoices(candidates),
  'least-reported': (choice, candidates) => choice.byReport(candidates),
  'round-robin': (choice, candidates) => choice.byTurn(candidates),
  random: (choice, candidates) => choice.byChance(candidates)
}

/** Tracks the endpoints of one group as seen by one entry, and chooses among them. */
export class EndpointChoice {
  private readonly _known = new Map<string, Known>()
  private _turn = 0

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
    const open = candidates.filter(candidate => this._open(candidate.instance, now))
    const own = open.filter(candidate => candidate.availabilityZone === this._self.availabilityZone)
    const roomy = own.filter(candidate => this.load(candidate.instance) < 1)
    const pool = roomy.length > 0 ? roomy : this._elsewhere(open, own)
    if (pool.length === 0) return undefined
    return choosers[this._policy](this, pool.map(candidate => candidate.instance), prefix)
  }

  /** The load as a fraction of the slots: the last report, adjusted by the requests that this entry has sent and completed since. */
  load (instance: string): number {
    const known = this._known.get(instance)
    if (known === undefined) return 0
    const since = known.outstanding - known.outstandingAtReport
    const running = Math.max(known.outstanding, (known.status?.running ?? 0) + since)
    return running / Math.max(1, known.status?.slots ?? 8)
  }

  /** The last status received from an instance. */
  status (instance: string): EndpointStatus | undefined { return this._known.get(instance)?.status }

  /** The total number of slots of `instances`; `assumed` is used for each instance without a status. */
  slots (instances: readonly string[], assumed: number): number {
    return instances.reduce((sum, instance) => sum + (this._known.get(instance)?.status?.slots ?? assumed), 0)
  }

  sent (instance: string): void { this._entry(instance).outstanding += 1 }
  ended (instance: string): void {
    const known = this._entry(instance)
    known.outstanding = Math.max(0, known.outstanding - 1)
  }

  /** Records a status that was received with an answer. */
  heard (instance: string, status: EndpointStatus): void {
    const known = this._entry(instance)
    known.status = status
    known.outstandingAtReport = known.outstanding
  }

  /** Records that an instance refused to start a request. */
  refused (instance: string, reason: AdmissionRefusal, now: number): void {
    this._entry(instance).avoidUntil = now + (reason === 'busy' ? AVOID_AFTER_BUSY : AVOID_AFTER_REFUSAL)
  }

  /** Removes instances that are no longer listed and have no requests in flight. */
  retain (instances: ReadonlySet<string>): void {
    for (const [instance, known] of this._known) {
      if (!instances.has(instance) && known.outstanding === 0) this._known.delete(instance)
    }
  }

  byAffinity (candidates: readonly string[], prefix: string): string {
    if (prefix === '') return this.byTwoChoices(candidates)
    const mean = candidates.reduce((sum, instance) => sum + this.load(instance), 0) / candidates.length
    for (const instance of rendezvousTop(candidates, prefix, AFFINITY_ENDPOINTS)) {
      if (this.load(instance) <= mean * AFFINITY_BOUND + this._oneSlot(instance)) return instance
    }
    return this.byTwoChoices(candidates)
  }

  byTwoChoices (candidates: readonly string[]): string {
    const first = this.byChance(candidates)
    const second = this.byChance(candidates)
    return this.load(second) < this.load(first) ? second : first
  }

  byReport (candidates: readonly string[]): string {
    const reported = (instance: string): number => this._known.get(instance)?.status?.running ?? 0
    return candidates.reduce((best, instance) => reported(instance) < reported(best) ? instance : best)
  }

  byTurn (candidates: readonly string[]): string {
    this._turn += 1
    return candidates[this._turn % candidates.length] ?? ''
  }

  byChance (candidates: readonly string[]): string {
    return candidates[Math.floor(this._random() * candidates.length)] ?? ''
  }

  /** Endpoints in other zones with free slots; if there are none, those in the own zone, even if full. */
  private _elsewhere (open: readonly Candidate[], own: readonly Candidate[]): readonly Candidate[] {
    const others = open.filter(candidate => candidate.availabilityZone !== this._self.availabilityZone && this.load(candidate.instance) < 1)
    if (others.length > 0) return others
    return own.length > 0 ? own : open
  }

  private _open (instance: string, now: number): boolean {
    const known = this._known.get(instance)
    if (known === undefined) return true
    if (known.avoidUntil > now) return false
    return known.status === undefined || known.status.lifecycle === 'serving'
  }

  private _oneSlot (instance: string): number {
    return 1 / Math.max(1, this._known.get(instance)?.status?.slots ?? 8)
  }

  private _entry (instance: string): Known {
    const known = this._known.get(instance) ?? { status: undefined, outstanding: 0, outstandingAtReport: 0, avoidUntil: 0 }
    this._known.set(instance, known)
    return known
  }
}
