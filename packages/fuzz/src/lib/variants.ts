/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Mutants of the product's parts, each with one protection removed. Fuzzing must find a violation of the promise that the
 * protection serves; a variant that survives shows a gap in the scenario.
 */
import {
  AdmissionController, AnswerStream, AttemptTracker, ClaimKeeper, ConnectionAttempts, EndpointChooser, EndpointLimits, OnceAttempt, PublishedState, publishedTopics, RevisionLedger, StoreCursor, ColdEndpoints, coldTerms, type Acceptance, type Admission, type AnswerPart, type AnswerProgress, type AnswerVerdict, type CancelReply, type ClaimReply,
  requestFailure, RetryAllowance, SuspectRequests, type SuspectStatus, type StoreAnswerKind, type StoreCall, type StoreView, type AttemptBounds, type AttemptEnd, type Configuration, type NextAction, type OnceEffect, type RetryPurpose, type Published, type PublishedChange, type PublishedTopic, type EndpointRecord, type Checked, type DocumentFailure
} from '@drumdrift/core'
import { realConfigurationParts, type ConfigurationParts } from './configuration-world.js'
import { realLimitParts, type LimitParts } from './limit-world.js'
import { applyAnswer, realPublishedParts, recordView, type AnsweredStoreCall, type PublishedParts, type SentDelta } from './published-parts.js'
import { realPlainParts, type PlainParts } from './plain-world.js'
import { plainRequirements } from './placement-oracle.js'
import { realRequestParts, type RequestParts } from './request-parts.js'
import { runScenario, type Finding } from './scenario.js'
import { realRoutedParts, type RoutedParts } from './routed-world.js'
import { configurationScenario, limitScenario, plainScenario, publishedScenario, requestScenario, routedScenario, suspectScenario, weightsScenario } from './scenarios.js'
import { realSuspectParts, type SuspectParts } from './suspect-world.js'
import { realWeightsParts, type WeightsParts } from './weights-world.js'

/** A variant, with the promise that it must violate. */
export interface Variant {
  readonly name: string
  readonly promise: string
  readonly run: (options: { seed: number, runs: number }) => Finding
}

function requests (name: string, promise: string, change: Partial<RequestParts>): Variant {
  return { name, promise, run: options => runScenario(requestScenario, { ...realRequestParts, ...change }, options) }
}

function weights (name: string, promise: string, change: Partial<WeightsParts>): Variant {
  return { name, promise, run: options => runScenario(weightsScenario, { ...realWeightsParts, ...change }, options) }
}

function configuration (name: string, promise: string, change: Partial<ConfigurationParts>): Variant {
  return { name, promise, run: options => runScenario(configurationScenario, { ...realConfigurationParts, ...change }, options) }
}

function routed (name: string, promise: string, change: Partial<RoutedParts>): Variant {
  return { name, promise, run: options => runScenario(routedScenario, { ...realRoutedParts, ...change }, options) }
}

function plain (name: string, promise: string, change: Partial<PlainParts>): Variant {
  return { name, promise, run: options => runScenario(plainScenario, { ...realPlainParts, ...change }, options) }
}

function suspects (name: string, promise: string, change: Partial<SuspectParts>): Variant {
  return { name, promise, run: options => runScenario(suspectScenario, { ...realSuspectParts, ...change }, options) }
}

function limits (name: string, promise: string, change: Partial<LimitParts>): Variant {
  return { name, promise, run: options => runScenario(limitScenario, { ...realLimitParts, ...change }, options) }
}

/** The parts that each variant of published state replaces, for tests that play a given course. */
export const publishedChanges = new Map<string, Partial<PublishedParts>>()

function published (name: string, promise: string, change: Partial<PublishedParts>): Variant {
  publishedChanges.set(name, change)
  return { name, promise, run: options => runScenario(publishedScenario, { ...realPublishedParts, ...change }, options) }
}

/** Orders changes by revision alone and ignores epochs. */
class EpochIgnoringState extends PublishedState {
  override enterEpoch (): false { return false }
}

/** Takes the endpoint that wrote last at an address for the one that runs there, and the others for gone. */
class LastWriterState extends PublishedState {
  override take (change: PublishedChange, now: number, since?: number): readonly PublishedChange[] {
    if (change.type !== 'endpoint') return super.take(change, now, since)
    const others = this.endpoints().filter(({ id, address }) => address === change.record.address && id !== change.record.id)
    const removed = others.flatMap(({ id }) => super.take({ type: 'endpoint-gone', id, revision: change.revision, certain: true }, now))
    return [...removed, ...super.take(change, now, since)]
  }
}

/** Does not end evacuations whose key is missing from a snapshot. */
class EndlessEvacuationState extends PublishedState {
  override takeSnapshot (topic: PublishedTopic, changes: readonly PublishedChange[], upTo: number, now: number, since?: number): PublishedChange[] {
    if (topic !== 'evacuations') return super.takeSnapshot(topic, changes, upTo, now, since)
    const applied = changes.flatMap(change => this.take(change, now, since))
    this.followed(topic, upTo)
    return applied
  }
}

/** Takes a restored store at its word at once. */
class EvacuationDroppingState extends PublishedState {
  override expire (now: number): PublishedChange[] {
    this.evacuationsCompleteAt(Infinity)
    return super.expire(now)
  }
}

/** Chooses endpoints of evacuated zones. */
class EvacuationIgnoringChooser extends EndpointChooser {
  override setRecords (records: readonly EndpointRecord[], isFollowed?: (record: EndpointRecord) => boolean): void { super.setRecords(records, isFollowed) }
}

/** Accepts the changes of a watch from any epoch. */
class EpochIgnoringCursor extends StoreCursor {
  override judge (_call: StoreCall, { type }: StoreAnswerKind): AnswerVerdict { return type === 'changes' ? 'take' : super.judge('watch', { type }) }
}

/** Does not apply limits to its own requests. */
class IgnoredLimits extends EndpointLimits {
  override sparedFor (): undefined { return undefined }
}

/** Does not apply the limit on cold endpoints to its own requests. */
class UnlimitedCold extends ColdEndpoints {
  override sparedFor (): undefined { return undefined }
}

/** Takes every endpoint that is new in the list for one of the first list. */
class UnpresumedCold extends ColdEndpoints {
  override update (...[records, services, , now]: Parameters<ColdEndpoints['update']>): ReturnType<ColdEndpoints['update']> { return super.update(records, services, false, now) }
}

/** Ignores that a zone was reopened. */
class UnreopenedCold extends ColdEndpoints {
  override zoneReopened (): [] { return [] }
}

/** Records no losses, as would happen if requests were identified by ids that callers choose anew for each attempt. */
class NonRecordingSuspects extends SuspectRequests {
  override lost (): void {}
}

/** Holds a request back after its first lost attempt. */
class FirstLossSuspects extends SuspectRequests {
  override standing (fingerprint: string, now: number): SuspectStatus { return this.lossesOf(fingerprint, now).length > 0 ? 'held-back' : 'clear' }
}

/** Forwards any complete answer, even if the caller already has part of a stream. */
class AnyAnswerTracker extends AttemptTracker {
  override ended (end: AttemptEnd, bounds: AttemptBounds): NextAction {
    return end.type === 'answered' && this.sent > 0 ? { type: 'pass-on' } : super.ended(end, bounds)
  }
}

/** Starts with a budget of retries that no requests have earned. */
class PrefilledAllowance extends RetryAllowance {
  private _prefilled = 5

  override trySpend (purpose: RetryPurpose, now: number): boolean {
    if (this._prefilled === 0) return super.trySpend(purpose, now)
    this._prefilled -= 1
    return true
  }
}

/** Estimates the size of the fleet from the latest count of reachable entries alone. */
class LatestCountFleet {
  private _count: number | undefined

  heard (_zone: string, _agent: string, count: number): boolean {
    this._count = Math.max(1, count * 3)
    return true
  }

  estimate (): number | undefined { return this._count }
}

/** Forwards the parts of an answer in the order in which they arrive. */
class UnorderedStream extends AnswerStream<string> {
  private _parts = 0
  private _expected = -1
  override get whole (): boolean { return this._parts === this._expected }
  override part (part: AnswerPart<string>): AnswerProgress<string> {
    this._parts += 1
    return { type: 'parts', data: [part.data], whole: this.whole }
  }

  override end (count: number): AnswerProgress<string> {
    this._expected = count
    return { type: 'parts', data: [], whole: this.whole }
  }
}

/** Reports an answer as complete when its end arrives, even if parts are missing. */
class EarlyCompleteStream extends AnswerStream<string> {
  override end (count: number): AnswerProgress<string> {
    const progress = super.end(count)
    return progress.type === 'parts' ? { ...progress, whole: true } : progress
  }
}

/** Confirms the cancellation of an unused ticket, but leaves the ticket valid. */
class NoTombstoneController extends AdmissionController {
  override cancel (ticket: string): CancelReply {
    return ticket.startsWith(this.incarnation) && this._unused.has(ticket) ? 'never-started' : super.cancel(ticket)
  }

  override go (ticket: string, now: number): Admission {
    const admission = super.go(ticket, now)
    if (admission.type === 'admitted') this._unused.delete(ticket)
    return admission
  }

  override offer (now: number): ReturnType<AdmissionController['offer']> {
    const reply = super.offer(now)
    if (reply.type === 'ready') this._unused.add(reply.ticket)
    return reply
  }

  private readonly _unused = new Set<string>()
}

/** Treats an unanswered cancellation as proof that the request did not run. */
class SilenceAsProofAttempt extends OnceAttempt {
  override cancelled (reply: CancelReply | 'unreachable'): OnceEffect[] {
    if (reply !== 'unreachable') return super.cancelled(reply)
    return [{ type: 'give-up', failure: requestFailure('no-endpoint', 'not-run', 'no answer') }]
  }
}

/** Vouches for every claim and records none. */
class NonRecordingKeeper extends ClaimKeeper {
  override claim (): ClaimReply { return { type: 'vouched' } }
}

/** Releases a claim for any attempt, not only the one that made it. */
class AnyReleaseKeeper extends ClaimKeeper {
  private readonly _holders = new Map<string, string>()

  override claim (...[organisation, id, attempt, body, now]: Parameters<ClaimKeeper['claim']>): ClaimReply {
    const reply = super.claim(organisation, id, attempt, body, now)
    if (reply.type !== 'seen') this._holders.set(id, attempt)
    return reply
  }

  override release (organisation: string, id: string): void { super.release(organisation, id, this._holders.get(id) ?? '') }
}

/** Vouches before it has run for a whole repeat window. */
class YoungVouchingKeeper extends ClaimKeeper {
  override claim (...[organisation, id, attempt, body, now]: Parameters<ClaimKeeper['claim']>): ClaimReply {
    const reply = super.claim(organisation, id, attempt, body, now)
    return reply.type === 'young' ? { type: 'vouched' } : reply
  }
}

/** Vouches for issued ids that name another incarnation of this keeper. */
class OtherIncarnationKeeper extends ClaimKeeper {
  override claim (...[organisation, id, attempt, body, now]: Parameters<ClaimKeeper['claim']>): ClaimReply {
    const reply = super.claim(organisation, id, attempt, body, now)
    return reply.type === 'stranger' ? { type: 'vouched' } : reply
  }
}

/** Ignores orders to drain. */
class NonDrainingController extends AdmissionController {
  override leave (): boolean { return false }
}

/** Reports no requests in progress. */
class UncountedController extends AdmissionController {
  override get running (): number { return 0 }
}

/** Keeps admitting requests during a switch of versions. */
class SwitchIgnoringController extends AdmissionController {
  override setSwitching (): void {}
}

/** Adopts revisions without regard to their order; validation depends on the given function. */
class NonOrderingLedger extends RevisionLedger<Configuration> {
  private _last: Published | undefined

  constructor (source: string, private readonly _validate: (input: unknown) => Checked<Configuration, DocumentFailure>, private readonly _onlyNewer: boolean) {
    super(source, _validate)
  }

  override get revision (): number { return this._last?.revision ?? 0 }
  override get seenRevision (): number { return this.revision }
  override get published (): Published | undefined { return this._last }
  override offer (published: Published): Acceptance {
    if (published.revision === this.revision) return { type: 'same' }
    if (this._onlyNewer && published.revision < this.revision) return { type: 'same' }
    const checked = this._validate(published.document)
    if ('failure' in checked) return { type: 'refused', failure: checked.failure }
    this._last = published
    return { type: 'adopted', revision: published.revision }
  }
}

/** Applies an answer of the store whose changes count as made at its receipt. */
function takeDatedAtReceipt (state: PublishedState, view: StoreView, answered: AnsweredStoreCall): void {
  const { call, changes, upTo, answeredAt } = answered
  recordView(view, answered)
  applyAnswer(state, call, changes, upTo, answeredAt, answeredAt)
  state.versionsCompleteAt(view.completeUntil)
  state.evacuationsCompleteAt(view.completeUntil)
}

/** A state in which a version counts as due as soon as it is known. */
class DueAtOnceState extends PublishedState {
  override dueVersion (model: string): number { return this.wanted(model)?.version ?? 0 }
}

/** Replaces the changes of a delta. */
function withChanges (sent: SentDelta, change: (changes: readonly PublishedChange[]) => readonly PublishedChange[]): SentDelta {
  return { ...sent, delta: { ...sent.delta, changes: change(sent.delta.changes) } }
}

function withoutEvacuations (changes: readonly PublishedChange[]): PublishedChange[] { return changes.filter(({ type }) => type !== 'evacuation') }

/** Skips an endpoint after one lost connection, whatever others there are. */
class LossExcludingChooser extends EndpointChooser {
  override connectionFailed (...[start, , , now]: Parameters<EndpointChooser['connectionFailed']>): boolean {
    this.skip(start, 'wrong-instance', now)
    return false
  }
}

/** Allows one connection to each endpoint. */
class SingleConnectionAttempts extends ConnectionAttempts {
  override unanswered (): boolean { return false }
}

/** Learns nothing from failed requests. */
class FailureIgnoringChooser extends EndpointChooser {
  override ended (...[start, request, , now]: Parameters<EndpointChooser['ended']>): void { super.ended(start, request, 'unclear', now) }
}

/** Learns nothing from requests that endpoints reject. */
class RejectionIgnoringChooser extends EndpointChooser {
  override ended (...[start, request, health, now]: Parameters<EndpointChooser['ended']>): void { super.ended(start, request, health === 'rejecting' ? 'unclear' : health, now) }
}

/** Leaves only the newest version in a delta. */
function onlyNewest (changes: readonly PublishedChange[]): PublishedChange[] {
  const newest = changes.filter(({ type }) => type === 'wanted-version').at(-1)
  return changes.filter(change => change.type !== 'wanted-version' || change === newest)
}

/** Ages above this are dropped by the variant that drops long ages, in milliseconds. */
const LONG_AGE = 1_000

function withoutLongAges (changes: readonly PublishedChange[]): PublishedChange[] {
  return changes.map(change => change.type === 'wanted-version' && (change.maxAge ?? 0) > LONG_AGE ? { ...change, age: 0, maxAge: 0 } : change)
}

const acceptAny = (input: unknown): Checked<Configuration, DocumentFailure> => ({ value: input as Configuration })

/** All variants. */
export const variants: readonly Variant[] = [
  weights('chunks-unverified', 'whole-version', { verify: () => true }),
  weights('load-before-whole', 'whole-version', { waitsForCompleteVersion: false, rechecksStaging: false }),
  weights('door-open-while-switching', 'one-version', { admissionController: (incarnation, slots) => new SwitchIgnoringController(incarnation, slots) }),
  weights('running-not-counted', 'one-version', { admissionController: (incarnation, slots) => new UncountedController(incarnation, slots) }),
  weights('old-agents-unfenced', 'reaches-all', { enforcesFence: false }),
  requests('parts-as-they-come', 'whole-answer', { stream: () => new UnorderedStream() }),
  requests('end-taken-for-whole', 'whole-answer', { stream: () => new EarlyCompleteStream() }),
  requests('frames-to-newest-call', 'whole-answer', { bindsFramesToCall: false }),
  requests('silence-taken-for-proof', 'not-run', { attempt: (...given) => new SilenceAsProofAttempt(...given) }),
  requests('cancel-without-tombstone', 'at-most-once', { admissionController: (incarnation, slots) => new NoTombstoneController(incarnation, slots) }),
  requests('lost-taken-for-not-run', 'not-run', { lostOutcome: 'not-run' }),
  requests('keepers-forget', 'at-most-once', { keeper: (incarnation, policy) => new NonRecordingKeeper(incarnation, policy) }),
  requests('young-keepers-vouch', 'at-most-once', { keeper: (incarnation, policy) => new YoungVouchingKeeper(incarnation, policy) }),
  requests('strangers-vouch', 'at-most-once', { keeper: (incarnation, policy) => new OtherIncarnationKeeper(incarnation, policy) }),
  requests('one-vouch-is-enough', 'at-most-once', { keepers: (...given) => ({ ...realRequestParts.keepers(...given), needed: 1 }) }),
  requests('anyone-releases', 'at-most-once', { keeper: (incarnation, policy) => new AnyReleaseKeeper(incarnation, policy) }),
  requests('orders-ignored', 'leaving', { admissionController: (incarnation, slots) => new NonDrainingController(incarnation, slots) }),
  requests('list-ignored', 'leaving', { followsInstanceList: false }),
  requests('stop-without-count', 'planned-stop', { admissionController: (incarnation, slots) => new UncountedController(incarnation, slots) }),
  requests('stop-without-patience', 'planned-stop', { stopTimeout: 200 }),
  configuration('downward-allowed', 'never-reverts', { ledger: source => new NonOrderingLedger(source, acceptAny, false) }),
  configuration('start-without-peers', 'never-reverts', { joinsThroughSeeds: false }),
  configuration('invalid-allowed', 'accepted-only', { ledger: source => new NonOrderingLedger(source, acceptAny, true) }),
  configuration('no-comparisons', 'in-force', { comparesWithPeers: false }),
  routed('any-answer-ends-a-stream', 'whole-stream', { course: route => new AnyAnswerTracker(route) }),
  routed('retries-at-birth', 'retry-bound', { allowance: (...given) => new PrefilledAllowance(...given) }),
  routed('every-entry-has-all-retries', 'retry-bound', { allowance: (terms, _entries, now) => new RetryAllowance(terms, () => 1, now) }),
  routed('cut-off-entries-not-counted', 'retry-bound', { fleet: () => new LatestCountFleet() }),
  plain('lost-connections-exclude', 'each-class-served', { chooser: (...given) => new LossExcludingChooser(...given), connections: (...given) => new SingleConnectionAttempts(...given) }),
  plain('failures-not-counted', 'each-class-served', { chooser: (...given) => new FailureIgnoringChooser(...given) }),
  plain('rejections-not-counted', 'each-class-served', { chooser: (...given) => new RejectionIgnoringChooser(...given) }),
  limits('limits-not-heeded', 'within-limit', { limits: (...given) => new IgnoredLimits(...given) }),
  limits('each-entry-has-the-whole-limit', 'within-limit', { limits: (_entries, draw) => new EndpointLimits(() => 1, draw) }),
  limits('cold-not-limited', 'within-cold-rate', { cold: (...given) => new UnlimitedCold(...given) }),
  limits('each-entry-has-the-whole-cold-rate', 'within-cold-rate', { cold: (bounds, _entries, ...given) => new ColdEndpoints(bounds, () => 1, ...given) }),
  limits('cold-shares-begin-full', 'within-cold-rate', { cold: (bounds, entries, _draw, _startedAt) => new ColdEndpoints(bounds, entries, () => 0.999, -Infinity) }),
  limits('cold-permits-as-for-limits', 'within-cold-rate', { cold: (...given) => new ColdEndpoints(...given, bounds => ({ ...coldTerms(bounds), window: 4_000, permitLifetime: () => 1_000 })) }),
  limits('starts-not-taken-for-cold', 'within-cold-rate', { cold: (...given) => new UnpresumedCold(...given) }),
  limits('reopened-zones-not-cold', 'within-cold-rate', { cold: (...given) => new UnreopenedCold(...given) }),
  limits('ends-of-limits-not-told', 'limit-ends', { sharesLimits: false }),
  published('epochs-ignored', 'in-force-after-restore', { state: () => new EpochIgnoringState() }),
  published('last-writer-owns-address', 'in-force-after-restore', { state: () => new LastWriterState() }),
  published('watches-go-on', 'in-force-after-restore', { cursor: state => new EpochIgnoringCursor(state, publishedTopics) }),
  published('copies-taken-for-all', 'never-back', { keepsStateAcrossEpochs: false }),
  published('writings-not-counted', 'never-back', { countsWrites: false }),
  published('versions-dated-at-receipt', 'version-bound', { takeAnswer: takeDatedAtReceipt }),
  published('only-newest-version-told', 'version-bound', { takeDelta: (state, sent, ...times) => realPublishedParts.takeDelta(state, withChanges(sent, onlyNewest), ...times) }),
  published('ages-of-cached-deltas-not-renewed', 'version-bound', { takeDelta: (state, sent, ...times) => realPublishedParts.takeDelta(state, { ...sent, encodedFor: 0 }, ...times) }),
  published('long-ages-dropped', 'version-bound', { takeDelta: (state, sent, ...times) => realPublishedParts.takeDelta(state, withChanges(sent, withoutLongAges), ...times) }),
  published('regions-not-checked', 'allowed-regions', { requirements: (_route, _organisation, tried) => plainRequirements(tried) }),
  published('organisations-regions-not-checked', 'allowed-regions', { requirements: (route, _organisation, tried) => realPublishedParts.requirements(route, undefined, tried) }),
  published('unknown-regions-by-name', 'allowed-regions', { chooser: ({ availabilityZone, regionOf }, random) => new EndpointChooser({ availabilityZone, regionOf }, random) }),
  published('evacuations-not-checked', 'evacuated-zones', { chooser: (...given) => new EvacuationIgnoringChooser(...given) }),
  published('evacuations-not-told', 'in-force-after-restore', { takeDelta: (state, sent, ...times) => realPublishedParts.takeDelta(state, withChanges(sent, withoutEvacuations), ...times) }),
  published('starting-processes-not-told-of-evacuations', 'in-force-after-restore', { takeDelta: (state, sent, ...times) => realPublishedParts.takeDelta(state, state.hasFollowed('evacuations') ? sent : withChanges(sent, withoutEvacuations), ...times) }),
  published('ends-of-evacuations-lost', 'in-force-after-restore', { state: () => new EndlessEvacuationState(), takeDelta: (state, sent, ...times) => realPublishedParts.takeDelta(state, withChanges(sent, changes => changes.filter(({ type }) => type !== 'evacuation-ended')), ...times) }),
  published('evacuations-dropped-at-restore', 'never-back', { state: () => new EvacuationDroppingState() }),
  published('versions-due-at-once', 'version-not-early', { state: () => new DueAtOnceState() }),
  suspects('losses-forgotten', 'few-ends', { suspects: () => new NonRecordingSuspects() }),
  suspects('each-entry-for-itself', 'few-ends', { reportsToAgents: false, evaluatesParts: false }),
  suspects('suspicions-not-contradicted', 'no-innocents', { reportsToAgents: false }),
  suspects('newcomers-not-told', 'few-ends', { informsRestartedEntries: false }),
  suspects('parts-not-evaluated', 'few-ends', { evaluatesParts: false }),
  suspects('answers-clear-no-parts', 'no-innocents', { answersClearParts: false }),
  suspects('held-back-at-once', 'no-innocents', { suspects: () => new FirstLossSuspects() })
]
