/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What the routing daemons need of the platform that they run on. An adapter implements these; the daemons know no
 * path, header or field of any platform.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { DocumentFailure, EndpointNotice, EndpointRecord, ModelVersion, NotRunReason, OrderResult, PublishedChange, PublishedTopic, RequestFailure } from '@drumdrift/core'
import type { ChunkDigest } from '../agent/digest.js'
import type { ChunkStaging } from '../agent/engine-client.js'
import type { WeightsSource } from '../platform/platform-client.js'

/** What one reading or watch of the store covers. */
export type StoreScope = 'everything' | 'operators' | 'configuration' | 'versions' | 'endpoints'

/** The topics that a scope covers. */
export const topicsOfScope: Record<StoreScope, readonly PublishedTopic[]> = {
  everything: ['configuration', 'versions', 'endpoints'],
  operators: ['configuration', 'versions'],
  configuration: ['configuration'],
  versions: ['versions'],
  endpoints: ['endpoints']
}

/** What each answer of a store may tell of it. */
export interface StoreAnswer {
  /**
   * Rises when the store comes back from an older copy of itself. Nothing where it is not told; a store that never tells it is in one
   * epoch all the time.
   */
  readonly epoch?: number | undefined
}

/** The store forgot its history, or never had the revision that was named. */
export interface HistoryLost extends StoreAnswer {
  readonly type: 'history-lost'
}

/** Why the store gave no answer that can be used. */
export interface StoreFailure extends StoreAnswer {
  readonly type: 'store-failure'
  readonly reason: 'unreachable' | 'timed-out' | 'turned-away' | 'malformed' | 'earlier-epoch'
  readonly detail: string
}

/** Changes as the store tells them, up to its revision `upTo`. */
export interface StoreChanges extends StoreAnswer {
  readonly type: 'changes'
  readonly changes: readonly PublishedChange[]
  readonly upTo: number
  /** Items that could not be read; the others count. */
  readonly refused: readonly DocumentFailure[]
  /** Bytes of the answers that told them; nothing where that is not known. */
  readonly bytes?: number | undefined
}

/** How new a reading must be. One that may be some seconds old is much cheaper for the store. */
export type ReadFreshness = 'newest' | 'may-be-old'

/** The platform's store of published state. It is only read. */
export interface PublishedStore {
  /** Everything that a scope holds. */
  readWhole (scope: StoreScope, freshness: ReadFreshness): Promise<StoreChanges | StoreFailure>
  /**
   * Waits for changes after a revision.
   *
   * @param wait Milliseconds that the store may hold the call.
   */
  awaitChanges (scope: StoreScope, after: number, wait: number): Promise<StoreChanges | HistoryLost | StoreFailure>
}

/** The head of a caller's request, in the product's terms. */
export interface CallerHead {
  /** The caller's name for this attempt; empty when it gave none. */
  readonly id: string
  readonly key: string | undefined
  /** Milliseconds that the caller will wait. */
  readonly patience: number | undefined
  /** The last event that the caller has of an earlier answer. */
  readonly lastEventId: string | undefined
  /** Empty for requests that need no model. */
  readonly model: string
  readonly promptTokens: number
  /** What the caller expects of the answer's length, in tokens; 0 when it does not say. */
  readonly answerTokens: number
  /** Headers that go to the endpoint as they are, as name, value, name, value. */
  readonly headers: readonly string[]
}

/** What the system adds when it sends a request to an endpoint. */
export interface SendTerms {
  readonly endpoint: EndpointRecord
  /** Milliseconds after which the endpoint is to stop work. */
  readonly remaining: number
  readonly organisation: string | undefined
  /** The weights that must answer; 0 for any. */
  readonly version: number
  /** The last event that the caller has; nothing for a new answer. */
  readonly resumeAfter: string | undefined
}

/** The head of an endpoint's answer, in the product's terms. */
export type EndpointHead =
  /** It says that it did not run the request and never will. */
  | { readonly type: 'not-run', readonly reason: NotRunReason }
  /** It answers another request, or is no answer of an endpoint. */
  | { readonly type: 'foreign', readonly detail: string }
  | {
    readonly type: 'answer'
    readonly status: number
    /** Headers for the caller, as name, value, name, value. */
    readonly headers: readonly string[]
    readonly eventStream: boolean
  }

/** The head of an answer that is for the caller. */
export type AnswerHead = Extract<EndpointHead, { type: 'answer' }>

/** An answer of the system's own. */
export interface OwnAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: string
}

/** How callers and endpoints speak. */
export interface Dialect {
  /** The path at which the balancer asks whether this process takes callers. */
  readonly readinessPath: string
  readCaller (headers: IncomingHttpHeaders, rawHeaders: readonly string[]): CallerHead
  /** Headers of a request to an endpoint. */
  writeRequest (head: CallerHead, terms: SendTerms, bodyLength: number): string[]
  readEndpoint (id: string, status: number, headers: IncomingHttpHeaders, rawHeaders: readonly string[]): EndpointHead
  /** Also for answers that are nobody's: what an endpoint says of itself holds whoever it answers. */
  readNotice (status: number, headers: IncomingHttpHeaders): EndpointNotice
  writeFailure (id: string, failure: RequestFailure): OwnAnswer
}

/** What the engine beside an agent says of itself. */
export interface EngineReport {
  /** Tells the starts of the engine apart; nothing where it does not say. See `EndpointRecord`. */
  readonly born?: number | undefined
  readonly running: number
  readonly waiting: number
  /** Tokens held for the running requests: their prompts, and what has been written. */
  readonly contextTokens: number
  /** Versions that are loaded. */
  readonly models: readonly ModelVersion[]
  /** Whether it carries out an order. */
  readonly busy: boolean
  /** How much slower than described it works; 1 as described. */
  readonly pace: number
}

/** The engine beside an agent. */
export interface LoadableEngine extends ChunkStaging {
  /** Sets the model whose chunks are staged. */
  useModel (model: string): void
  /** Nothing when the engine cannot be reached. */
  report (): Promise<EngineReport | undefined>
  /** Orders the engine to take the version that is staged, once what runs has ended. */
  order (wanted: ModelVersion): Promise<OrderResult>
}

/** Everything that a weights agent needs of its platform. */
export interface WeightsPlatform {
  readonly store: PublishedStore
  readonly engine: LoadableEngine
  /** The origin at an address; it may change with the configuration. */
  readonly source: WeightsSource & { setOrigin (address: string): void }
  /** How manifests name chunks. */
  readonly chunkDigest: ChunkDigest
  /** Whether bytes are the manifest of a version. */
  readonly manifestMatches: (identity: string, bytes: Buffer) => boolean
}

/** Everything that a route entry needs of its platform. */
export interface RoutingPlatform {
  readonly store: PublishedStore
  readonly dialect: Dialect
}

/**
 * The name of a numbered version, which stands for its manifest where other platforms have a digest.
 *
 * @example
 * identityOf({ model: 'drafting', version: 2 }) // 'drafting@2'
 */
export function identityOf ({ model, version }: ModelVersion): string { return `${model}@${version}` }
