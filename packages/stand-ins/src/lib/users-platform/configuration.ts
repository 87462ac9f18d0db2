/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Configuration of a small deployment, in the format of the users' platform. */
import { PIECE_BYTES, PIECES } from './weights-origin.js'

const ORIGIN_MEGABITS_PER_SECOND = 10
/** Timeout of the routes of `movingConfiguration` that lead to streams and large answers, longer than the bound of a version in deployments that use it. */
export const LONG_TIMEOUT_MILLISECONDS = 5_000

const engine = {
  slots: 16, stride: 5, step_ms: 9, per_seq_ms: 0.02, context_per_k: 0.03, read_per_s: 20_000, chunk: 2_048, usual: { prompt: 900, answer: 90 }, models: [{ name: 'm', warmS: 0.3 }], layers: 16, chunks: 4, chunkBytes: 8
}

/** Returns the configuration of the small deployment. Fields of `part` override the defaults. */
export function wireConfiguration (version: number, part: Record<string, unknown> = {}): Record<string, unknown> {
  const route = { host: 'halls.example', timeoutMs: 2_000, targetLatencyMs: 400, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false }
  return {
    version,
    routes: [
      { ...route, name: 'safe', pathPrefix: '/safe/', kind: 'safe', service: 'desk' },
      { ...route, name: 'unsafe', pathPrefix: '/unsafe/', kind: 'unsafe', service: 'desk' },
      { ...route, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', service: 'pool', resumable: true, gapAimMs: 400 },
      { ...route, name: 'patient-stream', pathPrefix: '/patient-stream/', kind: 'streaming', service: 'pool', resumable: true, gapAimMs: 400, maxAttempts: 3 },
      { ...route, name: 'short', pathPrefix: '/short/', kind: 'unsafe', service: 'desk', timeoutMs: 200 }
    ],
    services: [
      { name: 'desk', healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false },
      { name: 'pool', healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false, engine }
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 64, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'branch', apiKeys: ['key-1'] }],
    ...part
  }
}

/**
 * Returns the configuration with long timeouts, distant objectives and one attempt for each request, and engines of some slots. On a busy
 * machine, refusals and retries would make the requests of two runs cost different work.
 */
export function tolerantConfiguration (version: number, slots: number): Record<string, unknown> {
  const base = wireConfiguration(version)
  const routes = (base.routes as object[]).map(route => ({ ...route, timeoutMs: LONG_TIMEOUT_MILLISECONDS, targetLatencyMs: LONG_TIMEOUT_MILLISECONDS / 2, maxAttempts: 1 }))
  const services = (base.services as Record<string, unknown>[]).map(service => service.engine === undefined ? service : { ...service, engine: { ...engine, slots } })
  return { ...base, routes, services }
}

/** Parameters of `movingConfiguration`. */
export interface MovingOptions {
  readonly version: number
  /** Target service of the route `moving`: `desk` or `archive`. */
  readonly movingTo: string
  /** API keys that callers may use. */
  readonly keys: readonly string[]
  /** Address of the origin of weights. */
  readonly origin: string
}

/** Returns the configuration with an origin of weights and three more routes: one moves between two services, streams of another wait for their first event at one endpoint, and one leaves time for large answers. */
export function movingConfiguration ({ version, movingTo, keys, origin }: MovingOptions): Record<string, unknown> {
  const base = wireConfiguration(version, { tenants: [{ name: 'branch', apiKeys: keys }] })
  const routes = (base.routes as Record<string, unknown>[]).map(route => route.kind === 'streaming' ? { ...route, timeoutMs: LONG_TIMEOUT_MILLISECONDS } : route)
  const [desk, pool] = base.services as Record<string, unknown>[]
  const moving = { ...routes[0], name: 'moving', pathPrefix: '/moving/', service: movingTo }
  const large = { ...routes[0], name: 'large', pathPrefix: '/large/', timeoutMs: LONG_TIMEOUT_MILLISECONDS }
  const waitingStream = { ...routes.find(({ name }) => name === 'stream'), name: 'waiting-stream', pathPrefix: '/waiting-stream/', maxAttempts: 1 }
  const services = [
    desk,
    { ...desk, name: 'archive' },
    { ...pool, engine: { ...engine, chunks: PIECES, chunkBytes: PIECE_BYTES } },
    { name: 'weights', origin, zone: 'koshi', linkMbps: ORIGIN_MEGABITS_PER_SECOND, maxConns: 48 }
  ]
  return { ...base, routes: [...routes, moving, large, waitingStream], services }
}
