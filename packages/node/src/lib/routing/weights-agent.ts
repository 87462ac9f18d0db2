/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The agent for platforms whose engines load numbered versions from a staging area: follows the wanted version, fetches its
 * chunks from peers and the origin, and orders its engine to switch.
 */
import { setTimeout as pause } from 'node:timers/promises'
import {
  defaultSwarmPolicy, LimitStatements, ColdTimes, readColdNews, type ColdNews, LinkPacer, readLimitNews, readNamedVersion, prefillRate, readSuspectNews, SuspectRequests, type ChunkMember, type Manifest, type NamedVersion, type PeerReply, type PublishedChange, type PublishedTopic, type PeerRequest, type PoolDescription
} from '@drumdrift/core'
import { ChunkServer } from '../agent/chunk-server.js'
import { Histograms } from '../observe/histograms.js'
import type { Log } from '../observe/log.js'
import { Counters } from '../observe/metrics.js'
import { MetricsServer } from '../observe/metrics-server.js'
import type { ReadPacer, Responder, Traffic } from '../peer/connection.js'
import { PeerPool } from '../peer/pool.js'
import { PeerServer } from '../peer/server.js'
import type { Daemon } from '../run-daemon.js'
import { parseAddress } from '../settings/address.js'
import type { Settings } from '../settings/settings.js'
import { HoldingsPublisher } from './chunk-holdings.js'
import { EngineSwitcher, SWITCH_LEAD } from './engine-switcher.js'
import { LoadPublisher } from './load-publisher.js'
import type { WeightsPlatform } from './ports.js'
import { DeltaEncoder, sendNews } from './delta-codec.js'
import { PlacedStaging } from './placed-staging.js'
import { PublishedFeed } from './published-feed.js'
import { PublishedStatePoller } from './published-state-poller.js'
import { placeOf } from './regions.js'
import { VersionTransfers, type NewestVersion } from './version-transfers.js'

const MEBIBYTE = 1024 * 1024
const GIBIBYTE = 1024 * MEBIBYTE
const BYTES_PER_MEGABIT = 125_000
/** The version that engines serve initially, before any version has been named. */
const FIRST_VERSION = 1

/** Entries are told a version for this many times its bound, since they may have been suspended for a while. */
const NAMED_FOR_BOUNDS = 2

/**
 * Time from the publication of a version until the first agents hold it, in multiples of the time that their link needs for a copy:
 * the first chunks have to leave the origin. In the model of versions it is 1.3 for both 30 and 100 agents.
 */
const TRANSFER_OVERHEAD = 1.3

/** How often the staging memory is read at the start. If it could not be read, its chunks are fetched. */
const MAX_RECOVERY_ATTEMPTS = 5

/** Interval between polls of an engine that is not up yet, in milliseconds. */
const ENGINE_POLL_INTERVAL = 100

/** The daemon of a weights agent. */
export class WeightsAgent implements Daemon {
  private readonly _counters = new Counters()
  private readonly _histograms = new Histograms()
  private readonly _traffic: Traffic = { sent: 0, received: 0 }
  private readonly _self: ChunkMember
  private readonly _service: string
  private readonly _platform: WeightsPlatform
  /** Bandwidth in bytes per second that transfers may use in each direction while the engine sends responses. */
  private readonly _transferRate: number
  private readonly _pool: PeerPool
  private readonly _server: PeerServer
  private readonly _feed: PublishedFeed
  private readonly _readings: PublishedStatePoller
  private readonly _encoder: DeltaEncoder
  private readonly _staging: PlacedStaging
  private readonly _versions: VersionTransfers
  private readonly _chunks: ChunkServer
  private readonly _switcher: EngineSwitcher
  private readonly _holdingsPublisher = new HoldingsPublisher(identity => this._versions.known(identity))
  private readonly _loadPublisher = new LoadPublisher(() => ({ readRate: prefillRate(this._poolDescription), slots: this._poolDescription?.slots ?? Infinity }))
  /** Reports by entries of requests that may crash endpoints; kept for entries that restart. */
  private readonly _suspects = new SuspectRequests()
  /** Reports by entries of the limits of endpoints; kept for entries that restart. */
  private readonly _limits = new LimitStatements()
  /** Reports by entries of the cold times of endpoints; kept for entries that restart. */
  private readonly _coldTimes = new ColdTimes()
  private readonly _metrics: MetricsServer | undefined
  private _members: readonly ChunkMember[] = []
  private _poolDescription: PoolDescription | undefined
  private _recovering = false
  private _recovered = false
  private _stopped = false

  /**
   * @param connect Connects the agent to its platform; reads of weights must use the pacer.
   */
  constructor (private readonly _settings: Settings, private readonly _log: Log, connect: (pacer: ReadPacer) => WeightsPlatform) {
    const text = (section: string, key: string): string => _settings.text(section, key)
    const address = text('process', 'address')
    this._service = text('endpoint', 'name')
    this._self = { instance: address, availabilityZone: text('process', 'availability-zone') }
    const linkRate = _settings.number('weights', 'link-megabits-per-second') * BYTES_PER_MEGABIT
    this._transferRate = linkRate * _settings.number('weights', 'link-percent') / 100
    const sharedPacer = new LinkPacer(this._transferRate, performance.now())
    const fullPacer = new LinkPacer(linkRate, performance.now())
    const pacer = (): LinkPacer => this._engineServes() ? sharedPacer : fullPacer
    const readPacer: ReadPacer = { received: bytes => pacer().received(bytes, performance.now()) }
    this._platform = connect(readPacer)
    const self = { instance: text('process', 'instance'), key: text('peers', 'key') }
    this._pool = new PeerPool(self, this._traffic, readPacer)
    this._feed = this._newFeed()
    this._readings = new PublishedStatePoller(this._feed, { needsMembers: () => this._versions.transferring, onFirstVersionsRead: () => this._applyState() })
    this._encoder = new DeltaEncoder(this._feed.state)
    this._staging = new PlacedStaging(this._platform.engine, this._platform.manifests, this._platform.chunkDigest)
    this._versions = this._newVersions()
    this._chunks = new ChunkServer(this._versions, { upload: (bytes, now) => pacer().upload(bytes, now) }, digest => this._versions.expects(digest))
    this._switcher = this._newSwitcher()
    this._server = new PeerServer({
      ...self, address, log: _log, traffic: this._traffic, onRequest: (request, _payload, responder) => this._answer(request, responder)
    })
    const metricsAddress = text('process', 'metrics-address')
    this._metrics = metricsAddress === '' ? undefined : new MetricsServer(metricsAddress, this._counters, this._histograms)
  }

  /** Starts listening and following published state. */
  async start (): Promise<void> {
    await Promise.all([this._server.listen(), this._metrics?.listen()])
    this._feed.start()
    this._readings.start()
    this._log.info('agent-started', { service: this._service })
  }

  /** Stops without draining: the engine keeps running without its agent. */
  async stop (): Promise<number> {
    this._stopped = true
    this._readings.close()
    this._feed.close()
    this._versions.close()
    this._chunks.close()
    this._holdingsPublisher.close()
    this._switcher.close()
    this._server.close()
    this._pool.close()
    this._metrics?.close()
    this._log.info('agent-stopped')
    return 0
  }

  private get _versionBound (): number { return this._settings.number('platform', 'version-bound-milliseconds') }

  private _newFeed (): PublishedFeed {
    return new PublishedFeed({
      store: this._platform.store,
      pool: this._pool,
      log: this._log,
      counters: this._counters,
      watches: [],
      relays: { addresses: this._settings.list('peers', 'seeds'), place: placeOf(this._settings), topics: () => this._relayedTopics() },
      peers: () => [...this._settings.list('peers', 'seeds'), ...this._members.map(({ instance }) => instance)].filter(address => address !== this._self.instance),
      onChanges: changes => this._onChanges(changes)
    })
  }

  /**
   * The topics fetched from relays: versions and evacuations always, the others only until they are known. An agent does not use
   * evacuations, but it passes them on to entries that reach neither the store nor a relay.
   */
  private _relayedTopics (): PublishedTopic[] {
    const { state } = this._feed
    return ['versions', 'evacuations', ...(state.configuration === undefined ? ['configuration' as const] : []), ...(state.hasFollowed('endpoints') ? [] : ['endpoints' as const])]
  }

  private _newVersions (): VersionTransfers {
    const { source, chunkDigest, manifestMatches } = this._platform
    return new VersionTransfers({
      self: this._self,
      largestBytes: this._settings.number('weights', 'largest-gigabytes') * GIBIBYTE,
      source,
      pool: this._pool,
      log: this._log,
      counters: this._counters,
      members: () => this._members,
      chunkDigest,
      manifestMatches,
      originCopyTime: manifest => this._originCopyTime(manifest),
      onWhole: () => this._switcher.poll(),
      overlap: {
        published: model => this._feed.state.publishedVersions(model),
        policy: bytes => ({ bound: this._versionBound, lead: SWITCH_LEAD, transferTime: TRANSFER_OVERHEAD * bytes / this._transferRate * 1000 })
      }
    }, this._staging, this._settings.number('weights', 'memory-megabytes') * MEBIBYTE)
  }

  /**
   * Whether the engine sends responses that transfers could delay. An engine without a version, or without requests on a version
   * that accepts no new ones, does not, so that transfers may use the full link.
   */
  private _engineServes (): boolean {
    const model = this._poolDescription?.models[0]?.name
    if (model === undefined) return true
    const version = this._switcher.version(model)
    return version > 0 && (this._switcher.hasRequests || this._mayBegin(model, version))
  }

  /** Whether new requests may still start on a version: until the version bound after a newer one is named. */
  private _mayBegin (model: string, version: number): boolean {
    const newerAt = this._feed.state.firstNewerAt(model, version)
    return newerAt === undefined || performance.now() < newerAt + this._versionBound
  }

  /** The time that the origin's link takes to send one copy, in milliseconds. */
  private _originCopyTime ({ bytes }: Manifest): number {
    const rate = this._feed.state.configuration?.origin?.megabitsPerSecond ?? 0
    return rate > 0 ? bytes / (rate * BYTES_PER_MEGABIT) * 1000 : defaultSwarmPolicy.originCopyTime
  }

  private _newSwitcher (): EngineSwitcher {
    return new EngineSwitcher({
      engine: this._platform.engine,
      log: this._log,
      counters: this._counters,
      versionBound: this._versionBound,
      situation: () => {
        const wanted = this._versions.target ?? this._wanted()
        const served = wanted === undefined ? 0 : this._switcher.version(wanted.model)
        const publishedAt = wanted === undefined ? undefined : this._feed.state.firstNewerAt(wanted.model, served)
        return { wanted, publishedAt, whole: this._versions.whole }
      },
      turn: () => this._versions.turn,
      confirmWhole: () => this._versions.confirmWhole(),
      staging: this._staging,
      onPolled: () => this._stepVersions(),
      onEngineRestarted: () => { this._versions.recover() },
      pool: () => this._poolDescription,
      timeToWhole: () => this._versions.timeToWhole(this._transferRate),
      estimatedTimeToWhole: () => this._versions.estimatedTimeToWhole(this._transferRate),
      onLoad: load => this._loadPublisher.publish(load, performance.now())
    })
  }

  /** Replaces the staged version by the next one if due. */
  private _stepVersions (): void {
    const model = this._versions.target?.model
    if (model === undefined) return
    const view = { served: this._switcher.version(model), ordering: this._switcher.ordering, mayBegin: (version: number) => this._mayBegin(model, version) }
    this._versions.step(view, performance.now())
    if (this._versions.transferring) this._holdingsPublisher.resume()
  }

  private _onChanges (changes: readonly PublishedChange[]): void {
    if (changes.some(({ type }) => type === 'wanted-version')) this._readings.refreshMembers()
    this._applyState()
  }

  /** Reads the staging area, so that chunks staged by an earlier agent or by the platform are not fetched again. */
  private async _recoverStaging (model: string): Promise<void> {
    if (this._recovering) return
    this._recovering = true
    this._platform.engine.useModel(model)
    while (await this._platform.engine.report() === undefined) {
      if (this._stopped) return
      await pause(ENGINE_POLL_INTERVAL)
    }
    for (let attempt = 0; attempt < MAX_RECOVERY_ATTEMPTS && !await this._versions.recover(); attempt += 1) await pause(ENGINE_POLL_INTERVAL)
    this._recovered = true
    this._log.info('staging-read', { model, staged: this._versions.stagedCount })
    this._applyState()
  }

  /** The wanted version of this pool's model. */
  private _wanted (): NewestVersion | undefined {
    const model = this._poolDescription?.models[0]?.name
    if (model === undefined || !this._feed.state.hasFollowed('versions')) return undefined
    const wanted = this._feed.state.wanted(model)
    return { model, version: wanted?.version ?? FIRST_VERSION, heardAt: wanted?.published.latest }
  }

  private _applyState (): void {
    const { configuration } = this._feed.state
    this._poolDescription = configuration?.services.find(({ name }) => name === this._service)?.pool ?? this._poolDescription
    if (configuration?.origin !== undefined) this._platform.source.setOrigin(configuration.origin.address)
    const port = this._settings.number('peers', 'agent-port')
    this._members = this._feed.state.endpoints().filter(({ service }) => service === this._service)
      .map(({ address, availabilityZone }) => ({ instance: `${parseAddress(address).host}:${port}`, availabilityZone }))
    this._versions.membersChanged()
    const wanted = this._wanted()
    if (wanted !== undefined) this._recoverStaging(wanted.model)
    if (wanted !== undefined && this._recovered && this._mayFetch()) this._versions.want(wanted, this._switcher.version(wanted.model), this._switcher.ordering)
  }

  /**
   * Whether a transfer may start. Without the list of members, an agent would fetch every chunk from the origin itself. If chunks
   * are staged, most likely only the manifest is missing: after a power loss of all sites, with low bandwidth between regions, the
   * list of 105 endpoints arrives 0.7 s after the configuration.
   */
  private _mayFetch (): boolean { return this._feed.state.hasFollowed('endpoints') || this._versions.stagedCount > 0 }

  private _answer (request: PeerRequest, responder: Responder): void {
    const handler = Object.hasOwn(this._handlers, request.type) ? this._handlers[request.type] : undefined
    if (handler === undefined) responder.send({ type: 'refused', reason: 'not-supported', detail: 'a weights agent does not answer this' })
    else handler(request as never, responder)
  }

  private readonly _handlers: { readonly [Type in PeerRequest['type']]?: (request: Extract<PeerRequest, { type: Type }>, responder: Responder) => void } = {
    ping: ({ sentRate, followed, named }, responder) => {
      if (named !== undefined) this._onNamedVersion(named)
      this._loadPublisher.recordRate(responder.connection, Number(sentRate) || 0, Number(followed) || 0, performance.now())
      this._loadPublisher.answerPing(responder, performance.now(), this._namedVersion(performance.now()))
    },
    news: ({ note, topics }, responder) => sendNews(responder, this._encoder.since(note, topics, performance.now())),
    chunk: ({ digest, wait }, responder) => { this._chunks.serve(String(digest), Number(wait) || 0, responder) },
    manifest: ({ digest, wait }, responder) => { this._sendManifest(String(digest), Number(wait) || 0, responder) },
    'follow-chunks': ({ identity }, responder) => this._holdingsPublisher.follow(String(identity), responder),
    'follow-load': (_request, responder) => {
      this._loadPublisher.follow(responder, performance.now())
      const losses = this._suspects.known(performance.now())
      if (losses.length > 0) responder.send({ type: 'suspects', news: { losses, answers: [] } })
      const limits = this._limits.known(performance.now())
      const cold = this._coldTimes.known(performance.now())
      if (limits.length + cold.length > 0) responder.send({ type: 'limits', news: limits, ...optionalCold(cold) })
    },
    suspects: ({ news }, responder) => { this._forwardSuspects(news, responder) },
    limits: ({ news, cold }, responder) => { this._forwardLimits(news, cold, responder) }
  }

  /** Forwards an entry's reports of crashing requests to the other entries, which are not connected to each other, and contradicts wrong ones. */
  private _forwardSuspects (input: unknown, { connection }: Responder): void {
    const report = readSuspectNews(input)
    if (report === undefined) return this._log.warn('peer-malformed', { type: 'suspects', detail: 'malformed report of suspect requests' })
    const now = performance.now()
    const news = this._suspects.heard(report, now)
    if (news.losses.length + news.answers.length > 0) this._loadPublisher.sendToOthers({ type: 'suspects', news }, connection)
    const answers = this._suspects.contradictions(report.losses, now)
    if (answers.length > 0) this._loadPublisher.sendTo({ type: 'suspects', news: { losses: [], answers } }, connection)
  }

  /** Forwards reported limits and cold times to the other entries, and sends the sender corrections where its values differ from this agent's. */
  private _forwardLimits (input: unknown, coldInput: unknown, responder: Responder): void {
    const report = readLimitNews(input)
    const coldReport = readColdNews(coldInput)
    if (report === undefined || coldReport === undefined) return this._log.warn('peer-malformed', { type: 'limits', detail: 'malformed report of limits' })
    const now = performance.now()
    const news = this._limits.told(report, now)
    const cold = this._coldTimes.told(coldReport, now)
    if (news.length + cold.length > 0) this._loadPublisher.sendToOthers({ type: 'limits', news, ...optionalCold(cold) }, responder.connection)
    const corrections = this._limits.corrections(report, now)
    if (corrections.length > 0) this._loadPublisher.sendTo({ type: 'limits', news: corrections }, responder.connection)
  }

  private _onNamedVersion (input: unknown): void {
    const named = readNamedVersion(input)
    if (named === undefined) return this._log.warn('peer-malformed', { type: 'ping', detail: 'malformed wanted version' })
    const newest = this._feed.state.wanted(named.model)?.version ?? 0
    const changes = this._feed.takeNamedVersion(named, 'entry')
    // A correction of the time of publication is used at the next poll of the engine.
    if (named.version > newest) this._onChanges(changes)
  }

  /** The wanted version, as long as its deadline may be ahead. */
  private _namedVersion (now: number): NamedVersion | undefined {
    const wanted = this._feed.state.wanted(this._poolDescription?.models[0]?.name ?? '')
    if (wanted === undefined) return undefined
    const { model, version, published: { latest } } = wanted
    const age = Math.max(0, now - latest)
    return age > NAMED_FOR_BOUNDS * this._versionBound ? undefined : { model, version, age: Math.round(age) }
  }

  private async _sendManifest (identity: string, wait: number, responder: Responder): Promise<void> {
    const bytes = await this._versions.manifest(identity, wait)
    const absent: PeerReply = { type: 'no-chunk', reason: 'not-held' }
    if (bytes === undefined) responder.send(absent)
    else responder.send({ type: 'manifest', digest: identity }, bytes)
  }
}

/** The field of a message about limits; absent if there is nothing to tell, as in an earlier release. */
function optionalCold (cold: ColdNews): { readonly cold?: ColdNews } { return cold.length > 0 ? { cold } : {} }
