/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One attempt of a request at an endpoint: the call, what came of its answer, and the times after which it is given up. It tells
 * how it ended in the terms of the decision on what follows.
 */
import type { IncomingMessage } from 'node:http'
import { LEAST_UNSUCCESSFUL_STATUS, type AttemptEnd, type Choice } from '@drumdrift/core'
import { EndpointCall, type EndpointCallEnd, type EndpointRequest } from './endpoint-call.js'
import type { AnswerHead, EndpointHead } from './ports.js'
import type { StreamProgress } from './stream-progress.js'

/** A stream without a first event for this many times what was expected, and at least the time below, goes elsewhere. */
const STALL_FACTOR = 4
const LEAST_STALL = 900
/** A stream that pauses longer goes on elsewhere: a few times the longest pause of a sound engine, in milliseconds. */
const GAP_STALL = 800

const SILENT = 'no event for too long'

/** What an attempt is. */
export interface AttemptPlan {
  readonly choice: Choice
  readonly request: EndpointRequest
  /** Where the events of the request's answer are collected, over all attempts. */
  readonly progress: StreamProgress
  /** Whether silence ends it: only where the request may go elsewhere then. */
  readonly endsOnSilence: boolean
  /** When the endpoint must have begun to answer, by this process's clock; nothing for no bound. */
  readonly beginBy: number | undefined
}

/** What the owner of an attempt is asked and told. */
export interface AttemptListener {
  readHead (response: IncomingMessage): EndpointHead
  /** Whole events of a stream came. */
  events (head: AnswerHead, bytes: Uint8Array): void
}

/** An attempt under way. */
export class EndpointAttempt {
  readonly choice: Choice
  readonly sentAt = performance.now()
  private readonly _call: EndpointCall
  private readonly _pieces: Buffer[] = []
  private _head: AnswerHead | undefined
  private _takenBackFor: string | undefined
  private _stallTimer: NodeJS.Timeout | undefined
  /** The same timer, once events come. */
  private _gapTimer: NodeJS.Timeout | undefined
  private _beginTimer: NodeJS.Timeout | undefined
  /** Resolves when it has ended, however it ended. */
  readonly ended: Promise<AttemptEnd>

  /**
   * Sends the request.
   *
   * @example
   * const end = await new EndpointAttempt(plan, listener).ended
   */
  constructor (private readonly _plan: AttemptPlan, private readonly _listener: AttemptListener) {
    this.choice = _plan.choice
    this._call = new EndpointCall(_plan.request, {
      readHead: response => _listener.readHead(response),
      head: head => { this._head = head },
      data: bytes => this._onData(bytes)
    })
    this.ended = this._call.ended.then(end => this._finish(end))
    this._watchForSilence(Math.max(LEAST_STALL, STALL_FACTOR * _plan.choice.expected))
    if (_plan.beginBy !== undefined) this._beginTimer = setTimeout(() => this.takeBack(SILENT), _plan.beginBy - performance.now())
  }

  /** The head of the answer; nothing until it came. */
  get head (): AnswerHead | undefined { return this._head }
  /** The body of an answer that is no stream. */
  get body (): Buffer { return Buffer.concat(this._pieces) }

  /** Ends the attempt at once; the endpoint sees its connection close. */
  stop (): void { this._call.stop() }

  /** Ends the attempt at once, as one from which nothing more is to come. */
  takeBack (why: string): void {
    this._takenBackFor = why
    this._call.stop()
  }

  private _onData (bytes: Buffer): void {
    const head = this._head
    if (head === undefined) return
    if (!isStream(head)) {
      this._pieces.push(bytes)
      return
    }
    const events = this._plan.progress.take(bytes, performance.now())
    if (events === undefined) return
    clearTimeout(this._beginTimer)
    this._watchForGap()
    this._listener.events(head, events)
  }

  private _watchForSilence (milliseconds: number): void {
    clearTimeout(this._stallTimer)
    if (this._plan.endsOnSilence) this._stallTimer = setTimeout(() => this.takeBack(SILENT), milliseconds)
  }

  /** Each event of a stream begins the same wait anew, so its timer is kept. */
  private _watchForGap (): void {
    if (this._gapTimer !== undefined) {
      this._gapTimer.refresh()
      return
    }
    this._watchForSilence(GAP_STALL)
    this._gapTimer = this._stallTimer
  }

  private _finish (end: EndpointCallEnd): AttemptEnd {
    clearTimeout(this._stallTimer)
    clearTimeout(this._beginTimer)
    // A timer that was cleared would run again if it were refreshed.
    this._gapTimer = undefined
    if (end.type === 'not-run') return end
    if (this._takenBackFor !== undefined) return { type: 'stalled', detail: this._takenBackFor }
    if (end.type === 'whole' && this._head !== undefined) return this._answered(this._head, end.framed)
    return end.type === 'broken' ? { type: 'broken', connection: end.connection, detail: end.detail } : { type: 'broken', connection: 'open', detail: end.type }
  }

  private _answered (head: AnswerHead, framed: boolean): AttemptEnd {
    const { status } = head
    // A success without a length looks whole when its endpoint crashed in the middle of it, so it is never believed: half an
    // answer that looks whole is worse for its caller than none.
    if (!framed && status < LEAST_UNSUCCESSFUL_STATUS) return { type: 'broken', connection: 'lost', detail: 'the answer ended with its connection' }
    const stream = isStream(head)
    if (stream && this._plan.progress.withinEvent) return { type: 'broken', connection: 'open', detail: 'the stream ended within an event' }
    return { type: 'answered', status, stream }
  }
}

/** Only successes are streamed to callers: what an endpoint rejects or fails is one answer. */
function isStream ({ eventStream, status }: AnswerHead): boolean {
  return eventStream && status < LEAST_UNSUCCESSFUL_STATUS
}
