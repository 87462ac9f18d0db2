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
  /** Position among the engines that hold the complete version, including this one; 0 is first. */
  readonly index: number
  /** Position once all engines of the zone hold it. */
  readonly finalIndex: number
  /** Number of engines in the zone. */
  readonly of: number
  /** Time at which the first engine of the zone held the complete version, by this process's clock. */
  readonly firstCompleteAt: number
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
 * How long before the version is complete a switch is announced, in milliseconds: the time of a response of average length. Entries
 * then route requests with long responses to engines that switch later.
 */
const MAX_NOTICE = 1_500

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
   * time is estimated from the position that the engine will have once all engines hold the version.
   */
  plannedAt (view: SwitchView, now: number): number | undefined {
    const { wanted, publishedAt, whole, wholeIn, engine } = view
    if (wanted === 0 || publishedAt === undefined || engine === undefined || engine.version === 0 || engine.version >= wanted) return undefined
    if (whole === wanted && this._completeVersion === wanted) return this._switchAt(publishedAt, view.turn, this._completeAt)
    if (wholeIn === undefined || wholeIn > MAX_NOTICE) return undefined
    const { turn } = view
    return this._switchAt(publishedAt, { ...turn, index: turn.finalIndex }, now + wholeIn)
  }

  /** Spreads the switches evenly from the time at which the first engine holds the complete version to the latest start of a switch. */
  private _switchAt (publishedAt: number, { index, of, firstCompleteAt }: SwitchPosition, completeAt: number): number {
    const interval = Math.max(0, publishedAt + this._bound - this._lead - firstCompleteAt) / Math.max(1, of - 1)
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
 * Returns an engine's position among the engines of its zone that hold the complete version. The agents of a zone agree on it, apart
 * from propagation delays; an engine that completes the version later is inserted and moves those behind it. Engines thus start to
 * switch as soon as the first one holds the version. With fixed positions among all members, most engines would switch only after two
 * thirds of the available time.
 *
 * @param whole Members that hold the complete version.
 * @param identity Varies the order from version to version.
 * @example
 * const { index, of } = switchPosition(self, ['10.0.0.7:7700'], members, 'drafting@2')
 */
export function switchPosition (self: ChunkMember, whole: readonly string[], members: readonly ChunkMember[], identity: string): Pick<SwitchPosition, 'index' | 'finalIndex' | 'of'> {
  const zone = new Set([self.instance, ...members.filter(({ availabilityZone }) => availabilityZone === self.availabilityZone).map(({ instance }) => instance)])
  const completed = whole.filter(instance => zone.has(instance))
  const positionAmong = (instances: Iterable<string>): number => rendezvousOrder([...instances], identity).indexOf(self.instance)
  return { index: positionAmong(new Set([self.instance, ...completed])), finalIndex: positionAmong(zone), of: zone.size }
}
