/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What operators configure for requests that go straight to endpoints: routes, services, organisations and limits.
 * All times are in milliseconds.
 */

/** Whether a request may run again: `safe` ones may, `unsafe` ones may not, `streaming` ones only where resumable. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming'

/** One of the services that a route is shared over. */
export interface RouteTarget {
  readonly service: string
  /** Its share of the route's requests, relative to the other targets. */
  readonly weight: number
}

/** Requests of one host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** The longest that a request may be held before its final answer. */
  readonly timeout: number
  /** The wanted time to the answer, or to the first event of a stream. */
  readonly objective: number
  /** The longest wanted pause between two events of a stream; 0 where none is named. */
  readonly gapObjective: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Endpoints that one request may be sent to. */
  readonly maxAttempts: number
  /** Whether callers need no key. */
  readonly open: boolean
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean
  readonly targets: readonly RouteTarget[]
}

/** A model that a pool's engines can hold. */
export interface PoolModel {
  readonly name: string
  /** Time from the end of the old version's work to the first token of the new one. */
  readonly warmUp: number
}

/** How the engines of a pool work, as their operator publishes it. */
export interface PoolDescription {
  /** Requests that one engine runs at once. */
  readonly slots: number
  /** Decoding steps that an engine plays before it admits new prompts. */
  readonly stride: number
  /** One decoding step without any request, in milliseconds. */
  readonly stepTime: number
  /** Added to a step for each running request. */
  readonly stepTimePerRequest: number
  /** Added to a step for each 1,000 tokens of context. */
  readonly stepTimePerThousandTokens: number
  /** Prompt tokens read in a millisecond. */
  readonly promptTokensPerMillisecond: number
  /** Prompt tokens read with one decoding step at most; a pass beside requests that write has `stride` steps. */
  readonly promptTokensPerStep: number
  /** Mean tokens of a prompt and of an answer. */
  readonly usualPromptTokens: number
  readonly usualAnswerTokens: number
  readonly models: readonly PoolModel[]
  /** Layers of the model, which are loaded from chunks. */
  readonly layers: number
  readonly chunks: number
  readonly chunkBytes: number
}

/** A service that routes lead to. */
export interface ServiceDescription {
  readonly name: string
  /** Connections that one endpoint takes from all callers together. */
  readonly maxConnections: number
  /** Present for model pools. */
  readonly pool?: PoolDescription | undefined
}

/** Where weights come from. */
export interface OriginDescription {
  readonly address: string
  readonly availabilityZone: string
  readonly megabitsPerSecond: number
  readonly maxConnections: number
}

/** Whose callers they are. */
export interface OrganisationDescription {
  readonly name: string
  readonly keys: readonly string[]
  /** Goes before the priority of the route. */
  readonly priority?: number | undefined
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeout: number
  /** How long a connection may rest between requests. */
  readonly idleTimeout: number
}

/** Everything that operators configure, taken or refused as a whole. */
export interface RoutingConfiguration {
  /** The operators' own number of this configuration; it only rises. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceDescription[]
  readonly origin?: OriginDescription | undefined
  readonly organisations: readonly OrganisationDescription[]
  readonly limits: CallerLimits
}

/** What a request was matched to. */
export type RouteMatch =
  | { readonly type: 'route', readonly route: Route, readonly organisation: OrganisationDescription | undefined }
  | { readonly type: 'unknown-route' }
  | { readonly type: 'unknown-key' }

/** A configuration prepared for look-ups. */
export class RouteTable {
  private readonly _byHost = new Map<string, Route[]>()
  private readonly _byKey = new Map<string, OrganisationDescription>()
  private readonly _services = new Map<string, ServiceDescription>()

  constructor (readonly configuration: RoutingConfiguration) {
    for (const route of configuration.routes) {
      const routes = this._byHost.get(route.host) ?? []
      routes.push(route)
      this._byHost.set(route.host, routes)
    }
    for (const routes of this._byHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    for (const organisation of configuration.organisations) for (const key of organisation.keys) this._byKey.set(key, organisation)
    for (const service of configuration.services) this._services.set(service.name, service)
  }

  /** A service's description. */
  service (name: string): ServiceDescription | undefined { return this._services.get(name) }

  /**
   * Finds the route with the longest prefix that begins the path, and the organisation that holds the key. Where no
   * organisations are configured, no key is asked for.
   *
   * @param path Without the query.
   * @param key What the caller sent, or nothing.
   * @example
   * const match = table.match('plans.example', '/drafts/7', key)
   */
  match (host: string, path: string, key: string | undefined): RouteMatch {
    const route = this._byHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix))
    if (route === undefined) return { type: 'unknown-route' }
    const organisation = key === undefined ? undefined : this._byKey.get(key)
    const keyNeeded = !route.open && this.configuration.organisations.length > 0
    if (organisation === undefined && keyNeeded) return { type: 'unknown-key' }
    return { type: 'route', route, organisation }
  }
}

/**
 * Draws the service of a route by the weights of its targets.
 *
 * @param draw A number in [0, 1).
 * @example
 * const service = targetOf(route, random())
 */
export function targetOf (route: Route, draw: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  let left = draw * total
  for (const { service, weight } of route.targets) {
    left -= weight
    if (left < 0) return service
  }
  return route.targets.at(-1)?.service ?? ''
}
