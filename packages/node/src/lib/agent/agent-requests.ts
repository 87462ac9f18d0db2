/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Handles the messages that peers send to an agent: a table with one handler for each message type.
 */
import type { AdmissionController, ClaimKeeper, EndpointStatus, PeerRequest, ProcessStatus } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Responder } from '../peer/connection.js'
import type { SpreadRunner } from '../spread-runner.js'
import type { ChunkServer } from './chunk-server.js'
import type { RequestRunner } from './request-runner.js'
import type { Switcher } from './switcher.js'
import type { WeightsKeeper } from './weights-keeper.js'

/** What the handlers use. */
export interface AgentRequestsDependencies {
  readonly instance: string
  readonly endpoint: string
  readonly admissionController: AdmissionController
  readonly keeper: ClaimKeeper
  readonly spread: SpreadRunner
  readonly chunks: ChunkServer
  readonly weights: WeightsKeeper
  readonly switcher: Switcher
  readonly runner: RequestRunner
  readonly log: Log
  readonly endpointStatus: () => EndpointStatus
  readonly processStatus: () => ProcessStatus
}

type Handlers = { readonly [Type in PeerRequest['type']]: (request: Extract<PeerRequest, { type: Type }>, payload: Buffer, responder: Responder) => void }

/** Handles the messages that one agent receives. */
export class AgentRequests {
  constructor (private readonly _dependencies: AgentRequestsDependencies) {}

  /** Answers a message. Refuses a message of an unknown type. */
  handle (request: PeerRequest, payload: Buffer, responder: Responder): void {
    const handler = Object.hasOwn(this._handlers, request.type) && this._handlers[request.type] as ((request: PeerRequest, payload: Buffer, responder: Responder) => void) | undefined
    if (!handler) {
      responder.send({ type: 'refused', reason: 'not-supported', detail: `unknown message type ${String(request.type)}` })
      return
    }
    handler(request, payload, responder)
  }

  private readonly _handlers: Handlers = {
    hello: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'malformed', detail: 'hello was already received on this connection' }),
    news: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent exchanges complete documents, not deltas' }),
    'follow-news': (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent exchanges complete documents, not deltas' }),
    'endpoint-evidence': (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'entries that use this agent learn of its endpoint from its answers' }),
    'follow-load': (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent reports its load with each answer' }),
    suspects: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'entries that use this agent keep their own reports of suspect requests' }),
    limits: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent enforces the limit of its endpoint itself' }),
    ping: (_request, _payload, responder) => responder.send({ type: 'done' }),
    'follow-chunks': (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent has no subscriptions to chunks; request a chunk with a wait' }),
    compare: (request, _payload, responder) => this._dependencies.spread.handleCompare(request, responder),
    push: (request, _payload, responder) => this._dependencies.spread.handlePush(request, responder),
    chunk: ({ digest, wait }, _payload, responder) => { this._dependencies.chunks.serve(String(digest), Number(wait) || 0, responder) },
    manifest: ({ digest, wait }, _payload, responder) => { this._sendManifest(String(digest), Number(wait) || 0, responder) },
    offer: ({ endpoint }, _payload, responder) => this._offer(endpoint, responder),
    claim: ({ organisation, id, attempt, bodyDigest }, _payload, responder) => {
      const reply = this._dependencies.keeper.claim(String(organisation), String(id), String(attempt), String(bodyDigest), performance.now())
      responder.send({ type: 'claimed', reply })
    },
    issue: (_request, _payload, responder) => {
      const { incarnation } = this._dependencies.admissionController
      responder.send({ type: 'issued', keeper: { instance: this._dependencies.instance, incarnation, at: performance.now() } })
    },
    release: ({ organisation, id, attempt }, _payload, responder) => {
      this._dependencies.keeper.release(organisation, id, attempt)
      responder.send({ type: 'done' })
    },
    run: (request, payload, responder) => this._run(request, payload, responder),
    go: ({ ticket, request }, payload, responder) => {
      const admission = this._dependencies.admissionController.go(ticket, performance.now())
      responder.send({ type: 'admitted', admission, status: this._dependencies.endpointStatus() })
      if (admission.type === 'admitted') this._dependencies.runner.start(admission.run, request, payload, responder)
    },
    cancel: ({ ticket }, _payload, responder) => responder.send({ type: 'cancelled', reply: this._dependencies.admissionController.cancel(ticket) }),
    'hang-up': ({ call }, _payload, responder) => {
      this._dependencies.runner.abortCall(responder.connection, call)
      responder.send({ type: 'done' })
    },
    progress: ({ digest }, _payload, responder) => responder.send({ type: 'progress', progress: this._dependencies.switcher.progress(digest) }),
    status: (_request, _payload, responder) => responder.send({ type: 'status', status: this._dependencies.processStatus() }),
    leave: (request, _payload, responder) => this._leave(request, responder)
  }

  private async _sendManifest (digest: string, wait: number, responder: Responder): Promise<void> {
    const bytes = await this._dependencies.weights.manifest(digest, wait)
    if (bytes === undefined) responder.send({ type: 'no-chunk', reason: 'not-held' })
    else responder.send({ type: 'manifest', digest }, bytes)
  }

  private _offer (endpoint: string, responder: Responder): void {
    const status = this._dependencies.endpointStatus()
    const reply = endpoint === this._dependencies.endpoint ? this._dependencies.admissionController.offer(performance.now()) : { type: 'refused', reason: 'not-serving' } as const
    responder.send({ type: 'offered', reply, status })
  }

  /**
   * Refuses a request for another endpoint, since the agent's address may have moved to another pool, and a request for a
   * version that the engine does not serve.
   */
  private _run ({ endpoint, request }: Extract<PeerRequest, { type: 'run' }>, payload: Buffer, responder: Responder): void {
    const status = this._dependencies.endpointStatus()
    const matches = endpoint === this._dependencies.endpoint && (request.version === '' || request.version === status.version)
    const admission = matches ? this._dependencies.admissionController.run(performance.now()) : { type: 'refused', reason: 'not-serving' } as const
    responder.send({ type: 'admitted', admission, status: this._dependencies.endpointStatus() })
    if (admission.type === 'admitted') this._dependencies.runner.start(admission.run, request, payload, responder)
  }

  /** Refuses an order to another incarnation, so that a late order does not affect the replacement process. */
  private _leave ({ incarnation, lifecycle, operator }: Extract<PeerRequest, { type: 'leave' }>, responder: Responder): void {
    const { admissionController, log } = this._dependencies
    if (incarnation !== admissionController.incarnation) {
      responder.send({ type: 'refused', reason: 'wrong-incarnation', detail: `the incarnation of this process is ${admissionController.incarnation}` })
      return
    }
    const moved = admissionController.leave(lifecycle)
    log.info('leave-ordered', { operator, lifecycle, moved })
    responder.send({ type: 'left', lifecycle: admissionController.lifecycle })
  }
}
