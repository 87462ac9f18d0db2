/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What one process knows of the relays: processes that read what is published from the platform's store and pass it on, so
 * that not every process takes its own copy over a link that a region shares.
 */
import type { RelayNote } from '../../messages.js'
import type { Place } from '../choice/endpoint-choice.js'
import type { PublishedNote, PublishedTopic } from './published-change.js'

/** A relay that told nothing for this time is not relied on, in milliseconds: three of its signs of life are missing. */
const NOTE_LIFETIME = 1_500
/**
 * How long a process waits for a nearer relay to hold what one further away does, in milliseconds: a relay takes a
 * configuration of 420 KB over 24 Mbit/s in 140. Without it all processes of a region would take their copies over its link after
 * a restart, since relays beside the store are always the first to hold them.
 */
const NEAR_PATIENCE = 500

interface Relay {
  readonly address: string
  readonly note: RelayNote
  readonly heardAt: number
}

/** The relays, as one process hears of them. */
export class RelayBook {
  private readonly _relays = new Map<string, Relay>()
  /** Since when some relay holds more than this process. */
  private _aheadSince: number | undefined

  /**
   * @example
   * const book = new RelayBook(placeOf(settings))
   */
  constructor (private readonly _place: Place) {}

  /** A relay told how far it knows published state. */
  heard (address: string, note: RelayNote, now: number): void {
    this._relays.set(address, { address, note, heardAt: now })
  }

  /** The connection to a relay ended. */
  lost (address: string): void { this._relays.delete(address) }

  /** Whether some relay is known to follow the store now, in the epoch that this process follows or a later one. */
  confirmed (epoch: number, now: number): boolean { return this._live(now).some(({ note }) => note.fresh && note.held.epoch >= epoch) }

  /**
   * The relay to take news from: the nearest that holds more than this process of one of some topics. Where a nearer one
   * lives that does not hold it yet, nothing for a while.
   *
   * @param held The revisions that this process holds.
   * @param passedOver Relays that failed just now.
   * @example
   * const address = book.ahead(state.held, ['versions'], new Set(), now)
   */
  ahead (held: PublishedNote, topics: readonly PublishedTopic[], passedOver: ReadonlySet<string>, now: number): string | undefined {
    const usable = this._usable(held.epoch, passedOver, now)
    const nearest = usable[0]
    const better = usable.find(({ note }) => note.held.epoch > held.epoch || topics.some(topic => note.held[topic] > held[topic]))
    if (nearest === undefined || better === undefined) {
      this._aheadSince = undefined
      return undefined
    }
    this._aheadSince ??= now
    const near = this._distance(better) === this._distance(nearest) || now - this._aheadSince >= NEAR_PATIENCE
    return near ? better.address : undefined
  }

  /** The nearest relay that follows the store now; nothing when there is none. */
  nearest (epoch: number, passedOver: ReadonlySet<string>, now: number): string | undefined {
    return this._usable(epoch, passedOver, now).find(({ note }) => note.fresh)?.address
  }

  /** How far this process may count a topic as followed: a relay that holds no more says up to where nothing is new. */
  followedBy (held: PublishedNote, topic: PublishedTopic, now: number): number {
    const same = this._live(now).filter(({ note }) => note.fresh && note.held.epoch === held.epoch && note.held[topic] === held[topic])
    return Math.max(0, ...same.map(({ note }) => note.followed[topic]))
  }

  private _live (now: number): Relay[] {
    return [...this._relays.values()].filter(({ heardAt }) => now - heardAt <= NOTE_LIFETIME)
  }

  /** Those that do not follow an earlier epoch, the nearest first. */
  private _usable (epoch: number, passedOver: ReadonlySet<string>, now: number): Relay[] {
    return this._live(now).filter(({ address, note }) => note.held.epoch >= epoch && !passedOver.has(address)).sort((left, right) => this._distance(left) - this._distance(right))
  }

  /** 0 in the own zone, 1 in the own region, 2 elsewhere. */
  private _distance ({ note: { availabilityZone } }: Relay): number {
    if (availabilityZone === this._place.availabilityZone) return 0
    return this._place.regionOf(availabilityZone) === this._place.regionOf(this._place.availabilityZone) ? 1 : 2
  }
}
