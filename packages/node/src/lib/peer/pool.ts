/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Client connections between the system's processes: one for control and one for bulk traffic per address, opened on
 * first use and closed when idle. Bulk connections transfer weights and may be paced; control connections never are.
 */
import { createConnection } from 'node:net'
import { PROTOCOL_VERSION, type PeerRequest } from '@drumdrift/core'
import { PeerConnection, type ReadPacer, type Reply, type Traffic } from './connection.js'
import { peerError } from './frame.js'
import { parseAddress } from '../settings/address.js'

/** The kind of traffic on a connection. */
export type Purpose = 'control' | 'bulk'

/** Time to open a connection and complete the hello, in milliseconds. */
const CONNECT_TIMEOUT = 800
/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_LIMIT = 15_000

interface Pooled {
  readonly connecting: Promise<PeerConnection>
  usedAt: number
  connection: PeerConnection | undefined
  calls: number
}

/** The client connections of one process to its peers. */
export class PeerPool {
  private readonly _pooled = new Map<string, Pooled>()
  private readonly _sweeper: NodeJS.Timeout

  /**
   * @param _self Name and key of this process, sent in the hello.
   * @param _traffic Accumulates the bytes of messages.
   * @param _bulkPacer Paces reading on bulk connections.
   */
  constructor (private readonly _self: { readonly instance: string, readonly key: string }, private readonly _traffic: Traffic = { sent: 0, received: 0 }, private readonly _bulkPacer?: ReadPacer) {
    this._sweeper = setInterval(() => this._sweep(), IDLE_LIMIT / 3)
    this._sweeper.unref()
  }

  /**
   * Sends a request to a peer and resolves with its first reply.
   *
   * @param options `timeout` is the time that the peer has to reply once connected, 1 s by default. `purpose` is `control` by default.
   * @throws DrumdriftError with a peer failure.
   * @example
   * const { reply } = await pool.call('10.0.0.7:7400', { type: 'status' })
   */
  async call (address: string, request: PeerRequest, options: { payload?: Buffer, timeout?: number, purpose?: Purpose } = {}): Promise<Reply> {
    const { payload, timeout = 1_000, purpose = 'control' } = options
    const pooled = this._get(address, purpose)
    pooled.calls += 1
    try {
      const connection = await pooled.connecting
      return await connection.call(request, payload, timeout)
    } finally {
      pooled.calls -= 1
      pooled.usedAt = performance.now()
    }
  }

  /**
   * Returns the connection to a peer, for calls with many replies. Opens one if there is none.
   *
   * @param patience Milliseconds in which a new connection has to open.
   */
  async connection (address: string, { purpose = 'control', patience = CONNECT_TIMEOUT }: { purpose?: Purpose, patience?: number } = {}): Promise<PeerConnection> {
    const pooled = this._get(address, purpose, patience)
    pooled.usedAt = performance.now()
    return await pooled.connecting
  }

  close (): void {
    clearInterval(this._sweeper)
    for (const pooled of this._pooled.values()) pooled.connection?.close()
  }

  private _get (address: string, purpose: Purpose, patience = CONNECT_TIMEOUT): Pooled {
    const key = `${purpose} ${address}`
    const known = this._pooled.get(key)
    if (known !== undefined) return known
    const pooled: Pooled = { connecting: this._connect(address, purpose, patience), usedAt: performance.now(), connection: undefined, calls: 0 }
    this._pooled.set(key, pooled)
    const drop = (): void => { if (this._pooled.get(key) === pooled) this._pooled.delete(key) }
    pooled.connecting.then(connection => {
      pooled.connection = connection
      connection.onEnd(drop)
      if (!connection.open) drop()
    }, drop)
    return pooled
  }

  private async _connect (address: string, purpose: Purpose, patience: number): Promise<PeerConnection> {
    const { host, port } = parseAddress(address)
    const socket = createConnection({ host, port })
    const pacer = purpose === 'bulk' ? this._bulkPacer : undefined
    const connection = new PeerConnection(socket, (_request, _payload, responder) => {
      responder.send({ type: 'refused', reason: 'not-supported', detail: 'this side of the connection accepts no requests' })
    }, () => {}, this._traffic, pacer)
    const hello: PeerRequest = { type: 'hello', protocol: PROTOCOL_VERSION, instance: this._self.instance, key: this._self.key }
    try {
      const { reply } = await connection.call(hello, undefined, patience)
      if (reply.type !== 'welcome') throw peerError('refused', reply.type === 'refused' ? reply.reason : 'the peer did not reply to the hello with a welcome')
    } catch (error) {
      connection.close()
      throw error
    }
    return connection
  }

  private _sweep (): void {
    const now = performance.now()
    for (const pooled of this._pooled.values()) {
      if (pooled.calls === 0 && now - pooled.usedAt > IDLE_LIMIT && !(pooled.connection?.busy ?? true)) pooled.connection?.close()
    }
  }
}
