/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The connections that a request to a plain service opens side by side. One that has not opened within its timeout may have lost a packet,
 * or its path may be slow: it goes on opening while another is begun, and the first that opens carries the request. Nothing is written
 * before, so any request may do so. This module performs no I/O.
 */
import type { ChosenEndpoint } from '../choice/endpoint-choice.js'
import { startKeyOf } from '../published/endpoint-record.js'
import type { ConnectionFailure } from './attempt-tracker.js'
import type { ConnectionAttempts } from './connection-attempts.js'

/** How many connections a request may be opening at once. */
const MAX_OPENING = 6

/** A connection that is being opened. */
export interface RacingConnection {
  readonly choice: ChosenEndpoint
  readonly begunAt: number
  /** When it counts as unanswered, and another may be begun beside it. */
  readonly dueAt: number
}

/** What the race causes and asks for. */
export interface ConnectionRaceActions {
  /** Chooses the endpoint of a further connection; `undefined` if none can take it. */
  choose (now: number): ChosenEndpoint | undefined
  /** After which time the next connection to an endpoint counts as unanswered, in milliseconds. */
  timeout (choice: ChosenEndpoint): number
  /** Begins to open a connection. Its result is reported later, by `opened` or `failed`. */
  connect (connection: RacingConnection): void
  /** Closes a connection that has not opened, before anything is written to it. */
  close (connection: RacingConnection, reason: ConnectionFailure, now: number): void
  /** The request occupies an endpoint. */
  occupied (choice: ChosenEndpoint, now: number): void
  /** The request does not occupy an endpoint any more. */
  released (choice: ChosenEndpoint, now: number): void
  /**
   * A connection shows that its endpoint or the path to it has a fault.
   *
   * @param mayRepeat Whether the request may open another connection to the same endpoint.
   */
  faulty (connection: RacingConnection, reason: ConnectionFailure, mayRepeat: boolean, now: number): void
  /** No connection opened, and the race is over. */
  lost (last: RacingConnection, reason: ConnectionFailure, now: number): void
}

/** The race of one request. One that ran at no endpoint in the end may begin another race. */
export class ConnectionRace {
  private readonly _opening = new Set<RacingConnection>()
  private readonly _due = new Set<RacingConnection>()
  private _endsAt = 0

  constructor (private readonly _attempts: Pick<ConnectionAttempts, 'unanswered' | 'endsAt'>, private readonly _actions: ConnectionRaceActions) {}

  /** When `check` is to be called next; `undefined` if no connection is opening. */
  get nextCheckAt (): number | undefined {
    return this._opening.size === 0 ? undefined : Math.min(this._endsAt, ...[...this._due].map(({ dueAt }) => dueAt))
  }

  /**
   * Begins the race with a connection to an endpoint. Late in the time of the caller, it lasts as long as the timeout of this connection.
   *
   * @example
   * race.begin(choice, now)
   * setTimeout(() => race.check(performance.now()), race.nextCheckAt - now)
   */
  begin (choice: ChosenEndpoint, now: number): void {
    this._endsAt = Math.max(this._attempts.endsAt, this._open(choice, now).dueAt)
  }

  /** Counts the connections that are due as unanswered, and begins another; ends the race if its time is over. */
  check (now: number): void {
    const due = [...this._due].filter(({ dueAt }) => dueAt <= now)
    for (const connection of due) {
      this._due.delete(connection)
      this._actions.faulty(connection, 'connection-timed-out', this._attempts.unanswered(startKeyOf(connection.choice.record), now), now)
    }
    if (now >= this._endsAt) this._giveUp(now)
    else if (due.length > 0) this._openAnother(now)
  }

  /** Records that a connection opened, and closes all others. */
  opened (connection: RacingConnection, now: number): void {
    this._closeAllBut(connection, 'connection-superseded', now)
  }

  /** Records that a connection was refused or failed. Another one is begun at once. */
  failed (connection: RacingConnection, reason: ConnectionFailure, now: number): void {
    this._remove(connection, now)
    this._actions.faulty(connection, reason, false, now)
    if (now < this._endsAt) this._openAnother(now)
    if (this._opening.size === 0) this._actions.lost(connection, reason, now)
  }

  /** Closes all connections, because the request has ended. */
  end (now: number): void { this._closeAllBut(undefined, 'connection-superseded', now) }

  private _open (choice: ChosenEndpoint, now: number): RacingConnection {
    const connection = { choice, begunAt: now, dueAt: now + this._actions.timeout(choice) }
    if (!this._occupies(choice)) this._actions.occupied(choice, now)
    this._opening.add(connection)
    this._due.add(connection)
    this._actions.connect(connection)
    return connection
  }

  private _openAnother (now: number): void {
    const choice = this._opening.size < MAX_OPENING ? this._actions.choose(now) : undefined
    if (choice !== undefined) this._open(choice, now)
  }

  private _giveUp (now: number): void {
    const last = [...this._opening].at(-1)
    this._closeAllBut(undefined, 'connection-timed-out', now)
    if (last !== undefined) this._actions.lost(last, 'connection-timed-out', now)
  }

  /** The endpoint of the kept connection stays occupied: the request runs there. */
  private _closeAllBut (kept: RacingConnection | undefined, reason: ConnectionFailure, now: number): void {
    for (const connection of this._opening) if (connection !== kept) this._actions.close(connection, reason, now)
    for (const connection of [...this._opening]) if (connection !== kept) this._remove(connection, now)
    this._opening.clear()
    this._due.clear()
  }

  private _remove (connection: RacingConnection, now: number): void {
    this._opening.delete(connection)
    this._due.delete(connection)
    if (!this._occupies(connection.choice)) this._actions.released(connection.choice, now)
  }

  private _occupies ({ record }: ChosenEndpoint): boolean {
    return [...this._opening].some(({ choice }) => startKeyOf(choice.record) === startKeyOf(record))
  }
}
