/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The typed messages between the system's processes. Each call has one request and one reply, but for `run` and `go`,
 * whose reply is followed by the parts of the answer and its end (docs/PROTOCOLS.md).
 */
import type { Admission, AdmissionRefusal, CancelReply, OfferReply } from './admission.js'
import type { ClaimReply } from './claims.js'
import type { EndpointStatus } from './choice.js'
import type { IssuedKeeper } from './issued-id.js'
import type { Lifecycle } from './lifecycle.js'
import type { SwitchProgress } from './rollout.js'
import type { SuspectNews } from './routing/attempts/suspect-requests.js'
import type { LimitNews } from './routing/limits/limit-book.js'
import type { LoadReport } from './routing/choice/endpoint-load.js'
import type { ModelVersion } from './routing/published/endpoint-record.js'
import type { PublishedNote, PublishedTopic } from './routing/published/published-change.js'
import type { SpreadDocuments, SpreadNote, Topic } from './spread.js'

/** Raised when a change to the messages would be misread by older processes. */
export const PROTOCOL_VERSION = 4

/** A caller's request as it goes to an agent, without its body. */
export interface ForwardedRequest {
  readonly id: string
  readonly organisation: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly priority: number
  /** Events of this answer that the caller has already; the endpoint goes on after them. 0 for a new answer. */
  readonly resumeAfter: number
  /** The only version that may answer; empty for any. Set when an answer is resumed. */
  readonly version: string
  /** Milliseconds that are left to it; a duration, since clocks differ. */
  readonly remaining: number
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** The manifest digest that made the answer; empty for plain services. */
  readonly version: string
}

/** A version that was named, as a process tells it to another. */
export interface NamedVersion extends ModelVersion {
  /** Milliseconds since the teller heard of it. */
  readonly age: number
}

/** How far a relay knows published state. */
export interface RelayNote {
  readonly availabilityZone: string
  /** Up to which revision of the store it has followed each topic. */
  readonly followed: PublishedNote
  /** The revision of the newest thing that it holds of each topic. */
  readonly held: PublishedNote
  /** Whether it reads the operators' documents from the store itself, and the store answers. */
  readonly fresh: boolean
}

/** Asked of a peer. `run` and `go` carry the body as the frame's payload. */
export type PeerRequest =
  | { readonly type: 'hello', readonly protocol: number, readonly instance: string, readonly key: string }
  | { readonly type: 'compare', readonly note: SpreadNote, readonly address: string }
  | { readonly type: 'push', readonly documents: SpreadDocuments }
  | { readonly type: 'chunk', readonly digest: string, readonly wait: number }
  /** `wait`: milliseconds that the peer may take to get it first. */
  | { readonly type: 'manifest', readonly digest: string, readonly wait: number }
  | { readonly type: 'offer', readonly endpoint: string }
  | { readonly type: 'claim', readonly organisation: string, readonly id: string, readonly attempt: string, readonly bodyDigest: string }
  /** Asks for what an issued id says of this keeper. */
  | { readonly type: 'issue' }
  | { readonly type: 'release', readonly organisation: string, readonly id: string, readonly attempt: string }
  | { readonly type: 'run', readonly endpoint: string, readonly request: ForwardedRequest }
  | { readonly type: 'go', readonly ticket: string, readonly request: ForwardedRequest }
  | { readonly type: 'cancel', readonly ticket: string }
  /** Stops a stream of this connection; answered by its end. */
  | { readonly type: 'hang-up', readonly call: number }
  | { readonly type: 'progress', readonly digest: string }
  | { readonly type: 'status' }
  /** Asks for what the other side knows of published state beyond `note`; of all topics if none are named. */
  | { readonly type: 'news', readonly note: PublishedNote, readonly topics?: readonly PublishedTopic[] | undefined }
  /** Asks a relay how far it knows published state, now and whenever that changes, as long as the connection lasts. */
  | { readonly type: 'follow-news' }
  /**
   * Asks for a sign at once, to measure the way there and back. One who follows the load is told it with the answer.
   *
   * `sentRate` tells an agent how many requests in a millisecond the asking entry sends to the pool, and `followed` among how many
   * engines; nothing for none.
   * `named` tells it the version that is wanted of its pool, so that not every agent has to watch the store.
   */
  | { readonly type: 'ping', readonly sentRate?: number | undefined, readonly followed?: number | undefined, readonly named?: NamedVersion | undefined }
  /** Tells an agent which requests were at endpoints that were lost, and which were answered after all; it passes on what it did not know. */
  | { readonly type: 'suspects', readonly news: SuspectNews }
  /** Tells an agent what endpoints said of the requests that they take; it passes on what it did not know. */
  | { readonly type: 'limits', readonly news: LimitNews }
  /** Asks for the load of the engine beside the agent, now and whenever it changes, as long as the connection lasts. */
  | { readonly type: 'follow-load' }
  /** Asks which chunks of a version the other side holds, now and as more come, as long as the connection lasts. */
  | { readonly type: 'follow-chunks', readonly identity: string }
  | { readonly type: 'leave', readonly incarnation: string, readonly lifecycle: Lifecycle, readonly operator: string }

/** What a process has cost its node since its start. */
export interface ProcessCost {
  readonly processorMilliseconds: number
  readonly residentBytes: number
  readonly heapBytes: number
  /** Bytes of messages between processes, sent and received, payloads not counted. */
  readonly controlBytes: number
}

/** A process's own account of itself, for operators. */
export interface ProcessStatus {
  readonly instance: string
  readonly availabilityZone: string
  readonly role: 'entry' | 'agent'
  readonly endpoint: string
  readonly incarnation: string
  readonly lifecycle: Lifecycle
  readonly revisions: Readonly<Record<Topic, number>>
  readonly ages: Readonly<Record<Topic, number>>
  readonly wanted: string
  readonly version: string
  readonly state: 'serving' | 'fetching' | 'whole' | 'switching' | 'halted' | 'failed' | 'empty'
  /** Share of the wanted version held, 0 to 1. */
  readonly progress: number
  readonly running: number
  readonly slots: number
  readonly cost: ProcessCost
  readonly detail: string
}

/** A peer's reply. A `chunk` or `manifest` reply carries the bytes as the frame's payload. */
export type PeerReply =
  | { readonly type: 'welcome', readonly instance: string }
  | { readonly type: 'documents', readonly documents: SpreadDocuments, readonly note: SpreadNote }
  | { readonly type: 'done' }
  | { readonly type: 'chunk', readonly digest: string }
  | { readonly type: 'manifest', readonly digest: string }
  /** The chunk is held or on its way here; said at once and again, so that waiting is not taken for a stall. */
  | { readonly type: 'chunk-coming' }
  | { readonly type: 'no-chunk', readonly reason: 'not-yet' | 'not-held' | 'busy' }
  | { readonly type: 'offered', readonly reply: OfferReply, readonly status: EndpointStatus }
  | { readonly type: 'issued', readonly keeper: IssuedKeeper }
  | { readonly type: 'claimed', readonly reply: ClaimReply }
  | { readonly type: 'admitted', readonly admission: Admission, readonly status: EndpointStatus }
  | { readonly type: 'cancelled', readonly reply: CancelReply }
  | { readonly type: 'progress', readonly progress: SwitchProgress }
  | { readonly type: 'status', readonly status: ProcessStatus }
  | { readonly type: 'left', readonly lifecycle: Lifecycle }
  /** The payload holds the changes, packed. */
  | { readonly type: 'news' }
  | { readonly type: 'news-note', readonly note: RelayNote }
  | { readonly type: 'load', readonly load: LoadReport }
  /** Tells those who follow the load of an engine which requests were at endpoints that were lost. */
  | { readonly type: 'suspects', readonly news: SuspectNews }
  /** Tells them what endpoints said of the requests that they take. */
  | { readonly type: 'limits', readonly news: LimitNews }
  /** Chunks that are newly held, and those that some other member holds, by their index. */
  | { readonly type: 'chunks', readonly identity: string, readonly held: readonly number[], readonly elsewhere: readonly number[] }
  /** Parts of an answer, numbered from 0; the payload is the data. */
  | { readonly type: 'head', readonly head: AnswerHead }
  | { readonly type: 'part', readonly sequence: number, readonly events: number }
  | { readonly type: 'end', readonly count: number, readonly status: EndpointStatus }
  /** No end will come. `notRun` is the agent's word that the endpoint was never reached. */
  | { readonly type: 'broken', readonly detail: string, readonly notRun: boolean, readonly status: EndpointStatus }
  | { readonly type: 'refused', readonly reason: 'malformed' | 'protocol-version' | 'wrong-key' | 'wrong-incarnation' | 'not-supported' | AdmissionRefusal, readonly detail: string }
