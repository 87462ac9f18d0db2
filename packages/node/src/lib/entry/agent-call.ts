/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A single call that has an agent run a request: `run`, or `go` with a ticket. Reports progress as typed events and
 * delivers the parts of the answer in sequence order.
 */
import { AnswerStream, type AdmissionRefusal, type AnswerHead, type EndpointStatus, type PeerReply, type PeerRequest } from '@drumdrift/core'
import { match } from 'ts-pattern'
import { headFault } from '../answer-head.js'
import type { Reply, ReplyListener } from '../peer/connection.js'
import { SilenceTimeout } from '../silence-timeout.js'

/** A piece of an answer, with the number of complete events that it contains. */
export interface AnswerPiece {
  readonly bytes: Buffer
  readonly events: number
}

/** How a call ended. */
export type CallEnd =
  | { readonly type: 'whole' }
  /** The agent refused admission, which proves that nothing ran. */
  | { readonly type: 'refused', readonly reason: AdmissionRefusal }
  /** The agent reported that it never reached the endpoint. */
  | { readonly type: 'not-reached' }
  | { readonly type: 'broken', readonly detail: string }
  | { readonly type: 'lost' }
  /** A timeout passed without a reply and the call was given up. `admitted` is true if the agent had admitted the request. */
  | { readonly type: 'silent', readonly admitted: boolean }
  | { readonly type: 'stopped' }

/** The members of a connection that a call uses. */
export interface CallConnection {
  readonly open: boolean
  ask (request: PeerRequest, payload: Buffer | undefined, listener: ReplyListener): number
  call (request: PeerRequest, payload: Buffer | undefined, timeout: number): Promise<Reply>
  notify (request: PeerRequest): void
  forget (call: number): void
}

/** Receives the events of a call. */
export interface CallListener {
  status (status: EndpointStatus): void
  admitted (): void
  head (head: AnswerHead): void
  /** Returns false to stop the call. */
  pieces (pieces: readonly AnswerPiece[]): boolean
  /** Whether another endpoint can take the request, so that a call without progress is given up. */
  canMove (): boolean
}

/** Timeouts of a call, in milliseconds. After the admission, a call that cannot move is given up only if its agent is silent too. */
export interface CallTimeouts {
  readonly admission: number
  readonly firstAnswer: number
  readonly betweenParts: number
}

/** A call in flight. */
export class AgentCall {
  private readonly _stream = new AnswerStream<AnswerPiece>()
  private _callNumber = 0
  private _admitted = false
  private _silence: SilenceTimeout | undefined
  private _resolve: (end: CallEnd) => void = () => {}
  private _ended = false

  constructor (private readonly _connection: CallConnection, private readonly _timeouts: CallTimeouts, private readonly _listener: CallListener) {}

  /**
   * Sends the request and resolves with the way in which the call ended.
   *
   * @example
   * const end = await new AgentCall(connection, timeouts, listener).send({ type: 'run', endpoint, request }, body)
   */
  send (request: PeerRequest, body: Buffer): Promise<CallEnd> {
    return new Promise(resolve => {
      this._resolve = resolve
      this._restartTimer(this._timeouts.admission)
      this._callNumber = this._connection.ask(request, body, {
        reply: (reply, payload) => this._handleReply(reply, payload),
        lost: () => this._end({ type: 'lost' })
      })
    })
  }

  /** Stops the call and sends a hang-up, upon which the agent aborts the request at its endpoint. */
  stop (): void {
    if (this._ended) return
    this._sendHangUp()
    this._end({ type: 'stopped' })
  }

  private _handleReply (reply: PeerReply, payload: Buffer): void {
    if (this._ended) return
    match(reply)
      .with({ type: 'admitted' }, ({ admission, status }) => {
        this._listener.status(status)
        if (admission.type === 'refused') return this._end({ type: 'refused', reason: admission.reason })
        this._admitted = true
        this._restartTimer(this._timeouts.firstAnswer)
        this._listener.admitted()
      })
      .with({ type: 'head' }, ({ head }) => {
        this._restartTimer(this._timeouts.firstAnswer)
        const fault = headFault(head.status, Object.entries(head.headers).flat())
        if (fault === undefined) return this._listener.head(head)
        this._sendHangUp()
        this._end({ type: 'broken', detail: fault })
      })
      .with({ type: 'part' }, ({ sequence, events }) => {
        this._restartTimer(this._timeouts.betweenParts)
        this._handleProgress(this._stream.part({ sequence, data: { bytes: payload, events } }))
      })
      .with({ type: 'end' }, ({ count, status }) => {
        this._listener.status(status)
        this._handleProgress(this._stream.end(count))
      })
      .with({ type: 'broken' }, ({ detail, notRun, status }) => {
        this._listener.status(status)
        this._end(notRun ? { type: 'not-reached' } : { type: 'broken', detail })
      })
      .with({ type: 'refused' }, ({ detail }) => this._end({ type: 'broken', detail }))
      .otherwise(() => this._end({ type: 'broken', detail: `unexpected reply ${reply.type}` }))
  }

  private _handleProgress (progress: ReturnType<AnswerStream<AnswerPiece>['part']>): void {
    if (progress.type === 'broken') {
      this._sendHangUp()
      this._end(progress)
      return
    }
    if (progress.data.length > 0 && !this._listener.pieces(progress.data)) {
      this.stop()
      return
    }
    if (progress.whole) this._end({ type: 'whole' })
  }

  private _restartTimer (milliseconds: number): void {
    this._silence?.cancel()
    this._silence = new SilenceTimeout(() => { this._handleSilence(milliseconds) }, milliseconds)
  }

  /** An endpoint that is slow has an agent that still answers; the agent aborts the request at its deadline. */
  private async _handleSilence (timeout: number): Promise<void> {
    const silence = this._silence
    const mayWait = this._admitted && !this._listener.canMove()
    const isAgentAlive = mayWait && await this._connection.call({ type: 'ping' }, undefined, timeout).then(() => true, () => false)
    if (this._ended || this._silence !== silence) return
    if (isAgentAlive) return this._restartTimer(timeout)
    this._sendHangUp()
    this._end({ type: 'silent', admitted: this._admitted })
  }

  private _sendHangUp (): void {
    if (!this._connection.open) return
    this._connection.notify({ type: 'hang-up', call: this._callNumber })
  }

  private _end (end: CallEnd): void {
    if (this._ended) return
    this._ended = true
    this._silence?.cancel()
    this._connection.forget(this._callNumber)
    this._resolve(end)
  }
}
