/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One call that makes an agent run a request: `run`, or `go` with a ticket. Reports what happens as typed events, the
 * parts of the answer in their order.
 */
import { AnswerStream, type AdmissionRefusal, type AnswerHead, type EndpointStatus, type PeerReply, type PeerRequest } from '@drumdrift/core'
import { match } from 'ts-pattern'
import type { ReplyListener } from '../peer/connection.js'

/** A piece of an answer, with the number of whole events in it. */
export interface AnswerPiece {
  readonly bytes: Buffer
  readonly events: number
}

/** How a call ended. */
export type CallEnd =
  | { readonly type: 'whole' }
  /** Proof that nothing ran. */
  | { readonly type: 'refused', readonly reason: AdmissionRefusal }
  /** The agent's word that the endpoint was never reached. */
  | { readonly type: 'not-reached' }
  | { readonly type: 'broken', readonly detail: string }
  | { readonly type: 'lost' }
  /** No sign came in time. `admitted` tells whether the agent had said that it started. */
  | { readonly type: 'silent', readonly admitted: boolean }
  | { readonly type: 'stopped' }

/** The part of a connection that a call needs. */
export interface CallConnection {
  readonly open: boolean
  ask (request: PeerRequest, payload: Buffer | undefined, listener: ReplyListener): number
  tell (request: PeerRequest): void
  forget (call: number): void
}

/** What happens during a call. */
export interface CallListener {
  status (status: EndpointStatus): void
  admitted (): void
  head (head: AnswerHead): void
  /** Returns false to stop. */
  pieces (pieces: readonly AnswerPiece[]): boolean
}

/** Times of a call, in milliseconds. */
export interface CallPatience {
  readonly admission: number
  readonly firstAnswer: number
  readonly silence: number
}

/** A call under way. */
export class AgentCall {
  private readonly _stream = new AnswerStream<AnswerPiece>()
  private _call = 0
  private _admitted = false
  private _timer: NodeJS.Timeout | undefined
  private _finish: (end: CallEnd) => void = () => {}
  private _ended = false

  constructor (private readonly _connection: CallConnection, private readonly _patience: CallPatience, private readonly _listener: CallListener) {}

  /**
   * Sends the request and resolves when the call has ended, however it ended.
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

  /** Stops the call; the agent is told, and stops the endpoint. */
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
