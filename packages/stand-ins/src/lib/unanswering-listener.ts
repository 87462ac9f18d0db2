/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stand-in for a network path that loses the first packet of connections: a TCP proxy whose listener can stop answering. It runs in a
 * thread that blocks while the queue of the listener is full: the kernel then drops connection requests, as a path that loses packets does.
 */
import { once } from 'node:events'
import { createConnection, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { ANSWERING, BACKLOG, BLOCKED, type ThreadData } from './unanswering-listener-thread.js'

/** The kernel queues one connection more than the backlog before it drops requests. */
const QUEUED_CONNECTIONS = BACKLOG + 1
/** Time for the thread to block, and to accept the queue after that, in milliseconds. */
const SWITCH_TIME = 15

/** A proxy to a port on loopback. */
export class UnansweringListener {
  private readonly _state = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  private readonly _thread: Worker
  private _port = 0
  private _queued: Socket[] = []

  /**
   * @param target The port to which connections are forwarded.
   */
  constructor (target: number) {
    this._thread = new Worker(new URL('./unanswering-listener-thread.js', import.meta.url), { workerData: { target, state: this._state } satisfies ThreadData })
  }

  get address (): string { return `127.0.0.1:${this._port}` }

  async listen (): Promise<void> {
    const [port] = await once(this._thread, 'message') as [number]
    this._port = port
  }

  /**
   * Stops answering. Connections that are opened until `answer` is called stay without an answer for a second or more.
   *
   * @example
   * await listener.stopAnswering()
   */
  async stopAnswering (): Promise<void> {
    Atomics.store(this._state, 0, BLOCKED)
    this._thread.postMessage('block')
    await pause(SWITCH_TIME)
    const sockets = Array.from({ length: QUEUED_CONNECTIONS }, () => createConnection({ host: '127.0.0.1', port: this._port }))
    for (const socket of sockets) socket.on('error', () => {})
    await Promise.all(sockets.map(socket => once(socket, 'connect')))
    this._queued = sockets
  }

  /** Answers again. */
  async answer (): Promise<void> {
    for (const socket of this._queued) socket.destroy()
    this._queued = []
    Atomics.store(this._state, 0, ANSWERING)
    Atomics.notify(this._state, 0)
    await pause(SWITCH_TIME)
  }

  async close (): Promise<void> {
    await this.answer()
    await this._thread.terminate()
  }
}
