/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A process of the product that can be started repeatedly. */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, statSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import type { ProcessExit } from './journal.js'

const PROGRAM = createRequire(import.meta.url).resolve('@drumdrift/platform/main')

/** Parameters of a process. */
export interface DaemonPlan {
  readonly instance: string
  readonly role: 'route-entry' | 'weights-agent'
  readonly directory: string
  /** Heap limit in megabytes, as in the users' deployment. */
  readonly heapMegabytes: number
  /** Largest number of file descriptors. */
  readonly descriptors: number
  /** Settings file, in INI format. */
  readonly settings: string
}

/** A process of the product. */
export class DaemonProcess {
  readonly exits: ProcessExit[] = []
  private _child: ChildProcess | undefined
  private _exitRequest: ProcessExit['exitRequest'] = 'nothing'
  private _exitRequestedAt = 0
  /** Size of the log file when the process was last started, in bytes. */
  private _logSizeAtStart = 0
  private readonly _settingsFile: string

  constructor (private readonly _plan: DaemonPlan) {
    this._settingsFile = `${_plan.directory}/${_plan.instance}.ini`
    writeFileSync(this._settingsFile, _plan.settings)
  }

  get instance (): string { return this._plan.instance }
  private get _logFile (): string { return `${this._settingsFile}.log` }

  start (): void {
    const { role, heapMegabytes: heap, descriptors } = this._plan
    const output = openSync(this._logFile, 'a')
    this._logSizeAtStart = statSync(this._logFile).size
    const command = [process.execPath, `--max-old-space-size=${heap}`, PROGRAM, role, this._settingsFile]
    const child = spawn('/bin/sh', ['-c', `ulimit -n ${descriptors} && exec "$@"`, 'sh', ...command], { stdio: ['ignore', output, output] })
    closeSync(output)
    this._child = child
    this._exitRequest = 'nothing'
    child.once('exit', code => { this._recordExit(code) })
  }

  /** Sends SIGTERM and waits for the process to exit. */
  async stop (): Promise<void> { await this._terminate('stop', 'SIGTERM') }

  /** Sends SIGKILL and waits for the process to exit. */
  async kill (): Promise<void> { await this._terminate('kill', 'SIGKILL') }

  signal (signal: NodeJS.Signals): void { this._child?.kill(signal) }

  private async _terminate (request: 'stop' | 'kill', signal: NodeJS.Signals): Promise<void> {
    const child = this._child
    if (child === undefined) return
    const exited = new Promise(resolve => child.once('exit', resolve))
    this._exitRequest = request
    this._exitRequestedAt = performance.now()
    child.kill(signal)
    await exited
  }

  private _recordExit (code: number | null): void {
    const at = performance.now()
    this._child = undefined
    this.exits.push({ process: this.instance, at, exitRequest: this._exitRequest, code, took: this._exitRequest === 'nothing' ? 0 : at - this._exitRequestedAt, startedUp: statSync(this._logFile).size > this._logSizeAtStart })
  }
}
