/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Routes one request of a caller: makes attempts at endpoints, decides on retries and hedges, and gives exactly one final answer.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import {
  allowedRegionsOf, AttemptTracker, avoidanceOf, comparedObjective, ConnectionAttempts, CRASH_WINDOW, COLD_CONNECT_TIMEOUT, endingAtStop, healthOf, healthOfStopped, isConnectionFailure, MIN_FAILURE_STATUS, MIN_UNSUCCESSFUL_STATUS, reasonOf, requestFailure, retryAfter, startKeyOf, pickService, urgencyOf, type AdmissionRequest, type AttemptEnd, type AwaitedAnswer, type AwaitedEndpoints, type ChosenEndpoint, type ConnectionFailure, type EndpointHealth, type EndpointRecord, type EndpointRequirements, type PoolOpening, type QueuePlace, type RequestFailure, type RetryPurpose, type SuspectSubject, type TraitKind, type WaitReason, type WholeEvents
} from '@drumdrift/core'
import type { EndpointLiveness, EndpointStart } from '../endpoint-liveness.js'
import { IoTimeout } from '../io-timeout.js'
import type { CallerAnswer } from './caller-answer.js'
import { recordOpened, recordUnopened } from './connection-evidence.js'
import type { ConnectionReserve } from './connection-reserve.js'
import { EndpointAttempt, firstEventTimeout } from './endpoint-attempt.js'
import { connectTimeout, type EndpointRequest } from './endpoint-call.js'
import { formatCounts } from './format-counts.js'
import type { NoticeExchange } from './notice-exchange.js'
import type { AnswerHead, Dialect, EndpointHead } from './ports.js'
import { PlainConnections, type OpenedConnection } from './plain-connections.js'
import { RequestRecord, type RecordedRequest, type RecordDependencies, type RequestResult } from './request-record.js'
import type { ServiceUnit } from './service-units.js'
import type { SuspectExchange } from './suspect-exchange.js'
import { StreamProgress } from './stream-progress.js'

/** Dependencies of {@link RoutedRequest}, shared by all requests. */
export interface RoutedRequestDependencies extends RecordDependencies {
  readonly dialect: Dialect
  readonly unit: (service: string) => ServiceUnit | undefined
  /** The lowest version of a model that may begin a request now; 0 for any. */
  readonly minimumVersion: (model: string) => number
  /** When an endpoint of a version must have begun a request, by this process's clock. Returns `undefined` if there is no bound. */
  readonly mustBeginBy: (model: string, version: number) => number | undefined
  readonly reserve: ConnectionReserve
  readonly random: () => number
  /** Identifies what requests have in common: see `RequestTraits`. */
  readonly traits: (request: ReadRequest, scope: string) => SuspectSubject
  readonly notices: Pick<NoticeExchange, 'recordNotice' | 'isCold'>
  /** The endpoints on which this process awaits events. */
  readonly awaited: Pick<AwaitedEndpoints, 'awaitAnswer' | 'silent' | 'counts'>
  readonly liveness: Pick<EndpointLiveness, 'outlived' | 'recordLoss'>
  readonly suspects: Pick<SuspectExchange, 'standing' | 'admits' | 'evidence' | 'lost' | 'recordAlive' | 'survived' | 'answered'>
}

/** A request that has been read completely and matched to a route. */
export interface ReadRequest extends RecordedRequest {
  readonly method: string
  /** Includes the query. */
  readonly path: string
  readonly body: Buffer
}

/**
 * How long after the deadline the entry waits for the answer of an endpoint before it gives its own, in milliseconds. An endpoint
 * answers at the deadline that it was sent, and that answer needs time to arrive. A request may be held for at most 250 ms past
 * its timeout, so this is less.
 */
export const DEADLINE_GRACE = 80
/**
 * A late request is overdue at an engine after this share of its remaining time: its wait depends on the more urgent requests that
 * arrive meanwhile, and at another engine it starts at the end of the queue.
 */
const LATE_STALL_SHARE = 0.6
/** How long after a hedge was not possible it is considered again, in milliseconds. */
const HEDGE_INTERVAL = 200
/** An endpoint counts as reachable if its agent reported within this time, in milliseconds: three reports of a busy engine. */
const FRESH_REPORT_AGE = 350

/** Bounds the length of a log line. */
const MAX_LOGGED_EXCLUSIONS = 6

const NO_STARTS: ReadonlySet<string> = new Set()

/** The end of a request whose connections are given up before it is written. */
const NO_CONNECTION: AttemptEnd = { type: 'not-run', reason: 'connection-superseded' }

const UNUSABLE_BODY_DETAIL = 'a large body cannot continue the stream, or another attempt may still give the answer'

/** Refusals that are counted by their code, because an operator's rule causes them. */
const placementCodes: ReadonlySet<string> = new Set(['region-not-allowed', 'zones-evacuated'])

/** What is held back, for the caller. */
const suspectDescriptions: Record<TraitKind, (fingerprint: string) => string> = {
  request: () => 'the request',
  'prompt-part': fingerprint => `requests with a part of its prompt (fingerprint ${fingerprint})`
}

/** An attempt in flight. */
interface Flight {
  readonly attempt: EndpointAttempt
  /** Counted from 1. */
  readonly number: number
  /** Whether another attempt was in flight when it was sent. */
  readonly hedge: boolean
  /** Its events; `undefined` if the answer is no stream. */
  readonly awaited: AwaitedAnswer | undefined
}

/** The routing of one request, from its acceptance to its final answer. */
export class RoutedRequest {
  private readonly _course: AttemptTracker
  private readonly _record: RequestRecord
  private readonly _tried = new Set<string>()
  private readonly _connections: ConnectionAttempts
  /** The connections that are being opened to a plain service. */
  private _opening: PlainConnections | undefined
  private readonly _allowedRegions: ReadonlySet<string> | undefined
  private readonly _deadline: number
  private readonly _finalTimeout: IoTimeout
  private readonly _progress: StreamProgress
  /** The attempts that may give the answer; a hedge is the second of them. */
  private readonly _inFlight = new Set<Flight>()
  private _attempts = 0
  private _hedgeDueAt = -Infinity
  /** Why the silent attempt is not hedged. */
  private _waitReason: WaitReason | undefined
  /** Whether it was admitted although it cannot be in time: see `ServiceAdmission`. */
  private _late = false
  private _unit: ServiceUnit | undefined
  private _usualObjective = 0
  private readonly _subject = once(() => this._dependencies.traits(this._request, this._model))
  /** When the objective ends, counted from the first try of the caller, by this process's clock. */
  private _objectiveDeadline = 0
  /** Whether some endpoint has been answering it for longer than it takes to crash. */
  private _survived = false
  private _finished = false
  private _resolveDone: () => void = () => {}
  /** Resolves once the final answer has been given. */
  readonly done = new Promise<void>(resolve => { this._resolveDone = resolve })

  constructor (private readonly _dependencies: RoutedRequestDependencies, private readonly _request: ReadRequest, private readonly _answer: CallerAnswer) {
    const { head, route, receivedAt, organisation } = _request
    this._allowedRegions = allowedRegionsOf(route, organisation)
    this._course = new AttemptTracker(route)
    this._record = new RequestRecord(_dependencies, _request)
    this._progress = new StreamProgress(head.lastEventId)
    this._deadline = receivedAt + Math.min(route.timeout, head.patience ?? route.timeout)
    this._connections = new ConnectionAttempts(receivedAt, this._deadline)
    this._finalTimeout = new IoTimeout(() => this._onDeadline(), this._deadline + DEADLINE_GRACE - performance.now())
    _answer.onDisconnect(() => this._onCallerDisconnect())
    _answer.onDrain(() => this._forEachAttempt(attempt => attempt.resume()))
  }

  /** Makes the first attempt, or refuses the request. */
  start (): void {
    const { route } = this._request
    this._unit = this._dependencies.unit(pickService(route, this._dependencies.random()))
    const now = performance.now()
    this._unit?.retries.requested(now)
    this._usualObjective = this._unit === undefined ? route.objective : comparedObjective(this._unit.description, this._unit.objective, route.objective)
    this._objectiveDeadline = this._request.receivedAt + route.objective - this._elapsedSinceFirstTry()
    if (!this._dependencies.suspects.admits(this._subject(), now)) return this._refuseSuspect(now)
    const admission = this._unit?.admission.decide({ ...this._terms(now), service: this._unit.description, objective: route.objective }, now) ?? { type: 'no-endpoint' }
    if (admission.type === 'no-endpoint') return this._refuseWithoutEndpoint()
    if (admission.type === 'overloaded') return this._refuse('overloaded', `the expected answer time of ${Math.round(admission.expected)} ms is too long`)
    if (admission.type === 'gave-way') return this._refuse('gave-way', `the pool is short, and the request gives way to others (expected answer time ${Math.round(admission.expected)} ms)`)
    this._late = admission.type === 'late'
    this._send(admission.choice, now)
  }

  /** Aborts the attempt if this request is held back from now on and its engine may not have begun it yet. */
  holdBack (fingerprint: string): void {
    if (this._answer.begun || !this._subject().traits.some(trait => trait.fingerprint === fingerprint)) return
    if (this._dependencies.suspects.standing(this._subject(), performance.now()) !== 'held-back') return
    if (this._opening?.opening === true) return this._onNoConnection(NO_CONNECTION, performance.now())
    this._forEachAttempt(attempt => attempt.abort('the request is held back because endpoints were lost while running it'))
  }

  /** Applies the current bounds of versions, and the current delay of the link, to the attempt in progress. */
  rescheduleCancellation (): void { this._forEachAttempt(attempt => attempt.rescheduleCancellation()) }

  /**
   * Hedges the request if all its attempts are overdue. They go on until one delivers: its answer may be all that the caller will get.
   */
  checkSilence (): void {
    const [first] = this._inFlight
    if (first?.awaited === undefined || [...this._inFlight].some(({ awaited }) => awaited?.overdue !== true)) return
    const now = performance.now()
    if (this._finished || now < this._hedgeDueAt) return
    this._hedgeDueAt = now + HEDGE_INTERVAL
    this._tryHedge(first, first.awaited, now)
  }

  private _tryHedge ({ attempt, number }: Flight, { silentFor }: AwaitedAnswer, now: number): void {
    const { awaited, suspects } = this._dependencies
    const { silent, counts } = awaited
    const choice = once(() => this._choose(now, silent))
    const decision = this._course.hedge({
      inFlight: this._inFlight.size,
      timeLeft: this._deadline > now,
      suspect: suspects.standing(this._subject(), now) !== 'clear',
      alternative: () => choice() !== undefined ? 'available' : [...silent].some(start => !this._tried.has(start)) ? 'silent' : 'none',
      spendRetry: purpose => this._spendRetry(purpose, now)
    })
    const chosen = decision.type === 'hedge' ? choice() : undefined
    if (chosen !== undefined) return this._send(chosen, now)
    if (decision.type === 'hedge' || decision.reason === this._waitReason) return
    this._waitReason = decision.reason
    this._record.waited({ number, choice: attempt.choice, silence: { milliseconds: silentFor, counts }, reason: decision.reason })
  }

  private _spendRetry (purpose: RetryPurpose, now: number): boolean { return this._unit?.retries.trySpend(purpose, now) ?? false }

  private _forEachAttempt (apply: (attempt: EndpointAttempt) => void): void { for (const { attempt } of this._inFlight) apply(attempt) }

  /** Ends the request because the process stops, and cuts its answer if it has begun. */
  endByStop (): void {
    const ran = this._inFlight.size > 0 || this._course.mayHaveRun
    const progress = this._answer.begun ? 'answer-begun' : ran ? 'may-have-run' : 'not-run'
    this._fail(endingAtStop(progress, this._dependencies.random()), 'stopped')
  }

  private _elapsedSinceFirstTry (): number {
    const { head, route } = this._request
    return head.patience === undefined ? 0 : this._unit?.firstTries.elapsed(route.name, head.patience) ?? 0
  }

  /** Chooses an endpoint that was not tried. `except`: others that are not chosen either. */
  private _choose (now: number, except: ReadonlySet<string> = NO_STARTS): ChosenEndpoint | undefined {
    const unit = this._unit
    if (unit === undefined) return undefined
    const need = unit.admission.need(this._terms(now), this._isLate, now)
    return unit.chooser.choose(unit.description, { ...need, tried: new Set([...need.tried, ...except]) }, now)
  }

  /** Whether it waits behind those in time; a stream that is resumed does not. */
  private get _isLate (): boolean { return this._late && !this._answer.begun }

  private _terms (now: number): Pick<AdmissionRequest, 'need' | 'timeLeft' | 'sinceFirstTry' | 'urgency' | 'organisation'> {
    const { route, organisation, receivedAt } = this._request
    const sinceFirstTry = receivedAt + route.objective - this._objectiveDeadline
    return { need: this._need(), timeLeft: this._deadline - now, sinceFirstTry, urgency: urgencyOf(route, organisation), organisation: organisation?.name }
  }

  /** The model whose versions apply to the request; empty for a plain service, whatever model the caller names. */
  private get _model (): string { return this._unit?.description.pool === undefined ? '' : this._request.head.model }

  private _need (): EndpointRequirements {
    const { promptTokens, answerTokens } = this._request.head
    const model = this._model
    return {
      promptTokens, answerTokens, model, leastVersion: this._dependencies.minimumVersion(model), mustBeginBy: version => this._dependencies.mustBeginBy(model, version), usualObjective: this._usualObjective, tried: this._tried, allowedRegions: this._allowedRegions
    }
  }

  /** When a request that has not begun at an endpoint is cancelled; `undefined` for never. */
  private _cancellationTime ({ record, version }: ChosenEndpoint): number | undefined {
    const bound = this._dependencies.mustBeginBy(this._model, version)
    return bound === undefined ? undefined : this._unit?.chooser.cancellationTime(startKeyOf(record), bound, performance.now())
  }

  private _send (choice: ChosenEndpoint, now: number): void {
    if (this._unit !== undefined && this._unit.description.pool === undefined && this._inFlight.size === 0) return this._openConnection(choice, this._unit, now)
    this._tried.add(startKeyOf(choice.record))
    this._occupy(choice, now)
    this._transmit(choice, now)
  }

  private _openConnection (choice: ChosenEndpoint, { chooser }: ServiceUnit, now: number): void {
    this._opening = new PlainConnections({
      attempts: this._connections,
      request: this._request.head.id,
      tried: this._tried,
      sinks: { chooser, log: this._dependencies.log },
      record: this._record,
      choose: at => this._choose(at),
      timeout: further => this._connectTimeout(further),
      occupied: (occupied, at) => this._occupy(occupied, at),
      opened: (winner, opened) => this._onOpened(winner, opened, chooser),
      lost: (reason, at) => this._onNoConnection({ type: 'not-run', reason }, at)
    })
    this._opening.begin(choice, now)
  }

  /** The endpoint may have begun to leave while its connection opened, or the deadline may have passed. */
  private _onOpened (choice: ChosenEndpoint, opened: OpenedConnection, chooser: ServiceUnit['chooser']): void {
    const now = performance.now()
    const start = startKeyOf(choice.record)
    if (chooser.isListed(start) && now < this._deadline) return this._transmit(choice, now, opened)
    opened.socket.destroy()
    chooser.ended(start, this._request.head.id, 'unclear', now)
    this._onNoConnection(NO_CONNECTION, now)
  }

  /** Ends the request, which has not been sent since its last attempt, if any. */
  private _onNoConnection (end: AttemptEnd, now: number): void {
    const step = this._course.ended(end, { timeLeft: this._deadline > now, suspect: false, elsewhere: () => false, spendRetry: () => false })
    this._giveUp(end, step.type === 'give-up' ? step.outcome : 'unknown')
  }

  private _occupy (choice: ChosenEndpoint, now: number): void {
    const { head } = this._request
    this._unit?.chooser.sent(choice, head.id, head.promptTokens, now, this._place)
  }

  private get _place (): QueuePlace | undefined { return this._unit?.admission.order.place(urgencyOf(this._request.route, this._request.organisation), this._isLate) }

  /** @param opened The open connection to a plain endpoint. */
  private _transmit (choice: ChosenEndpoint, now: number, opened?: OpenedConnection): void {
    const { head, route } = this._request
    this._attempts += 1
    const remaining = Math.max(1, Math.floor(this._deadline - now))
    const hedge = this._inFlight.size > 0
    const awaited = this._awaitAnswer(choice, remaining)
    const attempt = new EndpointAttempt({
      choice,
      request: this._endpointRequest(choice, remaining, opened?.socket),
      openedAfter: opened?.openedAfter,
      progress: this._progress,
      openAccount: end => this._answer.openAttempt(end),
      awaited,
      cancelAt: () => this._cancellationTime(choice),
      outlived: () => this._dependencies.liveness.outlived(endpointStartOf(choice))
    }, {
      connected: () => this._onConnected(choice),
      readHead: response => this._readHead(response, choice, now),
      events: (answerHead, events) => { if (this._inFlight.has(flight)) this._forwardEvents(flight, answerHead, events) },
      bodyPart: (answerHead, bytes) => { if (this._inFlight.has(flight)) this._forwardBodyPart(flight, answerHead, bytes) }
    })
    const flight: Flight = { attempt, number: this._attempts, hedge, awaited }
    this._inFlight.add(flight)
    this._waitReason = undefined
    const late = this._isLate
    const place = this._place
    if (place !== undefined && !hedge) this._unit?.admission.sent(head.id, place, choice.expected, now)
    this._record.attemptSent(this._attempts, choice, { remaining, late, urgency: this._unit?.admission.urgencyFor(urgencyOf(route, this._request.organisation), late), cold: this._isCold(choice.record), hedge, openedAfter: opened?.openedAfter, resumeAfter: this._progress.lastEventId, spared: formatExcludedCounts(this._unit, now) })
    attempt.ended.then(end => this._onAttemptEnded(flight, end))
  }

  /** Plain answers are not awaited: they are never hedged. */
  private _awaitAnswer ({ record, expected }: ChosenEndpoint, remaining: number): AwaitedAnswer | undefined {
    if (this._request.route.kind !== 'streaming') return undefined
    return this._dependencies.awaited.awaitAnswer(startKeyOf(record), this._isLate ? LATE_STALL_SHARE * remaining : firstEventTimeout(expected))
  }

  /**
   * An endpoint's notices apply whatever the outcome of its answer, unless another instance answers at its address. A foreign answer
   * that names no limit does not lift the current one, because an endpoint that sends corrupt answers may still be overloaded.
   */
  private _readHead ({ statusCode = 0, headers, rawHeaders }: IncomingMessage, { record }: ChosenEndpoint, sentAt: number): EndpointHead {
    const { dialect, notices } = this._dependencies
    const endpointHead = dialect.readEndpoint(this._request.head.id, statusCode, headers, rawHeaders)
    const wrongInstance = endpointHead.type === 'not-run' && endpointHead.reason === 'wrong-instance'
    if (wrongInstance) return endpointHead
    const notice = dialect.readNotice(statusCode, headers)
    const limit = endpointHead.type === 'foreign' ? notice.limit ?? 'unsaid' : notice.limit
    notices.recordNotice(startKeyOf(record), { ...notice, limit }, sentAt, performance.now())
    return endpointHead
  }

  private _endpointRequest (choice: ChosenEndpoint, remaining: number, opened: Socket | undefined): EndpointRequest {
    const { head, method, path, body, organisation, route } = this._request
    const { record, version } = choice
    const urgency = this._unit?.admission.urgencyFor(urgencyOf(route, organisation), this._isLate)
    const terms = { endpoint: record, remaining, organisation: organisation?.name, version, urgency, resumeAfter: this._progress.lastEventId }
    const headers = this._dependencies.dialect.writeRequest(head, terms, body.length)
    return { address: record.address, method, path, headers, body, socket: opened ?? this._takeReservedSocket(choice), connectTimeout: this._connectTimeout(choice) }
  }

  private _connectTimeout ({ record }: ChosenEndpoint): number {
    const timeout = this._connections.timeout(startKeyOf(record), connectTimeout(this._request.route.objective))
    return this._isCold(record) ? Math.min(COLD_CONNECT_TIMEOUT, timeout) : timeout
  }

  private _isCold (record: EndpointRecord): boolean { return this._dependencies.notices.isCold(startKeyOf(record)) }

  /**
   * A connection that was opened in advance may have failed unnoticed. One is used only if the agent of the endpoint has reported
   * recently, and only for requests that may be retried elsewhere.
   */
  private _takeReservedSocket ({ record, reportAge }: ChosenEndpoint): Socket | undefined {
    const usable = this._course.repeatable && reportAge <= FRESH_REPORT_AGE
    return usable ? this._dependencies.reserve.take(record.address, startKeyOf(record)) : undefined
  }

  private _forwardEvents (flight: Flight, head: AnswerHead, events: WholeEvents): void {
    const { attempt } = flight
    const { choice } = attempt
    const now = performance.now()
    const isFirst = !this._answer.begun
    this._answer.head(head)
    this._answer.data(events.bytes)
    this._supersedeOthers(flight)
    this._waitReason = undefined
    this._progress.forwarded(events, now)
    this._dependencies.suspects.recordAlive(startKeyOf(choice.record), now)
    this._recordSurvival(attempt, now)
    this._unit?.chooser.load(startKeyOf(choice.record)).begun(this._request.head.id, choice.expected, now)
    this._unit?.admission.begun(this._request.head.id, now)
    if (isFirst) this._record.firstEvent(now)
    this._course.begun()
    this._pauseIfCongested(attempt)
  }

  private _recordSurvival ({ firstEventAt }: EndpointAttempt, now: number): void {
    if (this._survived || now - (firstEventAt ?? now) <= CRASH_WINDOW) return
    this._survived = true
    this._dependencies.suspects.survived(this._subject(), now)
  }

  private _forwardBodyPart (flight: Flight, head: AnswerHead, bytes: Uint8Array): void {
    if (!this._course.mayForwardBody(head.status, this._inFlight.size - 1)) return flight.attempt.breakOff(UNUSABLE_BODY_DETAIL)
    this._answer.head(head)
    this._answer.data(bytes)
    this._supersedeOthers(flight)
    this._course.begun('body-part')
    this._pauseIfCongested(flight.attempt)
  }

  /** Stops the other attempts, so that the parts of the answer that follow come from one endpoint. */
  private _supersedeOthers (delivering: Flight): void {
    if (this._inFlight.size === 1) return
    this._dependencies.counters.add(delivering.hedge ? 'hedges_won' : 'hedges_lost')
    for (const flight of this._inFlight) {
      if (flight === delivering) continue
      this._inFlight.delete(flight)
      flight.attempt.supersede()
    }
  }

  /** Reads no more of an answer than the caller takes: the rest stays with the endpoint. */
  private _pauseIfCongested (attempt: EndpointAttempt): void {
    if (!this._answer.congested) return
    this._dependencies.counters.add('answers_paused')
    attempt.pause()
  }

  private _onAttemptEnded (flight: Flight, end: AttemptEnd): void {
    const { attempt, awaited, number } = flight
    const superseded = !this._inFlight.delete(flight)
    const now = performance.now()
    this._updateChooser(flight, end, now)
    this._updateSuspects(attempt, end, now)
    const silence = awaited === undefined || end.type !== 'stalled' ? undefined : { milliseconds: awaited.silentFor, counts: this._dependencies.awaited.counts }
    awaited?.end()
    if (this._finished) return
    const suspect = this._dependencies.suspects.standing(this._subject(), now) !== 'clear'
    const nextChoice = once(() => this._choose(now))
    const step = this._course.ended(end, {
      timeLeft: this._deadline > now, suspect, othersInFlight: superseded ? 1 : this._inFlight.size, elsewhere: () => nextChoice() !== undefined, spendRetry: purpose => this._spendRetry(purpose, now)
    })
    const traits = end.type === 'broken' ? this._subject().traits : undefined
    const answeredFor = attempt.firstEventAt === undefined ? undefined : now - attempt.firstEventAt
    this._record.attemptEnded({ number, choice: attempt.choice, end, took: now - attempt.sentAt, next: step, silence, traits, answeredFor })
    if (step.type === 'await-other') return this._onOtherAwaited(flight, superseded)
    if (step.type === 'pass-on') return this._forwardAnswer(attempt)
    if (step.type === 'give-up') return this._giveUp(end, step.outcome)
    const choice = nextChoice()
    if (choice !== undefined) this._send(choice, now)
  }

  /** Once the hedge is the only attempt, it counts neither as won nor as lost. */
  private _onOtherAwaited ({ hedge }: Flight, superseded: boolean): void {
    if (hedge && !superseded) this._dependencies.counters.add('hedges_lost')
  }

  private _onConnected ({ record }: ChosenEndpoint): void {
    if (this._unit !== undefined) recordOpened({ chooser: this._unit.chooser, log: this._dependencies.log }, record)
  }

  private _onConnectionFailed ({ choice: { record }, sentAt }: EndpointAttempt, reason: ConnectionFailure, now: number): void {
    if (this._unit !== undefined) recordUnopened({ chooser: this._unit.chooser, log: this._dependencies.log }, record, reason, sentAt, now)
    if (reason === 'connection-timed-out' && this._connections.unanswered(startKeyOf(record), now)) this._tried.delete(startKeyOf(record))
  }

  private _updateChooser (flight: Flight, end: AttemptEnd, now: number): void {
    const { attempt } = flight
    const { choice, head, everPaused } = attempt
    const { chooser } = this._unit ?? {}
    if (chooser === undefined) return
    const start = startKeyOf(choice.record)
    if (this._inFlight.size === 0) this._unit?.admission.ended(this._request.head.id, now)
    // Failures don't count towards the response time of an endpoint: one at the deadline takes as long as the route allows. When they
    // did count, 40 of 684 plain requests in a day were refused because their endpoints were taken for slow. Neither does the time that
    // a caller takes to read its answer.
    const isTimed = end.type === 'answered' && end.status < MIN_FAILURE_STATUS && head?.eventStream !== true && !everPaused
    if (isTimed) chooser.recordPlainAnswer(start, attempt.runningFor, now)
    if (end.type === 'not-run') {
      if (isConnectionFailure(end.reason)) this._onConnectionFailed(attempt, end.reason, now)
      else if (end.reason !== 'unsendable') chooser.skip(start, avoidanceOf(end.reason), now)
    }
    chooser.ended(start, this._request.head.id, this._finished && end.type !== 'answered' ? this._healthOfStopped(flight) : healthOf(end), now)
  }

  /**
   * The wait for an engine depends on its queue, and that of a begun answer on its caller, unless it is overdue while other endpoints
   * deliver.
   */
  private _healthOfStopped ({ attempt: { choice, head, runningFor }, awaited }: Flight): EndpointHealth {
    if (awaited?.overdue === true && this._othersDeliver) return 'bad'
    if (head !== undefined || this._unit?.description.pool !== undefined) return 'unclear'
    return healthOfStopped(runningFor, { expected: choice.expected, objective: this._request.route.objective })
  }

  private get _othersDeliver (): boolean {
    const { silent, awaited } = this._dependencies.awaited.counts
    return silent < awaited
  }

  /** A rejection shows that the endpoint is alive too, unless it names another instance. */
  private _updateSuspects ({ choice, firstEventAt }: EndpointAttempt, end: AttemptEnd, now: number): void {
    const { suspects } = this._dependencies
    const { start } = endpointStartOf(choice)
    if (end.type === 'broken' && end.connection === 'lost') {
      suspects.lost(this._subject(), endpointStartOf(choice), now - (firstEventAt ?? now), now)
      this._dependencies.liveness.recordLoss(start, now)
    }
    // An engine rejects at the deadline requests that it may not have begun, so only a success shows that it survived the request.
    if (end.type === 'answered' && end.status < MIN_UNSUCCESSFUL_STATUS) suspects.answered(this._subject(), now)
    if (end.type === 'answered' || (end.type === 'not-run' && end.reason === 'full')) suspects.recordAlive(start, now)
  }

  private _forwardAnswer ({ head, body }: EndpointAttempt): void {
    if (head === undefined) return this._giveUp({ type: 'broken', connection: 'open', detail: 'the answer has no head' }, 'unknown')
    try {
      if (this._answer.begun) this._answer.end()
      else this._answer.whole(head, body)
    } catch (error) {
      return this._giveUp({ type: 'broken', connection: 'open', detail: `the answer cannot be passed on: ${error instanceof Error ? error.message : 'unknown error'}` }, 'unknown')
    }
    this._finish({ type: 'answered', status: head.status })
  }

  private _giveUp (end: AttemptEnd, outcome: RequestFailure['outcome']): void {
    const detail = 'detail' in end ? end.detail : end.type
    const now = performance.now()
    if (outcome === 'not-run' && this._dependencies.suspects.standing(this._subject(), now) === 'held-back') return this._refuseSuspect(now)
    if (outcome === 'not-run') return this._refuse('overloaded', `the endpoints refused the request: ${reasonOf(end) ?? detail}`)
    this._fail(requestFailure(outcome === 'cut' ? 'answer-cut' : 'outcome-unknown', outcome, detail))
  }

  /** The timeout of the caller or of the route has expired. */
  private _onDeadline (): void {
    if (this._finished) return
    const ran = this._inFlight.size > 0 || this._course.mayHaveRun
    this._fail(requestFailure(ran ? 'timed-out' : 'deadline-passed', ran ? 'unknown' : 'not-run', 'the deadline has passed'))
  }

  private _refuseWithoutEndpoint (): void {
    const { route, organisation } = this._request
    const placement = this._unit?.chooser.placement(this._need())
    const regions = [...this._allowedRegions ?? []].join(',')
    if (placement === 'region-not-allowed') return this._refuse(placement, `no endpoint is in a region that ${route.name} and ${organisation?.name ?? 'callers without a key'} allow (${regions === '' ? 'none in common' : regions})`)
    if (placement === 'zones-evacuated') return this._refuse(placement, `every endpoint that ${route.name} may use is in an evacuated zone`)
    this._refuse('no-endpoint', `no endpoint of ${route.name} can take it${this._formatExclusions()}`)
  }

  /** Why each endpoint is excluded, for the log. */
  private _formatExclusions (): string {
    const unit = this._unit
    if (unit === undefined) return ''
    const reasons = [...unit.chooser.exclusions(unit.description, this._need(), performance.now())].map(([endpoint, reason]) => `${endpoint}:${reason}`)
    if (reasons.length === 0) return ', none is listed'
    const shown = reasons.slice(0, MAX_LOGGED_EXCLUSIONS).join(',')
    return reasons.length > MAX_LOGGED_EXCLUSIONS ? `, excluded ${shown} and ${reasons.length - MAX_LOGGED_EXCLUSIONS} more` : `, excluded ${shown}`
  }

  private _refuse (code: 'overloaded' | 'gave-way' | 'no-endpoint' | 'region-not-allowed' | 'zones-evacuated', detail: string): void {
    const now = performance.now()
    const unit = this._unit
    const opening: PoolOpening = unit === undefined ? { type: 'unknown' } : unit.chooser.opening(unit.description, this._need(), now)
    const excluded = formatExcludedCounts(unit, now)
    const opensIn = opening.type === 'expected' ? `, which opens in ${Math.round(opening.in)} ms` : ''
    const wait = retryAfter({ patience: Math.max(0, this._deadline - now), objective: this._objectiveDeadline - now, position: unit?.admission.order.returnPosition(urgencyOf(this._request.route, this._request.organisation)) }, this._dependencies.random(), opening)
    const exclusions = excluded === undefined ? '' : `, spared ${excluded}`
    const refusalCode = code === 'no-endpoint' && excluded !== undefined ? 'endpoints-spared' : code
    if (placementCodes.has(code)) this._dependencies.counters.add(`refused_${code.replaceAll('-', '_')}`)
    this._fail(requestFailure(refusalCode, 'not-run', `${detail} (pool ${opening.type}${opensIn}${exclusions})`, wait))
  }

  /** Refuses a request that is held back because endpoints were repeatedly lost while running it, and names a retry time. */
  private _refuseSuspect (now: number): void {
    const { trait, lost, heldBackFor } = this._dependencies.suspects.evidence(this._subject(), now)
    const suspect = trait === undefined ? 'the request' : suspectDescriptions[trait.kind](trait.fingerprint)
    this._fail(requestFailure('ends-endpoints', 'not-run', `${lost.length} endpoints were lost while running ${suspect}: ${lost.join(', ')}`, Math.round(heldBackFor)))
  }

  private _fail (failure: RequestFailure, result: 'refused' | 'failed' | 'stopped' = failure.outcome === 'not-run' ? 'refused' : 'failed'): void {
    if (this._finished) return
    try {
      this._answer.fail(this._dependencies.dialect.writeFailure(this._request.head.id, failure))
    } finally {
      this._finish({ type: result, failure })
    }
  }

  private _onCallerDisconnect (): void {
    if (this._finished) return
    if (this._answer.reclaimed) this._finish({ type: 'failed', failure: requestFailure('buffers-full', 'cut', 'the caller did not read its answer while buffers were full') })
    else this._finish({ type: 'abandoned' })
  }

  private _finish (result: RequestResult): void {
    this._finished = true
    this._finalTimeout.cancel()
    this._record.ended(result, this._attempts, this._progress, performance.now())
    this._forEachAttempt(attempt => attempt.stop())
    this._opening?.end()
    this._resolveDone()
  }
}

function endpointStartOf ({ record }: ChosenEndpoint): EndpointStart { return { start: startKeyOf(record), address: record.address } }

/**
 * The numbers of endpoints that receive no requests now because they asked for it, by reason. Returns `undefined` if there are none.
 */
function formatExcludedCounts (unit: ServiceUnit | undefined, now: number): string | undefined {
  const counts = unit?.chooser.spared(now)
  return counts === undefined || counts.size === 0 ? undefined : formatCounts(counts)
}

/** Returns a function that computes a value on its first call and caches it. */
function once<Value> (compute: () => Value): () => Value {
  let cached: { readonly value: Value } | undefined
  return () => {
    cached ??= { value: compute() }
    return cached.value
  }
}
