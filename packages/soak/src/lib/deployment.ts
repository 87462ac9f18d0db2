/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A small deployment on loopback: the store, the origin and the endpoints in this process, each entry and agent in a separate one. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { freePorts, KeyValueStoreStandIn, Link, movingConfiguration, WeightsOriginStandIn } from '@drumdrift/stand-ins'
import { createAgentProcess } from './agent-process.js'
import { MAX_BODY_BYTES } from './crowds.js'
import type { DaemonProcess } from './daemon-process.js'
import { EndpointStarts, type EndpointState } from './endpoint-starts.js'
import { EntryProcess, type SharedSettings } from './entry-process.js'
import { VERSION_BOUND_MILLISECONDS, type ConfigurationWrite, type EndpointDeparture, type PublishedVersion } from './journal.js'
import { GRACE_MILLISECONDS } from './whole-answers.js'

const AVAILABILITY_ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const ENDPOINTS_PER_SERVICE = 3
/** Engines of one zone switch one after the other, so some serve an old version until shortly before its bound. */
const ENGINES_PER_ZONE = 2
const SERVICES = ['desk', 'archive', 'pool'] as const
/** First three octets of the addresses of entries and engines. They depend on the process id so that no other process takes their ports while they are down. */
const network = `127.${1 + (process.pid >> 8) % 254}.${process.pid & 255}`
/** Address of all entries. */
const entryHost = `${network}.1`
/** Last octet of the address of the first engine. */
const FIRST_ENGINE_OCTET = 11
/** Number of entries that read the store for the others, one in each availability zone if there are enough entries. */
const RELAY_COUNT = 3
/** With this delay, the weights of a version take a good part of its bound, so that old versions are in use until then. */
const ORIGIN_DELAY_MILLISECONDS = 400
const READINESS_CHECK_MILLISECONDS = 500
/** Rate limit of the stand-ins, above the rate that the processes of a soak reach. */
const CALLS_PER_SECOND = 10_000
const START_TIMEOUT_MILLISECONDS = 30_000
/** API key that every configuration allows. */
export const STEADY_KEY = 'key-steady'

/** Returns a rotating API key. Only the newest is allowed, all earlier ones are revoked. */
export function rotatingKey (keyNumber: number): string { return `key-turn-${keyNumber}` }

/** Reason for which a deployment cannot start. */
export type SoakFailure =
  | { readonly type: 'not-ready', readonly detail: string }
  | { readonly type: 'address-taken', readonly detail: string }

/** Starts, changes and stops the deployment. */
export class Deployment {
  readonly store = new KeyValueStoreStandIn(CALLS_PER_SECOND)
  readonly origin = new WeightsOriginStandIn(CALLS_PER_SECOND)
  readonly entries: EntryProcess[] = []
  readonly endpoints: EndpointStarts[] = []
  /** One agent for each engine. */
  readonly agents: DaemonProcess[] = []
  readonly departures: EndpointDeparture[] = []
  readonly configurations: ConfigurationWrite[] = []
  readonly versions: PublishedVersion[] = []
  /** Number of the newest rotating key. */
  newestKeyNumber = 1
  readonly directory = mkdtempSync(join(tmpdir(), 'drumdrift-soak-'))
  private _configuration: unknown
  /** Listed endpoints and their states, by the id of their start. */
  private readonly _listed = new Map<string, { readonly endpoint: EndpointStarts, readonly state: EndpointState }>()
  private readonly _removed = new Set<string>()
  /** Links to the seeds, which are the first entries. */
  readonly seedLinks: Link[] = []
  private readonly _storeLinks: Link[] = []
  private _readinessTimer: NodeJS.Timeout | undefined
  /** Kills the child processes when this process exits early. */
  private readonly _killAll = (): void => { for (const daemon of this.daemons) daemon.signal('SIGKILL') }

  /** Starts everything. Returns the failure if the deployment cannot be used, otherwise `undefined`. */
  async start (processes: number): Promise<SoakFailure | undefined> {
    try {
      await this._listen(processes)
    } catch (error) {
      if (!(error instanceof Error) || (error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error
      return { type: 'address-taken', detail: error.message }
    }
    this.configure('desk')
    this.publishVersion()
    process.once('exit', this._killAll)
    for (const daemon of this.daemons) daemon.start()
    this._readinessTimer = setInterval(() => { for (const entry of this.entries) entry.checkReadiness() }, READINESS_CHECK_MILLISECONDS)
    const ready = await this.waitFor(() => this.entries.every(entry => entry.ready), START_TIMEOUT_MILLISECONDS)
    return ready ? undefined : { type: 'not-ready', detail: this.entries.filter(entry => !entry.ready).map(({ instance }) => instance).join(', ') }
  }

  private async _listen (processes: number): Promise<void> {
    await this.store.listen(0)
    await this.origin.listen(0)
    this.origin.delayMilliseconds = ORIGIN_DELAY_MILLISECONDS
    await this._prepare(processes)
    for (const endpoint of this.endpoints) {
      await endpoint.start()
      this.writeRecord(endpoint, 'ready')
    }
  }

  /** The endpoints that have a queue and weights. */
  get engines (): EndpointStarts[] { return this.endpoints.filter(({ plan }) => plan.service === 'pool') }

  /** All processes of the product. */
  get daemons (): DaemonProcess[] { return [...this.entries.map(({ daemon }) => daemon), ...this.agents] }

  /** Writes the next version of the configuration. */
  configure (movingTo: string): void {
    const version = (this.configurations.at(-1)?.version ?? 0) + 1
    const keys = [STEADY_KEY, rotatingKey(this.newestKeyNumber)]
    const { limits, ...others } = movingConfiguration({ version, movingTo, keys, origin: this.origin.address })
    this._configuration = { ...others, limits: { ...limits as object, maxBodyBytes: MAX_BODY_BYTES } }
    this.store.putConfiguration(this._configuration)
    this.configurations.push({ version, at: performance.now(), movingTo, keys })
  }

  /** Publishes the next desired version of the engines' model. */
  publishVersion (): void {
    const version = (this.versions.at(-1)?.version ?? 0) + 1
    this.store.putVersion('m', version)
    this.versions.push({ version, at: performance.now() })
  }

  /** Writes the record of an endpoint, in place of the endpoint itself. */
  writeRecord (endpoint: EndpointStarts, state: EndpointState): void {
    const { id } = endpoint.worker
    this._listed.set(id, { endpoint, state })
    this.store.putWorker(id, endpoint.entry(state))
    if (state === 'draining') this.departures.push({ endpoint: id, kind: 'draining', at: performance.now() })
  }

  /** Removes the record of an endpoint. */
  removeRecord (endpoint: EndpointStarts): void {
    const { id } = endpoint.worker
    this._listed.delete(id)
    this._removed.add(id)
    this.store.removeWorker(id)
    this.departures.push({ endpoint: id, kind: 'gone', at: performance.now() })
  }

  /** Writes the configuration, the version and all records again, since a restored snapshot may lack them. */
  rewriteAll (): void {
    this.store.putConfiguration(this._configuration)
    this.store.putVersion('m', this.versions.length)
    this.rewriteRecords()
  }

  /** Writes the records of all running listed endpoints again. */
  rewriteRecords (): void {
    for (const [id, { endpoint, state }] of this._listed) if (endpoint.isUp) this.store.putWorker(id, endpoint.entry(state))
  }

  /** Removes records of former endpoints that a restored snapshot has brought back. */
  removeExpiredRecords (): void {
    for (const id of this._removed) this.store.removeWorker(id)
    this._removed.clear()
  }

  /** Waits until a condition holds or the time is up. Returns whether it holds. */
  async waitFor (holds: () => boolean, timeout: number): Promise<boolean> {
    const end = performance.now() + timeout
    while (performance.now() < end) {
      if (holds()) return true
      await pause(20)
    }
    return holds()
  }

  /** Stops all processes gracefully. */
  async stop (): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.stop()))
  }

  /**
   * Kills the remaining processes and closes the stand-ins.
   *
   * @param keepLogs Whether to keep the directory of settings and logs.
   */
  async close (keepLogs: boolean): Promise<void> {
    clearInterval(this._readinessTimer)
    await Promise.all(this.daemons.map(daemon => daemon.kill()))
    process.off('exit', this._killAll)
    for (const link of [...this._storeLinks, ...this.seedLinks]) link.close()
    for (const endpoint of this.endpoints) endpoint.end()
    this.store.close()
    this.origin.close()
    if (!keepLogs) rmSync(this.directory, { recursive: true, force: true })
  }

  private async _prepare (entries: number): Promise<void> {
    const ports = await freePorts(1 + entries + SERVICES.length * ENDPOINTS_PER_SERVICE)
    const port = (): number => ports.pop() ?? 0
    const agentPort = port()
    const peers = Array.from({ length: entries }, port)
    for (const peer of peers.slice(0, RELAY_COUNT)) this.seedLinks.push(await openLink(peer, entryHost))
    const seeds = this.seedLinks.map(({ address }) => address)
    const versionBound = VERSION_BOUND_MILLISECONDS
    const shared = { versionBound, directory: this.directory, availabilityZones: AVAILABILITY_ZONES, seeds, agentPort, stopTimeoutSeconds: GRACE_MILLISECONDS / 1_000 }
    for (const [index, peer] of peers.entries()) await this._addEntry(index, peer, shared)
    for (const service of SERVICES) for (let index = 0; index < ENDPOINTS_PER_SERVICE; index += 1) this._addEndpoint(service, index, port(), shared)
  }

  private async _addEntry (index: number, peer: number, shared: SharedSettings): Promise<void> {
    const [http = 0, readiness = 0] = await freePorts(2)
    const storeLink = await openLink(Number(this.store.address.split(':')[1]))
    this._storeLinks.push(storeLink)
    this.entries.push(new EntryProcess({ instance: `entry-${index + 1}`, availabilityZone: zoneOf(index), shared, host: entryHost, ports: { http, readiness, peer }, storeLink, seedLink: this.seedLinks[index] }))
  }

  /** An engine keeps its address over all starts, since the address is part of its agent's settings. All agents use one port. */
  private _addEndpoint (service: typeof SERVICES[number], index: number, port: number, shared: SharedSettings): void {
    const isEngine = service === 'pool'
    const host = isEngine ? `${network}.${FIRST_ENGINE_OCTET + index}` : '127.0.0.1'
    const endpoint = new EndpointStarts({ name: `${service}-${index + 1}`, service, availabilityZone: zoneOf(isEngine ? Math.floor(index / ENGINES_PER_ZONE) : index), host, port: isEngine ? port : undefined })
    this.endpoints.push(endpoint)
    if (isEngine) this.agents.push(createAgentProcess(endpoint.plan, this.store.address, shared))
  }
}

async function openLink (target: number, host?: string): Promise<Link> {
  const [port = 0] = await freePorts(1)
  const link = new Link(port, target, host)
  await link.listen()
  return link
}

function zoneOf (index: number): string { return AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length] ?? '' }
