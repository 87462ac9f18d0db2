/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A process of the product that can be started repeatedly. */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, statSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import type { ProcessEnd } from './journal.js'

const PROGRAM = createRequire(import.meta.url).resolve('@drumdrift/platform/main')

/** Parameters of a process. */
export interface DaemonPlan {
  readonly instance: string
  readonly role: 'route-entry' | 'weights-agent'
  readonly directory: string
  /** Heap limit in megabytes, as in the users' deployment. */
  readonly heap: number
  /** Settings file, in INI format. */
  readonly settings: string
}

/** A process of the product. */
export class DaemonProcess {
  readonly ends: ProcessEnd[] = []
  private _child: ChildProcess | undefined
  private _asked: ProcessEnd['asked'] = 'nothing'
  private _askedAt = 0
  /** Size of the log file when the process was last started, in bytes. */
  private _writtenBefore = 0
  private readonly _settingsFile: string

  constructor (private readonly _plan: DaemonPlan) {
    this._settingsFile = `${_plan.directory}/${_plan.instance}.ini`
    writeFileSync(this._settingsFile, _plan.settings)
  }

  get instance (): string { return this._plan.instance }
  private get _logFile (): string { return `${this._settingsFile}.log` }

  start (): void {
    const { role, heap } = this._plan
    const output = openSync(this._logFile, 'a')
    this._writtenBefore = statSync(this._logFile).size
    const child = spawn(process.execPath, [`--max-old-space-size=${heap}`, PROGRAM, role, this._settingsFile], { stdio: ['ignore', output, output] })
    closeSync(output)
    this._child = child
    this._asked = 'nothing'
    child.once('exit', code => { this._ended(code) })
  }

  /** Sends SIGTERM and waits for the process to exit. */
  async stop (): Promise<void> { await this._end('stop', 'SIGTERM') }

  /** Sends SIGKILL and waits for the process to exit. */
  async kill (): Promise<void> { await this._end('kill', 'SIGKILL') }

  signal (signal: NodeJS.Signals): void { this._child?.kill(signal) }

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
    this.ends.push({ process: this.instance, at, asked: this._asked, code, took: this._asked === 'nothing' ? 0 : at - this._askedAt, up: statSync(this._logFile).size > this._writtenBefore })
  }
}
