/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Reads what the platform publishes: configuration, instance list, weight store and origin. Nothing is ever written
 * there. The paths are in docs/PROTOCOLS.md.
 */
import type { Published, Topic } from '@drumdrift/core'
import type { ReadPacer } from '../peer/connection.js'
import { askHttp, type HttpAnswer } from './http-client.js'

/** A source of weights on the platform. */
export type Upstream = 'store' | 'origin'

/** Where weights come from when no peer has them. */
export interface WeightsSource {
  /** A chunk or manifest by digest, or nothing when it could not be had. Not verified. */
  weights (upstream: Upstream, kind: 'chunks' | 'manifests', digest: string, timeout: number, signal?: AbortSignal): Promise<Buffer | undefined>
}

/** Reads of the platform, as the rest of the system sees them. */
export interface Platform extends WeightsSource {
  /** The newest document, or `unchanged` when there is none above `after`. */
  read (topic: Topic, after: number, watch: boolean): Promise<Published | 'unchanged' | 'unreachable'>
}

/** Addresses of the platform's services. */
export interface PlatformAddresses {
  readonly configuration: string
  readonly instances: string
  readonly store: string
  readonly origin: string
}

const READ_TIMEOUT = 1_500
/** How long the service may hold a watch, in milliseconds. */
const WATCH_WAIT = 2_500
const LARGEST_DOCUMENT = 2 * 1024 * 1024

/** The platform over HTTP. */
export class HttpPlatform implements Platform {
  constructor (private readonly _addresses: PlatformAddresses, private readonly _pacer?: ReadPacer) {}

  async read (topic: Topic, after: number, watch: boolean): Promise<Published | 'unchanged' | 'unreachable'> {
    const wait = watch ? WATCH_WAIT : 0
    try {
      const answer = await askHttp(this._addresses[topic], {
        path: `/${topic}?after=${after}&wait=${wait}`, timeout: READ_TIMEOUT + wait, largest: LARGEST_DOCUMENT
      })
      return readDocument(answer)
    } catch {
      return 'unreachable'
    }
  }

  async weights (upstream: Upstream, kind: 'chunks' | 'manifests', digest: string, timeout: number, signal?: AbortSignal): Promise<Buffer | undefined> {
    try {
      const answer = await askHttp(this._addresses[upstream], { path: `/${kind}/${digest}`, timeout, signal, pacer: this._pacer })
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
