/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stand-in for a worker of the users' platform: signs its answers or fails in one of the documented ways, stores staged
 * pieces and accepts orders to switch versions.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setImmediate as nextImmediate, setTimeout as pause } from 'node:timers/promises'
import { HttpService, readAll, sendJson } from '../http-service.js'
import { paddingOf, readShape, type AnswerShape } from './answer-shape.js'
import { pieceOf, PIECES, type PieceSource } from './weights-origin.js'

/** How the worker treats a request. */
export type WorkerMode =
  | 'whole' | 'error' | 'sheds' | 'wrong-instance' | 'wrong-version' | 'cut' | 'cut-in-event' | 'reset-unanswered' | 'mute'
  | 'unsigned' | 'of-another-request' | 'late-error' | 'denied'
  /** Answers with a body of known length, larger than an entry buffers, instead of a stream. */
  | 'error-large' | 'plain-large'
  /** Answers without a length or chunks: whole, cut by the end of the connection, by its reset or by a crash of the worker. */
  | 'unframed' | 'unframed-cut' | 'unframed-cut-in-event' | 'unframed-reset' | 'unframed-crash' | 'unframed-large' | 'unframed-empty'
  /** Cuts a new stream after some events, and answers a request that resumes a stream with something other than a stream. */
  | 'cut-then-error' | 'cut-then-denied' | 'cut-then-plain' | 'cut-then-not-signed'
  /** Whole answers with the status line and the additional headers of `oddHead`, without a check. */
  | 'odd-head' | 'cut-then-odd-head'

/** When a worker crashes under a request: after the head of its answer, within the first event, or after it. */
export type WorkerCrash = 'after-head' | 'within-event' | 'after-event'

/** A request that the worker received. */
export interface Arrival {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  readonly body: string
  /** Time of receipt, in milliseconds of `performance.now()`. */
  readonly at: number
  /** When the worker started to run the request, or refused it, or lost it from its queue. */
  readonly begunAt: number
  /** Whether the worker started to run it. */
  readonly ran: boolean
  /** Version of the worker's weights at `begunAt`. */
  readonly version: number
}

/** A version that a worker switched to. */
export interface VersionSwitch {
  readonly version: number
  /** Whether every piece was in the staging memory, uncorrupted. */
  readonly whole: boolean
  /** When it switched, in milliseconds of `performance.now()`. */
  readonly at: number
  readonly wrongPieces: readonly WrongPiece[]
}

/** A piece that was not in the staging memory as its version has it. */
export interface WrongPiece {
  readonly index: number
  /** When it was corrupted, in milliseconds of `performance.now()`; `undefined` if it is missing or of another version. */
  readonly corruptedAt: number | undefined
}

/** A piece before it was corrupted, and when that was. */
interface Corruption {
  readonly original: Buffer
  readonly at: number
}

/** Corruptions by the corrupted bytes, which a worker that starts again takes over with its staging memory. */
const corruptions = new WeakMap<Buffer, Corruption>()

const refusingModes: ReadonlySet<WorkerMode> = new Set(['sheds', 'wrong-instance', 'wrong-version'])
/** Number of events of a complete stream by default. */
export const EVENTS_PER_STREAM = 6
/** Number of events sent before a stream is cut. */
const EVENTS_BEFORE_CUT = 3
const EVENT_PAUSE_MILLISECONDS = 5
/** Delay of the failure in the mode `late-error`, in milliseconds. */
const LATE_ERROR_MILLISECONDS = 500
/** Size of the body in the modes with large answers, in bytes. */
const LARGE_BODY_BYTES = 200_000
/** Time from the start of a request that crashes the worker until the crash, in milliseconds. */
const CRASH_DELAY_MILLISECONDS = 10

/** What the worker has sent of the body of an answer when it crashes under it. */
const sentBeforeCrash: Record<WorkerCrash, string> = { 'after-head': '', 'within-event': 'id: 1\ndata: pie', 'after-event': 'id: 1\ndata: piece 1\n\n' }

type ModeHandler = (worker: UsersWorkerStandIn, request: IncomingMessage, response: ServerResponse) => void

/** A worker, on loopback by default. */
export class UsersWorkerStandIn extends HttpService {
  mode: WorkerMode = 'whole'
  /** Requests of callers, in order of receipt. */
  readonly arrivals: Arrival[] = []
  /** Number of responses whose connection closed before they were complete. */
  abandoned = 0
  /** Milliseconds between the events of a stream. */
  eventPauseMilliseconds = EVENT_PAUSE_MILLISECONDS
  /** Number of events of a complete stream. */
  eventsPerStream = EVENTS_PER_STREAM
  /** Whether the worker sends no events for now. */
  silent = false
  /** Milliseconds that a new request waits in the queue before the worker handles it. Closing its connection removes it from the queue. */
  queueMilliseconds = 0
  /** The status line and additional headers in the modes with an odd head, one a line. */
  oddHead: readonly string[] = ['HTTP/1.1 200 OK']
  /** The worker crashes, with all its running requests, when it starts a request with this body; `undefined` for never. */
  crashesOnBody: string | undefined
  /** The same for a request whose prompt has this part. */
  crashesOnPart: string | undefined
  /** What the worker has sent of an answer when it crashes under it. */
  crash: WorkerCrash = 'after-head'
  /** Limit in requests per second over all entries, announced in each response; `undefined` to announce none. */
  limit: number | undefined
  /** Until when the worker is cold, in milliseconds of `performance.now()`; each response until then announces the remaining time. */
  coldUntil = -Infinity
  /** Whether each response announces that the worker is leaving. */
  leaving = false
  /** Value of `retry-after` in refusals, in seconds; `undefined` to send none. */
  rest: number | undefined
  /** Whether the worker has crashed on a request. */
  crashed = false
  version = 1
  running = 0
  busy = false
  readonly orders: unknown[] = []
  /** How long the next orders are held before the worker takes them, in milliseconds. */
  orderDelays: number[] = []
  /** How long the next writes to the staging memory are held before they take effect, in milliseconds, but never beyond the next order. */
  writeDelays: number[] = []
  /** How long the next reads of the staging memory are held after their bytes were taken from it, in milliseconds. */
  readDelays: number[] = []
  /** Called for each piece that was read from the staging memory. */
  onRead: (place: number) => void = () => {}
  readonly versionSwitches: VersionSwitch[] = []
  readonly staged = new Map<number, Buffer>()
  /** The pieces of each version that the worker expects in its staging memory. */
  pieceOf: PieceSource = pieceOf
  private _waiting = 0
  private _recordSequence = 0
  /** Number of orders that began something. */
  private _sequence = 0
  private _heldWrites: (() => void)[] = []

  /**
   * @param id Identifies this start of the worker.
   * @param model The model that the worker serves; empty for a plain service.
   */
  constructor (readonly id: string, readonly model = '') { super() }

  /** Returns the current record of the worker for the store. */
  entry (service: string, zone: string, state = 'ready'): unknown {
    this._recordSequence += 1
    const models = this.model === '' || this.version === 0 ? [] : [{ name: this.model, version: this.version, adapters: [] }]
    return { service, address: this.address, zone, version: 'v1', slots: 16, state, coldRemainingMs: Math.max(0, Math.round(this.coldUntil - performance.now())), stage: 'both', models, seq: this._recordSequence }
  }

  protected async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://worker')
    if (url.pathname === '/api/report') return this._report(response)
    if (url.pathname.startsWith('/api/stage-')) return await this._stage(url, request, response)
    if (url.pathname === '/api/order') return await this._order(request, response)
    const body = (await readAll(request)).toString('utf8')
    const at = performance.now()
    const hasLeft = this.queueMilliseconds > 0 && !await this._passQueue(response)
    const hasOtherVersion = this._hasOtherVersion(request)
    const ran = !hasLeft && !hasOtherVersion && !refusingModes.has(this.mode)
    this.arrivals.push({ id: String(request.headers['x-attempt-id']), method: request.method ?? '', path: request.url ?? '', headers: request.headers, body, at, begunAt: performance.now(), ran, version: this.version })
    if (hasLeft) return
    response.on('close', () => { if (!response.writableFinished) this.abandoned += 1 })
    if (this.limit !== undefined) response.setHeader('server-limit', String(this.limit))
    if (performance.now() < this.coldUntil) response.setHeader('x-cold-ms', String(Math.round(this.coldUntil - performance.now())))
    if (this.leaving) response.setHeader('server-leaving', '1')
    if (hasOtherVersion) return modeHandlers['wrong-version'](this, request, response)
    if (body === this.crashesOnBody || this._hasFatalPart(request)) return this._crash(request, response)
    modeHandlers[this.mode](this, request, response)
  }

  /** Whether a request demands another version of the weights than this worker serves. */
  private _hasOtherVersion ({ headers }: IncomingMessage): boolean {
    const expected = headers['x-expect-version']
    return expected !== undefined && Number(expected) !== this.version
  }

  private _hasFatalPart ({ headers }: IncomingMessage): boolean {
    const parts = String(headers['x-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0])
    return this.crashesOnPart !== undefined && parts.includes(this.crashesOnPart)
  }

  /** Waits for the turn of a request. Returns whether its connection is still open then. */
  private async _passQueue (response: ServerResponse): Promise<boolean> {
    this._waiting += 1
    await pause(this.queueMilliseconds)
    // A connection that closed while this process was busy is reported after its timers.
    await nextImmediate()
    this._waiting -= 1
    return !response.destroyed
  }

  /** Returns the shape of the answer to a request. */
  shapeOf ({ headers }: IncomingMessage): AnswerShape {
    return readShape(headers, { events: this.eventsPerStream, eventPauseMilliseconds: this.eventPauseMilliseconds, paddingBytes: 0 })
  }

  /** Returns the headers of each answer: the echoed request id and the worker's signature. */
  head (request: IncomingMessage): Record<string, string> {
    return { 'x-attempt-id': String(request.headers['x-attempt-id']), 'x-server-seal': `seal-of-${this.id}` }
  }

  private _crash (request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(200, { ...this.head(request), 'content-type': 'text/event-stream' }).flushHeaders()
    const sent = sentBeforeCrash[this.crash]
    if (sent !== '') response.write(sent)
    setTimeout(() => this.crashNow(), CRASH_DELAY_MILLISECONDS)
  }

  /** Corrupts a piece in the staging memory, if there is one. */
  corruptPiece (index: number): void {
    const original = this.staged.get(index)
    if (original === undefined || corruptions.has(original)) return
    const corrupted = Buffer.alloc(original.length)
    corruptions.set(corrupted, { original, at: performance.now() })
    this.staged.set(index, corrupted)
  }

  /** Ends the worker: closes its connections and accepts no more. */
  crashNow (): void {
    this.crashed = true
    this.close()
  }

  private _report (response: ServerResponse): void {
    const models = this.version === 0 ? [] : [{ name: this.model, version: this.version, adapters: [] }]
    sendJson(response, { stage: 'both', models, busy: this.busy, seq: this._sequence, waiting: this._waiting, running: this.running, kvUsed: 0, kvTotal: 1, handles: 0 })
  }

  private async _stage (url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const index = url.searchParams.get('sampleCount')
    if (url.pathname.startsWith('/api/stage-put/')) {
      const bytes = await readAll(request)
      await this._holdWrite(this.writeDelays.shift() ?? 0)
      this.staged.set(Number(index), bytes)
      return sendJson(response, {})
    }
    if (index === null) return sendJson(response, { held: [...this.staged.keys()] })
    const piece = this.staged.get(Number(index))
    this.onRead(Number(index))
    await hold(this.readDelays)
    if (piece === undefined) sendJson(response, {}, 404)
    else response.writeHead(200).end(piece)
  }

  private async _holdWrite (milliseconds: number): Promise<void> {
    if (milliseconds === 0) return
    const released = new Promise<void>(resolve => { this._heldWrites.push(resolve) })
    await Promise.race([released, pause(milliseconds)])
  }

  /** Lets the held writes take effect. */
  private async _releaseWrites (): Promise<void> {
    for (const release of this._heldWrites.splice(0)) release()
    await nextImmediate()
  }

  private _wrongPieces (version: number): WrongPiece[] {
    return Array.from({ length: PIECES }, (_, index) => index).flatMap(index => {
      const expected = this.pieceOf(version, index)
      const piece = this.staged.get(index)
      if (piece?.equals(expected) === true) return []
      const corruption = piece === undefined ? undefined : corruptions.get(piece)
      return [{ index, corruptedAt: corruption?.original.equals(expected) === true ? corruption.at : undefined }]
    })
  }

  private async _order (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = JSON.parse((await readAll(request)).toString('utf8')) as { version: number, expectRev?: number }
    this.orders.push(order)
    await hold(this.orderDelays)
    if (this.crashed) return
    await this._releaseWrites()
    if (order.expectRev !== undefined && order.expectRev !== this._sequence) return sendJson(response, {}, 409)
    if (order.version === this.version) return sendJson(response, {})
    this._sequence += 1
    this.version = order.version
    const wrongPieces = this._wrongPieces(order.version)
    this.versionSwitches.push({ version: order.version, whole: wrongPieces.length === 0, at: performance.now(), wrongPieces })
    sendJson(response, {}, 202)
  }
}

/** Waits for the first of the delays, if there are any, and removes it. */
async function hold (delays: number[]): Promise<void> {
  const milliseconds = delays.shift() ?? 0
  if (milliseconds > 0) await pause(milliseconds)
}

function sendEvents (worker: UsersWorkerStandIn, request: IncomingMessage, response: ServerResponse, upTo: number, then: () => void): void {
  response.writeHead(200, { ...worker.head(request), 'content-type': 'text/event-stream' })
  const shape = worker.shapeOf(request)
  const padding = paddingOf(shape)
  let next = Number(request.headers['last-event-id'] ?? 0) + 1
  const timer = setInterval(() => {
    if (worker.silent) return
    if (next > upTo) {
      clearInterval(timer)
      then()
      return
    }
    response.write(`id: ${next}\ndata: piece ${next} of ${worker.id}${padding}\n\n`)
    next += 1
  }, shape.eventPauseMilliseconds)
}

/** Model requests are answered with a stream, others with a body of known length. */
function isStreamed (request: IncomingMessage): boolean { return request.headers['x-model'] !== undefined }

/** Cuts a new stream and handles a request that resumes one with another handler. */
function cutThenResume (resumed: ModeHandler): ModeHandler {
  return (worker, request, response) => {
    const handler = request.headers['last-event-id'] === undefined ? modeHandlers.cut : resumed
    handler(worker, request, response)
  }
}

const modeHandlers: Record<WorkerMode, ModeHandler> = {
  whole: (worker, request, response) => {
    const shape = worker.shapeOf(request)
    if (isStreamed(request)) return sendEvents(worker, request, response, shape.events, () => response.end())
    response.writeHead(200, worker.head(request)).end(`answer of ${worker.id}${paddingOf(shape)}`)
  },
  denied: (worker, request, response) => { response.writeHead(404, worker.head(request)).end('unknown') },
  'error-large': (worker, request, response) => sendLarge(worker, request, response, 500),
  'plain-large': (worker, request, response) => sendLarge(worker, request, response, 200),
  error: (worker, request, response) => { response.writeHead(500, worker.head(request)).end('failed') },
  'late-error': (worker, request, response) => {
    setTimeout(() => response.writeHead(504, worker.head(request)).end('too late'), LATE_ERROR_MILLISECONDS)
  },
  sheds: (worker, _request, response) => {
    const retryAfter = worker.rest === undefined ? {} : { 'retry-after': String(worker.rest) }
    response.writeHead(503, { 'x-not-run': '1', ...retryAfter }).end()
  },
  'wrong-instance': (worker, _request, response) => { response.writeHead(421, { 'x-instance-id': worker.id }).end() },
  'wrong-version': (_worker, _request, response) => { response.writeHead(421).end() },
  cut: (worker, request, response) => {
    if (isStreamed(request)) return sendEvents(worker, request, response, EVENTS_BEFORE_CUT, () => response.destroy())
    response.writeHead(200, { ...worker.head(request), 'content-length': '100' })
    response.write('half of an answer')
    setTimeout(() => response.destroy(), EVENT_PAUSE_MILLISECONDS)
  },
  'cut-in-event': (worker, request, response) => sendEvents(worker, request, response, EVENTS_BEFORE_CUT, () => {
    response.write('id: 4\ndata: pie')
    setTimeout(() => response.destroy(), EVENT_PAUSE_MILLISECONDS)
  }),
  'cut-then-error': cutThenResume((...exchange) => modeHandlers.error(...exchange)),
  'cut-then-denied': cutThenResume((...exchange) => modeHandlers.denied(...exchange)),
  'cut-then-plain': cutThenResume((worker, request, response) => { response.writeHead(200, worker.head(request)).end('no stream') }),
  'cut-then-not-signed': cutThenResume((...exchange) => modeHandlers.unsigned(...exchange)),
  'odd-head': (worker, request) => sendOddHead(worker, request),
  'cut-then-odd-head': cutThenResume((...exchange) => modeHandlers['odd-head'](...exchange)),
  'reset-unanswered': (_worker, request) => { request.socket.resetAndDestroy() },
  mute: () => {},
  unsigned: (worker, request, response) => {
    response.writeHead(200, { 'x-attempt-id': worker.head(request)['x-attempt-id'] }).end('not to be trusted')
  },
  'of-another-request': (worker, request, response) => {
    response.writeHead(200, { ...worker.head(request), 'x-attempt-id': 'another' }).end('of another request')
  },
  unframed: (worker, request) => { sendUnframed(worker, request, isStreamed(request) ? eventsUpTo(worker, worker.eventsPerStream) : `answer of ${worker.id}`, socket => socket.end()) },
  'unframed-cut': (worker, request) => { sendUnframed(worker, request, 'half of an answ', socket => socket.end()) },
  'unframed-cut-in-event': (worker, request) => { sendUnframed(worker, request, `${eventsUpTo(worker, EVENTS_BEFORE_CUT)}id: 4\ndata: pie`, socket => socket.end()) },
  'unframed-reset': (worker, request) => { sendUnframed(worker, request, eventsUpTo(worker, EVENTS_BEFORE_CUT), socket => socket.resetAndDestroy()) },
  'unframed-crash': (worker, request) => { sendUnframed(worker, request, eventsUpTo(worker, EVENTS_BEFORE_CUT), () => worker.crashNow()) },
  'unframed-empty': (worker, request) => { sendUnframed(worker, request, '', socket => socket.end()) },
  'unframed-large': (worker, request) => { sendUnframed(worker, request, 'a'.repeat(LARGE_BODY_BYTES), socket => socket.end()) }
}

function sendLarge (worker: UsersWorkerStandIn, request: IncomingMessage, response: ServerResponse, status: number): void {
  response.writeHead(status, { ...worker.head(request), 'content-length': LARGE_BODY_BYTES }).end('a'.repeat(LARGE_BODY_BYTES))
}

function eventsUpTo (worker: UsersWorkerStandIn, last: number): string {
  return Array.from({ length: last }, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} of ${worker.id}\n\n`).join('')
}

/** Sends an answer whose head Node's server would not write. */
function sendOddHead (worker: UsersWorkerStandIn, request: IncomingMessage): void {
  const contentType = isStreamed(request) ? { 'content-type': 'text/event-stream' } : {}
  const body = isStreamed(request) ? eventsUpTo(worker, worker.eventsPerStream) : `answer of ${worker.id}`
  const headers = Object.entries({ ...worker.head(request), ...contentType, 'content-length': body.length }).map(([name, value]) => `${name}: ${value}`)
  const [statusLine, ...others] = worker.oddHead
  request.socket.write([statusLine, ...headers, ...others, '', body].join('\r\n'))
}

/** Sends an answer that has neither a length nor chunks, and ends it some time after its body. */
function sendUnframed (worker: UsersWorkerStandIn, request: IncomingMessage, body: string, end: (socket: Socket) => void): void {
  const contentType = isStreamed(request) ? { 'content-type': 'text/event-stream' } : {}
  const head = Object.entries({ ...worker.head(request), ...contentType }).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  request.socket.write(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n${body}`)
  setTimeout(() => end(request.socket), EVENT_PAUSE_MILLISECONDS)
}
