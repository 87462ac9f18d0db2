/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * How often and for how long one request opens connections. A connection that gets no answer carried nothing, so the request may be sent
 * to the same endpoint again; the timeout doubles, because the path may be slow and not lossy.
 */

/** How often a request may open a connection to the same endpoint, if it gets no answer. */
const MAX_CONNECTIONS_PER_ENDPOINT = 3
/**
 * A request opens further connections until this share of the time to its deadline has passed. Then it is refused, so that its caller
 * has time to reach the service through another entry.
 */
const CONNECTING_SHARE = 1 / 3

/** The unanswered connections of one request. */
export class ConnectionAttempts {
  private readonly _unanswered = new Map<string, number>()
  /** When the request opens no further connections. */
  readonly endsAt: number

  /**
   * @param receivedAt When the request arrived.
   * @param deadline When its caller gives up.
   */
  constructor (receivedAt: number, deadline: number) {
    this.endsAt = receivedAt + CONNECTING_SHARE * (deadline - receivedAt)
  }

  /** The timeout of the next connection to an endpoint, in milliseconds, from that of the first. */
  timeout (start: string, first: number): number { return first * 2 ** (this._unanswered.get(start) ?? 0) }

  /**
   * Records a connection that got no answer.
   *
   * @returns Whether the request may open another one to the same endpoint.
   * @example
   * if (connections.unanswered(start, now)) tried.delete(start)
   */
  unanswered (start: string, now: number): boolean {
    const count = (this._unanswered.get(start) ?? 0) + 1
    this._unanswered.set(start, count)
    return count < MAX_CONNECTIONS_PER_ENDPOINT && now < this.endsAt
  }
}
