/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** One entry as a process of its own, with the way between it and the store. */
import { isReady, type Link } from '@drumdrift/stand-ins'
import { DaemonProcess } from './daemon-process.js'

/** As in the users' deployment, in megabytes. */
const HEAP = 160
const READY_TIMEOUT = 400
/** Questions in a row without a yes after which callers are sent elsewhere. */
const MISSES = 2

/** What all processes of a deployment are told. */
export interface SharedPlan {
  readonly directory: string
  readonly availabilityZones: readonly string[]
  readonly seeds: readonly string[]
  readonly agentPort: number
  /** Within which a process has to stop, in seconds. */
  readonly stopPatience: number
}

/** What an entry is started with. */
export interface EntryPlan {
  readonly instance: string
  readonly availabilityZone: string
  readonly shared: SharedPlan
  readonly ports: { readonly http: number, readonly readiness: number, readonly peer: number }
  readonly storeWay: Link
}

/** One entry. */
export class EntryProcess {
  readonly daemon: DaemonProcess
  /** Whether callers who look for an entry are sent to it. */
  ready = false
  private _misses = 0

  constructor (readonly plan: EntryPlan) {
    this.daemon = new DaemonProcess({ instance: plan.instance, role: 'route-entry', directory: plan.shared.directory, heap: HEAP, settings: settingsText(plan) })
  }

  get instance (): string { return this.plan.instance }
  get address (): string { return `127.0.0.1:${this.plan.ports.http}` }

  /** Asks once whether it takes new callers, and counts the misses. */
  async look (): Promise<void> {
    const answered = await isReady(`127.0.0.1:${this.plan.ports.readiness}`, AbortSignal.timeout(READY_TIMEOUT))
    this._misses = answered ? 0 : this._misses + 1
    if (this._misses === 0) this.ready = true
    if (this._misses >= MISSES) this.ready = false
  }

  /** Ends the process, with or without time to stop, and starts it again. */
  async restart (how: 'stop' | 'kill'): Promise<void> {
    await this.daemon[how]()
    this.ready = false
    this.daemon.start()
  }
}

function settingsText ({ instance, availabilityZone, shared, ports, storeWay }: EntryPlan): string {
  return `
[process]
instance = ${instance}
availability-zone = ${availabilityZone}
address = 127.0.0.1:${ports.peer}
http-address = 127.0.0.1:${ports.http}
readiness-address = 127.0.0.1:${ports.readiness}
stop-patience-seconds = ${shared.stopPatience}
[platform]
availability-zones = ${shared.availabilityZones.join(', ')}
store-address = ${storeWay.address}
watch-seconds = 3
[peers]
seeds = ${shared.seeds.join(', ')}
key = soak
agent-port = ${shared.agentPort}
[requests]
retry-ratio = 0.2
retry-slack = 100
retry-window-seconds = 10
`
}
