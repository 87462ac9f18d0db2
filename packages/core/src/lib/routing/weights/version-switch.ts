/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides when an agent orders its engine to load the staged version. The version must be complete and verified immediately before.
 * The engines of a zone switch one after the other, spread evenly from the time at which the first one holds the complete version to
 * the deadline after which no request may start on the old one. Each agent computes its switch time independently.
 */
import type { ChunkMember } from '../../chunk-tree.js'
import { rendezvousOrder } from '../../rendezvous.js'

/** The state that an engine reports. */
export interface EngineState {
  /** The version that it serves; 0 if none. */
  readonly version: number
  /** Whether it is executing an order. */
  readonly busy: boolean
}

/** The position of one engine in the switch order of its zone. */
export interface SwitchPosition {
  /** Position among the engines that switch in the same period; 0 is first. */
  readonly index: number
  /** Number of these engines. */
  readonly of: number
  /** Time at which the first engine of the zone held the complete version, by this process's clock, or later if the period starts later. */
  readonly firstCompleteAt: number
  /** When the last engine switches, if earlier than usual; `undefined` otherwise. */
  readonly latestAt?: number | undefined
}

/** The state on which the agent's decision is based; times by its own clock, in milliseconds. */
export interface SwitchView {
  /** The wanted version; 0 if none. */
  readonly wanted: number
  /** Earliest time at which it may have been published, from which its deadline counts; `undefined` if that is unknown. */
  readonly publishedAt: number | undefined
  /** The version that is staged completely; 0 if none. */
  readonly whole: number
  /** Estimated milliseconds until the wanted version is staged completely, from the rate of the link; `undefined` if unknown. */
  readonly wholeIn: number | undefined
  readonly engine: EngineState | undefined
  /** Read only if the decision depends on it, so that it may be a computed property. */
  readonly turn: SwitchPosition
}

/** The next step of a switch. */
export type SwitchStep =
  | { readonly type: 'wait' }
  /** Verify the staged version, and order the engine to load it. */
  | { readonly type: 'order', readonly version: number, readonly why: 'empty' | 'turn' | 'late' }

/** The result of an order. */
export type OrderResult = 'begun' | 'done' | 'refused' | 'unreachable' | 'not-whole'

/** Delay after which peers that completed the version at the same time are known, in milliseconds. They announce it every 60 ms. */
const ANNOUNCE_DELAY = 150

/**
 * How long before the version is complete a switch is announced, in milliseconds: the time of a long response. Entries then route
 * requests with long responses to engines that switch later, so that an engine drains for a shorter time. With 1.5 s, half of the engines
 * drained for over 1.5 s in the model of versions, and capacity in the worst second was 0.65 in place of 0.76 (30 agents, one version).
 */
const MAX_NOTICE = 4_000

/** Delay before an order is repeated, by the result of the last one, in milliseconds. */
const retryDelays: Record<OrderResult, number> = { begun: 300, done: 0, refused: 300, unreachable: 200, 'not-whole': 100 }

/** The switch of one engine. */
export class VersionSwitch {
  private _retryAt = -Infinity
  private _completeVersion = 0
  private _completeAt = 0

  /**
   * @param _bound Time from the publication of a version after which no request may start on an older one, in milliseconds.
   * @param _lead How long before that deadline the last engine starts to switch, in milliseconds.
   */
  constructor (private readonly _bound: number, private readonly _lead: number) {}

  /**
   * Returns the next step. Must be called after each change of the engine or the staged version, and periodically.
   *
   * @example
   * if (versionSwitch.step(view, now).type === 'order') await orderLoad()
   */
  step (view: SwitchView, now: number): SwitchStep {
    const { wanted, publishedAt, whole, engine } = view
    this._recordComplete(whole, now)
    if (wanted === 0 || whole !== wanted || engine === undefined || engine.busy || now < this._retryAt) return { type: 'wait' }
    if (engine.version >= wanted) return { type: 'wait' }
    if (engine.version === 0) return { type: 'order', version: wanted, why: 'empty' }
    if (publishedAt === undefined || now >= publishedAt + this._bound) return { type: 'order', version: wanted, why: 'late' }
    return now >= this._switchAt(publishedAt, view.turn, this._completeAt) ? { type: 'order', version: wanted, why: 'turn' } : { type: 'wait' }
  }

  /**
   * Returns the time at which the engine will switch, or `undefined` if no switch is planned. Shortly before the version is complete the
   * time is an estimate.
   */
  plannedAt (view: SwitchView, now: number): number | undefined {
    const { wanted, publishedAt, whole, wholeIn, engine } = view
    if (wanted === 0 || publishedAt === undefined || engine === undefined || engine.version === 0 || engine.version >= wanted) return undefined
    if (whole === wanted && this._completeVersion === wanted) return this._switchAt(publishedAt, view.turn, this._completeAt)
    if (wholeIn === undefined || wholeIn > MAX_NOTICE) return undefined
    return this._switchAt(publishedAt, view.turn, now + wholeIn)
  }

  /** Spreads the switches evenly from the time at which the first engine holds the complete version to the latest start of a switch. */
  private _switchAt (publishedAt: number, { index, of, firstCompleteAt, latestAt = Infinity }: SwitchPosition, completeAt: number): number {
    const latest = Math.min(latestAt, publishedAt + this._bound - this._lead)
    const interval = Math.max(0, latest - firstCompleteAt) / Math.max(1, of - 1)
    return Math.max(completeAt + ANNOUNCE_DELAY, firstCompleteAt + index * interval)
  }

  /** Records the result of an order. */
  answered (result: OrderResult, now: number): void {
    this._retryAt = now + retryDelays[result]
  }

  private _recordComplete (whole: number, now: number): void {
    if (whole === this._completeVersion) return
    this._completeVersion = whole
    this._completeAt = now
  }
}

/**
 * Returns an engine's position in the order in which the engines of its zone switch. It depends on the list of members alone. A position
 * among the engines that are known to hold the version would be too early in a large zone, where an agent follows 12 others (33
 * engines of a zone then switched in the first two fifths of the time), and would change after the switch has been announced.
 *
 * @param members Members that switch in the same period; those of other zones are ignored.
 * @param identity Varies the order from version to version.
 * @example
 * const { index, of } = switchPosition(self, members, 'drafting@2')
 */
export function switchPosition (self: ChunkMember, members: readonly ChunkMember[], identity: string): Pick<SwitchPosition, 'index' | 'of'> {
  const zone = new Set([self.instance, ...members.filter(({ availabilityZone }) => availabilityZone === self.availabilityZone).map(({ instance }) => instance)])
  return { index: rendezvousOrder([...zone], identity).indexOf(self.instance), of: zone.size }
}
