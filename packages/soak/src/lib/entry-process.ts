/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** An entry as a separate process, with the link between it and the store. */
import { isReady, type Link } from '@drumdrift/stand-ins'
import { DaemonProcess } from './daemon-process.js'

/** Heap limit in megabytes, as in the users' deployment. */
const HEAP_MEGABYTES = 160
/** All endpoints are in the process of the soak, which needs some for each connection of an entry. */
const DESCRIPTORS = 2_048
const READINESS_TIMEOUT_MILLISECONDS = 400
/** Consecutive failed readiness checks after which callers use other entries. */
const MAX_FAILED_CHECKS = 2

/** Settings that all processes of a deployment share. */
export interface SharedSettings {
  readonly directory: string
  readonly availabilityZones: readonly string[]
  readonly seeds: readonly string[]
  readonly agentPort: number
  /** Bound of a version, in milliseconds. */
  readonly versionBound: number
  /** Time within which a process has to stop, in seconds. */
  readonly stopTimeoutSeconds: number
}

/** Parameters of an entry. */
export interface EntryPlan {
  readonly instance: string
  readonly availabilityZone: string
  readonly shared: SharedSettings
  readonly host: string
  readonly ports: { readonly http: number, readonly readiness: number, readonly peer: number }
  readonly storeLink: Link
  /** Link from the other processes to this one, if it is a seed. */
  readonly seedLink: Link | undefined
}

/** An entry. */
export class EntryProcess {
  readonly daemon: DaemonProcess
  /** Whether new callers may choose this entry. */
  ready = false
  private _failedChecks = 0

  constructor (readonly plan: EntryPlan) {
    this.daemon = new DaemonProcess({ instance: plan.instance, role: 'route-entry', directory: plan.shared.directory, heapMegabytes: HEAP_MEGABYTES, descriptors: DESCRIPTORS, settings: settingsText(plan) })
  }

  get instance (): string { return this.plan.instance }
  get address (): string { return `${this.plan.host}:${this.plan.ports.http}` }

  /** Checks once whether the entry accepts new callers, and counts consecutive failures. */
  async checkReadiness (): Promise<void> {
    const answered = await isReady(`${this.plan.host}:${this.plan.ports.readiness}`, AbortSignal.timeout(READINESS_TIMEOUT_MILLISECONDS))
    this._failedChecks = answered ? 0 : this._failedChecks + 1
    if (this._failedChecks === 0) this.ready = true
    if (this._failedChecks >= MAX_FAILED_CHECKS) this.ready = false
  }

  /** Stops or kills the process and starts it again. */
  async restart (how: 'stop' | 'kill'): Promise<void> {
    await this.daemon[how]()
    this.ready = false
    this.daemon.start()
  }
}

function settingsText ({ instance, availabilityZone, shared, host, ports, storeLink, seedLink }: EntryPlan): string {
  const address = `${host}:${ports.peer}`
  // A relay recognises itself by its own address among the seeds.
  const seeds = shared.seeds.map(seed => seed === seedLink?.address ? address : seed)
  return `
[process]
instance = ${instance}
availability-zone = ${availabilityZone}
address = ${address}
http-address = ${host}:${ports.http}
readiness-address = ${host}:${ports.readiness}
stop-patience-seconds = ${shared.stopTimeoutSeconds}
[platform]
availability-zones = ${shared.availabilityZones.join(', ')}
store-address = ${storeLink.address}
watch-seconds = 3
version-bound-milliseconds = ${shared.versionBound}
[peers]
seeds = ${seeds.join(', ')}
key = soak
agent-port = ${shared.agentPort}
[requests]
retry-ratio = 0.2
retry-slack = 100
retry-window-seconds = 10
`
}
