/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Opens the connection of a request to a plain service: see `ConnectionRace`. The request is written only after one has opened and all
 * others are closed, so it is sent at most once.
 */
import type { Socket } from 'node:net'
import { ConnectionRace, startKeyOf, type ChosenEndpoint, type ConnectionAttempts, type ConnectionFailure, type ConnectionRaceActions, type RacingConnection } from '@drumdrift/core'
import { IoTimeout } from '../io-timeout.js'
import { openConnection } from '../outgoing-connection.js'
import { runningTime } from '../periodic-tasks.js'
import { parseAddress } from '../settings/address.js'
import { recordOpened, recordUnopened, type EvidenceSinks } from './connection-evidence.js'
import { connectionFailureOf } from './endpoint-call.js'
import type { RequestRecord } from './request-record.js'

/** An open connection to which nothing has been written. */
export interface OpenedConnection {
  readonly socket: Socket
  /** How long it took to open, in milliseconds in which this process ran. */
  readonly openedAfter: number
}

/** What the connections of a request need. */
export interface PlainConnectionTerms extends Pick<ConnectionRaceActions, 'choose' | 'timeout' | 'occupied'> {
  readonly attempts: ConnectionAttempts
  /** The id of the request. */
  readonly request: string
  /** The starts of endpoints to which the request opens no further connection. */
  readonly tried: Set<string>
  readonly sinks: EvidenceSinks
  readonly record: Pick<RequestRecord, 'connectionLate' | 'connectionEnded'>
  /** The request is to be written to the connection in this turn of the event loop. */
  opened (choice: ChosenEndpoint, opened: OpenedConnection): void
  /** No connection opened. */
  lost (reason: ConnectionFailure, now: number): void
}

/** The connections that one request is opening. */
export class PlainConnections {
  private readonly _race: ConnectionRace
  private readonly _sockets = new Map<RacingConnection, Socket>()
  private _checkTimeout: IoTimeout | undefined

  constructor (private readonly _terms: PlainConnectionTerms) {
    const { attempts, request, sinks: { chooser } } = _terms
    this._race = new ConnectionRace(attempts, {
      choose: now => _terms.choose(now),
      timeout: choice => _terms.timeout(choice),
      occupied: (choice, now) => _terms.occupied(choice, now),
      released: ({ record }, now) => chooser.ended(startKeyOf(record), request, 'unclear', now),
      faulty: (connection, reason, mayRepeat, now) => this._onFaulty(connection, reason, mayRepeat, now),
      lost: (_last, reason, now) => _terms.lost(reason, now),
      connect: connection => this._connect(connection),
      close: (connection, reason, now) => this._close(connection, reason, now)
    })
  }

  /** Whether a connection is being opened. */
  get opening (): boolean { return this._sockets.size > 0 }

  /**
   * Opens a connection to an endpoint, and further ones while it does not open.
   *
   * @example
   * connections.begin(choice, performance.now())
   */
  begin (choice: ChosenEndpoint, now: number): void {
    this._race.begin(choice, now)
    this._scheduleCheck()
  }

  /** Closes all connections that have not opened. */
  end (): void {
    this._race.end(performance.now())
    this._scheduleCheck()
  }

  private _connect (connection: RacingConnection): void {
    const { record } = connection.choice
    const begunAt = runningTime()
    const socket = openConnection({ ...parseAddress(record.address), noDelay: true })
    this._sockets.set(connection, socket)
    this._terms.tried.add(startKeyOf(record))
    socket.once('connect', () => this._onOpened(connection, { socket, openedAfter: Math.max(0, runningTime() - begunAt) }))
    // It stays: the request listens for errors only from the next turn on.
    socket.on('error', error => this._onError(connection, error))
  }

  private _onOpened (connection: RacingConnection, opened: OpenedConnection): void {
    if (!this._sockets.delete(connection)) return
    this._race.opened(connection, performance.now())
    this._scheduleCheck()
    recordOpened(this._terms.sinks, connection.choice.record)
    this._terms.opened(connection.choice, opened)
  }

  private _onError (connection: RacingConnection, error: NodeJS.ErrnoException): void {
    if (!this._sockets.delete(connection)) return
    const now = performance.now()
    const reason = connectionFailureOf(error)
    this._terms.record.connectionEnded(connection.choice, reason, now - connection.begunAt)
    this._race.failed(connection, reason, now)
    this._scheduleCheck()
  }

  private _onFaulty ({ choice, begunAt }: RacingConnection, reason: ConnectionFailure, mayRepeat: boolean, now: number): void {
    if (reason === 'connection-timed-out') this._terms.record.connectionLate(choice, now - begunAt)
    recordUnopened(this._terms.sinks, choice.record, reason, begunAt, now)
    if (mayRepeat) this._terms.tried.delete(startKeyOf(choice.record))
    else this._terms.tried.add(startKeyOf(choice.record))
  }

  private _close (connection: RacingConnection, reason: ConnectionFailure, now: number): void {
    this._sockets.get(connection)?.destroy()
    this._sockets.delete(connection)
    this._terms.record.connectionEnded(connection.choice, reason, now - connection.begunAt)
  }

  private _scheduleCheck (): void {
    this._checkTimeout?.cancel()
    const at = this._race.nextCheckAt
    this._checkTimeout = at === undefined ? undefined : new IoTimeout(() => this._check(), Math.ceil(Math.max(0, at - performance.now())))
  }

  private _check (): void {
    this._race.check(performance.now())
    this._scheduleCheck()
  }
}
