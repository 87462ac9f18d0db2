/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The agent: a small process beside each endpoint. It transfers the desired version to its engine, serves chunks to
 * peers, admits and runs requests, and keeps records of request ids that must not be repeated.
 */
import { randomBytes } from 'node:crypto'
import {
  AdmissionController, EndpointLimits, EndpointNotices, ClaimKeeper, defaultTransferPolicy, LinkPacer, Transfer, wantedDigest, type ChunkMember, type EndpointStatus, type InstanceRecord,
  type ProcessStatus, type SpreadStrategy, type SwitchTarget, type TransferPolicy
} from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import { readCost } from '../observe/cost.js'
import { Histograms } from '../observe/histograms.js'
import { Counters } from '../observe/metrics.js'
import { MetricsServer } from '../observe/metrics-server.js'
import { NoticeLog } from '../observe/notice-log.js'
import type { ReadPacer, Traffic } from '../peer/connection.js'
import { PeerPool } from '../peer/pool.js'
import { PeerServer } from '../peer/server.js'
import { HttpPlatform } from '../platform/platform-client.js'
import type { Settings } from '../settings/settings.js'
import { settledWithin } from '../settled-within.js'
import { SpreadRunner } from '../spread-runner.js'
import { spreadSelf } from '../spread-self.js'
import { AgentRequests } from './agent-requests.js'
import { ChunkServer } from './chunk-server.js'
import { ChunkStore } from './chunk-store.js'
import { HttpEngine } from './engine-client.js'
import { RequestRunner } from './request-runner.js'
import { Switcher } from './switcher.js'
import { WeightsKeeper } from './weights-keeper.js'

const MEBIBYTE = 1024 * 1024
const GIBIBYTE = 1024 * MEBIBYTE
const DEFAULT_SLOTS = 8
/** The part of the stop timeout that is reserved for sending the last messages, in milliseconds. */
const CLOSING_RESERVE = 300

/** An agent process. */
export class AgentProcess {
  readonly incarnation: string
  private readonly _name: string
  private readonly _endpoint: string
  private readonly _servesModel: boolean
  private readonly _self: ChunkMember
  private readonly _counters = new Counters()
  private readonly _traffic: Traffic = { sent: 0, received: 0 }
  private readonly _histograms = new Histograms()
  private readonly _pacer: LinkPacer
  private readonly _admissionController: AdmissionController
  private readonly _claimKeeper: ClaimKeeper
  private readonly _pool: PeerPool
  private readonly _server: PeerServer
  private readonly _spread: SpreadRunner
  private readonly _store: ChunkStore
  private readonly _weights: WeightsKeeper
  private readonly _switcher: Switcher
  private readonly _runner: RequestRunner
  private readonly _chunks: ChunkServer
  private readonly _metrics: MetricsServer | undefined
  private _members: readonly InstanceRecord[] = []
  private _addresses: ReadonlyMap<string, string> = new Map()
  private _desiredSince = performance.now()

  /**
   * @param _onReplaced Called when another agent has taken the engine over; this process must then stop.
   */
  constructor (private readonly _settings: Settings, private readonly _log: Log, private readonly _onReplaced: () => void = () => {}) {
    this._name = this._text('process', 'instance')
    this.incarnation = `${this._name}.${randomBytes(6).toString('hex')}`
    this._endpoint = this._text('endpoint', 'name')
    this._servesModel = this._text('endpoint', 'kind') === 'model'
    this._self = { instance: this._name, availabilityZone: this._text('process', 'availability-zone') }
    this._pacer = new LinkPacer(this._number('weights', 'link-megabytes-per-second') * MEBIBYTE, performance.now())
    const readPacer = { received: (bytes: number): number => this._pacer.received(bytes, performance.now()) }
    const notices = new EndpointNotices(new EndpointLimits(() => 1, () => 0))
    this._admissionController = new AdmissionController(this.incarnation, DEFAULT_SLOTS, notices, this._endpoint)
    this._admissionController.setServing(!this._servesModel)
    this._claimKeeper = this._newClaimKeeper()
    this._pool = new PeerPool({ instance: this._name, key: this._text('peers', 'key') }, this._traffic, readPacer)
    const platform = this._newPlatform(readPacer)
    const engine = new HttpEngine(this._text('endpoint', 'address'))
    this._store = new ChunkStore(engine, this._number('weights', 'memory-megabytes') * MEBIBYTE)
    this._spread = new SpreadRunner({
      self: spreadSelf(_settings), platform, pool: this._pool, log: _log, counters: this._counters, onAdopted: () => this._apply()
    })
    this._weights = this._newWeights(platform, engine)
    this._switcher = this._newSwitcher(engine)
    if (!this._servesModel) this._switcher.close()
    this._runner = new RequestRunner({
      endpointAddress: this._text('endpoint', 'address'),
      endpoint: this._endpoint,
      notices,
      noticeLog: new NoticeLog(_log, this._counters),
      admissionController: this._admissionController,
      pacer: this._pacer,
      counters: this._counters,
      status: () => this._endpointStatus(),
      fence: () => this._servesModel ? this._switcher.fence : 0
    })
    this._chunks = new ChunkServer(this._store, this._pacer, digest => this._weights.expects(digest))
    this._server = this._newServer()
    const metricsAddress = this._text('process', 'metrics-address')
    this._metrics = metricsAddress === '' ? undefined : new MetricsServer(metricsAddress, this._counters, this._histograms)
  }

  /** Reads which chunks the engine has staged and starts to listen. */
  async start (): Promise<void> {
    if (this._servesModel) await this._store.recover()
    await this._server.listen()
    await this._metrics?.listen()
    this._log.info('agent-started', { incarnation: this.incarnation, endpoint: this._endpoint, staged: this._store.staged.size })
  }

  /**
   * Drains and stops: admits no new requests and waits for running ones, up to `stop-patience-seconds`.
   *
   * @returns The number of requests that were still running after that time and were cut off.
   */
  async stop (): Promise<number> {
    this._admissionController.leave('draining')
    this._log.info('agent-draining', { running: this._admissionController.running })
    const stopAt = performance.now() + this._number('process', 'stop-patience-seconds') * 1000
    await settledWithin(this._runner.idle(), stopAt - CLOSING_RESERVE - performance.now())
    const cut = this._admissionController.running
    this._admissionController.leave('stopped')
    await settledWithin(this._server.closeWhenSent(), Math.max(CLOSING_RESERVE, stopAt - performance.now()))
    const unsent = this._server.backlog
    this._close()
    this._log.info('agent-stopped', { cut, unsent })
    return cut
  }

  /** The status that this agent reports. */
  status (): ProcessStatus {
    const now = performance.now()
    const { spread } = this._spread
    const { revisions, ages } = spread.note(now)
    return {
      instance: this._name,
      availabilityZone: this._self.availabilityZone,
      role: 'agent',
      endpoint: this._endpoint,
      incarnation: this.incarnation,
      lifecycle: this._admissionController.lifecycle,
      revisions,
      ages,
      wanted: this._weights.wanted,
      version: this._switcher.engine?.version ?? '',
      state: this._processState(),
      progress: this._weights.progress,
      running: this._admissionController.running,
      slots: this._admissionController.slots,
      cost: readCost(this._traffic),
      detail: this._weights.problem?.detail ?? ''
    }
  }

  private _text (section: string, key: string): string { return this._settings.text(section, key) }
  private _number (section: string, key: string): number { return this._settings.number(section, key) }

  private _newClaimKeeper (): ClaimKeeper {
    return new ClaimKeeper(this.incarnation, {
      repeatWindow: this._number('requests', 'repeat-window-seconds') * 1000,
      recordsPerOrganisation: this._number('requests', 'records-per-organisation')
    })
  }

  private _newPlatform (readPacer: ReadPacer): HttpPlatform {
    const address = (key: string): string => this._text('platform', key)
    return new HttpPlatform({ configuration: address('configuration'), instances: address('instances'), store: address('store'), origin: address('origin') }, readPacer)
  }

  private _newWeights (platform: HttpPlatform, engine: HttpEngine): WeightsKeeper {
    return new WeightsKeeper({
      self: this._self,
      newTransfer: ({ members, identity, manifest, held, originCopies }) => new Transfer(this._self, members, identity, manifest, held, this._transferPolicy(originCopies)),
      maxBytes: this._number('weights', 'largest-gigabytes') * GIBIBYTE,
      platform,
      pool: this._pool,
      engine,
      store: this._store,
      log: this._log,
      counters: this._counters,
      members: () => this._members,
      addressOf: instance => this._addresses.get(instance),
      onComplete: () => {
        this._recordElapsed('transfer')
        this._switcher.poll()
      }
    })
  }

  private _transferPolicy (originCopies: number): TransferPolicy {
    return { ...defaultTransferPolicy, window: this._number('weights', 'window'), strategy: this._text('weights', 'strategy') as SpreadStrategy, originCopies }
  }

  private _newSwitcher (engine: HttpEngine): Switcher {
    return new Switcher({
      instance: this._name,
      engine,
      admissionController: this._admissionController,
      pool: this._pool,
      log: this._log,
      switchInputs: () => ({ target: this._switchTarget(), wholeDigest: this._weights.completeDigest, members: this._members, configuredDigests: this._configuredDigests() }),
      onReplaced: () => { this._onReplaced() },
      confirmComplete: () => this._weights.confirmComplete(),
      onServing: (_digest, fence) => {
        this._recordElapsed('time-to-serve')
        this._weights.dropUnlisted(fence)
      }
    })
  }

  private _newServer (): PeerServer {
    const requests = new AgentRequests({
      instance: this._name,
      endpoint: this._endpoint,
      admissionController: this._admissionController,
      keeper: this._claimKeeper,
      spread: this._spread,
      chunks: this._chunks,
      weights: this._weights,
      switcher: this._switcher,
      runner: this._runner,
      log: this._log,
      endpointStatus: () => this._endpointStatus(),
      processStatus: () => this.status()
    })
    return new PeerServer({
      instance: this._name,
      address: this._text('process', 'address'),
      key: this._text('peers', 'key'),
      log: this._log,
      traffic: this._traffic,
      onRequest: (request, payload, responder) => requests.handle(request, payload, responder)
    })
  }

  private _close (): void {
    this._spread.close()
    this._weights.close()
    this._chunks.close()
    this._switcher.close()
    this._server.close()
    this._pool.close()
    this._metrics?.close()
  }

  /** Applies a newly adopted revision to everything that depends on it. */
  private _apply (): void {
    const { configuration, instances } = this._spread.spread
    this._addresses = new Map(instances.map(record => [record.instance, record.address]))
    this._members = instances.filter(record => record.role === 'agent' && record.endpoint === this._endpoint && record.state === 'live')
    const listed = instances.find(record => record.instance === this._name)
    if (listed !== undefined) this._claimKeeper.listed(performance.now())
    const leaving = listed?.state === 'leaving' || configuration?.draining.includes(this._name) === true
    if (leaving && this._admissionController.leave('draining')) this._log.info('agent-draining', { running: this._admissionController.running })
    if (configuration === undefined) return
    const slots = configuration.pools[this._endpoint]?.slots ?? configuration.services[this._endpoint]?.slots ?? DEFAULT_SLOTS
    this._admissionController.setSlots(slots)
    this._updateDesiredVersion()
  }

  private _updateDesiredVersion (): void {
    const { configuration, instances } = this._spread.spread
    const digest = configuration === undefined ? undefined : wantedDigest(configuration, this._endpoint)
    if (digest === undefined || instances.length === 0 || !this._servesModel) return
    if (digest !== this._weights.wanted) this._desiredSince = performance.now()
    this._weights.want(digest, configuration?.pools[this._endpoint]?.originCopies ?? 1)
  }

  private _switchTarget (): SwitchTarget | undefined {
    const { spread } = this._spread
    const pool = spread.configuration?.pools[this._endpoint]
    const manifestDigest = this._weights.wanted
    if (pool === undefined || manifestDigest === '') return undefined
    return { manifestDigest, switchFraction: pool.switchFraction }
  }

  private _configuredDigests (): ReadonlySet<string> {
    const { configuration } = this._spread.spread
    const model = configuration?.pools[this._endpoint]?.model
    return new Set(Object.values(configuration?.models[model ?? '']?.versions ?? {}))
  }

  private _endpointStatus (): EndpointStatus {
    const version = this._switcher.engine?.version ?? ''
    const { lifecycle, running, slots, serving, switching } = this._admissionController
    return { incarnation: this.incarnation, lifecycle, version, serving: serving && !switching, running, slots }
  }

  private _processState (): ProcessStatus['state'] {
    if (this._switcher.failed !== '' && this._switcher.failed === this._weights.wanted) return 'failed'
    if (this._switcher.halted) return 'halted'
    if (this._admissionController.switching) return 'switching'
    if (!this._servesModel) return 'serving'
    const version = this._switcher.engine?.version ?? ''
    if (version !== '' && version === this._weights.wanted) return 'serving'
    if (this._weights.completeDigest !== '') return 'whole'
    return this._weights.wanted === '' ? 'empty' : 'fetching'
  }

  private _recordElapsed (measure: 'transfer' | 'time-to-serve'): void {
    this._histograms.record({ measure, organisation: 'all', requestClass: this._endpoint }, performance.now() - this._desiredSince)
  }
}
