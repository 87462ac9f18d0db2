/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** An endpoint that starts again and again, at another address each time, with the way to it. */
import { freePorts, Link, UsersWorkerStandIn } from '@drumdrift/stand-ins'
import type { EndpointArrival } from './journal.js'

/** What an endpoint says of itself in the list. */
export type EndpointState = 'ready' | 'draining'

/** One endpoint, over all its starts. */
export class EndpointStarts {
  private readonly _workers: UsersWorkerStandIn[] = []
  private readonly _ways: Link[] = []

  /**
   * @param name The same for all starts; each has an id of its own.
   */
  constructor (readonly name: string, readonly service: string, readonly availabilityZone: string) {}

  get worker (): UsersWorkerStandIn { return this._workers.at(-1) as UsersWorkerStandIn }
  get way (): Link { return this._ways.at(-1) as Link }

  /** Starts it once more. */
  async start (): Promise<void> {
    const [port = 0, wayPort = 0] = await freePorts(2)
    const worker = new UsersWorkerStandIn(`${this.name}.${this._workers.length + 1}`, this.service === 'pool' ? 'm' : '')
    const way = new Link(wayPort, port)
    await worker.listen(port)
    await way.listen()
    this._workers.push(worker)
    this._ways.push(way)
  }

  /** Ends the newest start, and all that runs on it. */
  end (): void {
    this.worker.close()
    this.way.close()
  }

  /** What the newest start writes of itself in the store now. */
  entry (state: EndpointState): Record<string, unknown> {
    return { ...this.worker.entry(this.service, this.availabilityZone, state) as object, address: this.way.address }
  }

  /** Requests that reached any start. */
  get arrivals (): EndpointArrival[] {
    const { service } = this
    return this._workers.flatMap(({ id: endpoint, arrivals }) => arrivals.map(({ id, at, ran }) => ({ id, endpoint, service, at, ran })))
  }
}
