/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The parts of the published world that a variant may replace. */
import { allowedRegionsOf, EndpointChooser, PublishedState, publishedTopics, StoreCursor, topicOf, type PublishedChange, type PublishedDelta, type PublishedRevisions, type EndpointRequirements, type EntryLocation, type OrganisationDescription, type Route, type StoreCall, type StoreView } from '@drumdrift/core'
import { plainRequirements } from './placement-oracle.js'

/** An answer of the store with changes, and the call that it answers; times in milliseconds. */
export interface AnsweredStoreCall {
  readonly call: StoreCall
  readonly sentAt: number
  readonly answeredAt: number
  /** How long the store was to hold the call. */
  readonly wait: number
  readonly changes: readonly PublishedChange[]
  readonly upTo: number
}

/** A delta that a relay sends. */
export interface SentDelta {
  readonly delta: PublishedDelta
  /** How long before it was encoded, in milliseconds. */
  readonly encodedFor: number
}

/** Answers a peer that has followed the store up to a note. */
export type DeltaSource = (note: PublishedRevisions, now: number) => SentDelta

/** The parts whose protections a variant may remove. */
export interface PublishedParts {
  readonly state: () => PublishedState
  readonly cursor: (state: PublishedState) => Pick<StoreCursor, 'followed' | 'next' | 'judge' | 'markCaughtUp'>
  /** Whether a process keeps its state when the store begins a new epoch. */
  readonly keepsStateAcrossEpochs: boolean
  /** Whether endpoint records carry the count of their writes. */
  readonly countsWrites: boolean
  /** Applies and dates the changes of an answer of the store. */
  readonly takeAnswer: (state: PublishedState, view: StoreView, call: AnsweredStoreCall) => void
  /** Applies and dates the changes of a relay. */
  readonly takeDelta: (state: PublishedState, sent: SentDelta, now: number, requestedAt: number) => void
  readonly deltas: (state: PublishedState) => DeltaSource
  /** Chooses endpoints by the state of one process. */
  readonly requirements: (route: Route, organisation: OrganisationDescription | undefined, tried: ReadonlySet<string>) => EndpointRequirements
  readonly chooser: (place: EntryLocation, random: () => number) => Pick<EndpointChooser, 'setRecords' | 'choose'>
}

/** Records until when an answer shows that every change has been received. */
export function recordView (view: StoreView, { call, sentAt, answeredAt, wait, changes }: AnsweredStoreCall): void {
  if (call === 'read') view.readAnswered(sentAt)
  else view.watchAnswered({ sentAt, answeredAt, wait, empty: changes.length === 0 })
}

function takeAnswer (state: PublishedState, view: StoreView, answered: AnsweredStoreCall): void {
  const { call, answeredAt, changes, upTo } = answered
  const since = view.completeUntil
  recordView(view, answered)
  applyAnswer(state, call, changes, upTo, answeredAt, since)
  state.versionsCompleteAt(view.completeUntil)
  state.evacuationsCompleteAt(view.completeUntil)
}

/** Applies the changes of an answer, which were made at a time or later. */
export function applyAnswer (state: PublishedState, call: StoreCall, changes: readonly PublishedChange[], upTo: number, now: number, since: number): void {
  for (const topic of publishedTopics) {
    const topicChanges = changes.filter(change => topicOf(change) === topic)
    if (call === 'read') state.takeSnapshot(topic, topicChanges, upTo, now, since)
    else for (const change of topicChanges) state.take(change, now, since)
    state.followed(topic, upTo)
  }
}

/** Keeps the last delta until the state changes. */
function cachedDeltas (state: PublishedState): DeltaSource {
  let last: { readonly key: string, readonly delta: PublishedDelta, readonly at: number } | undefined
  return (note, now) => {
    const key = JSON.stringify([state.changeCount, note])
    if (last?.key !== key) last = { key, delta: state.deltaSince(note, now), at: now }
    return { delta: last.delta, encodedFor: now - last.at }
  }
}

/** The product's own parts. */
export const realPublishedParts: PublishedParts = {
  state: () => new PublishedState(),
  cursor: state => new StoreCursor(state, publishedTopics),
  keepsStateAcrossEpochs: true,
  countsWrites: true,
  takeAnswer,
  takeDelta: (state, { delta, encodedFor }, now, requestedAt) => { state.takeDelta(delta, now, { requestedAt, encodedFor }) },
  deltas: cachedDeltas,
  requirements: (route, organisation, tried) => ({ ...plainRequirements(tried), allowedRegions: allowedRegionsOf(route, organisation) }),
  chooser: (place, random) => new EndpointChooser(place, random)
}
