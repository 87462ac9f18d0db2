/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for a pool of model workers that are started again, under new ids, some time after they crash. */
import type { KeyValueStoreStandIn } from './key-value-store.js'
import { UsersWorkerStandIn } from './worker.js'

/** How the workers of a pool behave, and where they are. */
export interface RestartingWorkersOptions {
  readonly store: KeyValueStoreStandIn
  /** The name of the service, and of the model that it serves. */
  readonly service: string
  readonly model: string
  readonly zones: readonly string[]
  readonly count: number
  /** Time from a crash until the replacement is up, in milliseconds. */
  readonly restartMilliseconds: number
  /** Sets the properties of a new worker. */
  readonly configure: (worker: UsersWorkerStandIn) => void
}

/** How often workers are checked for crashes, in milliseconds. */
const POLL_MILLISECONDS = 20

/** A pool of workers on loopback. */
export class RestartingWorkers {
  /** All workers that were ever started. */
  readonly started: UsersWorkerStandIn[] = []
  /** When workers crashed, in milliseconds of `performance.now()`. */
  readonly crashTimes: number[] = []
  private _running: UsersWorkerStandIn[] = []
  private _poll: NodeJS.Timeout | undefined

  constructor (private readonly _options: RestartingWorkersOptions) {}

  /** The workers that are up. */
  get running (): readonly UsersWorkerStandIn[] { return this._running }

  async start (): Promise<void> {
    for (let index = 0; index < this._options.count; index += 1) await this._startOne()
    this._poll = setInterval(() => { for (const worker of this._running.filter(({ crashed }) => crashed)) this._replace(worker) }, POLL_MILLISECONDS)
  }

  close (): void {
    clearInterval(this._poll)
    this._poll = undefined
    for (const worker of this._running) worker.close()
  }

  private async _startOne (): Promise<void> {
    const { store, service, model, zones, configure } = this._options
    const number = this.started.length
    const worker = new UsersWorkerStandIn(`${service}-${number}`, model)
    configure(worker)
    this.started.push(worker)
    await worker.listen(0)
    this._running.push(worker)
    store.put(`servers/${worker.id}`, worker.entry(service, zones[number % zones.length] ?? ''))
  }

  private _replace (crashed: UsersWorkerStandIn): void {
    this.crashTimes.push(performance.now())
    this._running = this._running.filter(worker => worker !== crashed)
    setTimeout(() => {
      if (this._poll === undefined) return
      this._options.store.removeWorker(crashed.id)
      this._startOne()
    }, this._options.restartMilliseconds)
  }
}
