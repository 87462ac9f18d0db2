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
import type { ReplyListener } from '../peer/connection.js'

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
  /** A timeout passed without a reply. `admitted` is true if the agent had admitted the request. */
  | { readonly type: 'silent', readonly admitted: boolean }
  | { readonly type: 'stopped' }

/** The members of a connection that a call uses. */
export interface CallConnection {
  readonly open: boolean
  ask (request: PeerRequest, payload: Buffer | undefined, listener: ReplyListener): number
  tell (request: PeerRequest): void
  forget (call: number): void
}

/** Receives the events of a call. */
export interface CallListener {
  status (status: EndpointStatus): void
  admitted (): void
  head (head: AnswerHead): void
  /** Returns false to stop the call. */
  pieces (pieces: readonly AnswerPiece[]): boolean
}

/** Timeouts of a call, in milliseconds. */
export interface CallPatience {
  readonly admission: number
  readonly firstAnswer: number
  readonly silence: number
}

/** A call in flight. */
export class AgentCall {
  private readonly _stream = new AnswerStream<AnswerPiece>()
  private _call = 0
  private _admitted = false
  private _timer: NodeJS.Timeout | undefined
  private _finish: (end: CallEnd) => void = () => {}
  private _ended = false

  constructor (private readonly _connection: CallConnection, private readonly _patience: CallPatience, private readonly _listener: CallListener) {}

  /**
   * Sends the request and resolves with the way in which the call ended; never rejects.
   *
   * @example
   * const end = await new AgentCall(connection, patience, listener).send({ type: 'run', endpoint, request }, body)
   */
  send (request: PeerRequest, body: Buffer): Promise<CallEnd> {
    return new Promise(resolve => {
      this._finish = resolve
      this._wait(this._patience.admission)
      this._call = this._connection.ask(request, body, {
        reply: (reply, payload) => this._take(reply, payload),
        lost: () => this._end({ type: 'lost' })
      })
    })
  }

  /** Stops the call and sends a hang-up, upon which the agent aborts the request at its endpoint. */
  stop (): void {
    if (this._ended) return
    this._hangUp()
    this._end({ type: 'stopped' })
  }

  private _take (reply: PeerReply, payload: Buffer): void {
    if (this._ended) return
    match(reply)
      .with({ type: 'admitted' }, ({ admission, status }) => {
        this._listener.status(status)
        if (admission.type === 'refused') return this._end({ type: 'refused', reason: admission.reason })
        this._admitted = true
        this._wait(this._patience.firstAnswer)
        this._listener.admitted()
      })
      .with({ type: 'head' }, ({ head }) => {
        this._wait(this._patience.firstAnswer)
        this._listener.head(head)
      })
      .with({ type: 'part' }, ({ sequence, events }) => {
        this._wait(this._patience.silence)
        this._progress(this._stream.part({ sequence, data: { bytes: payload, events } }))
      })
      .with({ type: 'end' }, ({ count, status }) => {
        this._listener.status(status)
        this._progress(this._stream.end(count))
      })
      .with({ type: 'broken' }, ({ detail, notRun, status }) => {
        this._listener.status(status)
        this._end(notRun ? { type: 'not-reached' } : { type: 'broken', detail })
      })
      .with({ type: 'refused' }, ({ detail }) => this._end({ type: 'broken', detail }))
      .otherwise(() => this._end({ type: 'broken', detail: `unexpected reply ${reply.type}` }))
  }

  private _progress (progress: ReturnType<AnswerStream<AnswerPiece>['part']>): void {
    if (progress.type === 'broken') {
      this._hangUp()
      this._end(progress)
      return
    }
    if (progress.data.length > 0 && !this._listener.pieces(progress.data)) {
      this.stop()
      return
    }
    if (progress.whole) this._end({ type: 'whole' })
  }

  private _wait (milliseconds: number): void {
    clearTimeout(this._timer)
    this._timer = setTimeout(() => {
      this._hangUp()
      this._end({ type: 'silent', admitted: this._admitted })
    }, milliseconds)
  }

  private _hangUp (): void {
    if (!this._connection.open) return
    this._connection.tell({ type: 'hang-up', call: this._call })
  }

  private _end (end: CallEnd): void {
    if (this._ended) return
    this._ended = true
    clearTimeout(this._timer)
    this._connection.forget(this._call)
    this._finish(end)
  }
}
