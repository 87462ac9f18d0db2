/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides when the engine beside an agent is ordered to take the version that lies staged there: only one that is
 * whole and was verified just before, and each engine of a zone at its own time, spread evenly from when the first of them
 * is whole to the bound after which no request may begin on the old one. Every agent works its time out by itself.
 */
import type { ChunkMember } from '../../chunk-tree.js'
import { rendezvousOrder } from '../../rendezvous.js'

/** What an engine says of itself. */
export interface EngineState {
  /** The version that it serves; 0 for none. */
  readonly version: number
  /** Whether it carries out an order. */
  readonly busy: boolean
}

/** The turn of one engine among those of its zone. */
export interface SwitchTurn {
  /** Its place among those that hold the version whole, this one included; 0 for the first. */
  readonly index: number
  /** Its place once all engines of the zone hold it. */
  readonly finalIndex: number
  /** Engines of the zone. */
  readonly of: number
  /** When the first of the zone held the version whole, by this process's clock. */
  readonly since: number
}

/** What the agent knows when it decides; times by its own clock, in milliseconds. */
export interface SwitchView {
  /** The wanted version; 0 for none. */
  readonly wanted: number
  /** When the agent heard of it; nothing when it was wanted already before the agent started. */
  readonly heardAt: number | undefined
  /** The version that is staged whole; 0 for none. */
  readonly whole: number
  /** Milliseconds until the wanted version is staged whole, by the rate of the link; nothing when that is not known. */
  readonly wholeIn: number | undefined
  readonly engine: EngineState | undefined
  /** Read only where it decides: it may be worked out when it is read. */
  readonly turn: SwitchTurn
}

/** What to do. */
export type SwitchStep =
  | { readonly type: 'wait' }
  /** Verify what is staged, and order the engine to take it. */
  | { readonly type: 'order', readonly version: number, readonly why: 'empty' | 'turn' | 'late' }

/** How an order was answered. */
export type OrderResult = 'begun' | 'done' | 'refused' | 'unreachable' | 'not-whole'

/** Peers that were whole at the same time are known so much later, in milliseconds: they tell it every 60 ms. */
const TELL_TIME = 150

/**
 * So long before it is whole a switch is foretold, in milliseconds: the time of an answer of usual size. Entries then give
 * long answers to engines that switch later.
 */
const LONGEST_NOTICE = 1_500

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
  step (view: SwitchView, now: number): SwitchStep {
    const { wanted, heardAt, whole, engine } = view
    this._noteWhole(whole, now)
    if (wanted === 0 || whole !== wanted || engine === undefined || engine.busy || now < this._retryAt) return { type: 'wait' }
    if (engine.version >= wanted) return { type: 'wait' }
    if (engine.version === 0) return { type: 'order', version: wanted, why: 'empty' }
    if (heardAt === undefined || now >= heardAt + this._bound) return { type: 'order', version: wanted, why: 'late' }
    return now >= this._turnAt(heardAt, view.turn, this._wholeAt) ? { type: 'order', version: wanted, why: 'turn' } : { type: 'wait' }
  }

  /**
   * When the engine's turn comes; nothing while no switch is planned. Shortly before the version is whole it is foretold, by
   * the places that engines will have once all of them hold it.
   */
  plannedAt (view: SwitchView, now: number): number | undefined {
    const { wanted, heardAt, whole, wholeIn, engine } = view
    if (wanted === 0 || heardAt === undefined || engine === undefined || engine.version === 0 || engine.version >= wanted) return undefined
    if (whole === wanted && this._wholeVersion === wanted) return this._turnAt(heardAt, view.turn, this._wholeAt)
    if (wholeIn === undefined || wholeIn > LONGEST_NOTICE) return undefined
    const { turn } = view
    return this._turnAt(heardAt, { ...turn, index: turn.finalIndex }, now + wholeIn)
  }

  /** Turns lie evenly between when the first of the zone is whole and when the last one must begin. */
  private _turnAt (heardAt: number, { index, of, since }: SwitchTurn, wholeAt: number): number {
    const pause = Math.max(0, heardAt + this._bound - this._lead - since) / Math.max(1, of - 1)
    return Math.max(wholeAt + TELL_TIME, since + index * pause)
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
 * An engine's place among those of its zone that hold a version whole. All agents of a zone agree on it but for the time
 * that such news takes; one that is whole later takes a place that is free, and moves those behind it. So turns are taken from
 * when the first is whole, by whoever is: by the order of all members, most turns came when two thirds of the time were over.
 *
 * @param whole Members that hold the version whole.
 * @param identity Changes the order from version to version.
 * @example
 * const { index, of } = switchPlace(self, ['10.0.0.7:7700'], members, 'drafting@2')
 */
export function switchPlace (self: ChunkMember, whole: readonly string[], members: readonly ChunkMember[], identity: string): Pick<SwitchTurn, 'index' | 'finalIndex' | 'of'> {
  const zone = new Set([self.instance, ...members.filter(({ availabilityZone }) => availabilityZone === self.availabilityZone).map(({ instance }) => instance)])
  const ready = whole.filter(instance => zone.has(instance))
  const placeAmong = (instances: Iterable<string>): number => rendezvousOrder([...instances], identity).indexOf(self.instance)
  return { index: placeAmong(new Set([self.instance, ...ready])), finalIndex: placeAmong(zone), of: zone.size }
}
