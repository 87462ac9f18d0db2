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
import { readTime, stepTime } from './engine-model.js'
import { EndpointLoad, REPORT_LIFETIME, type LoadReport } from './endpoint-load.js'
import type { Opening } from '../attempts/early-refusal.js'
import { chooseEvenly, levelOf } from './even-choice.js'
import { startOf, type EndpointRecord } from '../published/endpoint-record.js'
import type { ServiceDescription } from '../published/routing-configuration.js'
import { RequestRate } from './request-rate.js'
import { UsualTime } from './usual-time.js'

/** Where an entry stands, and which region each zone belongs to. */
export interface Place {
  readonly availabilityZone: string
  readonly regionOf: (availabilityZone: string) => string
}

/** What a request needs of its endpoint. */
export interface Need {
  readonly promptTokens: number
  /** Tokens that the answer is expected to have; 0 where nothing is known. */
  readonly answerTokens: number
  /** The model whose weights must be loaded; empty for plain services. */
  readonly model: string
  /** The least version that may begin the request; 0 for any. */
  readonly leastVersion: number
  /** When an endpoint that serves a version must have begun; nothing for no bound. */
  readonly mustBeginBy: (version: number) => number | undefined
  /** What requests of the service want on average, in milliseconds: see `UsualObjective`. */
  readonly usualObjective: number
  /** Starts of endpoints that have had this request. */
  readonly tried: ReadonlySet<string>
}

/** A chosen endpoint. */
export interface Choice {
  readonly record: EndpointRecord
  /** Milliseconds until the first event, or the whole answer, is expected. */
  readonly expected: number
  /**
   * The same for a request whose prompt is of usual size at most. Requests are admitted by this, since large ones would
   * otherwise be the first to be refused, and they are worth more.
   */
  readonly expectedOfUsual: number
  /** The version that it is taken to serve; 0 for plain services. */
  readonly version: number
  /** The age of what it reported of its load, in milliseconds; infinite for none. */
  readonly reportAge: number
  /** The longest way there and back of the last seconds, in milliseconds; 0 when it is not measured. */
  readonly roundTrip: number
  /** Endpoints that could have been chosen. */
  readonly candidates: number
}

/** An endpoint that might be chosen. */
type Candidate = Omit<Choice, 'expectedOfUsual'>

/** The one that is, and what others are taken to have sent there meanwhile, in milliseconds of waiting. */
interface Picked {
  readonly candidate: Candidate
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
 * Milliseconds that an answer must be expected sooner elsewhere to leave the zone, and the region. Bytes between regions
 * cost about five times those between zones; an event stream is 4 KB.
 */
const ZONE_PRICE = 10
const REGION_PRICE = 20
/**
 * Up to this share of the usual objective it matters little when an answer begins: of those expected at 100 to 150 ms none
 * was late, at 150 to 200 1%, at 200 to 250 4 to 9%, with an objective of 300 to 400. While the own zone has an engine that is
 * expected sooner, leaving it costs so many times the usual price: a sixth of the bytes between regions less.
 */
const COMFORT_SHARE = 0.47
const COMFORT_FACTOR = 3
/**
 * What entries hold of an engine is this old on average, in milliseconds: its agent looks at it twenty times a second, and
 * what was sent just before is not seen there yet, nor what is still on its way.
 */
const VIEW_AGE = 80
/**
 * What it costs, in milliseconds, to leave an engine with a millisecond of work when it wants to switch to another
 * version: that long it takes nothing new, though it still works on what it has.
 */
const CLOSING_PRICE = 1.5
/**
 * What an engine of a pool that tells nothing of itself is taken to be slower, in milliseconds: about two prompts of usual
 * size that nobody knows of. Its agent may just not be reached yet, and all entries would think it idle.
 */
const UNSEEN_PRICE = 100
/** A plain endpoint that names no slots is taken to have these. */
const ASSUMED_SLOTS = 8
/**
 * A request is taken to begin within so many times the expected time, and so many times the way there and back: engines
 * and links may just be getting slower, and the queue of a link that was narrowed grows by its own length in a moment.
 */
const BEGIN_FACTOR = 2
const BEGIN_LINK_FACTOR = 6

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
   */
  constructor (private readonly _place: Place, private readonly _draw: () => number) {}

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
    const choices = open.filter(record => usable.has(startOf(record)))
      .map(record => this._expect(record, service, need, now, open.length))
      .filter(choice => !tooLate(choice, need, now))
    const distanceFactor = this._comfortable(choices, need) ? COMFORT_FACTOR : 1
    const costs = choices.map(choice => this._cost(choice, service, need, distanceFactor, now))
    const picked = this._pick(choices, costs, service, now)
    return picked === undefined ? undefined : this._choice(picked, service, need, now)
  }

  /**
   * When some endpoint is expected to take the request, for callers that are refused.
   *
   * @example
   * const milliseconds = retryAfter({ patience, objective }, Math.random(), chooser.opening(service, need, now))
   */
  opening (service: ServiceDescription, need: Need, now: number): Opening {
    if (service.pool === undefined) return { type: 'open' }
    const heard = this._records.filter(record => this._entryOf(record).load.report(now) !== undefined)
    if (heard.length === 0) return { type: 'silent' }
    if (heard.some(record => this._open(record, service, { ...need, tried: new Set() }, now))) return { type: 'open' }
    const times = heard.flatMap(record => this._entryOf(record).load.opensAt(now) ?? [])
    return times.length === 0 ? { type: 'unknown' } : { type: 'expected', in: Math.max(0, Math.min(...times) - now) }
  }

  /**
   * Draws among pools' engines, whose reports all entries share, and counts what the others send there meanwhile in what
   * is expected; of plain endpoints the best one is taken.
   */
  private _pick (choices: readonly Candidate[], costs: readonly number[], { pool }: ServiceDescription, now: number): Picked | undefined {
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
    if (record.draining || need.tried.has(startOf(record))) return false
    const known = this._entryOf(record)
    if (known.avoidUntil > now || known.load.outstanding >= service.maxConnections) return false
    if (service.pool === undefined || need.model === '') return true
    const version = this.versionOf(record, need.model, now)
    if (version === 0 || version < need.leastVersion) return false
    return known.load.report(now)?.accepting !== false
  }

  private _expect (record: EndpointRecord, service: ServiceDescription, need: Need, now: number, candidates: number): Candidate {
    const { load } = this._entryOf(record)
    const slots = record.slots > 0 ? record.slots : ASSUMED_SLOTS
    const expected = service.pool === undefined ? load.expectedPlainAnswer(slots, this._plainTime.value(now), now) : load.expectedFirstEvent(service.pool, need.promptTokens, now)
    const version = service.pool === undefined ? 0 : this.versionOf(record, need.model, now)
    return { record, expected, version, reportAge: load.reportAge(now), roundTrip: load.longestRoundTrip(now), candidates }
  }

  /** What a choice costs in all, in milliseconds. */
  private _cost (choice: Candidate, service: ServiceDescription, need: Need, distanceFactor: number, now: number): number {
    const unseen = service.pool !== undefined && this._entryOf(choice.record).load.report(now) === undefined
    return choice.expected + distanceFactor * this._distancePrice(choice.record) + this._closingPrice(choice.record, service, need, choice, now) + (unseen ? UNSEEN_PRICE : 0)
  }

  /** The price of work that would hold up a planned switch. */
  private _closingPrice (record: EndpointRecord, { pool }: ServiceDescription, { answerTokens }: Need, { expected }: Candidate, now: number): number {
    const { load } = this._entryOf(record)
    const closesAt = load.closesAt(now)
    if (closesAt === undefined || pool === undefined) return 0
    const tokens = answerTokens > 0 ? answerTokens : pool.usualAnswerTokens
    const ends = now + expected + tokens * stepTime(pool, load.report(now)?.running ?? 0)
    return Math.max(0, ends - closesAt) * CLOSING_PRICE
  }

  /** Whether an answer from the own zone is expected so soon that nothing is gained by a sooner one. */
  private _comfortable (choices: readonly Candidate[], { usualObjective }: Need): boolean {
    return choices.some(({ record, expected }) => record.availabilityZone === this._place.availabilityZone && expected < COMFORT_SHARE * usualObjective)
  }

  private _distancePrice ({ availabilityZone }: EndpointRecord): number {
    if (availabilityZone === this._place.availabilityZone) return 0
    return this._place.regionOf(availabilityZone) === this._place.regionOf(this._place.availabilityZone) ? ZONE_PRICE : REGION_PRICE
  }

  private _entryOf (record: EndpointRecord): Known { return this._entry(startOf(record)) }

  private _entry (start: string): Known {
    const known = this._known.get(start) ?? { load: new EndpointLoad(), avoidUntil: -Infinity }
    this._known.set(start, known)
    return known
  }
}

function pickedAt (candidates: readonly Candidate[], index: number, byOthers: number): Picked | undefined {
  const candidate = candidates[index]
  return candidate === undefined ? undefined : { candidate, byOthers }
}

/**
 * Whether a request could begin on an old version after it must no longer. Where the agent is not heard the way is not
 * known, and may be a link with seconds of queue: then it could.
 */
function tooLate ({ expected, version, roundTrip, reportAge }: Candidate, { mustBeginBy }: Need, now: number): boolean {
  const bound = mustBeginBy(version)
  if (bound === undefined) return false
  return reportAge > REPORT_LIFETIME || now + BEGIN_FACTOR * expected + BEGIN_LINK_FACTOR * roundTrip > bound
}
