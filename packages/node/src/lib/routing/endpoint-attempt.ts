/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One attempt of a request at an endpoint: the call, the part of the answer that has arrived, and the timeouts. Its outcome is an
 * `AttemptEnd`, from which the next step is decided.
 */
import type { IncomingMessage } from 'node:http'
import { BufferBudget, EventSplitter, MAX_EVENT_BYTES, MIN_UNSUCCESSFUL_STATUS, type AttemptAccount, type AttemptEnd, type AwaitedAnswer, type ChosenEndpoint, type WholeEvents } from '@drumdrift/core'
import { IoTimeout } from '../io-timeout.js'
import { runningTime } from '../periodic-tasks.js'
import { EndpointCall, type EndpointCallEnd, type EndpointRequest } from './endpoint-call.js'
import type { AnswerHead, EndpointHead } from './ports.js'
import type { StreamProgress } from './stream-progress.js'

/**
 * A stream that has no first event after this multiple of the expected time, and at least after the minimum below in
 * milliseconds, is overdue.
 */
const FIRST_EVENT_FACTOR = 4
const MIN_FIRST_EVENT_TIMEOUT = 900
/** A stream that pauses for longer is overdue, in milliseconds: several times the longest pause of a healthy engine. */
const EVENT_GAP_TIMEOUT = 800

/**
 * An answer that is not a stream is buffered up to this size, in bytes, so that a broken one can be retried elsewhere; a larger one is
 * passed on while it arrives. Plain services answer with about 1 KB.
 */
const MAX_BUFFERED_BODY = 64 * 1024
/** An endpoint closes a connection on which nothing is read for some seconds; the close can arrive this long after reading resumes, in milliseconds. */
const UNREAD_CUT_DELAY = 1_000
/** The shortest time in which a crashed endpoint may accept connections again, in milliseconds. */
const MIN_RESTART_TIME = 1_000

const EVENT_TIMEOUT_DETAIL = 'timed out waiting for an event'
const SUPERSEDED_DETAIL = 'another attempt delivered first'
const UNFRAMED_DETAIL = 'the answer has no declared length and may have ended early'
const OVERSIZED_EVENT_DETAIL = `an event exceeds ${MAX_EVENT_BYTES} bytes`
const RECLAIMED_DETAIL = 'the incomplete parts of answers exceed the bound of buffers'
const VERSION_TIMEOUT_DETAIL = 'timed out waiting to begin on an old version'

/**
 * Returns how long the first event of a stream may be missing before it is overdue, in milliseconds.
 *
 * @param expected The expected time to the first event.
 * @example
 * firstEventTimeout(300) // 1200
 */
export function firstEventTimeout (expected: number): number { return Math.max(MIN_FIRST_EVENT_TIMEOUT, FIRST_EVENT_FACTOR * expected) }

/** The parameters of an attempt. */
export interface AttemptPlan {
  readonly choice: ChosenEndpoint
  readonly request: EndpointRequest
  /** How long its connection took to open before, in milliseconds; 0 by default. */
  readonly openedAfter?: number | undefined
  /** The events that were forwarded to the caller, over all attempts of the request. */
  readonly progress: Pick<StreamProgress, 'lastEventId'>
  /** Opens an account for the incomplete part of the answer. By default, nothing is counted. */
  readonly openAccount?: (end: () => void) => AttemptAccount
  /** The events that are awaited; `undefined` for an answer that is no stream. */
  readonly awaited?: AwaitedAnswer | undefined
  /** When the attempt is cancelled unless the endpoint has begun to answer, by this process's clock; `undefined` for never. */
  readonly cancelAt: () => number | undefined
  /** Whether the endpoint is alive after it closed the connection of an answer that has no other end. */
  readonly outlived: () => Promise<boolean>
}

/** Callbacks of an attempt. */
export interface AttemptListener {
  /** A new connection to the endpoint has opened. */
  connected (): void
  readHead (response: IncomingMessage): EndpointHead
  /** Receives whole events of a stream. */
  events (head: AnswerHead, events: WholeEvents): void
  /** Receives a part of an answer that is too large to buffer. */
  bodyPart (head: AnswerHead, bytes: Uint8Array): void
}

/** An attempt in progress. */
export class EndpointAttempt {
  readonly choice: ChosenEndpoint
  readonly sentAt = performance.now()
  private readonly _sentAtRunning = runningTime()
  private readonly _call: EndpointCall
  private readonly _splitter = new EventSplitter()
  private _bodyParts: Buffer[] = []
  private _bodyLength = 0
  private _framed = false
  /** Since when the answer is not read; `undefined` while it is. */
  private _pausedAt: number | undefined
  private _resumedAt = -Infinity
  private _longestPause = 0
  private _head: AnswerHead | undefined
  private _firstEventAt: number | undefined
  private readonly _account: AttemptAccount
  /** How the attempt ends if the entry ended it. */
  private _stoppedAs: AttemptEnd | undefined
  private _cancelAt: number | undefined
  private _cancelTimeout: IoTimeout | undefined
  /** Whether the endpoint may still begin to answer. */
  private _awaitsBegin = true
  /** Resolves when the attempt has ended, whatever its outcome. */
  readonly ended: Promise<AttemptEnd>

  /**
   * Sends the request.
   *
   * @example
   * const end = await new EndpointAttempt(plan, listener).ended
   */
  constructor (private readonly _plan: AttemptPlan, private readonly _listener: AttemptListener) {
    this.choice = _plan.choice
    this._account = (_plan.openAccount ?? openUnboundedAccount)(() => this.breakOff(RECLAIMED_DETAIL))
    this._call = new EndpointCall(_plan.request, {
      connected: () => _listener.connected(),
      readHead: response => _listener.readHead(response),
      head: (head, framed) => {
        this._head = head
        this._framed = framed
      },
      data: bytes => this._onData(bytes)
    })
    // An attempt may be stopped while its endpoint is probed after the end of its answer.
    this.ended = this._call.ended.then(end => this._finish(end)).then(end => end.type === 'answered' ? this._stoppedAs ?? end : end)
    this.rescheduleCancellation()
  }

  /** The time since its connection was begun in which this process ran, in milliseconds: a pause of the process is no delay of the endpoint. */
  get runningFor (): number { return (this._plan.openedAfter ?? 0) + Math.max(0, runningTime() - this._sentAtRunning) }

  /** The head of the answer; `undefined` until it arrives. */
  get head (): AnswerHead | undefined { return this._head }
  /** When the endpoint sent its first whole event; `undefined` before that. */
  get firstEventAt (): number | undefined { return this._firstEventAt }
  /** The body of an answer that is not a stream. */
  get body (): Buffer { return Buffer.concat(this._bodyParts) }

  /** Whether reading the answer was ever paused, so that its duration tells nothing about the endpoint. */
  get everPaused (): boolean { return this._pausedAt !== undefined || this._resumedAt !== -Infinity }

  /** Closes the connection at once. */
  stop (): void { this._call.stop() }

  /** Stops reading the answer. Until it is read again, a missing event is not the fault of the endpoint. */
  pause (): void {
    if (this._pausedAt !== undefined) return
    this._pausedAt = performance.now()
    this._plan.awaited?.pause()
    this._call.pause()
  }

  /** Reads the answer again after a pause. */
  resume (): void {
    if (this._pausedAt === undefined) return
    this._resumedAt = performance.now()
    this._longestPause = Math.max(this._longestPause, this._resumedAt - this._pausedAt)
    this._pausedAt = undefined
    this._plan.awaited?.resume()
    this._call.resume()
  }

  /** Closes the connection at once and ends the attempt as stalled. */
  abort (why: string): void { this._stopAs({ type: 'stalled', detail: why }) }

  /** Closes the connection at once because another attempt has delivered. An attempt that is overdue ends as stalled. */
  supersede (): void {
    const overdue = this._plan.awaited?.overdue === true
    this._stopAs(overdue ? { type: 'stalled', detail: EVENT_TIMEOUT_DETAIL } : { type: 'superseded', detail: SUPERSEDED_DETAIL })
  }

  /** Closes the connection at once and ends the attempt as broken. */
  breakOff (why: string): void { this._stopAs({ type: 'broken', connection: 'open', detail: why }) }

  /** Applies the current time of cancellation. To be called when it may have changed. */
  rescheduleCancellation (): void {
    if (!this._awaitsBegin) return
    const at = this._plan.cancelAt()
    if (at === this._cancelAt) return
    this._cancelAt = at
    this._cancelTimeout?.cancel()
    this._cancelTimeout = at === undefined ? undefined : new IoTimeout(() => this.abort(VERSION_TIMEOUT_DETAIL), at - performance.now())
  }

  private _onData (bytes: Buffer): void {
    const head = this._head
    if (head === undefined) return
    if (!isStream(head)) return this._onBodyData(head, bytes)
    this._onStreamData(head, bytes)
    this._account.set(this._splitter.pending)
    if (this._splitter.oversized) this.breakOff(OVERSIZED_EVENT_DETAIL)
  }

  private _onStreamData (head: AnswerHead, bytes: Buffer): void {
    const events = this._splitter.push(bytes)
    if (events === undefined) return
    this._firstEventAt ??= performance.now()
    this._endCancellation()
    this._plan.awaited?.heard(EVENT_GAP_TIMEOUT)
    this._listener.events(head, events)
  }

  private _onBodyData (head: AnswerHead, bytes: Buffer): void {
    this._bodyParts.push(bytes)
    this._bodyLength += bytes.length
    if (this._bodyLength <= MAX_BUFFERED_BODY) return this._account.set(this._bodyLength)
    this._account.set(0)
    if (!this._framed) return this.abort(UNFRAMED_DETAIL)
    const part = this.body
    this._bodyParts = []
    this._listener.bodyPart(head, part)
  }

  private _endCancellation (): void {
    this._awaitsBegin = false
    this._cancelTimeout?.cancel()
  }

  private _stopAs (end: AttemptEnd): void {
    this._stoppedAs = end
    this._call.stop()
  }

  private async _finish (end: EndpointCallEnd): Promise<AttemptEnd> {
    this._account.close()
    this._endCancellation()
    if (end.type === 'not-run') return end
    if (end.type === 'broken' && this._wasPaused()) return { type: 'unread', detail: end.detail }
    if (this._stoppedAs !== undefined) return this._stoppedAs
    if (end.type === 'whole' && this._head !== undefined) return end.framed || isFailure(this._head) ? this._answerEnd(this._head) : await this._closedAnswerEnd(this._head)
    return end.type === 'broken' ? { type: 'broken', connection: end.connection, detail: end.detail } : { type: 'broken', connection: 'open', detail: end.type }
  }

  private get _withinEvent (): boolean { return this._splitter.pending > 0 }

  private _wasPaused (): boolean { return this._pausedAt !== undefined || performance.now() - this._resumedAt < UNREAD_CUT_DELAY }

  private _answerEnd (head: AnswerHead): AttemptEnd {
    const stream = isStream(head)
    if (stream && this._withinEvent) return { type: 'broken', connection: 'open', detail: 'the stream ended in the middle of an event' }
    return { type: 'answered', status: head.status, stream }
  }

  /**
   * A success without a length or chunks looks complete even if its endpoint crashed or gave up midway: for the caller, a truncated answer
   * that looks complete is worse than none. A stream of a live endpoint that ends between events is complete; nothing tells that of
   * another answer. After a long pause, an endpoint that crashed meanwhile may have started again.
   */
  private async _closedAnswerEnd (head: AnswerHead): Promise<AttemptEnd> {
    if (this._longestPause >= MIN_RESTART_TIME) return { type: 'unread', detail: UNFRAMED_DETAIL }
    if (!await this._plan.outlived()) return { type: 'broken', connection: 'lost', detail: UNFRAMED_DETAIL }
    const isComplete = isStream(head) && !this._withinEvent && this._firstEventAt !== undefined
    return isComplete ? this._answerEnd(head) : { type: 'broken', connection: 'open', detail: UNFRAMED_DETAIL }
  }
}

function openUnboundedAccount (end: () => void): AttemptAccount { return new BufferBudget(Infinity).openAttempt(end) }

function isFailure ({ status }: AnswerHead): boolean { return status >= MIN_UNSUCCESSFUL_STATUS }

/** Only successes are streamed to callers; rejections and failures are passed on as one answer. */
function isStream (head: AnswerHead): boolean { return head.eventStream && !isFailure(head) }
