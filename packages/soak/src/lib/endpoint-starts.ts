/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** An endpoint that starts again and again, with the way to it. */
import { freePorts, Link, UsersWorkerStandIn } from '@drumdrift/stand-ins'
import type { EndpointArrival, VersionLoad } from './journal.js'

/** What an endpoint says of itself in the list. */
export type EndpointState = 'ready' | 'draining'

/** Where an endpoint is and what it is part of. */
export interface EndpointPlan {
  /** The same for all starts; each has an id of its own. */
  readonly name: string
  readonly service: string
  readonly availabilityZone: string
  readonly host: string
  /** Where every start listens; nothing where each has a port of its own. */
  readonly port: number | undefined
}

/** One endpoint, over all its starts. */
export class EndpointStarts {
  /** Whether the newest start has not ended. */
  isUp = false
  private readonly _workers: UsersWorkerStandIn[] = []
  private readonly _ways: Link[] = []

  constructor (readonly plan: EndpointPlan) {}

  get name (): string { return this.plan.name }
  get worker (): UsersWorkerStandIn { return this._workers.at(-1) as UsersWorkerStandIn }
  get way (): Link { return this._ways.at(-1) as Link }

  /** Starts it once more. */
  async start (): Promise<void> {
    const { name, service, host } = this.plan
    const [ownPort = 0, wayPort = 0] = await freePorts(2)
    const port = this.plan.port ?? ownPort
    const worker = new UsersWorkerStandIn(`${name}.${this._workers.length + 1}`, service === 'pool' ? 'm' : '')
    const way = new Link(wayPort, port, host)
    this._inherit(worker)
    await worker.listen(port, host)
    await way.listen()
    this._workers.push(worker)
    this._ways.push(way)
    this.isUp = true
  }

  /** What is staged outlasts a crash, the weights that were taken over do not. */
  private _inherit (worker: UsersWorkerStandIn): void {
    const former = this._workers.at(-1)
    if (former === undefined) return
    for (const [index, piece] of former.staged) worker.staged.set(index, piece)
    if (worker.model !== '') worker.version = 0
  }

  /** Ends the newest start, and all that runs on it. */
  end (): void {
    this.isUp = false
    this._workers.at(-1)?.close()
    this._ways.at(-1)?.close()
  }

  /** What the newest start writes of itself in the store now. */
  entry (state: EndpointState): Record<string, unknown> {
    return { ...this.worker.entry(this.plan.service, this.plan.availabilityZone, state) as object, address: this.way.address }
  }

  /** Requests that reached any start. */
  get arrivals (): EndpointArrival[] {
    const { service } = this.plan
    return this._workers.flatMap(({ id: endpoint, arrivals }) => arrivals.map(({ id, at, ran, version }) => ({ id, endpoint, service, at, ran, version })))
  }

  /** Versions that any start took over. */
  get loads (): VersionLoad[] {
    return this._workers.flatMap(({ id: endpoint, versionSwitches: versionsTaken }) => versionsTaken.map(({ version, whole }) => ({ endpoint, version, whole })))
  }
}
