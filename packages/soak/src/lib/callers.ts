/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Callers of a deployment: some keep a connection as long as it lasts, the others open one for each call. */
import { Agent } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { call, type CallKind } from '@drumdrift/stand-ins'
import { keyOfTurn, STEADY_KEY, type Deployment } from './deployment.js'
import type { EntryProcess } from './entry-process.js'
import type { CallRecord } from './journal.js'

/** A caller gives up after this, in milliseconds: later than every time-out of a route. */
const PATIENCE = 6_000
/** A caller that keeps its connection asks so often, in milliseconds. */
const KEPT_PAUSE = 400
/** The share of calls whose key is of the newest turn, and of the one before. */
const TURN_SHARE = 0.15
const MILLISECONDS_PER_SECOND = 1_000

const kinds: readonly CallKind[] = ['safe', 'unsafe', 'stream', 'moving']

/** All callers. */
export class Callers {
  readonly records: CallRecord[] = []
  private _count = 0
  private _stopped = false
  private readonly _under = new Set<Promise<void>>()

  constructor (private readonly _deployment: Deployment, private readonly _random: () => number) {}

  /**
   * Begins to call.
   *
   * @param rate Calls a second, of all together.
   */
  start (rate: number): void {
    const kept = Math.round(rate / 2 * KEPT_PAUSE / MILLISECONDS_PER_SECOND)
    for (let index = 0; index < kept; index += 1) this._keep(this._callOnKept(index / kept * KEPT_PAUSE))
    this._keep(this._callAnew(2 * MILLISECONDS_PER_SECOND / rate))
  }

  /** Stops calling, and waits until what runs has ended. */
  async stop (): Promise<void> {
    this._stopped = true
    await Promise.all(this._under)
  }

  private _keep (work: Promise<void>): void {
    this._under.add(work)
    work.then(() => { this._under.delete(work) })
  }

  private async _callOnKept (after: number): Promise<void> {
    await pause(after)
    while (!this._stopped) {
      const entry = this._drawEntry()
      if (entry === undefined) await pause(KEPT_PAUSE)
      else await this._useUp(entry)
    }
  }

  /** Uses one connection until it ends, also when its entry takes no new callers any more. */
  private async _useUp (entry: EntryProcess): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    let lasts = true
    while (lasts && !this._stopped) {
      lasts = await this._call(entry, agent)
      await pause(KEPT_PAUSE)
    }
    agent.destroy()
  }

  private async _callAnew (mean: number): Promise<void> {
    while (!this._stopped) {
      const entry = this._drawEntry()
      if (entry !== undefined) this._keep(this._call(entry, undefined).then(() => {}))
      await pause(-Math.log(1 - this._random()) * mean)
    }
  }

  /** Returns whether the connection can be used once more. */
  private async _call (entry: EntryProcess, agent: Agent | undefined): Promise<boolean> {
    this._count += 1
    const kind = kinds[Math.floor(this._random() * kinds.length)] ?? 'safe'
    const id = `call-${this._count}`
    const key = this._drawKey()
    const sentAt = performance.now()
    const answer = await call(entry.address, { id, kind, key, agent, signal: AbortSignal.timeout(PATIENCE) })
    this.records.push({ id, kind, key, entry: entry.instance, sentAt, endedAt: performance.now(), answer })
    return answer.whole && answer.headers.connection !== 'close'
  }

  private _drawEntry (): EntryProcess | undefined {
    const ready = this._deployment.entries.filter(entry => entry.ready)
    return ready[Math.floor(this._random() * ready.length)]
  }

  private _drawKey (): string {
    const draw = this._random()
    if (draw < TURN_SHARE) return keyOfTurn(this._deployment.turn)
    return draw < 2 * TURN_SHARE ? keyOfTurn(this._deployment.turn - 1) : STEADY_KEY
  }
}
