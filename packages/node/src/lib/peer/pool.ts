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
export type ConnectionPurpose = 'control' | 'bulk'

/** Time to open a connection and complete the hello, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 800
/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 15_000

interface PooledConnection {
  readonly connecting: Promise<PeerConnection>
  usedAt: number
  connection: PeerConnection | undefined
  calls: number
}

/** The client connections of one process to its peers. */
export class PeerPool {
  private readonly _connections = new Map<string, PooledConnection>()
  private readonly _sweeper: NodeJS.Timeout

  /**
   * @param _self Name and key of this process, sent in the hello.
   * @param _traffic Accumulates the bytes of messages.
   * @param _bulkPacer Paces reading on bulk connections.
   */
  constructor (private readonly _self: { readonly instance: string, readonly key: string }, private readonly _traffic: Traffic = { sent: 0, received: 0 }, private readonly _bulkPacer?: ReadPacer) {
    this._sweeper = setInterval(() => this._sweep(), IDLE_TIMEOUT_MILLISECONDS / 3)
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
  async call (address: string, request: PeerRequest, options: { payload?: Buffer, timeout?: number, purpose?: ConnectionPurpose } = {}): Promise<Reply> {
    const { payload, timeout = 1_000, purpose = 'control' } = options
    const pooled = this._getOrConnect(address, purpose)
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
  async connection (address: string, { purpose = 'control', patience = CONNECT_TIMEOUT_MILLISECONDS }: { purpose?: ConnectionPurpose, patience?: number } = {}): Promise<PeerConnection> {
    const pooled = this._getOrConnect(address, purpose, patience)
    pooled.usedAt = performance.now()
    return await pooled.connecting
  }

  close (): void {
    clearInterval(this._sweeper)
    for (const pooled of this._connections.values()) pooled.connection?.close()
  }

  private _getOrConnect (address: string, purpose: ConnectionPurpose, patience = CONNECT_TIMEOUT_MILLISECONDS): PooledConnection {
    const key = `${purpose} ${address}`
    const existing = this._connections.get(key)
    if (existing !== undefined) return existing
    const pooled: PooledConnection = { connecting: this._connect(address, purpose, patience), usedAt: performance.now(), connection: undefined, calls: 0 }
    this._connections.set(key, pooled)
    const remove = (): void => { if (this._connections.get(key) === pooled) this._connections.delete(key) }
    pooled.connecting.then(connection => {
      pooled.connection = connection
      connection.onEnd(remove)
      if (!connection.open) remove()
    }, remove)
    return pooled
  }

  private async _connect (address: string, purpose: ConnectionPurpose, patience: number): Promise<PeerConnection> {
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
      connection.authenticated()
    } catch (error) {
      connection.close()
      throw error
    }
    return connection
  }

  private _sweep (): void {
    const now = performance.now()
    for (const pooled of this._connections.values()) {
      if (pooled.calls === 0 && now - pooled.usedAt > IDLE_TIMEOUT_MILLISECONDS && !(pooled.connection?.busy ?? true)) pooled.connection?.close()
    }
  }
}
