/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Changes of published state, as processes read them from the platform's store and exchange them with peers. */
import type { EndpointRecord, ModelVersion } from './endpoint-record.js'
import type { RoutingConfiguration } from './routing-configuration.js'

/** Topics of published state, which are followed separately. */
export type PublishedTopic = 'configuration' | 'versions' | 'endpoints' | 'evacuations'
export const publishedTopics: readonly PublishedTopic[] = ['configuration', 'versions', 'endpoints', 'evacuations']

/** A change of one item. */
export type PublishedChange =
  | { readonly type: 'configuration', readonly revision: number, readonly configuration: RoutingConfiguration }
  /**
   * `age`: milliseconds since some process first received the version. `maxAge`: milliseconds since the version is known not to have
   * been published; `undefined` if that is unknown. Both are set in changes from a peer, and count from when the peer sent them.
   */
  | { readonly type: 'wanted-version', readonly revision: number, readonly wanted: ModelVersion, readonly age?: number | undefined, readonly maxAge?: number | undefined }
  | { readonly type: 'endpoint', readonly revision: number, readonly record: EndpointRecord }
  /**
   * `certain`: the endpoint must not be used any more, even if the store was unavailable; otherwise its entry may only have expired.
   * `keptFor`: how long a peer still keeps the endpoint, because the entry may have expired in an outage of the store, in milliseconds
   * since the peer sent the change; `undefined` if the peer has removed it.
   * `successor`: the endpoint that has taken its address, set in effective changes only.
   */
  | { readonly type: 'endpoint-gone', readonly revision: number, readonly id: string, readonly certain?: boolean | undefined, readonly keptFor?: number | undefined, readonly successor?: string | undefined }
  /** The operators have evacuated an availability zone: its endpoints are sent no new requests. */
  | { readonly type: 'evacuation', readonly revision: number, readonly zone: string }
  /**
   * `age`: milliseconds since the evacuation ended, set in changes from a peer and in effective changes; `undefined` if the change was
   * received just now.
   */
  | { readonly type: 'evacuation-ended', readonly revision: number, readonly zone: string, readonly age?: number | undefined }

/** The store's revision, by topic, up to which a process has received every change. */
export interface PublishedRevisions extends Readonly<Record<PublishedTopic, number>> {
  /** A store that is restored from an older copy begins a new epoch. Revisions are comparable only within an epoch. */
  readonly epoch: number
}

/** Changes that are sent to a peer. */
export interface PublishedDelta {
  readonly upTo: PublishedRevisions
  /** The newest revision that the sender holds of each topic; 0 for topics that were not requested. */
  readonly held: PublishedRevisions
  readonly changes: readonly PublishedChange[]
  /** Topics of which `changes` is a complete snapshot: items that are missing from it have been removed. */
  readonly whole: readonly PublishedTopic[]
}

const topicByChangeType: Record<PublishedChange['type'], PublishedTopic> = {
  configuration: 'configuration',
  'wanted-version': 'versions',
  endpoint: 'endpoints',
  'endpoint-gone': 'endpoints',
  evacuation: 'evacuations',
  'evacuation-ended': 'evacuations'
}

/** Returns the topic of a change. */
export function topicOf (change: PublishedChange): PublishedTopic { return topicByChangeType[change.type] }

/**
 * Returns revisions that a peer sent, with 0 for topics that it does not know. Processes of an earlier release send no revision of
 * evacuations.
 *
 * @example
 * state.deltaSince(completeRevisions(request.note), performance.now())
 */
export function completeRevisions (revisions: Partial<PublishedRevisions>): PublishedRevisions {
  const { epoch = 0, configuration = 0, versions = 0, endpoints = 0, evacuations = 0 } = revisions
  return { epoch, configuration, versions, endpoints, evacuations }
}
