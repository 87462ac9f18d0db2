/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Starts a process that hosts endpoint stand-ins and sends it orders. */
import { fork, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { HostOrder, HostReply } from './host-messages.js'

type WithoutId<Order> = Order extends unknown ? Omit<Order, 'id'> : never

/** Client of one process that hosts endpoint stand-ins. */
export class EndpointHost {
  private readonly _child: ChildProcess
  private readonly _pending = new Map<number, (reply: HostReply) => void>()
  private _nextId = 1

  constructor () {
    this._child = fork(fileURLToPath(new URL('../endpoint-host.js', import.meta.url)), { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
    this._child.on('message', (reply: HostReply) => {
      this._pending.get(reply.id)?.(reply)
      this._pending.delete(reply.id)
    })
  }

  get pid (): number { return this._child.pid ?? 0 }

  /**
   * Sends an order and waits for its reply.
   *
   * @example
   * await host.order({ type: 'engine', port: 9000, times: defaultEngineTimes })
   */
  order (order: WithoutId<HostOrder>): Promise<HostReply> {
    const id = this._nextId++
    return new Promise(resolve => {
      this._pending.set(id, resolve)
      this._child.send({ ...order, id })
    })
  }

  /** Ends the process. */
  close (): void {
    if (this._child.connected) this._child.disconnect()
  }
}
