/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides which requests give way while a pool is short of room: the less urgent ones, and those of an organisation that sends far more
 * than its fair share, as if they were one step less urgent. Made for overloads of up to 1.7 times the capacity, of three urgencies, with
 * one organisation that sends half.
 */
import { COMMON_PLACE, type QueuePlace } from '../choice/queue-mix.js'
import { decay } from '../decay.js'

/** The least urgency, which late requests have in the queues of engines. */
export const LATE_URGENCY = 9

/** Weight of the newest request in the moving average of the share of requests that find no room. */
const SHORTAGE_SMOOTHING = 0.05
/** Without new requests, the shortage decays with this half-life, in milliseconds. */
const SHORTAGE_HALF_LIFE = 2_000
/**
 * Steps of urgency that give way for each unit of shortage. In the `overload` benchmark with 40 entries at 1.3 times the capacity, 4 served
 * the least urgent kind as often as 2 and the organisation that sends half less often (0.71 and 0.73).
 */
const STEPS_PER_SHORTAGE = 2
/** The share of requests without room below which nobody gives way, so that single bursts change nothing. */
const MIN_SHORTAGE = 0.03
/** The half-life of an organisation's count, in milliseconds: its bursts last some seconds. */
const ORGANISATION_HALF_LIFE = 4_000
/** An organisation sends far too much from this multiple of its fair share on; with few requests at an entry, counts vary by a factor of two. */
const FAIR_SHARE_MULTIPLE = 3
/** Organisations with a smaller count are not active; an entry with 10 requests a second counts about 60 in all. */
const MIN_ACTIVE_COUNT = 0.5

/** The kind of a request by which it gives way. */
export interface RequestRank {
  readonly urgency: number
  /** `undefined` for requests without a key. */
  readonly organisation: string | undefined
}

/** The order of one service's requests at one entry. */
export class AdmissionOrder {
  private _shortage = 0
  private _shortageAt = 0
  private readonly _organisations = new Map<string, number>()
  private _organisationsAt = 0
  /** The urgencies of the service's routes and organisations, the most urgent first. */
  private _urgencies: readonly number[] = []

  /** Whether the service's requests differ in urgency. */
  get differs (): boolean { return this._urgencies.length > 1 }

  /**
   * The place of a request in the queues of engines. Late ones go behind all in time, the more urgent first as far as the range of
   * urgencies allows.
   */
  place (urgency: number, late: boolean): QueuePlace {
    if (!late) return this.differs ? { urgency: Math.min(LATE_URGENCY, urgency), late } : COMMON_PLACE
    const behind = Math.max(0, this._urgencies.length - 1 - Math.max(0, this._urgencies.indexOf(urgency)))
    return { urgency: Math.min(LATE_URGENCY, Math.max(LATE_URGENCY - behind, (this._urgencies.at(-1) ?? 0) + 1)), late }
  }

  /** Sets the urgencies that requests of the service may have. */
  setUrgencies (urgencies: Iterable<number>): void { this._urgencies = [...new Set(urgencies)].sort((left, right) => left - right) }

  /** Records a request's organisation and whether it found room for a request of typical size. */
  observe (organisation: string | undefined, hasRoom: boolean, now: number): void {
    const before = this.shortage(now)
    this._shortage = before + SHORTAGE_SMOOTHING * ((hasRoom ? 0 : 1) - before)
    this._shortageAt = now
    this._decayOrganisations(now)
    if (organisation !== undefined) this._organisations.set(organisation, (this._organisations.get(organisation) ?? 0) + 1)
  }

  /** The recent share of requests that found no room. */
  shortage (now: number): number { return this._shortage * decay(now - this._shortageAt, SHORTAGE_HALF_LIFE) }

  /** Whether more urgent requests may go first in the queues of engines. */
  isPassed (urgency: number): boolean { return urgency > (this._urgencies[0] ?? urgency) }

  /** The position among the service's urgencies: 0 for the most urgent, 1 for the least; 1 if they do not differ. */
  position (urgency: number): number {
    const index = this._urgencies.indexOf(urgency)
    return index < 0 || !this.differs ? 1 : index / (this._urgencies.length - 1)
  }

  /** The position by which refused callers return: see `position`; 0 if the urgencies do not differ. */
  returnPosition (urgency: number): number { return this.differs ? this.position(urgency) : 0 }

  /**
   * The factor by which the admission bound of a request is lowered: 1 for the most urgent, and for all while there is room.
   *
   * @example
   * const bound = order.boundFactor({ urgency: 2, organisation: 'north' }, now) * usualObjective
   */
  boundFactor (rank: RequestRank, now: number): number {
    const shortage = this.shortage(now)
    if (shortage < MIN_SHORTAGE) return 1
    const bound = this._organisationBound()
    const step = Math.max(0, this._urgencies.indexOf(rank.urgency)) + (this._countOf(rank.organisation) > bound ? 1 : 0)
    if (step === 0) return 1
    const lastStep = Math.max(0, this._urgencies.length - 1) + (Math.max(0, ...this._organisations.values()) > bound ? 1 : 0)
    return 1 - Math.min(1, Math.max(0, STEPS_PER_SHORTAGE * shortage - (lastStep - step)))
  }

  private _countOf (organisation: string | undefined): number { return organisation === undefined ? 0 : this._organisations.get(organisation) ?? 0 }

  /** The count from which on an organisation sends far more than its fair share. */
  private _organisationBound (): number {
    let [all, active] = [0, 0]
    for (const count of this._organisations.values()) {
      all += count
      if (count >= MIN_ACTIVE_COUNT) active += 1
    }
    return FAIR_SHARE_MULTIPLE * all / Math.max(1, active)
  }

  private _decayOrganisations (now: number): void {
    const kept = decay(now - this._organisationsAt, ORGANISATION_HALF_LIFE)
    this._organisationsAt = now
    for (const [organisation, count] of this._organisations) {
      if (count * kept < 0.01) this._organisations.delete(organisation)
      else this._organisations.set(organisation, count * kept)
    }
  }
}
