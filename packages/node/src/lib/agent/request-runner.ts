/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Runs admitted requests on the endpoint beside the agent and sends the answer back in numbered parts. Event streams
 * are split only between events, so that another endpoint can resume an answer after a complete event.
 */
import type { IncomingMessage } from 'node:http'
import type { AdmissionController, EndpointNotices, EndpointStatus, ForwardedRequest, LinkPacer } from '@drumdrift/core'
import { failureOf, MAX_EVENT_BYTES } from '@drumdrift/core'
import { isFramed } from '../answer-framing.js'
import { EndpointLiveness } from '../endpoint-liveness.js'
import { probeEndpoint } from '../endpoint-probe.js'
import { IoTimeout } from '../io-timeout.js'
import type { Counters } from '../observe/metrics.js'
import type { NoticeLog } from '../observe/notice-log.js'
import type { PeerConnection, Responder } from '../peer/connection.js'
import { openHttp } from '../platform/http-client.js'
import { readNotice } from './endpoint-words.js'

/** What a request runner uses. */
export interface RequestRunnerDependencies {
  readonly endpointAddress: string
  /** The key of the endpoint in `notices`. */
  readonly endpoint: string
  /** The limits and rests that the endpoint has announced; admission enforces them. */
  readonly notices: EndpointNotices
  readonly noticeLog: NoticeLog
  readonly admissionController: AdmissionController
  readonly pacer: LinkPacer
  readonly counters: Counters
  readonly status: () => EndpointStatus
  /** The fence to send with requests to a model engine; 0 for none. */
  readonly fence: () => number
}

/** The backlog of answers on a connection, in bytes, above which transfers of weights slow down. */
const CONGESTED_BACKLOG_BYTES = 65_536
const END_OF_EVENT = Buffer.from('\n\n')

/** Headers that are not forwarded, since they apply to a single hop. */
const hopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'host', 'content-length', 'upgrade', 'te', 'trailer', 'authorization', 'expect'])

/** Runs the requests of one agent. */
export class RequestRunner {
  private readonly _calls = new WeakMap<PeerConnection, Map<number, AbortController>>()
  private readonly _idleListeners = new Set<() => void>()
  private readonly _liveness = new EndpointLiveness(probeEndpoint)

  constructor (private readonly _dependencies: RequestRunnerDependencies) {}

  /** Starts an admitted request. */
  start (run: number, request: ForwardedRequest, body: Buffer, responder: Responder): void {
    const abort = new AbortController()
    const calls = this._callsOf(responder.connection)
    calls.set(responder.call, abort)
    const stopListening = responder.connection.onEnd(() => abort.abort())
    const deadline = new IoTimeout(() => abort.abort(), Math.max(0, request.remaining))
    this._forward(request, body, responder, abort.signal).finally(() => {
      deadline.cancel()
      stopListening()
      calls.delete(responder.call)
      this._dependencies.admissionController.finished(run)
      if (this._dependencies.admissionController.running === 0) for (const listener of this._idleListeners) listener()
    })
  }

  /** Aborts a request whose caller has disconnected. The endpoint notices by the closed connection. */
  abortCall (connection: PeerConnection, call: number): void {
    this._callsOf(connection).get(call)?.abort()
  }

  /** Resolves when no request is running. */
  async idle (): Promise<void> {
    if (this._dependencies.admissionController.running === 0) return
    await new Promise<void>(resolve => this._idleListeners.add(resolve))
  }

  private async _forward (request: ForwardedRequest, body: Buffer, responder: Responder, signal: AbortSignal): Promise<void> {
    const { status } = this._dependencies
    const sentAt = performance.now()
    try {
      const response = await openHttp(this._dependencies.endpointAddress, {
        method: request.method, path: request.path, headers: outgoingHeaders(request, body, this._dependencies.fence()), body, signal, timeout: Math.max(1, request.remaining)
      })
      this._recordNotice(response, sentAt)
      responder.send({ type: 'head', head: { status: response.statusCode ?? 502, headers: incomingHeaders(response), version: versionOf(response) } })
      const count = await this._stream(response, responder)
      this._dependencies.counters.add('answers_whole')
      responder.send({ type: 'end', count, status: status() })
    } catch (error) {
      if (!signal.aborted) this._liveness.recordLoss(this._dependencies.endpoint, performance.now())
      const failure = failureOf(error)
      this._dependencies.counters.add(signal.aborted ? 'answers_cancelled' : 'answers_broken')
      responder.send({ type: 'broken', detail: 'detail' in failure ? failure.detail : failure.type, notRun: isConnectionRefused(error), status: status() })
    }
  }

  /** Records the notice in an answer. If the endpoint is leaving, the agent drains too, since both are replaced together. */
  private _recordNotice ({ statusCode = 0, headers }: IncomingMessage, sentAt: number): void {
    const { endpoint, notices, noticeLog, admissionController } = this._dependencies
    for (const change of notices.heard(endpoint, readNotice(statusCode, headers), sentAt, performance.now())) {
      noticeLog.note(change)
      if (change.type === 'leaving') admissionController.leave('draining')
    }
  }

  private async _stream (response: IncomingMessage, responder: Responder): Promise<number> {
    const isEventStream = String(response.headers['content-type'] ?? '').startsWith('text/event-stream')
    let sequence = 0
    let partialEvent: Buffer = Buffer.alloc(0)
    const send = (bytes: Buffer): void => {
      if (bytes.length === 0) return
      this._recordSent(bytes.length, responder)
      responder.send({ type: 'part', sequence: sequence++, events: isEventStream ? countEvents(bytes) : 0 }, bytes)
    }
    for await (const data of response) {
      const bytes = partialEvent.length > 0 ? Buffer.concat([partialEvent, data as Buffer]) : data as Buffer
      const boundary = isEventStream ? bytes.lastIndexOf(END_OF_EVENT) : bytes.length - END_OF_EVENT.length
      const length = isEventStream && boundary < 0 ? 0 : boundary + END_OF_EVENT.length
      send(bytes.subarray(0, length))
      partialEvent = bytes.subarray(length)
      if (partialEvent.length > MAX_EVENT_BYTES) throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`)
    }
    if (!response.complete) throw new Error('the connection to the endpoint was lost before the end of the answer')
    if (!isFramed(response)) await this._confirmEnd(isEventStream && partialEvent.length === 0 && sequence > 0)
    send(partialEvent)
    return sequence
  }

  /**
   * An answer without a length or chunks ends like one whose endpoint crashed or gave up midway.
   *
   * @param endsBetweenEvents Whether it is a stream that ends after a whole event, so that it is complete if the endpoint lives.
   */
  private async _confirmEnd (endsBetweenEvents: boolean): Promise<void> {
    const { endpoint, endpointAddress } = this._dependencies
    const isComplete = endsBetweenEvents && await this._liveness.outlived({ start: endpoint, address: endpointAddress })
    if (!isComplete) throw new Error('the answer has no declared length and may have ended early')
  }

  private _recordSent (bytes: number, responder: Responder): void {
    const now = performance.now()
    this._dependencies.pacer.live(bytes, now)
    this._dependencies.pacer.adapt(responder.connection.backlog > CONGESTED_BACKLOG_BYTES, now)
  }

  private _callsOf (connection: PeerConnection): Map<number, AbortController> {
    const calls = this._calls.get(connection) ?? new Map<number, AbortController>()
    this._calls.set(connection, calls)
    return calls
  }
}

function outgoingHeaders (request: ForwardedRequest, body: Buffer, fence: number): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(request.headers)) if (!hopHeaders.has(name)) headers[name] = value
  headers['content-length'] = String(body.length)
  headers['x-request-id'] = request.id
  headers['x-priority'] = String(request.priority)
  if (fence > 0) headers['x-fence'] = String(fence)
  if (request.resumeAfter > 0) headers['x-resume-after'] = String(request.resumeAfter)
  return headers
}

function incomingHeaders (response: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(response.headers)) {
    if (value !== undefined && !hopHeaders.has(name)) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}

function versionOf (response: IncomingMessage): string {
  return String(response.headers['x-model-version'] ?? '')
}

/** Returns whether the endpoint's port refused the connection, so that the request cannot have run there. */
function isConnectionRefused (error: unknown): boolean {
  const failure = failureOf(error)
  return failure.type === 'peer-failure' && failure.detail.includes('ECONNREFUSED')
}

function countEvents (bytes: Buffer): number {
  let count = 0
  for (let at = bytes.indexOf(END_OF_EVENT); at >= 0; at = bytes.indexOf(END_OF_EVENT, at + END_OF_EVENT.length)) count += 1
  return count
}
