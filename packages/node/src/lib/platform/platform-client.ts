/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Reads what the platform publishes: configuration, instance list, weight store and origin. Never writes to it. The paths
 * are in docs/PROTOCOLS.md.
 */
import type { Published, Topic } from '@drumdrift/core'
import type { ReadPacer } from '../peer/connection.js'
import { requestHttp, type HttpAnswer } from './http-client.js'

/** A service of the platform that weights can be fetched from. */
export type Upstream = 'store' | 'origin'

/** Fetches weights from the platform when no peer has them. */
export interface WeightsSource {
  /** Returns the bytes of a chunk or manifest without verifying them, or `undefined` if they cannot be fetched. */
  weights (upstream: Upstream, kind: 'chunks' | 'manifests', digest: string, timeout: number, signal?: AbortSignal): Promise<Buffer | undefined>
}

/** The platform that a process reads from. */
export interface Platform extends WeightsSource {
  /** Returns the newest document, or `unchanged` if its revision is not above `after`. */
  read (topic: Topic, after: number, watch: boolean): Promise<Published | 'unchanged' | 'unreachable'>
}

/** The addresses of the platform's services. */
export interface PlatformAddresses {
  readonly configuration: string
  readonly instances: string
  readonly store: string
  readonly origin: string
}

/** The timeout of a read, in milliseconds; that of a watch is added to it. */
const READ_TIMEOUT = 1_500
/** How long the service may hold the request of a watch open, in milliseconds. */
const MAX_WATCH_WAIT = 2_500
const MAX_DOCUMENT_BYTES = 2 * 1024 * 1024

/** A platform that is read over HTTP. */
export class HttpPlatform implements Platform {
  constructor (private readonly _addresses: PlatformAddresses, private readonly _pacer?: ReadPacer) {}

  async read (topic: Topic, after: number, watch: boolean): Promise<Published | 'unchanged' | 'unreachable'> {
    const wait = watch ? MAX_WATCH_WAIT : 0
    try {
      const answer = await requestHttp(this._addresses[topic], {
        path: `/${topic}?after=${after}&wait=${wait}`, timeout: READ_TIMEOUT + wait, maxBytes: MAX_DOCUMENT_BYTES
      })
      return readDocument(answer)
    } catch {
      return 'unreachable'
    }
  }

  async weights (upstream: Upstream, kind: 'chunks' | 'manifests', digest: string, timeout: number, signal?: AbortSignal): Promise<Buffer | undefined> {
    try {
      const answer = await requestHttp(this._addresses[upstream], { path: `/${kind}/${digest}`, timeout, signal, pacer: this._pacer })
      return answer.status === 200 ? answer.body : undefined
    } catch {
      return undefined
    }
  }
}

function readDocument (answer: HttpAnswer): Published | 'unchanged' | 'unreachable' {
  if (answer.status === 304) return 'unchanged'
  if (answer.status !== 200) return 'unreachable'
  const value: unknown = JSON.parse(answer.body.toString('utf8'))
  return isPublished(value) ? value : 'unreachable'
}

function isPublished (value: unknown): value is Published {
  if (typeof value !== 'object' || value === null) return false
  const candidate = value as Partial<Published>
  return typeof candidate.source === 'string' && typeof candidate.revision === 'number' && 'document' in candidate
}
