/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Callers of a deployment: some keep a connection open as long as possible, the others open one for each call. */
import { Agent } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { call, condensePadding } from '@drumdrift/stand-ins'
import { rotatingKey, STEADY_KEY, type Deployment } from './deployment.js'
import { drawDemand } from './demands.js'
import type { EntryProcess } from './entry-process.js'
import type { CallRecord } from './journal.js'

/** Timeout of a call in milliseconds, longer than the timeout of every route. */
const CALL_TIMEOUT_MILLISECONDS = 6_000
/** Pause between two calls on a persistent connection, in milliseconds. */
const PERSISTENT_CALL_PAUSE_MILLISECONDS = 400
/** Share of calls with the newest rotating key, and equal share with the revoked key before it. */
const ROTATING_KEY_SHARE = 0.15
const MILLISECONDS_PER_SECOND = 1_000

/** Sends calls to the entries of a deployment and records the results. */
export class Callers {
  readonly records: CallRecord[] = []
  private _count = 0
  private _stopped = false
  private readonly _inFlight = new Set<Promise<void>>()

  constructor (private readonly _deployment: Deployment, private readonly _random: () => number) {}

  /**
   * Starts to send calls.
   *
   * @param rate Calls per second, of all callers together.
   */
  start (rate: number): void {
    const connections = Math.round(rate / 2 * PERSISTENT_CALL_PAUSE_MILLISECONDS / MILLISECONDS_PER_SECOND)
    for (let index = 0; index < connections; index += 1) this._track(this._callOnPersistentConnection(index / connections * PERSISTENT_CALL_PAUSE_MILLISECONDS))
    this._track(this._callOnNewConnections(2 * MILLISECONDS_PER_SECOND / rate))
  }

  /** Sends no more calls and waits for those in flight. */
  async stop (): Promise<void> {
    this._stopped = true
    await Promise.all(this._inFlight)
  }

  private _track (work: Promise<void>): void {
    this._inFlight.add(work)
    work.then(() => { this._inFlight.delete(work) })
  }

  private async _callOnPersistentConnection (delay: number): Promise<void> {
    await pause(delay)
    while (!this._stopped) {
      const entry = this._drawEntry()
      if (entry === undefined) await pause(PERSISTENT_CALL_PAUSE_MILLISECONDS)
      else await this._callUntilClosed(entry)
    }
  }

  /** Uses one connection until it closes, also after its entry has stopped accepting new callers. */
  private async _callUntilClosed (entry: EntryProcess): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    let reusable = true
    while (reusable && !this._stopped) {
      reusable = await this._call(entry, agent)
      await pause(PERSISTENT_CALL_PAUSE_MILLISECONDS)
    }
    agent.destroy()
  }

  private async _callOnNewConnections (meanPause: number): Promise<void> {
    while (!this._stopped) {
      const entry = this._drawEntry()
      if (entry !== undefined) this._track(this._call(entry, undefined).then(() => {}))
      await pause(-Math.log(1 - this._random()) * meanPause)
    }
  }

  /** Sends one call. Returns whether its connection can be reused. */
  private async _call (entry: EntryProcess, agent: Agent | undefined): Promise<boolean> {
    this._count += 1
    const demand = drawDemand(this._random)
    const id = `call-${this._count}`
    const key = this._drawKey()
    const sentAt = performance.now()
    const answer = await call(entry.address, { ...demand, id, key, agent, signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS) })
    this.records.push({ ...demand, id, key, entry: entry.instance, sentAt, endedAt: performance.now(), answer: { ...answer, body: condensePadding(answer.body) } })
    return answer.whole && answer.headers.connection !== 'close'
  }

  private _drawEntry (): EntryProcess | undefined {
    const ready = this._deployment.entries.filter(entry => entry.ready)
    return ready[Math.floor(this._random() * ready.length)]
  }

  private _drawKey (): string {
    const draw = this._random()
    if (draw < ROTATING_KEY_SHARE) return rotatingKey(this._deployment.newestKeyNumber)
    return draw < 2 * ROTATING_KEY_SHARE ? rotatingKey(this._deployment.newestKeyNumber - 1) : STEADY_KEY
  }
}
