/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The entry process for platforms whose callers address routes and whose endpoints are reached directly. It watches the
 * published state, follows the load of the engines, and routes requests.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { ageOf, AwaitedEndpoints, publishedTopics, readNamedVersion, RouteShortfalls, RouteTable, type LoadReport, type ModelVersion, type PeerRequest, type PublishedChange } from '@drumdrift/core'
import { callerLimitsOf } from '../caller-limits.js'
import { EndpointLiveness } from '../endpoint-liveness.js'
import { probeEndpoint } from '../endpoint-probe.js'
import { Histograms } from '../observe/histograms.js'
import type { Log } from '../observe/log.js'
import { Counters } from '../observe/metrics.js'
import { MetricsServer } from '../observe/metrics-server.js'
import type { Responder, Traffic } from '../peer/connection.js'
import { PeerPool } from '../peer/pool.js'
import { PeerServer } from '../peer/server.js'
import { runningTime, runPeriodically, stallCounter, type PeriodicTask } from '../periodic-tasks.js'
import type { Daemon } from '../run-daemon.js'
import type { Settings } from '../settings/settings.js'
import { settledWithin } from '../settled-within.js'
import { ConnectionReserve } from './connection-reserve.js'
import { bufferBoundOf, coldBoundsOf, retryLimitsOf } from './entry-bounds.js'
import { EvidenceExchange } from './evidence-exchange.js'
import { formatCounts } from './format-counts.js'
import { LoadFollower, type PingContent, type RelayedMessage } from './load-follower.js'
import type { RoutingPlatform } from './ports.js'
import { PublishedStateRelay } from './published-state-relay.js'
import { NoticeExchange } from './notice-exchange.js'
import { PublishedFeed, type Watch } from './published-feed.js'
import { ReadinessServer } from './readiness-server.js'
import { placeOf } from './regions.js'
import { RequestTraits } from './request-traits.js'
import { RouteFront } from './route-front.js'
import { RoutedRequest, type RoutedRequestDependencies } from './routed-request.js'
import { ServiceUnits } from './service-units.js'
import { SuspectExchange } from './suspect-exchange.js'

/**
 * How long the server keeps listening after a stop is ordered, in milliseconds. The balancer probes readiness once a second and
 * sends new connections until two probes have failed; half a second is added for the second probe.
 */
const LISTEN_AFTER_STOP = 2_500
/** The longest share of the stop timeout for which it listens: what it accepts last has to end before the process does. */
const MAX_LISTEN_SHARE = 0.5
/**
 * The pause between two watches, as a share of the time within which a configuration or a draining endpoint must take effect.
 * Published state changes in bursts, and each answer to a watch costs every entry one call to the store, so changes are batched.
 */
const WATCH_PAUSE_SHARE = 0.25
/**
 * A relay pauses less between watches, and lets the store hold them for less time, so that the entries that depend on it soon
 * detect that it has lost the store. In milliseconds. There are at most three relays.
 */
const RELAY_PAUSE = 250
const RELAY_WAIT = 1_000
/** The part of the stop timeout that is reserved for the last answers and for closing after the wait for requests, in milliseconds. */
const CLOSING_RESERVE = 500
/**
 * How long before the bound of a new version requests are sent only to endpoints that have it, in milliseconds. A request may
 * queue at its endpoint before it begins, so this is several times the queueing delay of a healthy engine.
 */
const VERSION_CHOICE_MARGIN = 400
/** How often requests in progress are checked: for silence, and for the measured delays of links. In milliseconds. */
const REQUEST_CHECK_INTERVAL = 100
/** The shortest time in which the process did not run that is logged, in milliseconds. */
const MIN_LOGGED_STALL = 300

/** The daemon of a route entry. */
export class RouteEntry implements Daemon {
  private readonly _counters = new Counters()
  private readonly _histograms = new Histograms()
  private readonly _traffic: Traffic = { sent: 0, received: 0 }
  private readonly _pool: PeerPool
  private readonly _server: PeerServer
  private readonly _feed: PublishedFeed
  private readonly _relay: PublishedStateRelay
  private readonly _follower: LoadFollower
  private readonly _suspects: SuspectExchange
  private readonly _notices: NoticeExchange
  private readonly _evidence: EvidenceExchange
  private readonly _units: ServiceUnits
  private readonly _reserve = new ConnectionReserve()
  private readonly _front: RouteFront
  private readonly _requestChecks: PeriodicTask
  private readonly _readiness: ReadinessServer
  private readonly _metrics: MetricsServer | undefined
  private _table: RouteTable | undefined
  private readonly _traits: RequestTraits
  private readonly _takeStall = stallCounter()
  private readonly _shortfalls = new RouteShortfalls(performance.now())
  private readonly _awaited = new AwaitedEndpoints(runningTime)
  private readonly _liveness = new EndpointLiveness(probeEndpoint)
  /** Agents that reported an implausible number of entries; each is logged once. */
  private readonly _implausibleAgents = new Set<string>()
  /** The newest version of each model that agents have been told. */
  private readonly _namedVersions = new Map<string, number>()
  private _ready = false
  private _stopping = false

  constructor (private readonly _settings: Settings, private readonly _log: Log, platform: RoutingPlatform) {
    const text = (section: string, key: string): string => _settings.text(section, key)
    const self = { instance: text('process', 'instance'), key: text('peers', 'key') }
    this._pool = new PeerPool(self, this._traffic)
    this._traits = new RequestTraits(self.key)
    this._notices = new NoticeExchange({
      log: _log,
      counters: this._counters,
      entries: now => this._units.entries(now),
      coldBounds: coldBoundsOf(_settings),
      send: (news, to, cold) => this._follower.sendToSome({ type: 'limits', news, ...(cold.length > 0 ? { cold } : {}) }, to === 'one' ? 1 : undefined)
    })
    this._units = new ServiceUnits(self.instance, placeOf(_settings), retryLimitsOf(_settings), _settings.number('peers', 'agent-port'), this._notices.gate)
    this._feed = new PublishedFeed({
      store: platform.store,
      pool: this._pool,
      log: _log,
      counters: this._counters,
      watches: this._watches(),
      relays: {
        addresses: this._isRelay ? [] : this._seeds,
        place: placeOf(_settings),
        topics: () => publishedTopics,
        onEvidence: reports => this._evidence.hear(reports, performance.now())
      },
      peers: () => this._peers(),
      onChanges: changes => this._applyChanges(changes)
    })
    this._relay = new PublishedStateRelay(this._feed, text('process', 'availability-zone'))
    this._evidence = new EvidenceExchange({
      availabilityZone: text('process', 'availability-zone'),
      isRelay: this._isRelay,
      log: _log,
      counters: this._counters,
      take: now => this._units.takeEvidence(now),
      hear: (reports, now) => this._units.hearEvidence(reports, now),
      send: reports => this._feed.sendEvidence(reports)
    })
    this._follower = new LoadFollower({
      pool: this._pool,
      log: _log,
      news: agent => this._pingContent(agent, performance.now()),
      onLoad: (agent, load) => this._onLoad(agent, load),
      onRelayedMessage: (reply, agent) => this._onRelayedMessage(reply, agent),
      initialMessages: () => this._sharedState(),
      onNamedVersion: (named, agent) => this._onNamedVersion(named, agent),
      onPing: (agent, step) => this._units.recordPing(agent, step, performance.now())
    })
    this._suspects = new SuspectExchange({
      log: _log,
      counters: this._counters,
      send: news => this._follower.sendToSome({ type: 'suspects', news }),
      onHeldBack: fingerprint => this._front.holdBack(fingerprint),
      probe: probeEndpoint,
      random: Math.random,
      entries: now => this._units.entries(now)
    })
    const requestDependencies = this._requestDependencies(platform)
    this._front = new RouteFront({
      address: text('process', 'http-address'),
      dialect: platform.dialect,
      table: () => this._feed.state.hasFollowed('evacuations') ? this._table : undefined,
      begin: (request, answer) => new RoutedRequest(requestDependencies, request, answer),
      bufferBound: bufferBoundOf(_settings),
      limits: callerLimitsOf(_settings),
      random: Math.random,
      log: _log,
      counters: this._counters
    })
    this._requestChecks = runPeriodically(() => this._checkRequests(), REQUEST_CHECK_INTERVAL)
    this._readiness = new ReadinessServer(text('process', 'readiness-address'), platform.dialect.readinessPath, () => this._ready && !this._stopping)
    this._server = new PeerServer({
      ...self, address: text('process', 'address'), log: _log, traffic: this._traffic, onRequest: (request, _payload, responder) => this._answer(request, responder)
    })
    const metricsAddress = text('process', 'metrics-address')
    this._metrics = metricsAddress === '' ? undefined : new MetricsServer(metricsAddress, this._counters, this._histograms)
  }

  /** Starts watching the published state and opens the servers. */
  async start (): Promise<void> {
    this._feed.start()
    await Promise.all([this._server.listen(), this._front.listen(), this._readiness.listen(), this._metrics?.listen()])
    this._log.info('entry-started', { zone: this._settings.text('process', 'availability-zone') })
  }

  /**
   * Fails readiness probes, stops listening once the balancer has noticed, drains the requests in progress, then closes.
   *
   * @returns The number of requests that did not get the answers of their endpoints completely.
   */
  async stop (): Promise<number> {
    const patience = this._settings.number('process', 'stop-patience-seconds') * 1000 - CLOSING_RESERVE
    const stopAt = performance.now() + patience
    this._stopping = true
    this._front.leave(stopAt)
    this._log.info('entry-stopping', { ...this._front.counts, patience })
    await pause(Math.min(LISTEN_AFTER_STOP, MAX_LISTEN_SHARE * patience))
    this._front.stopListening()
    await settledWithin(this._front.waitUntilIdle(), stopAt - performance.now())
    const { cut, unsent, ended } = await this._front.endAll()
    this._close()
    this._log.info('entry-stopped', { cut, unsent, ended })
    return cut + ended
  }

  private _close (): void {
    this._requestChecks.close()
    this._front.close()
    this._readiness.close()
    this._reserve.close()
    this._feed.close()
    this._relay.close()
    this._follower.close()
    this._suspects.close()
    this._notices.close()
    this._server.close()
    this._pool.close()
    this._metrics?.close()
  }

  private _requestDependencies (platform: RoutingPlatform): RoutedRequestDependencies {
    return {
      dialect: platform.dialect,
      unit: service => this._units.get(service),
      minimumVersion: model => this._minimumVersion(model),
      mustBeginBy: (model, version) => this._mustBeginBy(model, version),
      reserve: this._reserve,
      random: Math.random,
      suspects: this._suspects,
      awaited: this._awaited,
      liveness: this._liveness,
      notices: this._notices,
      traits: (request, scope) => this._traits.of(request, scope),
      log: this._log,
      counters: this._counters,
      histograms: this._histograms,
      shortfalls: this._shortfalls
    }
  }

  private _onRelayedMessage (reply: RelayedMessage, agent: string): void {
    if (reply.type === 'suspects') this._suspects.receive(reply.news, agent)
    else this._notices.receive(reply.news, agent, reply.cold)
  }

  /** The state that a newly connected agent receives and passes on to entries that have restarted. */
  private _sharedState (): PeerRequest[] {
    const suspects = this._suspects.snapshot()
    const limits = this._notices.snapshot()
    const cold = this._notices.coldSnapshot()
    return [
      ...(suspects.losses.length > 0 ? [{ type: 'suspects', news: suspects } as const] : []),
      ...(limits.length + cold.length > 0 ? [{ type: 'limits', news: limits, ...(cold.length > 0 ? { cold } : {}) } as const] : [])
    ]
  }

  private _onLoad (agent: string, load: LoadReport): void {
    const now = performance.now() - ageOf(load)
    const alive = this._units.lastProvenAlive(agent, load, now)
    if (alive !== undefined) this._suspects.recordAlive(alive.start, alive.at)
    if (this._units.recordLoad(agent, load, now)) return
    this._counters.add('entries_miscounted')
    if (!this._implausibleAgents.has(agent)) this._log.warn('entries-miscounted', { agent, entries: Number(load.entries) })
    this._implausibleAgents.add(agent)
  }

  /** A version that an agent told dates it no later than the agent did, although this process may have been suspended since. */
  private _onNamedVersion (input: unknown, agent: string): void {
    const named = readNamedVersion(input)
    if (named === undefined) return this._log.warn('peer-malformed', { type: 'ping', detail: 'malformed wanted version', agent })
    const changes = this._feed.takeNamedVersion(named, agent)
    if (changes.length > 0) this._applyChanges(changes)
  }

  private get _versionBound (): number { return this._settings.number('platform', 'version-bound-milliseconds') }

  /** The lowest version that may begin a request: any version until shortly before the bound, then only the wanted one. */
  private _minimumVersion (model: string): number {
    return this._feed.state.dueVersion(model, this._versionBound - VERSION_CHOICE_MARGIN, performance.now())
  }

  /** When an endpoint of a version must have begun a request that it was sent. Returns `undefined` if there is no newer version. */
  private _mustBeginBy (model: string, version: number): number | undefined {
    const namedAt = this._feed.state.firstNewerAt(model, version)
    return namedAt === undefined ? undefined : namedAt + this._versionBound
  }

  private _pingContent (agent: string, now: number): PingContent {
    const wanted = this._feed.state.wanted(this._units.modelOf(agent) ?? '')
    const named = wanted === undefined ? undefined : { model: wanted.model, version: wanted.version, age: Math.max(0, now - wanted.published.latest) }
    return { ...this._units.poolTraffic(agent, now), named }
  }

  /** Seeds read the operators' documents from the store and relay them to the other entries. */
  private get _isRelay (): boolean { return this._settings.list('peers', 'seeds').includes(this._settings.text('process', 'address')) }

  private get _seeds (): string[] {
    const own = this._settings.text('process', 'address')
    return this._settings.list('peers', 'seeds').filter(seed => seed !== own)
  }

  private _peers (): string[] { return [...this._seeds, ...this._units.agents] }

  /**
   * An entry with relays reads the store itself only while none of them follows the store, since every watch is a call to the
   * store. Draining endpoints are noticed as quickly, because a relay uses at most half the pause.
   */
  private _watches (): Watch[] {
    const pause = WATCH_PAUSE_SHARE * this._settings.number('platform', 'apply-bound-milliseconds')
    const wait = this._settings.number('platform', 'watch-seconds') * 1000
    if (this._isRelay) return [{ scope: 'everything', pause: Math.min(pause, RELAY_PAUSE), wait: Math.min(wait, RELAY_WAIT), relayed: false }]
    return [{ scope: 'everything', pause, wait, relayed: this._seeds.length > 0 }]
  }

  private _applyChanges (changes: readonly PublishedChange[]): void {
    const { state } = this._feed
    if (changes.some(({ type }) => type === 'configuration') && state.configuration !== undefined) this._applyConfiguration(state.configuration)
    for (const change of changes) this._logChange(change)
    this._notices.apply(state)
    this._units.apply(state)
    this._follower.follow(this._units.followed)
    this._applyEvacuations(changes)
    if (changes.some(({ type }) => type === 'wanted-version')) this._onVersionsChanged(changes)
    if (!this._ready && state.complete) {
      this._ready = true
      this._log.info('entry-ready', { configuration: state.configuration?.version, endpoints: state.endpoints().length })
    }
  }

  /** Logs and counts changes of evacuations, and closes the connections that are kept ready to evacuated endpoints. */
  private _applyEvacuations (changes: readonly PublishedChange[]): void {
    const { state } = this._feed
    const now = performance.now()
    for (const change of changes) {
      if (change.type === 'evacuation') this._onZoneEvacuated(change.zone, change.revision)
      if (change.type === 'evacuation-ended') this._onZoneReopened(change.zone, change.revision, now - (change.age ?? 0))
    }
    const { evacuatedZones } = state
    if (evacuatedZones.size === 0) return
    this._reserve.closeTo(new Set(state.endpoints().flatMap(({ availabilityZone, address }) => evacuatedZones.has(availabilityZone) ? [address] : [])))
  }

  private _onZoneEvacuated (zone: string, revision: number): void {
    this._counters.add('evacuations_began')
    this._log.warn('evacuation-began', { zone, epoch: this._feed.state.epoch, revision, endpoints: this._endpointsIn(zone) })
  }

  /**
   * Called when the evacuation of a zone has ended. Its endpoints may be cold from then on.
   *
   * @param at When it ended, by this process's clock; earlier than now if a peer told of it.
   */
  private _onZoneReopened (zone: string, revision: number, at: number): void {
    this._counters.add('evacuations_ended')
    this._notices.zoneReopened(zone, at)
    this._log.warn('evacuation-ended', { zone, epoch: this._feed.state.epoch, revision, endpoints: this._endpointsIn(zone), age: Math.round(performance.now() - at) })
  }

  private _endpointsIn (zone: string): number { return this._feed.state.endpoints().filter(({ availabilityZone }) => availabilityZone === zone).length }

  /** An entry in the list that is written again and says the same is no change of the list, but may say that an endpoint is not cold. */
  private _checkRequests (): void {
    this._logStall()
    this._logShortfalls()
    this._front.rescheduleCancellations()
    this._front.checkSilence()
    this._evidence.exchange(performance.now())
    if (this._notices.awaitsEntries) this._notices.apply(this._feed.state)
  }

  private _logStall (): void {
    const stalledFor = this._takeStall()
    if (stalledFor < MIN_LOGGED_STALL) return
    this._counters.add('process_pauses')
    this._log.warn('process-paused', { for: Math.round(stalledFor) })
  }

  private _logShortfalls (): void {
    const now = performance.now()
    for (const { route, requests, results, reasons } of this._shortfalls.take(now)) {
      this._counters.add('routes_short')
      const services = this._table?.configuration.routes.find(({ name }) => name === route)?.targets.map(({ service }) => service) ?? []
      this._log.warn('route-short', {
        route, requests, in_time: results['in-time'], late: results.late, refused: results.refused, failed: results.failed, reasons: formatCounts(reasons), endpoints: services.map(service => `${service}(${formatCounts(this._units.conditionsOf(service, now))})`).join(' ')
      })
    }
  }

  /** Attempts that wait at an engine may have been sent before a newer version, or the time of its publication, was known. */
  private _onVersionsChanged (changes: readonly PublishedChange[]): void {
    this._front.rescheduleCancellations()
    if (changes.some(change => change.type === 'wanted-version' && this._isNewlyNamed(change.wanted))) this._follower.pingAll()
  }

  /** Whether a version was not known before, rather than known with another time of publication. */
  private _isNewlyNamed ({ model, version }: ModelVersion): boolean {
    const isNew = version > (this._namedVersions.get(model) ?? 0)
    if (isNew) this._namedVersions.set(model, version)
    return isNew
  }

  private _applyConfiguration (configuration: RouteTable['configuration']): void {
    this._table = new RouteTable(configuration)
    this._front.applyLimits(this._table)
    this._log.info('configuration-adopted', {
      version: configuration.version, epoch: this._feed.state.epoch, revision: this._feed.state.configurationRevision, routes: configuration.routes.length, organisations: configuration.organisations.length
    })
  }

  private _logChange (change: PublishedChange): void {
    if (change.type === 'wanted-version') this._log.info('version-wanted', { model: change.wanted.model, version: change.wanted.version, revision: change.revision })
    if (change.type === 'endpoint-gone') this._log.info('endpoint-gone', { endpoint: change.id, epoch: this._feed.state.epoch, revision: change.revision, successor: change.successor })
    if (change.type !== 'endpoint') return
    const { id, service, address, availabilityZone, draining } = change.record
    this._log.info('endpoint-listed', { endpoint: id, service, address, zone: availabilityZone, draining, epoch: this._feed.state.epoch, revision: change.revision })
  }

  private _followNews (responder: Responder, availabilityZone: string | undefined): void {
    this._relay.follow(responder)
    this._evidence.follow(responder, availabilityZone)
  }

  private _answer (request: PeerRequest, responder: Responder): void {
    if (request.type === 'news') this._relay.answer(request, responder)
    else if (request.type === 'follow-news') this._followNews(responder, request.availabilityZone)
    else if (request.type === 'endpoint-evidence') this._evidence.receive(request.reports, request.availabilityZone, responder, performance.now())
    else responder.send({ type: 'refused', reason: 'not-supported', detail: 'a route entry does not support this request type' })
  }
}
