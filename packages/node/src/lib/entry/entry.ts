/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The entry: accepts callers' requests over HTTP, distributes them over the endpoints, and serves operators.
 */
import { randomBytes } from 'node:crypto'
import type { ChoicePolicy, PeerRequest, ProcessStatus } from '@drumdrift/core'
import { callerLimitsOf } from '../caller-limits.js'
import type { Log } from '../observe/log.js'
import { readCost } from '../observe/cost.js'
import { Histograms } from '../observe/histograms.js'
import { Counters } from '../observe/metrics.js'
import { OperatorCommandHandler } from '../operator/operator-command-handler.js'
import type { Responder, Traffic } from '../peer/connection.js'
import { PeerPool } from '../peer/pool.js'
import { PeerServer } from '../peer/server.js'
import { HttpPlatform } from '../platform/platform-client.js'
import { fingerprintOf } from '../request-fingerprint.js'
import type { Settings } from '../settings/settings.js'
import { settledWithin } from '../settled-within.js'
import { SpreadRunner } from '../spread-runner.js'
import { spreadSelf } from '../spread-self.js'
import { RequestExecutor } from './request-executor.js'
import { Dispatcher, type DispatcherPolicy } from './dispatcher.js'
import { EntryHttpServer } from './http-server.js'
import { AtMostOnceAttempts } from './at-most-once-attempts.js'

const KIBIBYTE = 1024
const ADMISSION_TIMEOUT_MILLISECONDS = 1_000
/** The part of the stop timeout that is reserved for the last answers and for closing. */
const CLOSING_RESERVE_MILLISECONDS = 500

/** An entry process. */
export class EntryProcess {
  readonly incarnation: string
  private readonly _name: string
  private readonly _counters = new Counters()
  private readonly _traffic: Traffic = { sent: 0, received: 0 }
  private readonly _histograms = new Histograms()
  private readonly _pool: PeerPool
  private readonly _server: PeerServer
  private readonly _spread: SpreadRunner
  private readonly _dispatcher: Dispatcher
  private readonly _front: EntryHttpServer
  private _organisations: ReadonlyMap<string, string> = new Map()
  private _draining = false

  constructor (private readonly _settings: Settings, private readonly _log: Log) {
    const text = (section: string, key: string): string => _settings.text(section, key)
    const milliseconds = (key: string): number => _settings.number('requests', key) * 1000
    this._name = text('process', 'instance')
    this.incarnation = `${this._name}.${randomBytes(6).toString('hex')}`
    this._pool = new PeerPool({ instance: this._name, key: text('peers', 'key') }, this._traffic)
    const platform = new HttpPlatform({ configuration: text('platform', 'configuration'), instances: text('platform', 'instances'), store: '', origin: '' })
    this._spread = new SpreadRunner({
      self: spreadSelf(_settings), platform, pool: this._pool, log: _log, counters: this._counters, onAdopted: () => this._applyPublishedState()
    })
    const patience = { admission: ADMISSION_TIMEOUT_MILLISECONDS, firstAnswer: milliseconds('first-answer-seconds'), betweenParts: milliseconds('silence-seconds') }
    const once = new AtMostOnceAttempts({
      incarnation: this.incarnation, pool: this._pool, patience, agents: () => this._spread.spread.instances.filter(record => record.role === 'agent')
    })
    const carrier = new RequestExecutor({ pool: this._pool, once, patience, histograms: this._histograms, counters: this._counters, fingerprint: request => fingerprintOf(text('peers', 'key'), request) })
    const policy = { maxQueueLength: _settings.number('requests', 'queue-length'), maxWait: milliseconds('queue-seconds'), choice: text('requests', 'choice') as ChoicePolicy, queueing: text('requests', 'queueing') as DispatcherPolicy['queueing'], retryRatio: _settings.number('requests', 'retry-percent') / 100 }
    const self = { instance: this._name, availabilityZone: text('process', 'availability-zone') }
    this._dispatcher = new Dispatcher(self, policy, (job, group) => carrier.execute(job, group), this._histograms, this._counters)
    const desk = new OperatorCommandHandler({
      keys: _settings.list('operators', 'keys'), spread: this._spread.spread, pool: this._pool, log: _log, counters: this._counters, histograms: this._histograms, self: () => this.status()
    })
    this._front = new EntryHttpServer({
      address: text('process', 'http-address'),
      maxBodyBytes: _settings.number('requests', 'largest-body-kilobytes') * KIBIBYTE,
      limits: callerLimitsOf(_settings),
      maxDeadline: milliseconds('deadline-seconds'),
      dispatcher: this._dispatcher,
      configuration: () => this._spread.spread.configuration,
      organisations: () => this._organisations,
      operator: (request, body) => desk.answer(request, body),
      issueId: () => once.issueId(),
      log: _log,
      counters: this._counters,
      histograms: this._histograms
    })
    this._server = new PeerServer({
      instance: this._name, address: text('process', 'address'), key: text('peers', 'key'), log: _log, traffic: this._traffic, onRequest: (request, _payload, responder) => this._handlePeerRequest(request, responder)
    })
  }

  /** Starts listening for peers and callers. */
  async start (): Promise<void> {
    await this._server.listen()
    await this._front.listen()
    this._log.info('entry-started', { incarnation: this.incarnation })
  }

  /**
   * Drains the entry: refuses new requests, waits for those in progress, then stops.
   *
   * @returns The number of requests that were in progress when `stop-patience-seconds` had elapsed, and of answers that were not sent.
   */
  async stop (): Promise<number> {
    this._startDraining()
    const patience = Math.max(0, this._settings.number('process', 'stop-patience-seconds') * 1000 - CLOSING_RESERVE_MILLISECONDS)
    const stopAt = performance.now() + patience
    await settledWithin(this._dispatcher.idle(), patience)
    const { cut, unsent, ended } = await this._front.stop(stopAt - performance.now())
    this._dispatcher.close()
    this._spread.close()
    this._server.close()
    this._pool.close()
    this._log.info('entry-stopped', { cut, unsent, ended })
    return cut + ended
  }

  /** Returns the status that this entry reports to operators. */
  status (): ProcessStatus {
    const { revisions, ages } = this._spread.spread.note(performance.now())
    return {
      instance: this._name,
      availabilityZone: this._settings.text('process', 'availability-zone'),
      role: 'entry',
      endpoint: '',
      incarnation: this.incarnation,
      lifecycle: this._draining ? 'draining' : 'serving',
      revisions,
      ages,
      wanted: '',
      version: '',
      state: 'serving',
      progress: 1,
      running: this._dispatcher.inProgress,
      slots: 0,
      cost: readCost(this._traffic),
      detail: ''
    }
  }

  private _startDraining (): void {
    if (this._draining) return
    this._draining = true
    this._front.leave()
    this._log.info('entry-draining', { running: this._dispatcher.inProgress })
  }

  private _applyPublishedState (): void {
    const { configuration, instances } = this._spread.spread
    if (configuration === undefined) return
    this._organisations = new Map(Object.entries(configuration.organisations).flatMap(([organisation, { keyDigests }]) => keyDigests.map(digest => [digest, organisation] as const)))
    this._dispatcher.apply(configuration, instances)
    const listed = instances.find(record => record.instance === this._name)
    if (listed?.state === 'leaving' || configuration.draining.includes(this._name)) this._startDraining()
  }

  private _handlePeerRequest (request: PeerRequest, responder: Responder): void {
    if (request.type === 'compare') this._spread.handleCompare(request, responder)
    else if (request.type === 'push') this._spread.handlePush(request, responder)
    else if (request.type === 'status') responder.send({ type: 'status', status: this.status() })
    else if (request.type === 'leave') this._handleLeave(request, responder)
    else responder.send({ type: 'refused', reason: 'not-supported', detail: 'an entry does not support this request' })
  }

  private _handleLeave (request: Extract<PeerRequest, { type: 'leave' }>, responder: Responder): void {
    if (request.incarnation !== this.incarnation) {
      responder.send({ type: 'refused', reason: 'wrong-incarnation', detail: `the current incarnation is ${this.incarnation}` })
      return
    }
    this._startDraining()
    this._log.info('leave-ordered', { operator: request.operator, lifecycle: request.lifecycle })
    responder.send({ type: 'left', lifecycle: 'draining' })
  }
}
