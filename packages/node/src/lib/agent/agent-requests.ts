/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Answers what peers ask of an agent: a table of handlers, one for each message.
 */
import type { AdmissionDoor, ClaimKeeper, EndpointStatus, PeerRequest, ProcessStatus } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Responder } from '../peer/connection.js'
import type { SpreadRunner } from '../spread-runner.js'
import type { ChunkServer } from './chunk-server.js'
import type { RequestRunner } from './request-runner.js'
import type { Switcher } from './switcher.js'
import type { WeightsKeeper } from './weights-keeper.js'

/** What the handlers work with. */
export interface AgentRequestsParts {
  readonly instance: string
  readonly endpoint: string
  readonly door: AdmissionDoor
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

/** The messages of one agent. */
export class AgentRequests {
  constructor (private readonly _parts: AgentRequestsParts) {}

  /** Answers one message; one of an unknown type is refused. */
  handle (request: PeerRequest, payload: Buffer, responder: Responder): void {
    const handler = Object.hasOwn(this._handlers, request.type) && this._handlers[request.type] as ((request: PeerRequest, payload: Buffer, responder: Responder) => void) | undefined
    if (!handler) {
      responder.send({ type: 'refused', reason: 'not-supported', detail: `unknown message ${String(request.type)}` })
      return
    }
    handler(request, payload, responder)
  }

  private readonly _handlers: Handlers = {
    hello: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'malformed', detail: 'hello was said before' }),
    news: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent holds documents, not news' }),
    'follow-news': (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent holds documents, not news' }),
    'follow-load': (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent tells its load with each answer' }),
    suspects: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'entries that ask this agent keep what they saw' }),
    limits: (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'this agent keeps the limit of its endpoint itself' }),
    ping: (_request, _payload, responder) => responder.send({ type: 'done' }),
    'follow-chunks': (_request, _payload, responder) => responder.send({ type: 'refused', reason: 'not-supported', detail: 'chunks of this agent are awaited, not followed' }),
    compare: (request, _payload, responder) => this._parts.spread.compared(request, responder),
    push: (request, _payload, responder) => this._parts.spread.pushed(request, responder),
    chunk: ({ digest, wait }, _payload, responder) => { this._parts.chunks.serve(String(digest), Number(wait) || 0, responder) },
    manifest: ({ digest, wait }, _payload, responder) => { this._manifest(String(digest), Number(wait) || 0, responder) },
    offer: ({ endpoint }, _payload, responder) => this._offer(endpoint, responder),
    claim: ({ organisation, id, attempt, bodyDigest }, _payload, responder) => {
      const reply = this._parts.keeper.claim(String(organisation), String(id), String(attempt), String(bodyDigest), performance.now())
      responder.send({ type: 'claimed', reply })
    },
    issue: (_request, _payload, responder) => {
      const { incarnation } = this._parts.door
      responder.send({ type: 'issued', keeper: { instance: this._parts.instance, incarnation, at: performance.now() } })
    },
    release: ({ organisation, id, attempt }, _payload, responder) => {
      this._parts.keeper.release(organisation, id, attempt)
      responder.send({ type: 'done' })
    },
    run: (request, payload, responder) => this._run(request, payload, responder),
    go: ({ ticket, request }, payload, responder) => {
      const admission = this._parts.door.go(ticket, performance.now())
      responder.send({ type: 'admitted', admission, status: this._parts.endpointStatus() })
      if (admission.type === 'admitted') this._parts.runner.start(admission.run, request, payload, responder)
    },
    cancel: ({ ticket }, _payload, responder) => responder.send({ type: 'cancelled', reply: this._parts.door.cancel(ticket) }),
    'hang-up': ({ call }, _payload, responder) => {
      this._parts.runner.hangUp(responder.connection, call)
      responder.send({ type: 'done' })
    },
    progress: ({ digest }, _payload, responder) => responder.send({ type: 'progress', progress: this._parts.switcher.progress(digest) }),
    status: (_request, _payload, responder) => responder.send({ type: 'status', status: this._parts.processStatus() }),
    leave: (request, _payload, responder) => this._leave(request, responder)
  }

  private async _manifest (digest: string, wait: number, responder: Responder): Promise<void> {
    const bytes = await this._parts.weights.manifest(digest, wait)
    if (bytes === undefined) responder.send({ type: 'no-chunk', reason: 'not-held' })
    else responder.send({ type: 'manifest', digest }, bytes)
  }

  private _offer (endpoint: string, responder: Responder): void {
    const status = this._parts.endpointStatus()
    const reply = endpoint === this._parts.endpoint ? this._parts.door.offer(performance.now()) : { type: 'refused', reason: 'not-serving' } as const
    responder.send({ type: 'offered', reply, status })
  }

  /** An agent whose address now belongs to another pool, or whose version is not the wanted one, runs nothing. */
  private _run ({ endpoint, request }: Extract<PeerRequest, { type: 'run' }>, payload: Buffer, responder: Responder): void {
    const status = this._parts.endpointStatus()
    const fits = endpoint === this._parts.endpoint && (request.version === '' || request.version === status.version)
    const admission = fits ? this._parts.door.run(performance.now()) : { type: 'refused', reason: 'not-serving' } as const
    responder.send({ type: 'admitted', admission, status: this._parts.endpointStatus() })
    if (admission.type === 'admitted') this._parts.runner.start(admission.run, request, payload, responder)
  }

  /** Orders go to the incarnation named: a late one does not hit the replacement. */
  private _leave ({ incarnation, lifecycle, operator }: Extract<PeerRequest, { type: 'leave' }>, responder: Responder): void {
    const { door, log } = this._parts
    if (incarnation !== door.incarnation) {
      responder.send({ type: 'refused', reason: 'wrong-incarnation', detail: `this is ${door.incarnation}` })
      return
    }
    const moved = door.leave(lifecycle)
    log.info('leave-ordered', { operator, lifecycle, moved })
    responder.send({ type: 'left', lifecycle: door.lifecycle })
  }
}
