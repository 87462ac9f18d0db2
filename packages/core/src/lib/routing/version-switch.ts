/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides when the engine beside an agent is ordered to take the version that lies staged there: only one that is
 * whole and was verified just before, and each engine of a zone at its own time, spread evenly from when the version
 * is whole to the bound after which no request may begin on the old one. Every agent works its time out by itself.
 */
import type { ChunkMember } from '../chunk-tree.js'
import { rendezvousOrder } from '../rendezvous.js'

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
  /** This engine's place among those of its zone, from 0 to 1: see `switchPlace`. */
  readonly place: number
}

/** What to do. */
export type SwitchStep =
  | { readonly type: 'wait' }
  /** Verify what is staged, and order the engine to take it. */
  | { readonly type: 'order', readonly version: number, readonly why: 'empty' | 'turn' | 'late' }

/** How an order was answered. */
export type OrderResult = 'begun' | 'done' | 'refused' | 'unreachable' | 'not-whole'

/** Before an order is given again, in milliseconds. */
const retryPauses: Record<OrderResult, number> = { begun: 300, done: 0, refused: 300, unreachable: 200, 'not-whole': 100 }

/** The switch of one engine. */
export class VersionSwitch {
  private _retryAt = -Infinity
  private _wholeVersion = 0
  private _wholeAt = 0

  /**
   * @param _bound After this time from a version's naming no request may begin on an older one, in milliseconds.
   * @param _lead The last engine starts so much before the bound, in milliseconds.
   */
  constructor (private readonly _bound: number, private readonly _lead: number) {}

  /**
   * The engine or the staging has changed, or time has passed.
   *
   * @example
   * if (versionSwitch.step(view, now).type === 'order') await orderLoad()
   */
  step ({ wanted, heardAt, whole, engine, place }: SwitchView, now: number): SwitchStep {
    this._noteWhole(whole, now)
    if (wanted === 0 || whole !== wanted || engine === undefined || engine.busy || now < this._retryAt) return { type: 'wait' }
    if (engine.version >= wanted) return { type: 'wait' }
    if (engine.version === 0) return { type: 'order', version: wanted, why: 'empty' }
    if (heardAt === undefined || now >= heardAt + this._bound) return { type: 'order', version: wanted, why: 'late' }
    return now >= this._turnAt(heardAt, place) ? { type: 'order', version: wanted, why: 'turn' } : { type: 'wait' }
  }

  /** When the engine's turn comes; nothing while no switch is planned. */
  plannedAt ({ wanted, heardAt, whole, engine, place }: SwitchView): number | undefined {
    const planned = wanted > 0 && whole === wanted && this._wholeVersion === wanted && engine !== undefined && engine.version > 0 && engine.version < wanted
    return planned && heardAt !== undefined ? this._turnAt(heardAt, place) : undefined
  }

  private _turnAt (heardAt: number, place: number): number {
    return this._wholeAt + place * Math.max(0, heardAt + this._bound - this._lead - this._wholeAt)
  }

  /** An order was answered. */
  answered (result: OrderResult, now: number): void {
    this._retryAt = now + retryPauses[result]
  }

  private _noteWhole (whole: number, now: number): void {
    if (whole === this._wholeVersion) return
    this._wholeVersion = whole
    this._wholeAt = now
  }
}

/**
 * An engine's place in the order in which its zone switches, from 0 for the first to 1 for the last; 0 when it is alone. All
 * agents of a zone agree on it from the member list alone.
 *
 * @param identity Changes the order from version to version.
 * @example
 * const place = switchPlace(self, members, 'drafting@2')
 */
export function switchPlace (self: ChunkMember, members: readonly ChunkMember[], identity: string): number {
  const zone = members.filter(({ availabilityZone }) => availabilityZone === self.availabilityZone).map(({ instance }) => instance)
  const order = rendezvousOrder([...new Set([self.instance, ...zone])], identity)
  return order.indexOf(self.instance) / Math.max(1, order.length - 1)
}
