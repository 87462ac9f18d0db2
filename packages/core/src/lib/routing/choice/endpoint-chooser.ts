/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Chooses the endpoint for a request: the one where the first event, or the answer, is expected soonest, with a price
 * in milliseconds for leaving the availability zone and the region.
 */
import { Ejection } from '../../ejection.js'
import type { EndpointCandidate, Choice, Need, Place } from './endpoint-choice.js'
import { COMFORT_SHARE, costOf, distanceFactor, tooLate } from './choice-price.js'
import { readTime } from './engine-model.js'
import { openGate, type EndpointGate, type SparedFor } from './endpoint-gate.js'
import { EndpointLoad, type LoadReport } from './endpoint-load.js'
import type { Opening } from '../attempts/early-refusal.js'
import { chooseEvenly, levelOf } from './even-choice.js'
import { startOf, type EndpointRecord } from '../published/endpoint-record.js'
import type { ServiceDescription } from '../published/routing-configuration.js'
import { RequestRate } from './request-rate.js'
import { UsualTime } from './usual-time.js'

/** The one that is, and what others are taken to have sent there meanwhile, in milliseconds of waiting. */
interface Picked {
  readonly candidate: EndpointCandidate
  readonly byOthers: number
}

/** What the end of an attempt says of its endpoint. */
export type EndpointHealth = 'good' | 'bad' | 'unclear'

/** Why an endpoint is passed over for a while. */
export type Avoidance = 'refused' | 'unreachable' | 'wrong-instance' | 'wrong-version'

/**
 * How long, in milliseconds. A full or switching endpoint is asked again soon; one that cannot be reached is given the
 * time that a process takes to come back.
 */
const avoidances: Record<Avoidance, number> = { refused: 100, unreachable: 2_000, 'wrong-instance': 3_000, 'wrong-version': 150 }
/**
 * What entries hold of an engine is this old on average, in milliseconds: its agent looks at it twenty times a second, and
 * what was sent just before is not seen there yet, nor what is still on its way.
 */
const VIEW_AGE = 80
/** A plain endpoint that names no slots is taken to have these. */
const ASSUMED_SLOTS = 8
interface Known {
  readonly load: EndpointLoad
  avoidUntil: number
}

/** The endpoints of one service, as one entry sees them. */
export class EndpointChooser {
  /** What is known of each start of an endpoint: see `startOf`. */
  private readonly _known = new Map<string, Known>()
  private readonly _ejection = new Ejection()
  private readonly _rate = new RequestRate()
  private _records: readonly EndpointRecord[] = []
  private _listed: ReadonlySet<string> = new Set()
  private _followed: readonly EndpointRecord[] = []
  private _others: readonly EndpointRecord[] = []
  private readonly _plainTime = new UsualTime()

  /**
   * @param _draw Random numbers in [0, 1).
   * @param _gate What the endpoints ask of those who send to them.
   */
  constructor (private readonly _place: Place, private readonly _draw: () => number, private readonly _gate: EndpointGate = openGate) {}

  get records (): readonly EndpointRecord[] { return this._records }

  /**
   * Takes the endpoints that are listed.
   *
   * @param isFollowed Whether the load of one is followed; others are only chosen where no followed one can take a request.
   */
  setRecords (records: readonly EndpointRecord[], isFollowed: (record: EndpointRecord) => boolean = () => true): void {
    this._records = records
    this._followed = records.filter(isFollowed)
    this._others = records.filter(record => !isFollowed(record))
    this._listed = new Set(records.map(startOf))
    this._ejection.retain(this._listed)
    for (const [start, { load }] of this._known) if (!this._listed.has(start) && load.outstanding === 0) this._known.delete(start)
  }

  /** Requests in a millisecond that this entry sends to the service. */
  sentRate (now: number): number { return this._rate.perMillisecond(now) }

  /** What is known of an endpoint's load. */
  load (start: string): EndpointLoad { return this._entry(start).load }

  heard (start: string, report: LoadReport, now: number): void {
    if (this._listed.has(start)) this._entry(start).load.heard(report, now)
  }

  /** A measurement of the way to an endpoint began, or ended. */
  measured (start: string, step: 'begun' | 'ended', now: number): void {
    if (!this._listed.has(start)) return
    const { load } = this._entry(start)
    if (step === 'begun') load.pinged(now)
    else load.ponged(now)
  }

  /** Passes an endpoint over for a while. */
  avoid (start: string, why: Avoidance, now: number): void {
    this._entry(start).avoidUntil = now + avoidances[why]
  }

  /** A request was sent. */
  sent (choice: Choice, request: string, promptTokens: number, now: number): void {
    this._rate.sent(now)
    const start = startOf(choice.record)
    this._entry(start).load.sent(request, promptTokens, now)
    this._ejection.chosen(start)
    this._gate.sent(start, now)
  }

  /** A plain request was answered after so many milliseconds. */
  plainTook (start: string, milliseconds: number, now: number): void {
    this._entry(start).load.plainTook(milliseconds, this._plainTime.value(now), now)
    this._plainTime.took(milliseconds, now)
  }

  /** A request has ended there. */
  ended (start: string, request: string, health: EndpointHealth, now: number): void {
    this._entry(start).load.ended(request)
    if (health === 'good') this._ejection.succeeded(start)
    else if (health === 'bad') this._ejection.failed(start, now)
    else this._ejection.ended(start)
  }

  /**
   * Chooses an endpoint, or nothing when none may take the request.
   *
   * @example
   * const choice = chooser.choose(service, { promptTokens: 1_290, model: 'drafting', leastVersion: 2, tried: new Set() }, now)
   */
  choose (service: ServiceDescription, need: Need, now: number): Choice | undefined {
    return this._chooseAmong(this._followed, service, need, now) ?? this._chooseAmong(this._others, service, need, now)
  }

  private _chooseAmong (records: readonly EndpointRecord[], service: ServiceDescription, need: Need, now: number): Choice | undefined {
    const open = records.filter(record => this._open(record, service, need, now))
    const usable = new Set(this._ejection.usable(open.map(startOf), now))
    const inTime = open.filter(record => usable.has(startOf(record)))
      .map(record => this._expect(record, service, need, now, open.length))
      .filter(choice => !tooLate(choice, need, now))
    const choices = this._dueFirst(inTime, need, now)
    const view = { place: this._place, service, need, distanceFactor: distanceFactor(choices, this._place, need), now }
    const costs = choices.map(choice => costOf(choice, this._entryOf(choice.record).load, view))
    const picked = this._pick(choices, costs, service, now)
    return picked === undefined ? undefined : this._choice(picked, service, need, now)
  }

  /** An endpoint whose turn would pass goes first, where its answer is expected as soon as any caller needs it. */
  private _dueFirst (choices: readonly EndpointCandidate[], { usualObjective }: Need, now: number): readonly EndpointCandidate[] {
    if (this._gate.quiet) return choices
    const due = choices.filter(({ record, expected }) => this._gate.isDue(startOf(record), now) && expected < COMFORT_SHARE * usualObjective)
    return due.length > 0 ? due : choices
  }

  /**
   * When some endpoint is expected to take the request, for callers that are refused.
   *
   * @example
   * const milliseconds = retryAfter({ patience, objective }, Math.random(), chooser.opening(service, need, now))
   */
  opening (service: ServiceDescription, need: Need, now: number): Opening {
    const takers = this._records.filter(record => this._takes(record, service, { ...need, tried: new Set() }, now))
    if (service.pool === undefined) return this._openingOf(takers, now) ?? { type: 'open' }
    const heard = this._records.filter(record => this._entryOf(record).load.report(now) !== undefined)
    if (heard.length === 0) return { type: 'silent' }
    const times = heard.flatMap(record => this._entryOf(record).load.opensAt(now) ?? [])
    const opening = this._openingOf(takers.filter(record => heard.includes(record)), now)
    if (opening !== undefined) return opening
    return times.length === 0 ? { type: 'unknown' } : { type: 'expected', in: Math.max(0, Math.min(...times) - now) }
  }

  /** When the first of some endpoints that could take a request is to be sent one, as they themselves ask; nothing where there is none. */
  private _openingOf (takers: readonly EndpointRecord[], now: number): Opening | undefined {
    if (takers.length === 0) return undefined
    const soonest = Math.min(...takers.map(record => this._gate.opensIn(startOf(record), now)))
    if (soonest === 0) return { type: 'open' }
    return soonest === Infinity ? { type: 'unknown' } : { type: 'expected', in: soonest }
  }

  /** How many endpoints are sent nothing now because they ask for it, by reason. */
  spared (now: number): ReadonlyMap<SparedFor, number> {
    const counts = new Map<SparedFor, number>()
    if (this._gate.quiet) return counts
    for (const record of this._records) {
      const reason = this._gate.sparedFor(startOf(record), now)
      if (reason !== undefined) counts.set(reason, (counts.get(reason) ?? 0) + 1)
    }
    return counts
  }

  /**
   * Draws among pools' engines, whose reports all entries share, and counts what the others send there meanwhile in what
   * is expected; of plain endpoints the best one is taken.
   */
  private _pick (choices: readonly EndpointCandidate[], costs: readonly number[], { pool }: ServiceDescription, now: number): Picked | undefined {
    if (pool === undefined) return pickedAt(choices, costs.indexOf(Math.min(...costs)), 0)
    const even = { costs, step: readTime(pool, pool.usualPromptTokens), requests: this._sentByOthers(now) }
    const index = chooseEvenly(even, this._draw())
    return pickedAt(choices, index, Math.max(0, levelOf(even) - (costs[index] ?? 0)))
  }

  private _choice ({ candidate, byOthers }: Picked, { pool }: ServiceDescription, { promptTokens }: Need, now: number): Choice {
    const expected = candidate.expected + byOthers
    if (pool === undefined || promptTokens <= pool.usualPromptTokens) return { ...candidate, expected, expectedOfUsual: expected }
    const usual = this._entryOf(candidate.record).load.expectedFirstEvent(pool, pool.usualPromptTokens, now)
    return { ...candidate, expected, expectedOfUsual: usual + byOthers }
  }

  /**
   * Requests that other entries have sent to the engines that this one follows, since the reports that it holds. An agent counts
   * those entries only that reach it: taken for as many as before and as busy as this one, they made the entries of a zone that was
   * cut off refuse half of what its engines could do.
   */
  private _sentByOthers (now: number): number {
    let all = 0
    for (const { load } of this._known.values()) all += load.report(now)?.sentRate ?? 0
    return Math.max(0, all - this.sentRate(now)) * VIEW_AGE
  }

  /** Engines whose load is known. */
  heardCount (now: number): number { return this._followed.filter(record => this._entryOf(record).load.report(now) !== undefined).length }

  /** The version that an endpoint serves, by its fresh report or else by the list. */
  versionOf (record: EndpointRecord, model: string, now: number): number {
    const listed = record.models.find(held => held.model === model)?.version ?? 0
    return this._entryOf(record).load.report(now)?.version ?? listed
  }

  private _open (record: EndpointRecord, service: ServiceDescription, need: Need, now: number): boolean {
    return this._takes(record, service, need, now) && (this._gate.quiet || this._gate.sparedFor(startOf(record), now) === undefined)
  }

  /** Whether an endpoint could take a request, whatever it asks of those who send to it. */
  private _takes (record: EndpointRecord, service: ServiceDescription, need: Need, now: number): boolean {
    if (record.draining || need.tried.has(startOf(record))) return false
    const known = this._entryOf(record)
    if (known.avoidUntil > now || known.load.outstanding >= service.maxConnections) return false
    if (service.pool === undefined || need.model === '') return true
    const version = this.versionOf(record, need.model, now)
    if (version === 0 || version < need.leastVersion) return false
    return known.load.report(now)?.accepting !== false
  }

  private _expect (record: EndpointRecord, service: ServiceDescription, need: Need, now: number, candidates: number): EndpointCandidate {
    const { load } = this._entryOf(record)
    const slots = record.slots > 0 ? record.slots : ASSUMED_SLOTS
    const expected = service.pool === undefined ? load.expectedPlainAnswer(slots, this._plainTime.value(now), now) : load.expectedFirstEvent(service.pool, need.promptTokens, now)
    const version = service.pool === undefined ? 0 : this.versionOf(record, need.model, now)
    return { record, expected, version, reportAge: load.reportAge(now), roundTrip: load.longestRoundTrip(now), candidates }
  }

  private _entryOf (record: EndpointRecord): Known { return this._entry(startOf(record)) }

  private _entry (start: string): Known {
    const known = this._known.get(start) ?? { load: new EndpointLoad(), avoidUntil: -Infinity }
    this._known.set(start, known)
    return known
  }
}

function pickedAt (candidates: readonly EndpointCandidate[], index: number, byOthers: number): Picked | undefined {
  const candidate = candidates[index]
  return candidate === undefined ? undefined : { candidate, byOthers }
}
