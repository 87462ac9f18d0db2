/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-ins for services whose answers never end, in a thread of their own, so that writing these answers delays nothing else. */
import { Worker } from 'node:worker_threads'
import type { EndlessServiceAddress, EndlessServicesPlan, EndlessServicesReport } from './endless-services-thread.js'

type Handlers = { readonly [Type in EndlessServicesReport['type']]: (report: Extract<EndlessServicesReport, { type: Type }>) => void }

/** Services on loopback whose answers never end. */
export class EndlessServices {
  private readonly _thread: Worker
  private _connections = 0
  private _resolveListening: (services: readonly EndlessServiceAddress[]) => void = () => {}
  private readonly _listening = new Promise<readonly EndlessServiceAddress[]>(resolve => { this._resolveListening = resolve })

  constructor (plan: EndlessServicesPlan) {
    this._thread = new Worker(new URL('./endless-services-thread.js', import.meta.url), { workerData: plan })
    this._thread.on('message', (report: EndlessServicesReport) => this._handlers[report.type](report as never))
  }

  /** The number of open connections of all services, as last reported. */
  get connections (): number { return this._connections }

  /**
   * Waits until all services listen.
   *
   * @example
   * for (const { id, address } of await services.listen()) store.put(`servers/${id}`, { address })
   */
  async listen (): Promise<readonly EndlessServiceAddress[]> { return await this._listening }

  async close (): Promise<void> { await this._thread.terminate() }

  private readonly _handlers: Handlers = {
    listening: ({ services }) => this._resolveListening(services),
    connections: ({ count }) => { this._connections = count }
  }
}
