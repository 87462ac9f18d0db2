/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides whether an endpoint is alive after it closed a connection. An answer without a length or chunks ends with its connection, both
 * when it is complete and when its endpoint crashes.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { dropOldest } from '@drumdrift/core'
import type { ProbeResult } from './endpoint-probe.js'

/** An incarnation of an endpoint. */
export interface EndpointStart {
  /** See `startKeyOf`. */
  readonly start: string
  readonly address: string
}

/** Time in which all connections of an endpoint that crashes are closed, in milliseconds. */
const CRASH_TIME = 20
/** Another connection that is lost within this time of the end shows that the endpoint crashed, in milliseconds. */
const COINCIDENCE_TIME = 100
/** Bounds memory. */
const MAX_LOSSES = 256

/** The losses of connections to endpoints, at one entry. */
export class EndpointLiveness {
  private readonly _lostAt = new Map<string, number>()

  /**
   * @param _probe Checks whether an endpoint accepts connections.
   */
  constructor (private readonly _probe: (address: string) => Promise<ProbeResult>) {}

  /** Records that a connection to an endpoint was lost while an answer was incomplete. */
  recordLoss (start: string, now: number): void {
    this._lostAt.delete(start)
    this._lostAt.set(start, now)
    dropOldest(this._lostAt, MAX_LOSSES)
  }

  /**
   * Returns whether an endpoint has not crashed when it closed a connection a moment ago.
   *
   * @example
   * const whole = await liveness.outlived({ start: 'engine-7', address: '10.0.0.7:8000' })
   */
  async outlived ({ start, address }: EndpointStart): Promise<boolean> {
    const closedAt = performance.now()
    await pause(CRASH_TIME)
    const result = await this._probe(address)
    return result === 'listening' && closedAt - (this._lostAt.get(start) ?? -Infinity) > COINCIDENCE_TIME
  }
}
