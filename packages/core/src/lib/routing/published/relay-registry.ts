/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * One process's view of the relays: processes that read the published state from the platform's store and pass it on, so that
 * processes do not each fetch a copy over a link that their region shares.
 */
import type { RelayNote } from '../../messages.js'
import type { EntryLocation } from '../choice/endpoint-choice.js'
import { completeRevisions, publishedTopics, type PublishedRevisions, type PublishedTopic } from './published-change.js'
import { validAge } from './told-versions.js'

/** A relay from which no note was received for this long is ignored, in milliseconds: it has missed three heartbeats. */
const NOTE_LIFETIME = 1_500
/**
 * How long a process waits for a nearer relay to catch up with a more distant one, in milliseconds. A relay receives a configuration
 * of 420 KB over 24 Mbit/s in 140 ms. Without the wait, all processes of a region would fetch their copies over the region's link
 * after a restart, since relays near the store are always the first to have them.
 */
const NEARER_RELAY_WAIT = 500

/** Allowance for the time that a note takes over a full link, in milliseconds; beyond it the relay counts as lost. */
const MAX_NOTE_TRANSIT = 1_600

const NO_RELAYS: ReadonlySet<string> = new Set()

interface Relay {
  readonly address: string
  readonly note: RelayNote
  /** The earliest time at which the note may have arrived. */
  readonly receivedAt: number
  readonly heardAt: number
}

/**
 * The relays known to one process, with the latest note of each. Whether a relay is live is decided by a clock that stands still while
 * this process does not run: `now`, unless stated otherwise.
 */
export class RelayRegistry {
  private readonly _relays = new Map<string, Relay>()
  /** Time since which some relay has been ahead of this process. */
  private _aheadSince: number | undefined
  private _changeCount = 0

  /**
   * @example
   * const relays = new RelayRegistry(placeOf(settings))
   */
  constructor (private readonly _place: EntryLocation) {}

  /** Increases with every note and every loss. Without one, no relay can have come ahead of a process whose own state is unchanged. */
  get changeCount (): number { return this._changeCount }

  /**
   * Records a note in which a relay reports the revisions that it holds.
   *
   * @param receivedAt The earliest time at which it may have arrived, on a clock that does not stand still.
   * @param now When it is handled.
   */
  recordNote (address: string, note: RelayNote, receivedAt: number, now = receivedAt): void {
    this._changeCount += 1
    const { followed, held } = note
    this._relays.set(address, { address, note: { ...note, followed: completeRevisions(followed), held: completeRevisions(held) }, receivedAt, heardAt: now })
  }

  /** Removes a relay whose connection ended. */
  lost (address: string): void {
    this._changeCount += 1
    this._relays.delete(address)
  }

  /** Whether some relay currently follows all topics in the store, in the epoch that this process follows or a later one. */
  followsStore (epoch: number, now: number): boolean { return this._liveRelays(now).some(({ note }) => note.fresh && note.held.epoch >= epoch && followsAll(note, publishedTopics)) }

  /**
   * Returns the nearest relay that is ahead of this process in one of some topics. Returns `undefined` if there is none, and, for
   * a limited time, while a nearer relay is live that is not ahead yet.
   *
   * @param held The revisions that this process holds.
   * @param excluded Relays that failed recently.
   * @example
   * const address = relays.relayAhead(state.held, ['versions'], new Set(), now)
   */
  relayAhead (held: PublishedRevisions, topics: readonly PublishedTopic[], excluded: ReadonlySet<string>, now: number): string | undefined {
    const candidates = this._candidates(held.epoch, excluded, now)
    const nearest = candidates[0]
    const aheadRelay = candidates.find(({ note }) => isAhead(note, held, topics))
    if (nearest === undefined || aheadRelay === undefined) {
      this._aheadSince = undefined
      return undefined
    }
    this._aheadSince ??= now
    const isNearEnough = this._distance(aheadRelay) === this._distance(nearest) || now - this._aheadSince >= NEARER_RELAY_WAIT
    return isNearEnough ? aheadRelay.address : undefined
  }

  /** Whether any relay is ahead of this process in one of some topics, even if it failed recently or a nearer one is waited for. */
  areAhead (held: PublishedRevisions, topics: readonly PublishedTopic[], now: number): boolean {
    return this._candidates(held.epoch, NO_RELAYS, now).some(({ note }) => isAhead(note, held, topics))
  }

  /** Whether a relay is ahead of this process, by the last call of `relayAhead`, but a nearer one is waited for. */
  get waitsForNearer (): boolean { return this._aheadSince !== undefined }

  /** Returns the nearest live relay, whether it follows the store or not; `undefined` if there is none. */
  nearest (now: number): string | undefined {
    return this._liveRelays(now).sort((left, right) => this._distance(left) - this._distance(right))[0]?.address
  }

  /** Returns the nearest relay that currently follows some topics in the store, or `undefined` if there is none. */
  nearestRelay (epoch: number, topics: readonly PublishedTopic[], excluded: ReadonlySet<string>, now: number): string | undefined {
    return this._candidates(epoch, excluded, now).find(({ note }) => note.fresh && followsAll(note, topics))?.address
  }

  /** Returns the revision up to which a topic counts as followed, by the relays that hold the same revision as this process. */
  followedRevision (held: PublishedRevisions, topic: PublishedTopic, now: number): number {
    return Math.max(0, ...this._equalRelays(held, topic, now).map(({ note }) => note.followed[topic]))
  }

  /**
   * Returns the last time at which the store is known to have had no item of a topic that this process lacks; `-Infinity` if none.
   *
   * @example
   * state.versionsCompleteAt(relays.completeAt(state.held, 'versions', now))
   */
  completeAt (held: PublishedRevisions, topic: 'versions' | 'evacuations', now: number): number {
    const relays = topic === 'versions' ? this._equalRelays(held, topic, now) : this._relaysNotAhead(held, topic, now)
    const times = relays.filter(({ note }) => followsAll(note, [topic])).map(({ note: { versionsAge }, receivedAt }) => receivedAt - validAge(versionsAge, Infinity) - MAX_NOTE_TRANSIT)
    return Math.max(-Infinity, ...times)
  }

  /** Returns the live relays that follow the store and hold the same revision of a topic as this process. */
  private _equalRelays (held: PublishedRevisions, topic: PublishedTopic, now: number): Relay[] {
    return this._liveRelays(now).filter(({ note }) => note.fresh && note.held.epoch === held.epoch && note.held[topic] === held[topic])
  }

  /** Returns the live relays that follow the store and hold nothing newer of a topic than this process. */
  private _relaysNotAhead (held: PublishedRevisions, topic: PublishedTopic, now: number): Relay[] {
    return this._liveRelays(now).filter(({ note }) => note.fresh && note.held.epoch === held.epoch && note.held[topic] <= held[topic])
  }

  private _liveRelays (now: number): Relay[] {
    return [...this._relays.values()].filter(({ heardAt }) => now - heardAt <= NOTE_LIFETIME)
  }

  /** Returns the live relays that do not follow an earlier epoch, nearest first. */
  private _candidates (epoch: number, excluded: ReadonlySet<string>, now: number): Relay[] {
    return this._liveRelays(now).filter(({ address, note }) => note.held.epoch >= epoch && !excluded.has(address)).sort((left, right) => this._distance(left) - this._distance(right))
  }

  /** Returns 0 for the same availability zone, 1 for the same region and 2 for other regions. */
  private _distance ({ note: { availabilityZone } }: Relay): number {
    if (availabilityZone === this._place.availabilityZone) return 0
    return this._place.regionOf(availabilityZone) === this._place.regionOf(this._place.availabilityZone) ? 1 : 2
  }
}

/** Whether a relay that follows no earlier epoch holds something newer of some topics. */
function isAhead (note: RelayNote, held: PublishedRevisions, topics: readonly PublishedTopic[]): boolean {
  return note.held.epoch > held.epoch || topics.some(topic => note.held[topic] > held[topic])
}

/**
 * Whether a relay that reads the store follows some topics. A relay of an earlier release reads no evacuations, so processes that need
 * them read the store themselves while there are only such relays.
 */
function followsAll ({ followed }: RelayNote, topics: readonly PublishedTopic[]): boolean { return !topics.includes('evacuations') || followed.evacuations > 0 }
