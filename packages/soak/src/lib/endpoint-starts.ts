/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** An endpoint that can be started repeatedly, with the link to it. */
import { freePorts, Link, UsersWorkerStandIn } from '@drumdrift/stand-ins'
import type { EndpointArrival, VersionLoad } from './journal.js'

/** State of an endpoint in its record. */
export type EndpointState = 'ready' | 'draining'

/** Location and service of an endpoint. */
export interface EndpointPlan {
  /** The same for all starts; each start has a separate id. */
  readonly name: string
  readonly service: string
  readonly availabilityZone: string
  readonly host: string
  /** Port of every start; `undefined` if each start gets a free port. */
  readonly port: number | undefined
}

/** An endpoint over all its starts. */
export class EndpointStarts {
  /** Whether the latest start is running. */
  isUp = false
  private readonly _workers: UsersWorkerStandIn[] = []
  private readonly _links: Link[] = []

  constructor (readonly plan: EndpointPlan) {}

  get name (): string { return this.plan.name }
  get worker (): UsersWorkerStandIn { return this._workers.at(-1) as UsersWorkerStandIn }
  get link (): Link { return this._links.at(-1) as Link }

  /** Starts the endpoint again. */
  async start (): Promise<void> {
    const { name, service, host } = this.plan
    const [ownPort = 0, linkPort = 0] = await freePorts(2)
    const port = this.plan.port ?? ownPort
    const worker = new UsersWorkerStandIn(`${name}.${this._workers.length + 1}`, service === 'pool' ? 'm' : '')
    const link = new Link(linkPort, port, host)
    this._keepStagedPieces(worker)
    await worker.listen(port, host)
    await link.listen()
    this._workers.push(worker)
    this._links.push(link)
    this.isUp = true
  }

  /** Staged pieces survive a crash, loaded weights do not. */
  private _keepStagedPieces (worker: UsersWorkerStandIn): void {
    const former = this._workers.at(-1)
    if (former === undefined) return
    for (const [index, piece] of former.staged) worker.staged.set(index, piece)
    if (worker.model !== '') worker.version = 0
  }

  /** Ends the latest start and all its requests. */
  end (): void {
    this.isUp = false
    this._workers.at(-1)?.crashNow()
    this._links.at(-1)?.close()
  }

  /** Returns the current record of the latest start for the store. */
  entry (state: EndpointState): Record<string, unknown> {
    return { ...this.worker.entry(this.plan.service, this.plan.availabilityZone, state) as object, address: this.link.address }
  }

  /** Requests that any start received. */
  get arrivals (): EndpointArrival[] {
    const { service } = this.plan
    return this._workers.flatMap(({ id: endpoint, arrivals }) => arrivals.map(({ id, at, begunAt, ran, version }) => ({ id, endpoint, service, at, begunAt, ran, version })))
  }

  /** Versions that any start switched to. */
  get loads (): VersionLoad[] {
    return this._workers.flatMap(({ id: endpoint, versionSwitches }) => versionSwitches.map(({ version, at, wrongPieces }) => ({ endpoint, version, at, wrongPieces })))
  }
}
