/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What is published, as processes take it from the platform's store and tell it to each other. */
import type { EndpointRecord, ModelVersion } from './endpoint-record.js'
import type { RoutingConfiguration } from './routing-configuration.js'

/** Parts of what is published. */
export type PublishedTopic = 'configuration' | 'versions' | 'endpoints'
export const publishedTopics: readonly PublishedTopic[] = ['configuration', 'versions', 'endpoints']

/** One change of one item. */
export type PublishedChange =
  | { readonly type: 'configuration', readonly revision: number, readonly configuration: RoutingConfiguration }
  /** `age`: milliseconds since the teller heard of it, in news between processes; nothing where that is not known. */
  | { readonly type: 'wanted-version', readonly revision: number, readonly wanted: ModelVersion, readonly age?: number | undefined }
  | { readonly type: 'endpoint', readonly revision: number, readonly record: EndpointRecord }
  /** `certain`: it names no endpoint to use any more, whatever became of the store meanwhile; otherwise it may only have lapsed. */
  | { readonly type: 'endpoint-gone', readonly revision: number, readonly id: string, readonly certain?: boolean | undefined }

/** How far a process has followed each topic: the store's revision up to which it has seen every change. */
export interface PublishedNote extends Readonly<Record<PublishedTopic, number>> {
  /** A store that is restored from an older copy begins another epoch. Revisions are compared within one only. */
  readonly epoch: number
}

/** Changes on their way to a peer. */
export interface PublishedDelta {
  readonly upTo: PublishedNote
  /** The revision of the newest thing that the teller holds of each topic; 0 for those that it was not asked for. */
  readonly held: PublishedNote
  readonly changes: readonly PublishedChange[]
  /** Topics that `changes` holds in whole: what it lacks of them is gone. */
  readonly whole: readonly PublishedTopic[]
}

const topicsOfChanges: Record<PublishedChange['type'], PublishedTopic> = {
  configuration: 'configuration',
  'wanted-version': 'versions',
  endpoint: 'endpoints',
  'endpoint-gone': 'endpoints'
}

/** The topic that a change belongs to. */
export function topicOf (change: PublishedChange): PublishedTopic { return topicsOfChanges[change.type] }
