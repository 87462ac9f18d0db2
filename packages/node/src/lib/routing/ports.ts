/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The interfaces that a platform adapter implements for the routing daemons. The daemons themselves depend on no path, header or
 * field of any platform.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { DocumentFailure, EndpointNotice, EndpointRecord, ModelVersion, NotRunReason, OrderResult, PublishedChange, PublishedTopic, RequestFailure } from '@drumdrift/core'
import type { ChunkDigest } from '../agent/digest.js'
import type { WeightsSource } from '../platform/platform-client.js'

/** The part of the store that one read or watch covers. */
export type StoreScope = 'everything' | 'operators' | 'configuration' | 'versions' | 'endpoints' | 'evacuations'

/** The topics that a scope covers. */
export const topicsOfScope: Record<StoreScope, readonly PublishedTopic[]> = {
  everything: ['configuration', 'versions', 'endpoints', 'evacuations'],
  operators: ['configuration', 'versions', 'evacuations'],
  configuration: ['configuration'],
  versions: ['versions'],
  endpoints: ['endpoints'],
  evacuations: ['evacuations']
}

/** The properties that every answer of a store may have. */
export interface StoreAnswer {
  /**
   * Increases when the store is restored from an older backup. `undefined` if the answer does not carry it; a store that never
   * sends it stays in one epoch.
   */
  readonly epoch?: number | undefined
}

/** The store has compacted its history, or never had the requested revision. */
export interface HistoryLost extends StoreAnswer {
  readonly type: 'history-lost'
}

/** A call to the store gave no usable answer. */
export interface StoreFailure extends StoreAnswer {
  readonly type: 'store-failure'
  readonly reason: 'unreachable' | 'timed-out' | 'turned-away' | 'rate-limited' | 'malformed' | 'earlier-epoch'
  readonly detail: string
}

/** Changes from the store, up to its revision `upTo`. */
export interface StoreChanges extends StoreAnswer {
  readonly type: 'changes'
  readonly changes: readonly PublishedChange[]
  readonly upTo: number
  /** Items that could not be parsed; the others are valid. */
  readonly refused: readonly DocumentFailure[]
  /** The size of the answers that carried the changes, in bytes; `undefined` if it is not known. */
  readonly bytes?: number | undefined
}

/** How fresh a read must be. One that may be some seconds old is much cheaper for the store. */
export type ReadFreshness = 'newest' | 'may-be-old'

/** Read access to the platform's store of published state. */
export interface PublishedStore {
  /** Reads everything in a scope. */
  readWhole (scope: StoreScope, freshness: ReadFreshness): Promise<StoreChanges | StoreFailure>
  /**
   * Waits for changes after a revision.
   *
   * @param wait How long the store may hold the call, in milliseconds.
   */
  awaitChanges (scope: StoreScope, after: number, wait: number): Promise<StoreChanges | HistoryLost | StoreFailure>
}

/** The head of a caller's request, independent of the platform. */
export interface CallerHead {
  /** The ID that the caller gave this attempt; empty if it gave none. */
  readonly id: string
  readonly key: string | undefined
  /** How long the caller will wait, in milliseconds. */
  readonly patience: number | undefined
  /** The last event that the caller received from an earlier answer. */
  readonly lastEventId: string | undefined
  /** Empty for requests that need no model. */
  readonly model: string
  readonly promptTokens: number
  /** IDs of the parts of the prompt that other requests may share, in order. A part that only this request has is left out. */
  readonly promptParts: readonly string[]
  /** The answer length that the caller expects, in tokens; 0 if it does not give one. */
  readonly answerTokens: number
  /** Headers that are passed to the endpoint unchanged, as alternating names and values. */
  readonly headers: readonly string[]
}

/** What the entry adds to a request that it sends to an endpoint. */
export interface SendTerms {
  readonly endpoint: EndpointRecord
  /** The time after which the endpoint should stop working on the request, in milliseconds. */
  readonly remaining: number
  readonly organisation: string | undefined
  /** The version of the weights that must answer; 0 for any. */
  readonly version: number
  /** The last event that the caller has; `undefined` for a new answer. */
  readonly resumeAfter: string | undefined
  /** The order in the endpoint's queue, 0 (first) to 9; `undefined` if it is not to be told. */
  readonly urgency?: number | undefined
}

/** The head of an endpoint's answer, independent of the platform. */
export type EndpointHead =
  /** The endpoint states that it did not run the request and never will. */
  | { readonly type: 'not-run', readonly reason: NotRunReason }
  /** The answer belongs to another request, or does not come from an endpoint. */
  | { readonly type: 'foreign', readonly detail: string }
  | {
    readonly type: 'answer'
    readonly status: number
    /** Headers for the caller, as alternating names and values. */
    readonly headers: readonly string[]
    readonly eventStream: boolean
  }

/** The head of an answer that is passed on to the caller. */
export type AnswerHead = Extract<EndpointHead, { type: 'answer' }>

/** An answer that the entry gives itself. */
export interface LocalAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: string
}

/** The HTTP conventions of the platform's callers and endpoints. */
export interface Dialect {
  /** The path of the balancer's readiness probe. */
  readonly readinessPath: string
  readCaller (headers: IncomingHttpHeaders, rawHeaders: readonly string[]): CallerHead
  /** Returns the headers of a request to an endpoint. */
  writeRequest (head: CallerHead, terms: SendTerms, bodyLength: number): string[]
  readEndpoint (id: string, status: number, headers: IncomingHttpHeaders, rawHeaders: readonly string[]): EndpointHead
  /** Parses the endpoint's notices. They apply even if the answer belongs to another request or to none. */
  readNotice (status: number, headers: IncomingHttpHeaders): EndpointNotice
  writeFailure (id: string, failure: RequestFailure): LocalAnswer
}

/** The status of the engine of an agent. */
export interface EngineReport {
  /** Distinguishes the starts of the engine; `undefined` if it does not report it. See `EndpointRecord`. */
  readonly born?: number | undefined
  readonly running: number
  readonly waiting: number
  /** The tokens of the running requests: their prompts and the output so far. */
  readonly contextTokens: number
  /** The loaded versions. */
  readonly models: readonly ModelVersion[]
  /** Whether the engine is carrying out an order. */
  readonly busy: boolean
  /** The factor by which the engine is slower than its description; 1 if it is as fast as described. */
  readonly pace: number
  /** The number of orders that the engine has taken since it started; `undefined` if it does not report it. */
  readonly sequence?: number | undefined
}

/** The result of a write to a staging area. `unanswered`: it may have taken effect, or may do so later. */
export type WriteResult = 'written' | 'refused' | 'unanswered'

/** The memory from which an engine loads a version, with one place for each of its chunks. The engine does not verify it. */
export interface StagingArea {
  /** Returns the places that hold a chunk, or `undefined` if the engine cannot be reached. */
  occupiedPlaces (): Promise<readonly number[] | undefined>
  /**
   * Returns the bytes at a place, or `undefined` if there are none.
   *
   * @param maxBytes The size of the expected chunk, if it is known. More bytes are not read.
   */
  read (place: number, maxBytes?: number): Promise<Buffer | undefined>
  /** Overwrites a place. */
  write (place: number, bytes: Buffer): Promise<WriteResult>
}

/** Caches manifests in the product's format, by the identity of their version. */
export interface ManifestStore {
  add (identity: string, bytes: Buffer): void
  manifest (identity: string): Buffer | undefined
}

/** The engine of an agent, on the same instance. */
export interface LoadableEngine extends StagingArea {
  /** Sets the model whose chunks are staged. */
  useModel (model: string): void
  /** Returns the status of the engine, or `undefined` if it cannot be reached. */
  report (): Promise<EngineReport | undefined>
  /**
   * Orders the engine to load the staged version once its running requests have ended.
   *
   * @param expectedSequence The number of orders that the engine must have taken so far; it refuses the order otherwise.
   */
  order (wanted: ModelVersion, expectedSequence?: number): Promise<OrderResult>
}

/** The platform adapter of a weights agent. */
export interface WeightsPlatform {
  readonly store: PublishedStore
  readonly engine: LoadableEngine
  readonly manifests: ManifestStore
  /** The origin of the weights. Its address may change with the configuration. */
  readonly source: WeightsSource & { setOrigin (address: string): void }
  /** How manifests identify chunks. */
  readonly chunkDigest: ChunkDigest
  /** Whether bytes are the manifest of the version with an identity. */
  readonly manifestMatches: (identity: string, bytes: Buffer) => boolean
}

/** The platform adapter of a route entry. */
export interface RoutingPlatform {
  readonly store: PublishedStore
  readonly dialect: Dialect
}

/**
 * Returns the identity of a numbered version, which identifies its manifest where other platforms use a digest.
 *
 * @example
 * identityOf({ model: 'drafting', version: 2 }) // 'drafting@2'
 */
export function identityOf ({ model, version }: ModelVersion): string { return `${model}@${version}` }
