/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Chooses the endpoint for a request: the one with the shortest expected time to the first event or to the answer, with a
 * penalty in milliseconds for leaving the availability zone and the region.
 */
import { Ejection } from '../../ejection.js'
import type { EndpointCandidate, ChosenEndpoint, EndpointRequirements, EntryLocation, Placement } from './endpoint-choice.js'
import { SOON_ENOUGH_SHARE, costOf, distanceFactor } from './choice-price.js'
import { generationTimeWhenFull, prefillTime } from './engine-model.js'
import { openGate, type EndpointGate, type SparedFor } from './endpoint-gate.js'
import { EndpointLoad, type LoadReport, type PlainService } from './endpoint-load.js'
import { EndpointReach } from './endpoint-reach.js'
import { standingCost, standingPreferences, type EndpointStanding } from './endpoint-standing.js'
import { EndpointEvidence } from './endpoint-evidence.js'
import { COMMON_PLACE, QueueMix, type QueuePlace } from './queue-mix.js'
import { takesLate } from './late-placement.js'
import { overdueTime } from '../attempts/attempt-outcome.js'
import type { ConnectionFailure } from '../attempts/attempt-tracker.js'
import type { PoolOpening } from '../attempts/early-refusal.js'
import { chooseEvenly, levelOf } from './even-choice.js'
import { startKeyOf, type EndpointRecord } from '../published/endpoint-record.js'
import type { PoolDescription, ServiceDescription } from '../published/routing-configuration.js'
import { RequestRate } from './request-rate.js'
import { MeanResponseTime } from './mean-response-time.js'
import type { EvidenceReport } from './told-results.js'
import { cancellationTime, mayStartTooLate } from './version-deadline.js'

/** The picked candidate, and the estimated extra wait from requests that other entries have sent there since, in milliseconds. */
interface PickedCandidate {
  readonly candidate: EndpointCandidate
  readonly waitFromOthers: number
}

/** What the result of an attempt shows about its endpoint. `rejecting`: it is alive, but did not take the request. */
export type EndpointHealth = 'good' | 'error-answer' | 'rejecting' | 'bad' | 'unclear'

/** How much a result counts as a failure. An error that the application answers may be due to the request, and one that was rejected can be sent again. */
const failureWeights: Record<Exclude<EndpointHealth, 'unclear'>, number> = { good: 0, 'error-answer': 0.3, rejecting: 0.6, bad: 1 }

/** How much a connection that did not open counts as a failure at other entries: its request can be sent elsewhere. */
const LOST_CONNECTION_WEIGHT = 0.6
/** Endpoints of which nothing is known are assumed to fail as often as the best of the others, up to this share. */
const MAX_ASSUMED_FAILURE_SHARE = 0.03

/** Why an endpoint is skipped temporarily. */
export type SkipReason = 'refused' | 'wrong-instance' | 'wrong-version'

/** Why an endpoint cannot take a request now. */
export type ExclusionReason = 'draining' | 'region-not-allowed' | 'tried' | 'connections-used' | 'old-version' | 'not-accepting' | 'would-start-late' | 'unreachable' | SkipReason | SparedFor

/** What keeps requests from an endpoint, if anything does. */
export type EndpointCondition = ExclusionReason | 'open' | 'evacuated'

/** How long an endpoint is skipped, in milliseconds. A full or switching endpoint is retried soon. */
const skipTimes: Record<SkipReason, number> = { refused: 100, 'wrong-instance': 3_000, 'wrong-version': 150 }
/**
 * The mean age of an entry's view of an engine, in milliseconds: its agent polls it twenty times a second, and requests that are in
 * flight or were sent just before a poll are not reported yet.
 */
const VIEW_AGE = 80
/** The assumed number of slots of a plain endpoint that does not publish it. */
const ASSUMED_SLOTS = 8

const NO_ZONES: ReadonlySet<string> = new Set()

interface EndpointState {
  readonly load: EndpointLoad
  readonly reach: EndpointReach
  readonly evidence: EndpointEvidence
  skippedUntil: number
  skippedFor: SkipReason | undefined
}

/** Chooses among the endpoints of one service, for one entry. */
export class EndpointChooser {
  /** The state of each incarnation of an endpoint: see `startKeyOf`. */
  private readonly _states = new Map<string, EndpointState>()
  private readonly _ejection = new Ejection()
  private readonly _sentRate = new RequestRate()
  /** The listed endpoints outside of evacuated zones. */
  private _records: readonly EndpointRecord[] = []
  private _evacuated: readonly EndpointRecord[] = []
  private _listed: ReadonlySet<string> = new Set()
  private _followed: readonly EndpointRecord[] = []
  private _others: readonly EndpointRecord[] = []
  private readonly _plainTime = new MeanResponseTime()
  private readonly _mix = new QueueMix()
  /** The objective of the latest request, in milliseconds. */
  private _latestObjective = 0
  /** See `_leastKnownShare`. */
  private _leastFailureShare = 0

  /**
   * @param _random Returns random numbers in [0, 1).
   * @param _gate The restrictions that endpoints place on requests to them.
   */
  constructor (private readonly _place: EntryLocation, private readonly _random: () => number, private readonly _gate: EndpointGate = openGate) {}

  /**
   * Sets the listed endpoints.
   *
   * @param isFollowed Whether the entry receives load reports of an endpoint; others are chosen only if none of these can take a request.
   * @param evacuatedZones Zones whose endpoints are not chosen. Their requests in progress, and so their state, are kept.
   */
  setRecords (records: readonly EndpointRecord[], isFollowed: (record: EndpointRecord) => boolean = () => true, evacuatedZones: ReadonlySet<string> = NO_ZONES): void {
    this._records = evacuatedZones.size === 0 ? records : records.filter(({ availabilityZone }) => !evacuatedZones.has(availabilityZone))
    this._evacuated = evacuatedZones.size === 0 ? [] : records.filter(({ availabilityZone }) => evacuatedZones.has(availabilityZone))
    this._followed = this._records.filter(isFollowed)
    this._others = this._records.filter(record => !isFollowed(record))
    for (const record of [...this._others, ...this._evacuated]) this._states.get(startKeyOf(record))?.load.forgetReport()
    this._listed = new Set(records.map(startKeyOf))
    this._ejection.retain(this._listed)
    for (const [start, { load }] of this._states) if (!this._listed.has(start) && load.outstanding === 0) this._states.delete(start)
  }

  /** The rate at which this entry sends requests to the service, in requests per millisecond. */
  sentRate (now: number): number { return this._sentRate.perMillisecond(now) }

  /** Whether an endpoint that was chosen earlier may still be sent a request: it is listed, and neither draining nor in an evacuated zone. */
  isListed (start: string): boolean { return this._records.some(record => !record.draining && startKeyOf(record) === start) }

  /** The load of an endpoint. */
  load (start: string): EndpointLoad { return this._stateOfStart(start).load }

  /** @param stalled See `EndpointLoad.heard`. */
  heard (start: string, report: LoadReport, now: number, stalled = 0): void {
    if (this._listed.has(start)) this._stateOfStart(start).load.heard(report, now, stalled)
  }

  /**
   * Records the start or the end of a round trip measurement.
   *
   * @param stalled See `EndpointLoad.heard`.
   */
  measured (start: string, step: 'begun' | 'ended', now: number, stalled = 0): void {
    if (!this._listed.has(start)) return
    const { load } = this._stateOfStart(start)
    if (step === 'begun') load.pingStarted(now, stalled)
    else load.pingEnded(now, stalled)
  }

  /** Skips an endpoint temporarily. */
  skip (start: string, why: SkipReason, now: number): void {
    const state = this._stateOfStart(start)
    state.skippedUntil = now + skipTimes[why]
    state.skippedFor = why
  }

  /**
   * Records that a connection to an endpoint opened.
   *
   * @returns Whether the endpoint was unreachable before.
   */
  connected (start: string): boolean { return this._stateOfStart(start).reach.opened() }

  /**
   * Records that a connection to an endpoint did not open.
   *
   * @param begunAt When it was begun.
   * @returns Whether the endpoint has become unreachable.
   */
  connectionFailed (start: string, failure: ConnectionFailure, begunAt: number, now: number): boolean {
    const { reach, evidence } = this._stateOfStart(start)
    evidence.recordLostConnection(LOST_CONNECTION_WEIGHT, now)
    return reach.failed(failure, begunAt, now)
  }

  /**
   * Returns when a request that was sent to an endpoint of an old version is cancelled unless it has begun: see `cancellationTime`.
   *
   * @param bound When the endpoint must have begun it.
   */
  cancellationTime (start: string, bound: number, now: number): number {
    return cancellationTime(bound, this.load(start).longestRoundTrip(now))
  }

  /** Records a request that was sent to the chosen endpoint. */
  sent (choice: ChosenEndpoint, request: string, promptTokens: number, now: number, place: QueuePlace = COMMON_PLACE): void {
    this._sentRate.sent(now)
    this._mix.sent(place)
    const start = startKeyOf(choice.record)
    const { load, reach } = this._stateOfStart(start)
    load.sent(request, promptTokens, now, place)
    reach.sent(now)
    this._ejection.chosen(start)
    this._gate.sent(start, now)
  }

  /** Records the response time of a plain request, in milliseconds. */
  recordPlainAnswer (start: string, milliseconds: number, now: number): void {
    const { load, evidence } = this._stateOfStart(start)
    const service = this._plainService(now)
    load.recordPlainAnswer(milliseconds, service, now)
    evidence.recordTime(milliseconds, load.rememberedPlainAnswer(service, now), SOON_ENOUGH_SHARE * this._latestObjective, now)
    this._plainTime.took(milliseconds, now)
  }

  /**
   * Adds what another entry tells of an endpoint. Endpoints that are not listed here are passed over.
   *
   * @example
   * for (const report of reports) chooser.hear(report, now)
   */
  hear (report: EvidenceReport, now: number): void {
    if (this._listed.has(report.start)) this._stateOfStart(report.start).evidence.hear(report, now)
  }

  /** Returns what other entries should hear about the endpoints, each result once. */
  takeEvidence (now: number): EvidenceReport[] {
    return [...this._states].flatMap(([start, { load, evidence }]) => {
      const sums = evidence.take(load.outstanding === 0 ? 0 : this._overdueAt(load, this._latestObjective, now), now)
      return sums === undefined ? [] : [{ start, ...sums }]
    })
  }

  /** Records the end of a request and what it shows about the endpoint's health. */
  ended (start: string, request: string, health: EndpointHealth, now: number): void {
    const { load, evidence } = this._stateOfStart(start)
    load.ended(request)
    if (health !== 'unclear') evidence.record({ failure: failureWeights[health], requestRate: this.sentRate(now) }, now)
    if (health === 'good') this._ejection.succeeded(start)
    else if (health === 'unclear' || health === 'rejecting') this._ejection.ended(start)
    else this._ejection.failed(start, now)
  }

  /**
   * Chooses an endpoint; returns `undefined` if none can take the request.
   *
   * @example
   * const choice = chooser.choose(service, { promptTokens: 1_290, model: 'drafting', leastVersion: 2, tried: new Set() }, now)
   */
  choose (service: ServiceDescription, need: EndpointRequirements, now: number): ChosenEndpoint | undefined {
    this._latestObjective = need.usualObjective
    this._leastFailureShare = service.pool === undefined ? this._leastKnownShare(need.usualObjective, now) : 0
    for (const [step, admits] of standingPreferences.entries()) {
      if (step > 0 && !this._addsEndpoints(step, service, need, now)) continue
      const among = (records: readonly EndpointRecord[]): ChosenEndpoint | undefined => this._chooseAmong(records.filter(record => admits(this._standingOf(record, service, need, now))), service, need, now)
      const choice = among(this._followedOrDue(now)) ?? among(this._others)
      if (choice !== undefined) return choice
    }
    return undefined
  }

  /** Whether a step of preference admits endpoints that the step before did not: each admits all of the one before. */
  private _addsEndpoints (step: number, service: ServiceDescription, need: EndpointRequirements, now: number): boolean {
    return this._records.some(record => {
      const standing = this._standingOf(record, service, need, now)
      return standingPreferences[step]?.(standing) === true && standingPreferences[step - 1]?.(standing) === false
    })
  }

  private _standingOf (record: EndpointRecord, { pool }: ServiceDescription, { usualObjective }: EndpointRequirements, now: number): EndpointStanding {
    const state = this._stateOf(record)
    const reach = state.reach.state(now)
    const lostConnections = reach === 'reachable' ? 0 : state.reach.failures
    // Endpoints of a pool are many, and their requests can be resumed elsewhere: against failing ones ejection suffices.
    const isOneOfMany = pool !== undefined
    return {
      reach,
      isOneOfMany,
      mayTry: state.reach.mayTry(now),
      lostConnections,
      failureShare: isOneOfMany ? 0 : Math.max(this._leastFailureShare, this._failureShareOf(state, usualObjective, now)),
      slowness: isOneOfMany ? 0 : this._slownessOf(state, now)
    }
  }

  /** What is known of a plain service over all its endpoints. */
  private _plainService (now: number): PlainService { return { usual: this._plainTime.value(now), requestRate: this.sentRate(now) } }

  /**
   * The least share of failures of the endpoints of which results are known. Errors of the application are answered by all of them, so one of which
   * nothing is known, perhaps because it can't be reached, is not assumed to be better.
   */
  private _leastKnownShare (objective: number, now: number): number {
    const known = this._records.map(record => this._stateOf(record)).filter(({ evidence }) => evidence.isKnown(now))
    return known.length === 0 ? 0 : Math.min(MAX_ASSUMED_FAILURE_SHARE, ...known.map(state => this._failureShareOf(state, objective, now)))
  }

  private _slownessOf ({ load, evidence }: EndpointState, now: number): number {
    const service = this._plainService(now)
    return load.slownessOf(evidence.responseTime(load.rememberedPlainAnswer(service, now), now), service, now)
  }

  private _failureShareOf ({ evidence, load }: EndpointState, objective: number, now: number): number {
    return evidence.failureShare(now, this.sentRate(now), this._overdueAt(load, objective, now))
  }

  /** The number of requests in flight at a plain endpoint that will probably fail. */
  private _overdueAt (load: EndpointLoad, objective: number, now: number): number {
    return load.overdue(overdueTime({ expected: this._plainTime.value(now), objective }), now)
  }

  /** The followed endpoints, and others for which this entry holds a permit that would lapse. */
  private _followedOrDue (now: number): readonly EndpointRecord[] {
    if (this._gate.quiet || this._others.length === 0) return this._followed
    const due = this._others.filter(record => this._gate.isDueUnfollowed(startKeyOf(record), now))
    return due.length === 0 ? this._followed : [...this._followed, ...due]
  }

  private _chooseAmong (records: readonly EndpointRecord[], service: ServiceDescription, need: EndpointRequirements, now: number): ChosenEndpoint | undefined {
    const open = records.filter(record => this._isOpen(record, service, need, now))
    const usable = new Set(this._ejection.usable(open.map(startKeyOf), now))
    if (service.pool !== undefined) this._mix.update(this._states.values(), service.pool, this.sentRate(now), now)
    const inTime = open.filter(record => usable.has(startKeyOf(record)))
      .map(record => this._candidateOf(record, service, need, now, open.length))
      .filter(choice => !mayStartTooLate(choice, need, now) && this._takesIfLate(choice, service, need, now))
    const choices = this._preferDue(inTime, need, now)
    const weighed = choices.map(choice => ({ choice, standing: this._standingOf(choice.record, service, need, now) }))
    const remembered = service.pool === undefined ? weighed.map(({ choice, standing }) => ({ ...choice, expected: choice.expected + standing.slowness })) : choices
    const view = { place: this._place, service, need, distanceFactor: distanceFactor(remembered, this._place, need), now }
    const costs = weighed.map(({ choice, standing }) => costOf(choice, this._stateOf(choice.record).load, view) + standingCost(standing, need.usualObjective))
    const picked = this._pick(choices, costs, service, need, now)
    return picked === undefined ? undefined : this._choiceOf(picked, service, need, now)
  }

  /** Prefers rate-limited endpoints for which this entry holds a permit that would lapse, if they are expected to answer soon enough. */
  private _preferDue (choices: readonly EndpointCandidate[], { usualObjective }: EndpointRequirements, now: number): readonly EndpointCandidate[] {
    if (this._gate.quiet) return choices
    const due = choices.filter(({ record, expected }) => this._gate.isDue(startKeyOf(record), now) && expected < SOON_ENOUGH_SHARE * usualObjective)
    return due.length > 0 ? due : choices
  }

  /**
   * Returns when an endpoint is expected to accept the request, to compute the retry delay of a rejected caller.
   *
   * @example
   * const milliseconds = retryAfter({ patience, objective }, Math.random(), chooser.opening(service, need, now))
   */
  opening (service: ServiceDescription, need: EndpointRequirements, now: number): PoolOpening {
    const allowed = this._records.filter(record => this._isAllowed(record, need))
    const capable = allowed.filter(record => this._canTake(record, service, { ...need, tried: new Set() }, now))
    if (service.pool === undefined) return this._openingOf(capable.filter(record => this._stateOf(record).reach.state(now) !== 'unreachable'), now) ?? this._endOfSkips(allowed, now)
    const reporting = allowed.filter(record => this._stateOf(record).load.report(now) !== undefined)
    if (reporting.length === 0) return { type: 'silent' }
    const times = reporting.flatMap(record => this._stateOf(record).load.opensAt(now) ?? [])
    const opening = this._openingOf(capable.filter(record => reporting.includes(record)), now)
    if (opening !== undefined) return opening
    return times.length === 0 ? { type: 'unknown' } : { type: 'expected', in: Math.max(0, Math.min(...times) - now) }
  }

  /** When a plain service opens that is closed because its endpoints are skipped or unreachable. */
  private _endOfSkips (records: readonly EndpointRecord[], now: number): PoolOpening {
    const ends = records.filter(({ draining }) => !draining).map(record => this._stateOf(record).skippedUntil - now).filter(left => left > 0)
    return ends.length === 0 ? { type: 'unknown' } : { type: 'expected', in: Math.min(...ends) }
  }

  /** When the gate next allows a request to one of the given endpoints; `undefined` if the list is empty. */
  private _openingOf (capable: readonly EndpointRecord[], now: number): PoolOpening | undefined {
    if (capable.length === 0) return undefined
    const soonest = Math.min(...capable.map(record => this._gate.opensIn(startKeyOf(record), now)))
    if (soonest === 0) return { type: 'open' }
    return soonest === Infinity ? { type: 'unknown' } : { type: 'expected', in: soonest }
  }

  /**
   * Returns whether the placement rules leave an endpoint for a request.
   *
   * @example
   * if (chooser.placement(need) === 'region-not-allowed') refuse('region-not-allowed')
   */
  placement (need: EndpointRequirements): Placement {
    if (this._records.some(record => this._isAllowed(record, need))) return 'possible'
    if (this._evacuated.some(record => this._isAllowed(record, need))) return 'zones-evacuated'
    return this._records.length + this._evacuated.length === 0 ? 'none-listed' : 'region-not-allowed'
  }

  /** Whether an endpoint is in a region in which the request may run. */
  private _isAllowed ({ availabilityZone }: EndpointRecord, { allowedRegions }: EndpointRequirements): boolean {
    if (allowedRegions === undefined) return true
    const region = (this._place.knownRegionOf ?? this._place.regionOf)(availabilityZone)
    return region !== undefined && allowedRegions.has(region)
  }

  /** The number of endpoints that the gate closes now, by reason. */
  spared (now: number): ReadonlyMap<SparedFor, number> {
    const counts = new Map<SparedFor, number>()
    if (this._gate.quiet) return counts
    for (const record of this._records) {
      const reason = this._gate.sparedFor(startKeyOf(record), now)
      if (reason !== undefined) counts.set(reason, (counts.get(reason) ?? 0) + 1)
    }
    return counts
  }

  /**
   * Picks an engine of a pool at random, because all entries act on the same load reports, and adds the requests of other entries to
   * the expected time. For a plain service it picks the cheapest endpoint.
   */
  private _pick (choices: readonly EndpointCandidate[], costs: readonly number[], { pool }: ServiceDescription, { place = COMMON_PLACE }: EndpointRequirements, now: number): PickedCandidate | undefined {
    if (pool === undefined) return pickAt(choices, costs.indexOf(Math.min(...costs)), 0)
    const even = { costs, step: prefillTime(pool, pool.usualPromptTokens), requests: this._sentByOthers(now) }
    const index = chooseEvenly(even, this._random())
    const level = levelOf({ ...even, requests: even.requests * this._mix.shareUntil(place) })
    return pickAt(choices, index, Math.max(0, level - (costs[index] ?? 0)))
  }

  private _choiceOf ({ candidate, waitFromOthers }: PickedCandidate, { pool }: ServiceDescription, need: EndpointRequirements, now: number): ChosenEndpoint {
    const expected = candidate.expected + waitFromOthers
    if (pool === undefined || need.promptTokens <= pool.usualPromptTokens) return { ...candidate, expected, expectedOfUsual: expected }
    const usual = this._expectedFirstEvent(this._stateOf(candidate.record).load, pool, need, pool.usualPromptTokens, now)
    return { ...candidate, expected, expectedOfUsual: usual + waitFromOthers }
  }

  /**
   * The estimated number of requests that other entries have sent to the followed engines since their last reports. It uses the rates
   * that agents report, which count only the entries that reach them. Assuming a constant number of entries as busy as this one made
   * the entries of a partitioned zone reject half of what its engines could serve.
   */
  private _sentByOthers (now: number): number {
    let all = 0
    for (const { load } of this._states.values()) all += load.report(now)?.sentRate ?? 0
    return Math.max(0, all - this.sentRate(now)) * VIEW_AGE
  }

  /** The version that an endpoint serves, from its current load report or else from its record. */
  versionOf (record: EndpointRecord, model: string, now: number): number {
    const listed = record.models.find(held => held.model === model)?.version ?? 0
    const { load } = this._stateOf(record)
    return load.report(now)?.version ?? (load.covers(listed) ? listed : 0)
  }

  /**
   * Returns why each listed endpoint cannot take a request that `choose` found no endpoint for, by the name of the endpoint.
   *
   * @example
   * if (chooser.choose(service, need, now) === undefined) log.info('no-endpoint', Object.fromEntries(chooser.exclusions(service, need, now)))
   */
  exclusions (service: ServiceDescription, need: EndpointRequirements, now: number): ReadonlyMap<string, ExclusionReason> {
    return new Map(this._records.map(record => [record.id, this._closedFor(record, service, need, now) ?? (this._stateOf(record).reach.mayTry(now) ? 'would-start-late' : 'unreachable')]))
  }

  /**
   * Returns the numbers of listed endpoints by what keeps a request from them: `open` for those that may be sent one, `evacuated` for those
   * in evacuated zones.
   *
   * @example
   * log.warn('route-short', Object.fromEntries(chooser.conditions(service, need, now)))
   */
  conditions (service: ServiceDescription, need: EndpointRequirements, now: number): ReadonlyMap<EndpointCondition, number> {
    const counts = new Map<EndpointCondition, number>()
    const add = (condition: EndpointCondition): void => { counts.set(condition, (counts.get(condition) ?? 0) + 1) }
    for (const record of this._records) {
      const reach = this._stateOf(record).reach.state(now)
      add(this._closedFor(record, service, need, now) ?? (reach === 'unreachable' ? reach : 'open'))
    }
    for (let endpoint = 0; endpoint < this._evacuated.length; endpoint += 1) add('evacuated')
    return counts
  }

  private _isOpen (record: EndpointRecord, service: ServiceDescription, need: EndpointRequirements, now: number): boolean {
    return this._closedFor(record, service, need, now) === undefined
  }

  /** What keeps a request from an endpoint, the gate included; `undefined` if nothing does. */
  private _closedFor (record: EndpointRecord, service: ServiceDescription, need: EndpointRequirements, now: number): ExclusionReason | undefined {
    return this._exclusionOf(record, service, need, now) ?? this._sparedFor(record, now)
  }

  private _sparedFor (record: EndpointRecord, now: number): SparedFor | undefined {
    return this._gate.quiet ? undefined : this._gate.sparedFor(startKeyOf(record), now)
  }

  /** Whether an endpoint could take a request, regardless of the gate. */
  private _canTake (record: EndpointRecord, service: ServiceDescription, need: EndpointRequirements, now: number): boolean {
    return this._exclusionOf(record, service, need, now) === undefined
  }

  /** Why an endpoint cannot take a request, regardless of the gate; `undefined` if it can. */
  private _exclusionOf (record: EndpointRecord, service: ServiceDescription, need: EndpointRequirements, now: number): ExclusionReason | undefined {
    if (record.draining) return 'draining'
    if (!this._isAllowed(record, need)) return 'region-not-allowed'
    if (need.tried.has(startKeyOf(record))) return 'tried'
    const known = this._stateOf(record)
    if (known.skippedUntil > now) return known.skippedFor
    if (known.load.outstanding >= service.maxConnections) return 'connections-used'
    if (service.pool === undefined || need.model === '') return undefined
    const version = this.versionOf(record, need.model, now)
    if (version === 0 || version < need.leastVersion) return 'old-version'
    return known.load.doubts(version) || known.load.report(now)?.accepting === false ? 'not-accepting' : undefined
  }

  private _candidateOf (record: EndpointRecord, service: ServiceDescription, need: EndpointRequirements, now: number, candidates: number): EndpointCandidate {
    const { load } = this._stateOf(record)
    const slots = record.slots > 0 ? record.slots : ASSUMED_SLOTS
    const expected = service.pool === undefined ? load.expectedPlainAnswer(slots, this._plainTime.value(now), now) : this._expectedFirstEvent(load, service.pool, need, need.promptTokens, now)
    const version = service.pool === undefined ? 0 : this.versionOf(record, need.model, now)
    return { record, expected, version, reportAge: load.reportAge(now), roundTrip: load.longestRoundTrip(now), candidates }
  }

  /** The expected time with the place of the request in the engine's queue. */
  private _expectedFirstEvent (load: EndpointLoad, pool: PoolDescription, { slowness = 1, place = COMMON_PLACE }: EndpointRequirements, promptTokens: number, now: number): number {
    return slowness * load.expectedFirstEvent(pool, promptTokens, now, { place, yielding: this._mix.yieldingAt(load, place, now) })
  }

  /** Whether an engine takes the request if it is late. */
  private _takesIfLate ({ record, expected }: EndpointCandidate, { pool }: ServiceDescription, { late, answerTokens }: EndpointRequirements, now: number): boolean {
    if (late === undefined || pool === undefined) return true
    const { load } = this._stateOf(record)
    // The queue of an engine without a report is not known.
    const report = load.report(now)
    if (report === undefined) return false
    const closesAt = load.closesAt(now)
    const { ownLate, ownShare, engines } = this._mix
    return takesLate(pool, {
      expected, generation: Math.max(1, report.pace) * generationTimeWhenFull(pool, answerTokens), waiting: load.waiting(pool, now), closesIn: closesAt === undefined ? undefined : closesAt - now, own: load.waitingLate, ownInAll: ownLate, ownShare, engines
    }, late)
  }

  private _stateOf (record: EndpointRecord): EndpointState { return this._stateOfStart(startKeyOf(record)) }

  private _stateOfStart (start: string): EndpointState {
    const known = this._states.get(start) ?? { load: new EndpointLoad(), reach: new EndpointReach(), evidence: new EndpointEvidence(), skippedUntil: -Infinity, skippedFor: undefined }
    this._states.set(start, known)
    return known
  }
}

function pickAt (candidates: readonly EndpointCandidate[], index: number, waitFromOthers: number): PickedCandidate | undefined {
  const candidate = candidates[index]
  return candidate === undefined ? undefined : { candidate, waitFromOthers }
}
