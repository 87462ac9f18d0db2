/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Chooses an endpoint for a request. Own availability zone first; prompts that share a prefix go to the same
 * endpoint while that one is not much busier than the rest (consistent hashing with bounded loads, Mirrokni et al.
 * 2018); else the better of two random ones (Mitzenmacher 2001). Loads are late: what this entry itself has sent since the last
 * report is added to what was reported.
 */
import type { AdmissionRefusal } from './admission.js'
import { rendezvousTop } from './rendezvous.js'

/** What an agent says of itself on every answer. */
export interface EndpointStatus {
  readonly incarnation: string
  readonly lifecycle: 'serving' | 'draining' | 'stopped'
  /** The manifest digest that is served; empty for none, and for plain services. */
  readonly version: string
  readonly serving: boolean
  readonly running: number
  readonly slots: number
}

/** Ways of choosing; `affinity` is the product's, the others are for measuring against. */
export type ChoicePolicy = 'affinity' | 'two-choices' | 'least-reported' | 'round-robin' | 'random'

/** One endpoint that may be chosen. */
export interface Candidate {
  readonly instance: string
  readonly availabilityZone: string
}

interface Known {
  status: EndpointStatus | undefined
  /** Requests that this entry has in progress there. */
  outstanding: number
  /** Requests in progress there when the last report was made, as far as this entry's own go. */
  outstandingAtReport: number
  avoidUntil: number
}

/** How far above the mean an endpoint's load may be before affinity gives way. */
const AFFINITY_BOUND = 1.25
const AFFINITY_ENDPOINTS = 2
/** How long an endpoint that refused is passed over, in milliseconds. A busy one has room again soon. */
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

/** What one entry knows of the endpoints of one group, and its choices among them. */
export class EndpointChoice {
  private readonly _known = new Map<string, Known>()
  private _turn = 0

  /**
   * @param _random Draws from [0, 1); seeded in tests.
   */
  constructor (private readonly _self: Candidate, private readonly _random: () => number, private readonly _policy: ChoicePolicy = 'affinity') {}

  /**
   * Chooses among candidates that are listed, not ejected and not tried before.
   *
   * @param prefix The start of the prompt, or empty for none.
   * @returns The instance, or nothing when no candidate can take work.
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

  /** Load as a share of slots: the last report, corrected by what this entry has sent and seen end since. */
  load (instance: string): number {
    const known = this._known.get(instance)
    if (known === undefined) return 0
    const since = known.outstanding - known.outstandingAtReport
    const running = Math.max(known.outstanding, (known.status?.running ?? 0) + since)
    return running / Math.max(1, known.status?.slots ?? 8)
  }

  /** The last status heard from an instance. */
  status (instance: string): EndpointStatus | undefined { return this._known.get(instance)?.status }

  /** Slots of those of `instances` that are heard of; the rest count `assumed` each. */
  slots (instances: readonly string[], assumed: number): number {
    return instances.reduce((sum, instance) => sum + (this._known.get(instance)?.status?.slots ?? assumed), 0)
  }

  sent (instance: string): void { this._entry(instance).outstanding += 1 }
  ended (instance: string): void {
    const known = this._entry(instance)
    known.outstanding = Math.max(0, known.outstanding - 1)
  }

  /** Takes a status that came on an answer. */
  heard (instance: string, status: EndpointStatus): void {
    const known = this._entry(instance)
    known.status = status
    known.outstandingAtReport = known.outstanding
  }

  /** An instance refused to start something. */
  refused (instance: string, reason: AdmissionRefusal, now: number): void {
    this._entry(instance).avoidUntil = now + (reason === 'busy' ? AVOID_AFTER_BUSY : AVOID_AFTER_REFUSAL)
  }

  /** Forgets instances that are no longer listed, but for those with work in progress. */
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

  /** Own zone first, full or not, unless another zone has room. */
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
