/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The typed messages between the processes of the system. Each call has one request and one reply, except `run` and
 * `go`, whose reply is followed by the parts of the answer and its end (docs/PROTOCOLS.md).
 */
import type { Admission, AdmissionRefusal, CancelReply, OfferReply } from './admission.js'
import type { ClaimReply } from './claims.js'
import type { EndpointStatus } from './choice.js'
import type { IssuedKeeper } from './issued-id.js'
import type { Lifecycle } from './lifecycle.js'
import type { SwitchProgress } from './rollout.js'
import type { SuspectNews } from './routing/attempts/suspect-news.js'
import type { ColdNews } from './routing/limits/cold-news.js'
import type { LimitNews } from './routing/limits/limit-statements.js'
import type { LoadReport } from './routing/choice/endpoint-load.js'
import type { EvidenceReport } from './routing/choice/told-results.js'
import type { ModelVersion } from './routing/published/endpoint-record.js'
import type { PublishedRevisions, PublishedTopic } from './routing/published/published-change.js'
import type { SpreadDocuments, SpreadNote, Topic } from './spread.js'

/** The protocol version, incremented for each change to the messages that older processes would misinterpret. */
export const PROTOCOL_VERSION = 4

/** A caller's request as forwarded to an agent, without its body. */
export interface ForwardedRequest {
  readonly id: string
  readonly organisation: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly priority: number
  /**
   * The number of events of this answer that the caller already has; the endpoint resumes after them. 0 for a new
   * answer.
   */
  readonly resumeAfter: number
  /** The only version that may answer; empty if any may. Set when an answer is resumed. */
  readonly version: string
  /** Milliseconds until the deadline; a duration, since clocks differ between machines. */
  readonly remaining: number
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** The manifest digest of the version that produced the answer; empty for plain services. */
  readonly version: string
}

/** A named version, as sent from one process to another. */
export interface NamedVersion extends ModelVersion {
  /** Milliseconds since some process first received it. */
  readonly age: number
}

/**
 * Returns a named version as a peer sent it, or `undefined` if it is malformed.
 *
 * @example
 * const named = readNamedVersion(reply.named)
 */
export function readNamedVersion (input: unknown): NamedVersion | undefined {
  const { model, version, age } = (input ?? {}) as Partial<NamedVersion>
  const isValid = typeof model === 'string' && Number.isFinite(version) && Number.isFinite(age)
  return isValid ? { model, version: Number(version), age: Math.max(0, Number(age)) } : undefined
}

/** The revisions of published state that a relay holds. */
export interface RelayNote {
  readonly availabilityZone: string
  /** The store revision up to which it has followed each topic. */
  readonly followed: PublishedRevisions
  /** The revision of the newest document that it holds for each topic. */
  readonly held: PublishedRevisions
  /** Whether it reads the operators' documents directly from the store and the store responds. */
  readonly fresh: boolean
  /** Milliseconds since the relay is known to have received every version published until then; absent if that is unknown. */
  readonly versionsAge?: number | undefined
}

/** A request to a peer. `run` and `go` carry the body as the frame's payload. */
export type PeerRequest =
  | { readonly type: 'hello', readonly protocol: number, readonly instance: string, readonly key: string }
  | { readonly type: 'compare', readonly note: SpreadNote, readonly address: string }
  | { readonly type: 'push', readonly documents: SpreadDocuments }
  | { readonly type: 'chunk', readonly digest: string, readonly wait: number }
  /** `wait`: how many milliseconds the peer may take to fetch the manifest first. */
  | { readonly type: 'manifest', readonly digest: string, readonly wait: number }
  | { readonly type: 'offer', readonly endpoint: string }
  | { readonly type: 'claim', readonly organisation: string, readonly id: string, readonly attempt: string, readonly bodyDigest: string }
  /** Requests the data that an issued id contains about this keeper. */
  | { readonly type: 'issue' }
  | { readonly type: 'release', readonly organisation: string, readonly id: string, readonly attempt: string }
  | { readonly type: 'run', readonly endpoint: string, readonly request: ForwardedRequest }
  | { readonly type: 'go', readonly ticket: string, readonly request: ForwardedRequest }
  | { readonly type: 'cancel', readonly ticket: string }
  /** Cancels a stream of this connection; the end of the stream is the reply. */
  | { readonly type: 'hang-up', readonly call: number }
  | { readonly type: 'progress', readonly digest: string }
  | { readonly type: 'status' }
  /** Requests published state newer than `note`, of the given topics or of all topics if none are given. */
  | { readonly type: 'news', readonly note: PublishedRevisions, readonly topics?: readonly PublishedTopic[] | undefined }
  /**
   * Subscribes to the revisions of published state that a relay holds, for the lifetime of the connection. An entry names its availability zone, to
   * receive what others of the zone report of endpoints too.
   */
  | { readonly type: 'follow-news', readonly availabilityZone?: string | undefined }
  /** Reports results of requests to plain endpoints. The relay passes them on to the other entries of the zone. */
  | { readonly type: 'endpoint-evidence', readonly availabilityZone: string, readonly reports: readonly EvidenceReport[] }
  /**
   * Requests an immediate reply, to measure the round-trip time. A subscriber to the load also receives it with the reply.
   *
   * `sentRate` is the number of requests per millisecond that the sending entry sends to the pool, and `followed` the number of
   * engines among which it distributes them; both are absent if there are none.
   * `named` is the version wanted for the agent's pool, so that not every agent has to watch the store.
   */
  | { readonly type: 'ping', readonly sentRate?: number | undefined, readonly followed?: number | undefined, readonly named?: NamedVersion | undefined }
  /**
   * Reports requests that were in flight at lost endpoints, and those that were answered after all. The agent forwards
   * what is new to it.
   */
  | { readonly type: 'suspects', readonly news: SuspectNews }
  /** Reports the request limits, and the remaining cold times, that endpoints announced. The agent forwards what is new to it. */
  | { readonly type: 'limits', readonly news: LimitNews, readonly cold?: ColdNews | undefined }
  /** Subscribes to the load of the agent's engine, for the lifetime of the connection. */
  | { readonly type: 'follow-load' }
  /** Subscribes to the set of chunks of a version that the peer holds, for the lifetime of the connection. */
  | { readonly type: 'follow-chunks', readonly identity: string }
  | { readonly type: 'leave', readonly incarnation: string, readonly lifecycle: Lifecycle, readonly operator: string }

/** The resources that a process has used since its start. */
export interface ProcessCost {
  readonly processorMilliseconds: number
  readonly residentBytes: number
  readonly heapBytes: number
  /** Bytes of messages sent to and received from other processes, excluding payloads. */
  readonly controlBytes: number
}

/** The status that a process reports to operators. */
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
  /** The fraction of the wanted version that is held, from 0 to 1. */
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
  /** `named`: in the reply to a ping, the version wanted of the agent's pool. */
  | { readonly type: 'done', readonly named?: NamedVersion | undefined }
  | { readonly type: 'chunk', readonly digest: string }
  | { readonly type: 'manifest', readonly digest: string }
  /**
   * The chunk is held or being fetched. Sent immediately and then periodically, so that the receiver does not assume a
   * stall.
   */
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
  /** The payload contains the packed changes. `encodedFor`: milliseconds since they were encoded; their ages count from then. */
  | { readonly type: 'news', readonly encodedFor?: number | undefined }
  | { readonly type: 'news-note', readonly note: RelayNote }
  /** Results that other entries of the follower's zone have reported. */
  | { readonly type: 'endpoint-evidence', readonly reports: readonly EvidenceReport[] }
  /** `named`: see `done`. */
  | { readonly type: 'load', readonly load: LoadReport, readonly named?: NamedVersion | undefined }
  /** Reports to load subscribers which requests were in flight at lost endpoints. */
  | { readonly type: 'suspects', readonly news: SuspectNews }
  /** Reports to load subscribers the request limits, and the remaining cold times, that endpoints announced. */
  | { readonly type: 'limits', readonly news: LimitNews, readonly cold?: ColdNews | undefined }
  /**
   * The indexes of chunks that are newly held, and of those that some other member holds. `verified`: the digest of the manifest, once all
   * of its chunks are held.
   */
  | { readonly type: 'chunks', readonly identity: string, readonly held: readonly number[], readonly elsewhere: readonly number[], readonly verified?: string | undefined }
  /** Parts of an answer, numbered from 0. The payload is the data. */
  | { readonly type: 'head', readonly head: AnswerHead }
  | { readonly type: 'part', readonly sequence: number, readonly events: number }
  | { readonly type: 'end', readonly count: number, readonly status: EndpointStatus }
  /** The stream was aborted and no end follows. With `notRun`, the agent asserts that the endpoint was never reached. */
  | { readonly type: 'broken', readonly detail: string, readonly notRun: boolean, readonly status: EndpointStatus }
  | { readonly type: 'refused', readonly reason: 'malformed' | 'protocol-version' | 'wrong-key' | 'wrong-incarnation' | 'not-supported' | AdmissionRefusal, readonly detail: string }
