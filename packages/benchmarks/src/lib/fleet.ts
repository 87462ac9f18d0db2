/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Runs a fleet on one machine: stand-ins for the platform and the endpoints, and real processes of the system.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, openSync, rmSync, writeFileSync, closeSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { digestOfText, PeerPool } from 'drumdrift'
import type { Configuration, InstanceRecord, PeerReply, PeerRequest, ProcessStatus } from '@drumdrift/core'
import { defaultEngineTimes, EndpointHost, freePorts, Link, PublishedService, WeightSource, type EngineTimes, type GeneratedVersion, type HostReply } from '@drumdrift/stand-ins'

/** An endpoint and its agent. */
export interface EndpointPlan {
  readonly name: string
  readonly kind: 'model' | 'plain'
  readonly availabilityZone: string
}

/** The composition and settings of a fleet. */
export interface FleetPlan {
  readonly availabilityZones: readonly string[]
  readonly entriesPerZone: number
  readonly endpoints: readonly EndpointPlan[]
  readonly linkMegabytesPerSecond: number
  readonly originMegabytesPerSecond: number
  /** Additional settings as section, key and value. */
  readonly settings?: readonly (readonly [string, string, string])[]
  readonly engineTimes?: EngineTimes
  /** Whether each agent is reached through a relay that can corrupt, stall and cut its connections. */
  readonly relays?: boolean
  readonly hosts?: number
  readonly instanceLag?: number
  readonly plainDuration?: number
}

/** A process of the system. */
export interface Member {
  readonly instance: string
  readonly role: 'entry' | 'agent'
  readonly availabilityZone: string
  readonly endpoint: string
  readonly kind: 'model' | 'plain' | 'none'
  /** The address for peers, which is the relay's if there is one. */
  readonly address: string
  readonly httpAddress: string
  readonly endpointPort: number
  readonly settingsFile: string
  readonly relay: Link | undefined
  process: ChildProcess | undefined
  state: 'live' | 'leaving' | 'gone'
}

export const PEER_KEY = 'bench-peer-key'
export const OPERATOR_KEY = 'bench-operator-key'
const PROGRAM = createRequire(import.meta.url).resolve('drumdrift/main')
const MEBIBYTE = 1024 * 1024
const STOP_TIMEOUT_MILLISECONDS = 8_000

/** Returns the API key of an organisation's callers. */
export function callerKey (organisation: string): string { return `key-of-${organisation}` }

/** A running fleet. */
export class Fleet {
  readonly members: Member[] = []
  readonly configuration: PublishedService
  readonly instances: PublishedService
  readonly store: WeightSource
  readonly origin: WeightSource
  readonly pool = new PeerPool({ instance: 'bench', key: PEER_KEY })
  private readonly _hosts: EndpointHost[]
  private readonly _directory: string
  private _pids: number[] = []

  private constructor (readonly plan: FleetPlan, private readonly _ports: { readonly configuration: number, readonly instances: number, readonly store: number, readonly origin: number }) {
    this.configuration = new PublishedService('configuration', 'bench')
    this.instances = new PublishedService('instances', 'bench', undefined, plan.instanceLag ?? 0)
    this.store = new WeightSource(plan.originMegabytesPerSecond * MEBIBYTE)
    this.origin = new WeightSource(plan.originMegabytesPerSecond * MEBIBYTE)
    this._hosts = Array.from({ length: plan.hosts ?? 1 }, () => new EndpointHost())
    this._directory = mkdtempSync(join(tmpdir(), 'drumdrift-'))
  }

  /**
   * Starts the stand-ins and prepares every process. `startAll` starts the processes.
   *
   * @example
   * const fleet = await Fleet.prepare(plan)
   */
  static async prepare (plan: FleetPlan): Promise<Fleet> {
    const [configuration = 0, instances = 0, store = 0, origin = 0] = await freePorts(4)
    const fleet = new Fleet(plan, { configuration, instances, store, origin })
    await Promise.all([fleet.configuration.listen(configuration), fleet.instances.listen(instances), fleet.store.listen(store), fleet.origin.listen(origin)])
    await fleet._prepareMembers()
    return fleet
  }

  get entries (): Member[] { return this.members.filter(member => member.role === 'entry') }
  get agents (): Member[] { return this.members.filter(member => member.role === 'agent') }

  /** Returns the member with the given instance name. */
  member (instance: string): Member {
    const member = this.members.find(candidate => candidate.instance === instance)
    if (member === undefined) throw new RangeError(`the fleet has no member ${instance}`)
    return member
  }

  /** Makes a version available at the store and the origin. */
  addVersion (version: GeneratedVersion): void {
    this.store.add(version)
    this.origin.add(version)
  }

  /** Publishes a configuration; returns its revision. */
  publish (configuration: Partial<Configuration>): number {
    return this.configuration.publish({ models: {}, pools: {}, services: {}, organisations: {}, ...configuration })
  }

  /** Publishes the current instance list and returns its revision. */
  publishInstances (): number {
    const instances: InstanceRecord[] = this.members.filter(member => member.state !== 'gone').map(member => ({
      instance: member.instance,
      availabilityZone: member.availabilityZone,
      role: member.role,
      address: member.address,
      state: member.state === 'leaving' ? 'leaving' : 'live',
      ...(member.role === 'agent' ? { endpoint: member.endpoint } : {})
    }))
    return this.instances.publish({ instances })
  }

  /** Starts every process. */
  async startAll (): Promise<void> {
    for (const member of this.members) await this.start(member)
  }

  /** Starts one process, without waiting until it listens. */
  async start (member: Member): Promise<void> {
    const output = openSync(`${member.settingsFile}.log`, 'a')
    const child = spawn(process.execPath, [PROGRAM, member.role, member.settingsFile], { stdio: ['ignore', output, output] })
    closeSync(output)
    member.process = child
    member.state = 'live'
    if (child.pid !== undefined) this._pids.push(child.pid)
  }

  /** Polls a condition every 50 ms. Returns false if it does not hold within `timeout` milliseconds. */
  async waitUntil (condition: () => boolean | Promise<boolean>, timeout: number): Promise<boolean> {
    const startedAt = performance.now()
    while (performance.now() - startedAt < timeout) {
      if (await condition()) return true
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    return false
  }

  /** Waits until every started process answers. */
  async waitUntilUp (timeout = 20_000): Promise<boolean> {
    const waiting = new Set(this.members.filter(member => member.process !== undefined))
    return await this.waitUntil(async () => {
      await Promise.all([...waiting].map(async member => {
        if (await this.status(member) !== undefined) waiting.delete(member)
      }))
      return waiting.size === 0
    }, timeout)
  }

  /** Requests a member's status. Returns `undefined` if it does not answer. */
  async status (member: Member, timeout = 800): Promise<ProcessStatus | undefined> {
    const reply = await this.ask(member, { type: 'status' }, timeout)
    return reply?.type === 'status' ? reply.status : undefined
  }

  /** Sends a peer request to a member. Returns `undefined` if the call fails. */
  async ask (member: Member, request: PeerRequest, timeout = 800): Promise<PeerReply | undefined> {
    try {
      return (await this.pool.call(member.address, request, { timeout })).reply
    } catch {
      return undefined
    }
  }

  signal (member: Member, signal: NodeJS.Signals): void {
    member.process?.kill(signal)
  }

  /** Waits until a member's process has exited and returns its exit code. */
  waitForExit (member: Member): Promise<number | null> {
    const child = member.process
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child?.exitCode ?? null)
    return new Promise(resolve => child.once('exit', code => resolve(code)))
  }

  /** Sends an order for a member's endpoint to the endpoint's host. */
  async endpoint (member: Member, order: { type: 'freeze', frozen: boolean } | { type: 'fail-loads', count: number } | { type: 'behave', behaviour: 'normal' | 'down' | 'slow' }): Promise<void> {
    await this._hostFor(member).order({ ...order, port: member.endpointPort })
  }

  /** Returns the journals of all endpoint stand-ins. */
  async journals (): Promise<Pick<HostReply, 'engines' | 'plains'>> {
    const replies = await Promise.all(this._hosts.map(host => host.order({ type: 'journal' })))
    return { engines: replies.flatMap(reply => reply.engines), plains: replies.flatMap(reply => reply.plains) }
  }

  /** Stops all processes and stand-ins. Returns the number of processes that did not exit in time and had to be killed. */
  async stop (): Promise<number> {
    for (const member of this.members) {
      member.process?.kill('SIGCONT')
      member.process?.kill('SIGTERM')
    }
    const ended = Promise.all(this.members.map(member => this.waitForExit(member)))
    await Promise.race([ended, new Promise(resolve => setTimeout(resolve, STOP_TIMEOUT_MILLISECONDS).unref())])
    const orphans = this._pids.filter(isAlive)
    for (const pid of orphans) process.kill(pid, 'SIGKILL')
    this.pool.close()
    for (const member of this.members) member.relay?.close()
    for (const host of this._hosts) host.close()
    for (const service of [this.configuration, this.instances, this.store, this.origin]) service.close()
    rmSync(this._directory, { recursive: true, force: true })
    return orphans.length
  }

  /** Returns the path of a member's log file. */
  logFile (member: Member): string { return `${member.settingsFile}.log` }

  private async _prepareMembers (): Promise<void> {
    const { availabilityZones, entriesPerZone, endpoints } = this.plan
    const entries = availabilityZones.flatMap(availabilityZone => Array.from({ length: entriesPerZone }, () => availabilityZone))
    const ports = await freePorts(entries.length * 2 + endpoints.length * 3)
    const port = (): number => ports.pop() ?? 0
    const seeds: string[] = []
    for (const [index, availabilityZone] of entries.entries()) {
      const address = `127.0.0.1:${port()}`
      seeds.push(address)
      this._add({ instance: `entry-${index + 1}`, role: 'entry', availabilityZone, endpoint: '', kind: 'none', address, httpAddress: `127.0.0.1:${port()}`, endpointPort: 0, relay: undefined }, address)
    }
    for (const [index, endpoint] of endpoints.entries()) await this._addAgent(index, endpoint, port)
    for (const member of this.members) this._writeSettings(member, seeds.slice(0, 3))
  }

  private async _addAgent (index: number, endpoint: EndpointPlan, port: () => number): Promise<void> {
    const own = port()
    const relayPort = port()
    const relay = this.plan.relays === true ? new Link(relayPort, own) : undefined
    await relay?.listen()
    const address = `127.0.0.1:${relay === undefined ? own : relayPort}`
    const endpointPort = port()
    const member = this._add({
      instance: `agent-${index + 1}`, role: 'agent', availabilityZone: endpoint.availabilityZone, endpoint: endpoint.name, kind: endpoint.kind, address, httpAddress: '', endpointPort, relay
    }, `127.0.0.1:${own}`)
    const order = endpoint.kind === 'model'
      ? { type: 'engine', port: endpointPort, times: this.plan.engineTimes ?? defaultEngineTimes } as const
      : { type: 'plain', port: endpointPort, duration: this.plan.plainDuration ?? 20 } as const
    await this._hostFor(member).order(order)
  }

  private readonly _listen = new Map<string, string>()

  private _add (member: Omit<Member, 'process' | 'state' | 'settingsFile'>, listen: string): Member {
    const added: Member = { ...member, process: undefined, state: 'live', settingsFile: join(this._directory, `${member.instance}.ini`) }
    this._listen.set(member.instance, listen)
    this.members.push(added)
    return added
  }

  private _hostFor (member: Member): EndpointHost {
    const index = this.agents.findIndex(agent => agent.instance === member.instance)
    return this._hosts[index % this._hosts.length] as EndpointHost
  }

  private _writeSettings (member: Member, seeds: readonly string[]): void {
    const address = (port: number): string => `127.0.0.1:${port}`
    const common: (readonly [string, string, string])[] = [
      ['process', 'instance', member.instance],
      ['process', 'availability-zone', member.availabilityZone],
      ['process', 'address', this._listen.get(member.instance) ?? ''],
      ['process', 'stop-patience-seconds', '6'],
      ['platform', 'availability-zones', this.plan.availabilityZones.join(', ')],
      ['platform', 'source', 'bench'],
      ['platform', 'configuration', address(this._ports.configuration)],
      ['platform', 'instances', address(this._ports.instances)],
      ['peers', 'seeds', seeds.join(', ')],
      ['peers', 'key', PEER_KEY]
    ]
    const own: (readonly [string, string, string])[] = member.role === 'entry'
      ? [['process', 'http-address', member.httpAddress], ['operators', 'keys', `bench:${OPERATOR_KEY}`]]
      : [
          ['platform', 'store', address(this._ports.store)],
          ['platform', 'origin', address(this._ports.origin)],
          ['endpoint', 'name', member.endpoint],
          ['endpoint', 'kind', member.kind],
          ['endpoint', 'address', address(member.endpointPort)],
          ['weights', 'link-megabytes-per-second', String(this.plan.linkMegabytesPerSecond)]
        ]
    const agentOnly = new Set(['weights', 'endpoint'])
    const extra = (this.plan.settings ?? []).filter(([section, key]) => {
      const forAgents = agentOnly.has(section) || key === 'repeat-window-seconds' || key === 'records-per-organisation'
      return section === 'process' || forAgents === (member.role === 'agent')
    })
    writeFileSync(member.settingsFile, iniText([...common, ...own, ...extra]))
  }
}

function iniText (values: readonly (readonly [string, string, string])[]): string {
  const merged = new Map<string, Map<string, string>>()
  for (const [section, key, value] of values) {
    const keys = merged.get(section) ?? new Map<string, string>()
    merged.set(section, keys.set(key, value))
  }
  return [...merged].map(([section, keys]) => `[${section}]\n${[...keys].map(([key, value]) => `${key} = ${value}`).join('\n')}\n`).join('\n')
}

function isAlive (pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch {
    return false
  }
}

/** Creates the organisations of a configuration from names and weights, each with its caller key. */
export function organisations (weights: Readonly<Record<string, number>>): Configuration['organisations'] {
  return Object.fromEntries(Object.entries(weights).map(([name, weight]) => [name, { weight, keyDigests: [digestOfText(callerKey(name))] }]))
}
