/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One caller's request on its way: attempts at endpoints, what follows each, and the one final answer.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import {
  AttemptCourse, decideStart, LEAST_FAILURE_STATUS, requestFailure, retryAfter, targetOf, type AttemptEnd, type Choice, type Need, type Opening, type OrganisationDescription, type RequestFailure, type Route
} from '@drumdrift/core'
import type { Histograms } from '../observe/histograms.js'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { avoidanceOf, healthOf, LEAST_UNSUCCESSFUL_STATUS, reasonOf } from './attempt-outcome.js'
import type { CallerAnswer } from './caller-answer.js'
import type { ConnectionReserve } from './connection-reserve.js'
import { connectPatience, EndpointCall, type EndpointCallEnd } from './endpoint-call.js'
import type { CallerHead, Dialect, EndpointHead } from './ports.js'
import type { ServiceUnit } from './service-units.js'
import { StreamProgress } from './stream-progress.js'

/** What requests work with. */
export interface RoutedRequestParts {
  readonly dialect: Dialect
  readonly unit: (service: string) => ServiceUnit | undefined
  /** The least version of a model that may begin a request now; 0 for any. */
  readonly leastVersion: (model: string) => number
  /** When an endpoint of a version must have begun what it was sent, by this process's clock; nothing for no bound. */
  readonly mustBeginBy: (model: string, version: number) => number | undefined
  readonly reserve: ConnectionReserve
  readonly draw: () => number
  readonly log: Log
  readonly counters: Counters
  readonly histograms: Histograms
}

/** A request as it was read. */
export interface ReadRequest {
  readonly head: CallerHead
  readonly method: string
  /** With the query. */
  readonly path: string
  readonly body: Buffer
  readonly receivedAt: number
  readonly route: Route
  readonly organisation: OrganisationDescription | undefined
  readonly configurationVersion: number
}

type AnswerHead = Extract<EndpointHead, { type: 'answer' }>

/** One attempt under way. */
interface Attempt {
  readonly choice: Choice
  readonly call: EndpointCall
  readonly sentAt: number
  readonly number: number
  head: AnswerHead | undefined
  stalled: boolean
  pieces: Buffer[]
}

/**
 * An endpoint answers by itself at the deadline that it was given; its answer gets this time to arrive before the system
 * gives its own, in milliseconds. Under the quarter of a second that holding a request past its time-out may take.
 */
const DEADLINE_GRACE = 80
/** A stream without a first event for this many times what was expected, and at least the time below, goes elsewhere. */
const STALL_FACTOR = 4
const LEAST_STALL = 900
/** A stream that pauses longer goes on elsewhere: a few times the longest pause of a sound engine, in milliseconds. */
const GAP_STALL = 800
/** An endpoint whose agent reported within this can be reached, in milliseconds: three reports of a busy engine. */
const FRESH_REPORT = 350

/** A request from its acceptance to its final answer. */
export class RoutedRequest {
  private readonly _course: AttemptCourse
  private readonly _tried = new Set<string>()
  private readonly _deadline: number
  private readonly _finalTimer: NodeJS.Timeout
  private readonly _stream: StreamProgress
  private _attempt: Attempt | undefined
  private _attempts = 0
  private _stallTimer: NodeJS.Timeout | undefined
  private _beginTimer: NodeJS.Timeout | undefined
  private _unit: ServiceUnit | undefined
  private _usualObjective = 0
  private _over = false
  private _onOver: () => void = () => {}
  /** Resolves when the final answer has been given. */
  readonly done = new Promise<void>(resolve => { this._onOver = resolve })

  constructor (private readonly _parts: RoutedRequestParts, private readonly _request: ReadRequest, private readonly _answer: CallerAnswer) {
    const { head, route, receivedAt } = _request
    this._course = new AttemptCourse(route)
    this._stream = new StreamProgress(head.lastEventId)
    this._deadline = receivedAt + Math.min(route.timeout, head.patience ?? route.timeout)
    this._finalTimer = setTimeout(() => this._timeUp(), this._deadline + DEADLINE_GRACE - performance.now())
    _answer.onGone(() => this._callerGone())
  }

  /** Makes the first attempt, or refuses. */
  start (): void {
    const { route } = this._request
    this._unit = this._parts.unit(targetOf(route, this._parts.draw()))
    this._unit?.budget.attempted()
    this._usualObjective = this._unit?.objective.observe(route.objective) ?? route.objective
    const now = performance.now()
    const choice = this._choose(now)
    if (choice === undefined) return this._refuse('no-endpoint', `no endpoint of ${route.name} can take it`)
    const decision = decideStart({ expected: choice.expectedOfUsual, objective: route.objective, usualObjective: this._usualObjective })
    if (decision.type === 'refuse') return this._refuse('overloaded', `an answer is expected in ${Math.round(choice.expected)} ms only`)
    this._send(choice, now)
  }

  private _choose (now: number): Choice | undefined {
    const unit = this._unit
    return unit?.chooser.choose(unit.description, this._need(), now)
  }

  private _need (): Need {
    const { promptTokens, answerTokens, model } = this._request.head
    return {
      promptTokens, answerTokens, model, leastVersion: this._parts.leastVersion(model), mustBeginBy: version => this._parts.mustBeginBy(model, version), usualObjective: this._usualObjective, tried: this._tried
    }
  }

  private _send (choice: Choice, now: number): void {
    const { head, method, path, body, organisation, route } = this._request
    const { record } = choice
    this._attempts += 1
    this._tried.add(record.id)
    this._stream.restart()
    const remaining = Math.max(1, Math.floor(this._deadline - now))
    const terms = { endpoint: record, remaining, organisation: organisation?.name, version: choice.version, resumeAfter: this._stream.lastEventId }
    const headers = this._parts.dialect.writeRequest(head, terms, body.length)
    const number = this._attempts
    const call = new EndpointCall({ address: record.address, method, path, headers, body, socket: this._ready(choice), connectPatience: connectPatience(route.objective) }, {
      readHead: response => this._readHead(response),
      head: answerHead => this._onHead(number, answerHead),
      data: bytes => this._onData(number, bytes)
    })
    this._attempt = { choice, call, sentAt: now, number, head: undefined, stalled: false, pieces: [] }
    this._unit?.chooser.sent(choice, head.id, head.promptTokens, now)
    this._parts.counters.add('attempts')
    this._parts.log.request('request-sent', {
      id: head.id, route: route.name, attempt: number, endpoint: record.id, zone: record.availabilityZone, expected: Math.round(choice.expected), version: choice.version, load_age: finite(choice.reportAge), round_trip: Math.round(choice.roundTrip), candidates: choice.candidates, prompt: head.promptTokens, remaining, resume_after: this._stream.lastEventId
    })
    if (route.kind === 'streaming') this._watchForStall(Math.max(LEAST_STALL, STALL_FACTOR * choice.expected))
    this._watchBeginning(choice, now)
    call.ended.then(end => this._ended(number, end))
  }

  /**
   * A connection opened in advance may have died unseen, so one is used only where the endpoint's agent was heard just
   * now, and only for requests that may go elsewhere.
   */
  private _ready ({ record, reportAge }: Choice): Socket | undefined {
    const usable = this._course.repeatable && reportAge <= FRESH_REPORT
    return usable ? this._parts.reserve.take(record.address) : undefined
  }

  private _readHead (response: IncomingMessage): EndpointHead {
    return this._parts.dialect.readEndpoint(this._request.head.id, response.statusCode ?? 0, response.headers, response.rawHeaders)
  }

  private _onHead (number: number, head: AnswerHead): void {
    const attempt = this._current(number)
    if (attempt !== undefined) attempt.head = head
  }

  private _onData (number: number, bytes: Buffer): void {
    const attempt = this._current(number)
    if (attempt?.head === undefined) return
    if (!this._streams(attempt.head)) {
      attempt.pieces.push(bytes)
      return
    }
    const now = performance.now()
    const first = this._stream.firstEventAt === undefined
    const events = this._stream.take(bytes, now)
    if (events === undefined) return
    clearTimeout(this._beginTimer)
    this._watchForStall(GAP_STALL)
    this._unit?.chooser.load(attempt.choice.record.id).begun(this._request.head.id, attempt.choice.expected, now)
    if (first) this._record('first-token', now - this._request.receivedAt)
    this._answer.head(attempt.head)
    this._answer.data(events)
    this._course.begun()
  }

  private _streams (head: AnswerHead): boolean {
    return head.eventStream && head.status < LEAST_FAILURE_STATUS
  }

  /** Takes a request back from an endpoint of an old version that has not begun it when it must no longer begin. */
  private _watchBeginning (choice: Choice, now: number): void {
    clearTimeout(this._beginTimer)
    const beginBy = this._parts.mustBeginBy(this._request.head.model, choice.version)
    if (beginBy === undefined) return
    this._beginTimer = setTimeout(() => this._stopAttempt(), beginBy - now)
  }

  private _stopAttempt (): void {
    if (this._attempt === undefined) return
    this._attempt.stalled = true
    this._attempt.call.stop()
  }

  /** Only requests that may go elsewhere are watched. */
  private _watchForStall (milliseconds: number): void {
    clearTimeout(this._stallTimer)
    if (!this._course.repeatable) return
    this._stallTimer = setTimeout(() => {
      if (this._attempts < this._request.route.maxAttempts) this._stopAttempt()
    }, milliseconds)
  }

  private _ended (number: number, end: EndpointCallEnd): void {
    const attempt = this._current(number)
    if (attempt === undefined) return
    this._attempt = undefined
    clearTimeout(this._stallTimer)
    const now = performance.now()
    const outcome = this._outcome(attempt, end)
    this._tellChooser(attempt, outcome, now)
    if (this._over) return
    const step = this._course.ended(outcome, { timeLeft: this._deadline > now, spendRetry: () => this._unit?.budget.trySpend() ?? false })
    this._parts.log.request('attempt-ended', {
      id: this._request.head.id, attempt: number, endpoint: attempt.choice.record.id, outcome: outcome.type, reason: reasonOf(outcome), took: Math.round(now - attempt.sentAt), next: step.type
    })
    if (step.type === 'pass-on') return this._passOn(attempt)
    if (step.type === 'give-up') return this._giveUp(outcome, step.outcome)
    const choice = this._choose(now)
    if (choice === undefined) return this._giveUp(outcome, this._course.mayHaveRun ? 'unknown' : 'not-run')
    this._send(choice, now)
  }

  private _outcome (attempt: Attempt, end: EndpointCallEnd): AttemptEnd {
    if (end.type === 'not-run') return end
    if (attempt.stalled) return { type: 'stalled', detail: 'no event for too long' }
    if (end.type === 'whole' && attempt.head !== undefined) {
      if (this._mayBeShort(attempt.head, end.framed)) return { type: this._answer.begun ? 'cut' : 'broken', detail: 'the answer ended with its connection' }
      const cutEvent = this._streams(attempt.head) && this._stream.withinEvent
      return cutEvent ? { type: 'cut', detail: 'the stream ended within an event' } : { type: 'answered', status: attempt.head.status }
    }
    const detail = end.type === 'broken' ? end.detail : end.type
    return this._answer.begun ? { type: 'cut', detail } : { type: 'broken', detail }
  }

  /**
   * A success without a length looks whole when its endpoint crashed in the middle of it, so it is never believed: half an
   * answer that looks whole is worse for its caller than none.
   */
  private _mayBeShort ({ status }: AnswerHead, framed: boolean): boolean {
    return !framed && status < LEAST_UNSUCCESSFUL_STATUS
  }

  private _tellChooser (attempt: Attempt, outcome: AttemptEnd, now: number): void {
    const { chooser } = this._unit ?? {}
    if (chooser === undefined) return
    const { id } = attempt.choice.record
    // An endpoint's own failure says nothing of its speed: one at the deadline takes as long as a route allows, and 40 of 684
    // plain requests were refused on a day for the slowness that was read from these.
    if (outcome.type === 'answered' && outcome.status < LEAST_FAILURE_STATUS && !attempt.head?.eventStream) chooser.plainTook(id, now - attempt.sentAt, now)
    if (outcome.type === 'not-run') chooser.avoid(id, avoidanceOf(outcome.reason), now)
    chooser.ended(id, this._request.head.id, this._over && outcome.type !== 'answered' ? 'unclear' : healthOf(outcome), now)
  }

  private _passOn (attempt: Attempt): void {
    const { head } = attempt
    if (head === undefined) return this._giveUp({ type: 'broken', detail: 'no head' }, 'unknown')
    if (this._answer.begun) this._answer.end()
    else this._answer.whole(head, Buffer.concat(attempt.pieces))
    this._finish('answered', { status: head.status })
  }

  private _giveUp (end: AttemptEnd, outcome: RequestFailure['outcome']): void {
    const detail = 'detail' in end ? end.detail : end.type
    if (outcome === 'not-run') return this._refuse('overloaded', `endpoints refused it: ${reasonOf(end) ?? detail}`)
    this._fail(requestFailure(outcome === 'cut' ? 'answer-cut' : 'outcome-unknown', outcome, detail))
  }

  /** The time of the caller or of the route is over. */
  private _timeUp (): void {
    if (this._over) return
    const ran = this._attempt !== undefined || this._course.mayHaveRun
    this._fail(requestFailure(ran ? 'timed-out' : 'deadline-passed', ran ? 'unknown' : 'not-run', 'the time is over'))
  }

  private _refuse (code: 'overloaded' | 'no-endpoint', detail: string): void {
    const now = performance.now()
    const unit = this._unit
    const opening: Opening = unit === undefined ? { type: 'unknown' } : unit.chooser.opening(unit.description, this._need(), now)
    const told = opening.type === 'expected' ? `, which opens in ${Math.round(opening.in)} ms` : ''
    const wait = retryAfter(Math.max(0, this._deadline - now), this._parts.draw(), opening)
    this._fail(requestFailure(code, 'not-run', `${detail} (pool ${opening.type}${told})`, wait))
  }

  private _fail (failure: RequestFailure): void {
    if (this._over) return
    this._answer.fail(this._parts.dialect.writeFailure(this._request.head.id, failure))
    this._finish(failure.outcome === 'not-run' ? 'refused' : 'failed', { code: failure.code, detail: failure.detail, retry_after: failure.retryAfter })
  }

  private _callerGone (): void {
    if (!this._over) this._finish('abandoned', {})
  }

  private _finish (result: 'answered' | 'refused' | 'failed' | 'abandoned', fields: Record<string, string | number>): void {
    const { head, route, receivedAt, organisation, configurationVersion } = this._request
    this._over = true
    clearTimeout(this._finalTimer)
    clearTimeout(this._stallTimer)
    clearTimeout(this._beginTimer)
    const took = performance.now() - receivedAt
    const { firstEventAt, longestGap } = this._stream
    this._parts.counters.add(`requests_${result}`)
    this._record(result === 'refused' ? 'refusal' : 'whole-answer', took)
    this._parts.log.request('request-ended', {
      id: head.id, route: route.name, organisation: organisation?.name, configuration: configurationVersion, result, ...fields, took: Math.round(took), first: firstEventAt === undefined ? undefined : Math.round(firstEventAt - receivedAt), objective: route.objective, gap: Math.round(longestGap), attempts: this._attempts
    })
    this._attempt?.call.stop()
    this._onOver()
  }

  private _record (measure: 'first-token' | 'whole-answer' | 'refusal', milliseconds: number): void {
    const { route, organisation } = this._request
    this._parts.histograms.record({ measure, organisation: organisation?.name ?? 'none', requestClass: route.name }, milliseconds)
  }

  private _current (number: number): Attempt | undefined {
    return this._attempt?.number === number ? this._attempt : undefined
  }
}

function finite (milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined
}
