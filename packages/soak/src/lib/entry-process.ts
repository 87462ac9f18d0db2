/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** One entry as a process of its own, with the way between it and the store. */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { isReady, type Link } from '@drumdrift/stand-ins'
import type { ProcessEnd } from './journal.js'

const PROGRAM = createRequire(import.meta.url).resolve('@drumdrift/platform/main')
/** As in the users' deployment, in megabytes. */
const HEAP = 160
const READY_TIMEOUT = 400
/** Questions in a row without a yes after which callers are sent elsewhere. */
const MISSES = 2

/** What an entry is started with. */
export interface EntryPlan {
  readonly instance: string
  readonly availabilityZone: string
  readonly availabilityZones: readonly string[]
  readonly directory: string
  readonly ports: { readonly http: number, readonly readiness: number, readonly peer: number, readonly agent: number }
  readonly seeds: readonly string[]
  readonly storeWay: Link
  /** Within which it has to stop, in seconds. */
  readonly stopPatience: number
}

/** One entry. */
export class EntryProcess {
  readonly ends: ProcessEnd[] = []
  /** Whether callers who look for an entry are sent to it. */
  ready = false
  private _child: ChildProcess | undefined
  private _asked: ProcessEnd['asked'] = 'nothing'
  private _askedAt = 0
  private _misses = 0
  private readonly _settingsFile: string

  constructor (readonly plan: EntryPlan) {
    this._settingsFile = `${plan.directory}/${plan.instance}.ini`
    writeFileSync(this._settingsFile, settingsText(plan))
  }

  get instance (): string { return this.plan.instance }
  get address (): string { return `127.0.0.1:${this.plan.ports.http}` }
  get isRunning (): boolean { return this._child !== undefined }
  /** What the process has written, over all its starts. */
  get logFile (): string { return `${this._settingsFile}.log` }

  start (): void {
    const output = openSync(this.logFile, 'a')
    const child = spawn(process.execPath, [`--max-old-space-size=${HEAP}`, PROGRAM, 'route-entry', this._settingsFile], { stdio: ['ignore', output, output] })
    closeSync(output)
    this._child = child
    this._asked = 'nothing'
    child.once('exit', code => { this._ended(code) })
  }

  /** Asks the process to stop, and waits until it has. */
  async stop (): Promise<void> { await this._end('stop', 'SIGTERM') }

  /** Ends the process at once. */
  async kill (): Promise<void> { await this._end('kill', 'SIGKILL') }

  signal (signal: NodeJS.Signals): void { this._child?.kill(signal) }

  /** Asks once whether it takes new callers, and counts the misses. */
  async look (): Promise<void> {
    const answered = await isReady(`127.0.0.1:${this.plan.ports.readiness}`, AbortSignal.timeout(READY_TIMEOUT))
    this._misses = answered ? 0 : this._misses + 1
    if (this._misses === 0) this.ready = true
    if (this._misses >= MISSES) this.ready = false
  }

  private async _end (asked: 'stop' | 'kill', signal: NodeJS.Signals): Promise<void> {
    const child = this._child
    if (child === undefined) return
    const exited = new Promise(resolve => child.once('exit', resolve))
    this._asked = asked
    this._askedAt = performance.now()
    child.kill(signal)
    await exited
  }

  private _ended (code: number | null): void {
    const at = performance.now()
    this._child = undefined
    this.ready = false
    this.ends.push({ entry: this.instance, at, asked: this._asked, code, took: this._asked === 'nothing' ? 0 : at - this._askedAt })
  }
}

function settingsText ({ instance, availabilityZone, availabilityZones, ports, seeds, storeWay, stopPatience }: EntryPlan): string {
  return `
[process]
instance = ${instance}
availability-zone = ${availabilityZone}
address = 127.0.0.1:${ports.peer}
http-address = 127.0.0.1:${ports.http}
readiness-address = 127.0.0.1:${ports.readiness}
stop-patience-seconds = ${stopPatience}
[platform]
availability-zones = ${availabilityZones.join(', ')}
store-address = ${storeWay.address}
watch-seconds = 3
[peers]
seeds = ${seeds.join(', ')}
key = soak
agent-port = ${ports.agent}
[requests]
retry-ratio = 0.2
retry-slack = 100
retry-window-seconds = 10
`
}
