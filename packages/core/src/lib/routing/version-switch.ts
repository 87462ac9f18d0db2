/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides when the engine beside an agent is ordered to take the version that lies staged there: only one that is
 * whole and was verified just before, one wave of engines after the other, and all in time for the bound after which
 * no request may begin on the old version.
 */

/** What an engine says of itself. */
export interface EngineState {
  /** The version that it serves; 0 for none. */
  readonly version: number
  /** Whether it carries out an order. */
  readonly busy: boolean
}

/** What the agent knows when it decides; times by its own clock, in milliseconds. */
export interface SwitchView {
  /** The wanted version; 0 for none. */
  readonly wanted: number
  /** When the agent heard of it; nothing when it was wanted already before the agent started. */
  readonly heardAt: number | undefined
  /** The version that is staged whole; 0 for none. */
  readonly whole: number
  readonly engine: EngineState | undefined
  /** Whether every engine of the waves before has switched, or cannot be waited for. */
  readonly turn: boolean
}

/** What to do. */
export type SwitchStep =
  | { readonly type: 'wait' }
  /** Verify what is staged, and order the engine to take it. */
  | { readonly type: 'order', readonly version: number, readonly why: 'empty' | 'turn' | 'bound-near' }

/** How an order was answered. */
export type OrderResult = 'begun' | 'done' | 'refused' | 'unreachable' | 'not-whole'

/** Before an order is given again, in milliseconds. */
const retryPauses: Record<OrderResult, number> = { begun: 300, done: 0, refused: 300, unreachable: 200, 'not-whole': 100 }

/** The switch of one engine. */
export class VersionSwitch {
  private _retryAt = -Infinity

  /**
   * @param _bound After this time from a version's naming no request may begin on an older one, in milliseconds.
   * @param _lead The time that a switch takes: what runs ends, and the engine warms up. The bound is met by starting so
   * much before it, in milliseconds.
   */
  constructor (private readonly _bound: number, private readonly _lead: number) {}

  /**
   * The engine or the staging has changed, or time has passed.
   *
   * @example
   * if (versionSwitch.step(view, now).type === 'order') await orderLoad()
   */
  step ({ wanted, heardAt, whole, engine, turn }: SwitchView, now: number): SwitchStep {
    if (wanted === 0 || whole !== wanted || engine === undefined || engine.busy || now < this._retryAt) return { type: 'wait' }
    if (engine.version >= wanted) return { type: 'wait' }
    if (engine.version === 0) return { type: 'order', version: wanted, why: 'empty' }
    if (turn) return { type: 'order', version: wanted, why: 'turn' }
    const late = heardAt === undefined || now >= heardAt + this._bound - this._lead
    return late ? { type: 'order', version: wanted, why: 'bound-near' } : { type: 'wait' }
  }

  /** An order was answered. */
  answered (result: OrderResult, now: number): void {
    this._retryAt = now + retryPauses[result]
  }
}
